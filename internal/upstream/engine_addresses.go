package upstream

import (
	"maps"
	"slices"

	"bankledge/decision"
)

// updateEngine sets an engine's address. Connections to its previous address are not used again, nor those to another
// engine that was at the new one.
func (p *connectionPool) updateEngine(engine decision.EngineID, address string, ready bool) {
	p.mu.Lock()
	if ready {
		delete(p.draining, engine)
	}
	previousAddress := p.addresses[engine]
	if previousAddress == address {
		p.mu.Unlock()
		return
	}
	displaced := p.engineAt[address]
	delete(p.addresses, displaced)
	delete(p.draining, displaced)
	if p.engineAt[previousAddress] == engine {
		delete(p.engineAt, previousAddress)
	}
	p.addresses[engine] = address
	p.engineAt[address] = engine
	p.mu.Unlock()
	p.closeIdle(engine)
	p.closeIdle(displaced)
}

// removeEngine forgets an engine that was removed from the endpoint list. Attempts in flight there go on at
// the address that they have, until another engine takes it over; connections are kept that long, since the engine may
// accept no new ones.
func (p *connectionPool) removeEngine(engine decision.EngineID) {
	p.mu.Lock()
	address := p.addresses[engine]
	inFlight := p.attemptsInFlight[engine]
	delete(p.addresses, engine)
	delete(p.draining, engine)
	if p.engineAt[address] == engine {
		delete(p.engineAt, address)
	}
	p.mu.Unlock()
	if inFlight == 0 {
		p.closeIdle(engine)
	}
}

// retainEngines removes all engines but the listed ones.
func (p *connectionPool) retainEngines(listed map[decision.EngineID]bool) {
	p.mu.Lock()
	var removed []decision.EngineID
	for engine := range p.addresses {
		if !listed[engine] {
			removed = append(removed, engine)
		}
	}
	p.mu.Unlock()
	for _, engine := range removed {
		p.removeEngine(engine)
	}
}

// drainEngine prevents further starts at an engine. An engine that is not listed needs no mark: none is started there.
func (p *connectionPool) drainEngine(engine decision.EngineID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addresses[engine] != "" {
		p.draining[engine] = true
	}
}

// mayStartAttempt reports whether an attempt may be started that was decided on when the engine had this address.
func (p *connectionPool) mayStartAttempt(engine decision.EngineID, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[engine] == address && !p.draining[engine]
}

// addressOf returns the address of a listed engine, or "".
func (p *connectionPool) addressOf(engine decision.EngineID) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[engine]
}

// isOfOtherEngine reports whether an address belongs to an engine other than this one.
func (p *connectionPool) isOfOtherEngine(address string, engine decision.EngineID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	owner := p.engineAt[address]
	return owner != "" && owner != engine
}

// engines returns the listed engines in ascending order.
func (p *connectionPool) engines() []decision.EngineID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.addresses))
}

// attemptStarted counts an attempt in flight at an engine; attemptFinished must follow.
func (p *connectionPool) attemptStarted(engine decision.EngineID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attemptsInFlight[engine]++
}

// attemptFinished ends what attemptStarted began. The connections to an engine that has left the endpoint list are
// closed when the last attempt there ends.
func (p *connectionPool) attemptFinished(engine decision.EngineID) {
	p.mu.Lock()
	p.attemptsInFlight[engine]--
	last := p.attemptsInFlight[engine] == 0
	if last {
		delete(p.attemptsInFlight, engine)
	}
	_, listed := p.addresses[engine]
	p.mu.Unlock()
	if last && !listed {
		p.closeIdle(engine)
	}
}

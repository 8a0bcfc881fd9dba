package upstream

import (
	"maps"
	"slices"

	"bankledge/decision"
)

// updateEngine sets an engine's address. Connections to its previous address are not reused, nor are those to another
// engine that had the new address before; idle ones are closed at once. An engine that is draining does not take over the
// address of one that is ready, since a late change of the old engine must not displace the new one: it counts as removed.
func (p *connectionPool) updateEngine(engine decision.EngineID, address string, ready bool) {
	if !ready && p.belongsToReadyEngine(address, engine) {
		p.removeEngine(engine)
		return
	}
	p.mu.Lock()
	if ready {
		delete(p.draining, engine)
	}
	previousAddress := p.addresses[engine]
	if previousAddress == address {
		p.mu.Unlock()
		return
	}
	displaced := p.engineByAddress[address]
	delete(p.addresses, displaced)
	delete(p.draining, displaced)
	if p.engineByAddress[previousAddress] == engine {
		delete(p.engineByAddress, previousAddress)
	}
	p.addresses[engine] = address
	p.engineByAddress[address] = engine
	p.mu.Unlock()
	p.closeIdle(engine)
	p.closeIdle(displaced)
}

// removeEngine deletes an engine that was removed from the endpoint list. Attempts in flight there continue at the engine's
// last address until another engine takes over that address. Idle connections are kept while attempts are in flight, since
// the engine may accept no new connections.
func (p *connectionPool) removeEngine(engine decision.EngineID) {
	p.mu.Lock()
	address := p.addresses[engine]
	inFlight := p.attemptsInFlight[engine]
	delete(p.addresses, engine)
	delete(p.draining, engine)
	if p.engineByAddress[address] == engine {
		delete(p.engineByAddress, address)
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

// drainEngine prevents further starts at an engine. An engine that is not listed is not marked: no attempt starts there.
func (p *connectionPool) drainEngine(engine decision.EngineID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addresses[engine] != "" {
		p.draining[engine] = true
	}
}

// mayStartAttempt reports whether an attempt may be started that was requested when the engine had the given address.
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

// belongsToOtherEngine reports whether an address belongs to an engine other than the given one.
func (p *connectionPool) belongsToOtherEngine(address string, engine decision.EngineID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	owner := p.engineByAddress[address]
	return owner != "" && owner != engine
}

// belongsToReadyEngine reports whether an address belongs to an engine other than the given one that is not draining.
func (p *connectionPool) belongsToReadyEngine(address string, engine decision.EngineID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	owner := p.engineByAddress[address]
	return owner != "" && owner != engine && !p.draining[owner]
}

// engines returns the listed engines in ascending order.
func (p *connectionPool) engines() []decision.EngineID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.addresses))
}

// attemptStarted counts an attempt in flight at an engine. Each call must be followed by one of attemptFinished.
func (p *connectionPool) attemptStarted(engine decision.EngineID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attemptsInFlight[engine]++
}

// attemptFinished undoes one call of attemptStarted. When the last attempt at an engine that was removed from the endpoint
// list ends, attemptFinished closes the idle connections to that engine.
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

package proxy

import (
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/invariant"
	"bankledge/internal/upstream"
)

// Send: the module's actions are carried out, in its order. None of them waits.

func (r *route) carryOut(action decision.Action) {
	log := r.gateway.log
	switch a := action.(type) {
	case decision.StartAttempt:
		r.execute(a)
	case decision.CancelAttempt:
		if s := r.open[a.Statement]; s != nil && int(a.Attempt) < len(s.execs) {
			log.Debug("execution given up", zap.String("statement", string(s.id)), zap.Int("execution", int(a.Attempt)), zap.String("why", string(a.Reason)))
			s.execs[a.Attempt].Cancel()
		}
	case decision.Reject:
		if s := r.open[a.Statement]; s != nil {
			r.answer(s, rejected, nil, a.Reason) // the protocol has no field for RetryIn
		}
	case decision.Abort:
		if s := r.open[a.Statement]; s != nil {
			r.answer(s, aborted, nil, a.Reason)
		}
	case decision.HealthCheck:
		r.gateway.figures.probes.Add(1)
		r.gateway.back.CheckHealth(a.Engine)
	case decision.CloseIdleConnections:
		r.gateway.back.CloseIdleConnections(a.Engine)
	case decision.SetTimer:
		r.timers = append(r.timers, a)
	case decision.Log:
		log.Info("module", zap.String("says", a.Text))
	case decision.Crash:
		log.Error("the module reports a failure", zap.String("says", a.Text))
	case decision.WatchEndpoints, decision.FetchEndpoints, decision.SetResources, decision.SendToPeers:
		// The control feed is always followed; the protocol has no words for terms and for other routers.
	default:
		log.Error("an action that cannot be carried out", zap.Any("action", action))
	}
}

func (r *route) execute(a decision.StartAttempt) {
	s := r.open[a.Statement]
	if s == nil || s.over {
		r.gateway.log.Error("an execution of a statement that is over", zap.String("statement", string(a.Statement)))
		return
	}
	now, until := r.gateway.now(), s.ends
	broken := s.rules.BeginAttempt(r.place(a.Engine), r.decided) // by the clock that it was decided by
	if a.Timeout > 0 && r.gateway.origin.Add(now+a.Timeout).Before(until) {
		until = r.gateway.origin.Add(now + a.Timeout)
	}
	lapsed := r.steering != nil && r.steering.lapsed(now) // stopped since the look: decided anew
	if lapsed || broken != nil {
		until = time.Now().Add(-time.Second) // it is never sent
	}
	order := upstream.AttemptRequest{Statement: s.id, Attempt: decision.AttemptID(len(s.execs)), Engine: a.Engine,
		Workload: s.workload, Text: s.text, Deadline: until}
	if a.StartBefore > 0 {
		order.StartBefore = r.gateway.origin.Add(a.StartBefore)
	}
	r.gateway.log.Debug("execution sent", zap.String("statement", string(s.id)), zap.Int("execution", int(order.Attempt)),
		zap.String("engine", string(a.Engine)), zap.Stringers("earlier", s.outcomes), zap.Duration("time_left", time.Until(until)))
	s.out++
	r.gateway.figures.executions.Add(1)
	s.execs = append(s.execs, r.gateway.back.StartAttempt(order))
	if broken != nil { // what the module would try next is not known to be better
		r.gateway.violations.Record(broken)
		r.answer(s, aborted, nil, reasonRule)
		r.also = append(r.also, decision.ClientCancelled{Statement: s.id})
	}
}

// place is where an engine runs, as last listed.
func (r *route) place(engine decision.EngineID) invariant.Location {
	if at, listed := r.places[engine]; listed {
		return at
	}
	return invariant.Location{Engine: engine}
}

// listPlaces keeps where the listed engines run.
func (r *route) listPlaces(ev decision.EndpointList) {
	if ev.Kind == decision.ListComplete || ev.Kind == decision.ListPersisted {
		clear(r.places)
	}
	for _, entry := range ev.Endpoints {
		if entry.State == decision.Removed {
			delete(r.places, entry.Engine)
			continue
		}
		r.places[entry.Engine] = invariant.Location{Engine: entry.Engine, Zone: entry.Zone, Kind: entry.MachineType, Cell: entry.Cell}
	}
}

// Noted hears a note of an execution, from its goroutine.
func (g *Router) AttemptProgressed(ev decision.AttemptProgress) { g.route.post(input{event: ev}) }

// Ended hears the end of an execution, from its goroutine.
func (g *Router) AttemptEnded(ev decision.AttemptEnded, result []byte) {
	g.route.post(input{event: ev, result: result})
}

// Probed hears the end of a probe, from its goroutine.
func (g *Router) HealthCheckEnded(ev decision.HealthCheckEnded) { g.route.post(input{event: ev}) }

// enforce has the guard hold statements to rules that take force now.
func (r *route) enforce(changed decision.RulesChanged) {
	for i, kinds := range changed.AllowedMachineTypes {
		r.gateway.enforced[i].AllowedMachineTypes = kinds
	}
}

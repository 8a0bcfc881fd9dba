package gateway

import (
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/back"
	"bankledge/internal/guard"
)

// Send: the module's actions are carried out, in its order. None of them waits.

func (r *route) carryOut(action decision.Action) {
	log := r.gateway.log
	switch a := action.(type) {
	case decision.Execute:
		r.execute(a)
	case decision.Cancel:
		if s := r.open[a.Statement]; s != nil && int(a.Execution) < len(s.execs) {
			log.Debug("execution given up", zap.String("statement", string(s.id)), zap.Int("execution", int(a.Execution)), zap.String("why", string(a.Why)))
			s.execs[a.Execution].GiveUp()
		}
	case decision.Reject:
		if s := r.open[a.Statement]; s != nil {
			r.answer(s, rejected, nil, a.Why) // the protocol has no field for RetryIn
		}
	case decision.Abort:
		if s := r.open[a.Statement]; s != nil {
			r.answer(s, aborted, nil, a.Why)
		}
	case decision.Probe:
		r.gateway.figures.probes.Add(1)
		r.gateway.back.Probe(a.Engine)
	case decision.CloseIdle:
		r.gateway.back.CloseIdle(a.Engine)
	case decision.SetTimer:
		r.timers = append(r.timers, a)
	case decision.Log:
		log.Info("module", zap.String("says", a.Text))
	case decision.Crash:
		log.Error("the module reports a failure", zap.String("says", a.Text))
	case decision.FollowList, decision.FetchList, decision.SetTerms, decision.TellPeers:
		// The control feed is always followed; the protocol has no words for terms and for other routers.
	default:
		log.Error("an action that cannot be carried out", zap.Any("action", action))
	}
}

func (r *route) execute(a decision.Execute) {
	s := r.open[a.Statement]
	if s == nil || s.over {
		r.gateway.log.Error("an execution of a statement that is over", zap.String("statement", string(a.Statement)))
		return
	}
	now, until := r.gateway.now(), s.ends
	broken := s.rules.Execute(r.place(a.Engine), r.decided) // by the clock that it was decided by
	if a.Timeout > 0 && r.gateway.origin.Add(now+a.Timeout).Before(until) {
		until = r.gateway.origin.Add(now + a.Timeout)
	}
	lapsed := r.steering != nil && r.steering.lapsed(now) // stopped since the look: decided anew
	if lapsed || broken != nil {
		until = time.Now().Add(-time.Second) // it is never sent
	}
	order := back.Order{Statement: s.id, Execution: decision.ExecutionID(len(s.execs)), Engine: a.Engine,
		Workload: s.workload, Text: s.text, Until: until}
	if a.Before > 0 {
		order.Before = r.gateway.origin.Add(a.Before)
	}
	r.gateway.log.Debug("execution sent", zap.String("statement", string(s.id)), zap.Int("execution", int(order.Execution)),
		zap.String("engine", string(a.Engine)), zap.Stringers("earlier", s.outcomes), zap.Duration("time_left", time.Until(until)))
	s.out++
	r.gateway.figures.executions.Add(1)
	s.execs = append(s.execs, r.gateway.back.Execute(order))
	if broken != nil { // what the module would try next is not known to be better
		r.gateway.violations.Count(broken)
		r.answer(s, aborted, nil, reasonRule)
		r.also = append(r.also, decision.ClientLeft{Statement: s.id})
	}
}

// place is where an engine runs, as last listed.
func (r *route) place(engine decision.EngineID) guard.Place {
	if at, listed := r.places[engine]; listed {
		return at
	}
	return guard.Place{Engine: engine}
}

// listPlaces keeps where the listed engines run.
func (r *route) listPlaces(ev decision.EngineList) {
	if ev.Kind == decision.ListComplete || ev.Kind == decision.ListPersisted {
		clear(r.places)
	}
	for _, entry := range ev.Entries {
		if entry.State == decision.Gone {
			delete(r.places, entry.Engine)
			continue
		}
		r.places[entry.Engine] = guard.Place{Engine: entry.Engine, Zone: entry.Zone, Kind: entry.Kind, Cell: entry.Cell}
	}
}

// Noted hears a note of an execution, from its goroutine.
func (g *Gateway) Noted(ev decision.ExecutionNoted) { g.route.post(input{event: ev}) }

// Ended hears the end of an execution, from its goroutine.
func (g *Gateway) Ended(ev decision.ExecutionEnded, result []byte) {
	g.route.post(input{event: ev, result: result})
}

// Probed hears the end of a probe, from its goroutine.
func (g *Gateway) Probed(ev decision.ProbeEnded) { g.route.post(input{event: ev}) }

// enforce has the guard hold statements to rules that take force now.
func (r *route) enforce(changed decision.RulesChanged) {
	for i, kinds := range changed.Kinds {
		r.gateway.enforced[i].Kinds = kinds
	}
}

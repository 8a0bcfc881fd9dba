package gateway

import (
	"crypto/rand"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/agree"
	"bankledge/internal/rules"
	"bankledge/internal/settings"
	"bankledge/internal/steer"
)

// Steer: where the operator's own file names a control group, the router acts on the group's versions, in terms that the group grants.
// The route goroutine owns that side and looks at the clock before each batch, so the switch from one version to the next lies
// between two batches. Without that file there is nothing of it.

// steering is what the route goroutine keeps of it.
type steering struct {
	core   *agree.Router
	link   *steer.Link
	own    *rules.Rules // of the router's settings
	acts   *rules.Rules // that it acts on
	ground agree.Ground
	before decision.Rules // of the settings: what no version holds stays so
	o      *settings.Opening
	name   string
	listed map[decision.EngineID]*listed
}

// listed is an engine as the control feed last told of it, and as the module was told.
type listed struct {
	entry   decision.Entry
	address string
	told    decision.Entry
	cold    time.Duration // since when a version holds it to be cold, 0: none does
}

// Steer has the router act on a control group's versions. It is called before Run.
func (g *Gateway) Steer(file *steer.File) {
	var drawn [8]byte
	rand.Read(drawn[:])
	own := Own(g.cfg.Opening)
	s := &steering{own: own, acts: own, before: g.cfg.Opening.Rules, o: g.cfg.Opening, name: g.cfg.Name, listed: map[decision.EngineID]*listed{}}
	s.core = agree.NewRouter(agree.Setup{Spans: file.Spans(), Name: g.cfg.Name, Incarnation: hex.EncodeToString(drawn[:]), Lineage: file.Lineage, Own: own,
		Guards: file.Guards(), Addresses: len(file.Addresses), Seed: g.cfg.Seed})
	s.link = steer.NewLink(file.Addresses, file.Spans(), func(ev agree.RouterEvent) { g.route.post(input{steer: ev}) }, g.log)
	g.route.steering = s
}

// Own are the rules of a router's own settings, as far as they can be in a version. What the module has no bound for, such as
// probes, is its own figure.
func Own(o *settings.Opening) *rules.Rules {
	r := &rules.Rules{Routers: o.Identity.Routers, Importance: map[string]float64{}, Shares: map[string]float64{}, OverImportance: o.Shares.OverImportance,
		FurtherShare: o.Rules.FurtherShare, FurtherFree: o.Rules.FurtherFree, FurtherWindow: o.Rules.FurtherWindow.Milliseconds(), Probes: ownProbes,
		ColdShare: o.Rules.ColdShare, ColdMultiple: o.Rules.ColdMultiple, WarmAfter: o.Rules.WarmAfter.Milliseconds(), DrainGrace: o.Rules.DrainGrace.Milliseconds(),
		KeyRest: o.Rules.KeyRest.Milliseconds(), Kinds: map[string][]string{}}
	for _, w := range o.Workloads {
		r.Importance[w.Name] = w.Importance
		r.MayTurnAway = append(r.MayTurnAway, w.Name)
		if len(w.Kinds) > 0 {
			for _, k := range w.Kinds {
				r.Kinds[w.Name] = append(r.Kinds[w.Name], string(k))
			}
		}
	}
	for _, s := range o.Shares.Groups {
		r.Shares[string(s.Group)] = s.PerSec
	}
	if r.Check() != nil { // settings that no version could hold bind this router alone: the cautious side of nothing
		r = &rules.Rules{Routers: max(1, o.Identity.Routers)}
		r.Check()
	}
	return r
}

const ownProbes = 2 // a statement, as the module has it

// steered hands the router's side an event, and returns what the module has to hear of it.
func (r *route) steered(now time.Duration, ev agree.RouterEvent) (events []decision.Event) {
	s := r.steering
	for _, a := range s.core.Step(now, ev) {
		if use, is := a.(agree.Use); is {
			s.acts, s.ground = use.Rules, use.On
			r.gateway.log.Info("rules", zap.Stringer("on", use.On), zap.Bool("term", use.On.Term), zap.Uint64("settled", use.On.Settled), zap.Uint64("pending", use.On.Pending))
			events = append(events, s.changed())
			if list := s.relist(now); len(list.Entries) > 0 {
				events = append(events, list)
			}
			continue
		}
		s.link.Do(a)
	}
	return events
}

// lapsed tells whether the term on which a batch was decided has ended since: what it decided is not carried out any more.
func (s *steering) lapsed(now time.Duration) bool { return s.core.Until() > 0 && now >= s.core.Until() }

// changed is what the module is told of the rules that the router acts on.
func (s *steering) changed() decision.RulesChanged {
	a := s.acts
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	ev := decision.RulesChanged{Routers: 1 / max(1e-9, a.Part(s.name)), Rules: s.before, OverImportance: a.OverImportance}
	ev.Rules.ColdShare, ev.Rules.ColdMultiple, ev.Rules.WarmAfter = a.ColdShare, a.ColdMultiple, ms(a.WarmAfter)
	ev.Rules.DrainGrace, ev.Rules.KeyRest = ms(a.DrainGrace), ms(a.KeyRest)
	ev.Rules.FurtherWindow, ev.Rules.FurtherFree, ev.Rules.FurtherShare = ms(a.FurtherWindow), a.FurtherFree, a.FurtherShare
	ev.Rules.Probes = max(a.Probes, 1e-9) // 0 would be the module's own figure
	for _, w := range s.o.Workloads {
		importance, named := a.Importance[w.Name]
		if !named {
			importance = w.Importance
		}
		ev.Importance = append(ev.Importance, importance)
		ev.Protected = append(ev.Protected, !slices.Contains(a.MayTurnAway, w.Name))
		ev.Kinds = append(ev.Kinds, kinds(a, w))
	}
	for _, g := range s.o.Shares.Groups {
		if perSec, named := a.Shares[string(g.Group)]; named {
			g.PerSec = perSec
		}
		ev.Shares = append(ev.Shares, g)
	}
	if len(a.KeptOff) > 0 {
		ev.Rules.KeptOff = map[decision.TableGroup][]decision.EngineID{}
	}
	for _, name := range slices.Sorted(maps.Keys(a.KeptOff)) {
		if n, err := strconv.ParseInt(name, 10, 64); err == nil {
			for _, e := range a.KeptOff[name] {
				ev.Rules.KeptOff[decision.TableGroup(n)] = append(ev.Rules.KeptOff[decision.TableGroup(n)], decision.EngineID(e))
			}
		}
	}
	return ev
}

// nowhere is a kind that no machine is of.
const nowhere = decision.Kind("\x00none")

// kinds are those that a workload may run on: those of the version that the settings allow, too.
func kinds(a *rules.Rules, w decision.Workload) []decision.Kind {
	of, bound := a.Kinds[w.Name]
	if !bound {
		return w.Kinds
	}
	list := []decision.Kind{nowhere} // an empty list would be any
	for _, k := range of {
		if len(w.Kinds) == 0 || slices.Contains(w.Kinds, decision.Kind(k)) {
			list = append(list, decision.Kind(k))
		}
	}
	return list
}

// keep notes what the control feed tells, and has the module hear the cautious side of that and of the version's list.
func (s *steering) keep(now time.Duration, ev decision.EngineList, addresses []string) decision.EngineList {
	if ev.Kind != decision.ListPartial {
		clear(s.listed)
	}
	for i := range ev.Entries {
		entry := ev.Entries[i]
		if entry.State == decision.Gone {
			delete(s.listed, entry.Engine)
			continue
		}
		l := s.listed[entry.Engine]
		if l == nil {
			l = &listed{}
			s.listed[entry.Engine] = l
		}
		l.entry, l.address = entry, addresses[i]
		l.told = s.effective(now, l)
		ev.Entries[i] = l.told
	}
	return ev
}

// relist tells the module of the engines whose place has changed with the rules.
func (s *steering) relist(now time.Duration) decision.EngineList {
	list := decision.EngineList{Kind: decision.ListPartial}
	for _, id := range slices.Sorted(maps.Keys(s.listed)) {
		l := s.listed[id]
		if e := s.effective(now, l); e != l.told {
			l.told = e
			list.Entries = append(list.Entries, e)
		}
	}
	return list
}

// effective is an engine's place by the feed and by the version: nothing new goes where either says no. One that has left by the version
// alone is drained, since what runs there is still to be heard of.
func (s *steering) effective(now time.Duration, l *listed) decision.Entry {
	e := l.entry
	if s.acts.Engines == nil {
		l.cold = 0
		return e
	}
	x := s.acts.Engine(string(e.Engine))
	if x.Phase != rules.Active || x.Address != l.address {
		e.State = max(e.State, decision.Draining)
	}
	switch {
	case !x.Cold:
		l.cold = 0
	case l.cold == 0:
		l.cold = now
	}
	e.StartedAt = max(e.StartedAt, l.cold)
	return e
}

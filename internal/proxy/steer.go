package proxy

import (
	"crypto/rand"
	"encoding/hex"
	"maps"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/controlclient"
	"bankledge/internal/lease"
	"bankledge/internal/rules"
	"bankledge/internal/settings"
)

// Steer: where the operator's own file names a control group, the router acts on the group's versions, in terms that the group grants.
// The route goroutine owns that side and looks at the clock before each batch, so the switch from one version to the next lies
// between two batches. Without that file there is nothing of it.

// steering is what the route goroutine keeps of it.
type steering struct {
	core   *lease.Client
	link   *controlclient.Transport
	own    *rules.Rules // of the router's settings
	acts   *rules.Rules // that it acts on
	ground lease.ActiveConfiguration
	before decision.Rules // of the settings: what no version holds stays so
	o      *settings.ModuleSettings
	name   string
	listed map[decision.EngineID]*listed
}

// listed is an engine as the control feed last told of it, and as the module was told.
type listed struct {
	entry   decision.Endpoint
	address string
	told    decision.Endpoint
	cold    time.Duration // since when a version holds it to be cold, 0: none does
}

// Steer has the router act on a control group's versions. It is called before Run.
func (g *Router) JoinControlGroup(file *controlclient.Config) {
	var drawn [8]byte
	rand.Read(drawn[:])
	own := RulesFromSettings(g.cfg.Module)
	s := &steering{own: own, acts: own, before: g.cfg.Module.Rules, o: g.cfg.Module, name: g.cfg.Name, listed: map[decision.EngineID]*listed{}}
	s.core = lease.NewClient(lease.ClientSettings{Durations: file.LeaseDurations(), Name: g.cfg.Name, Incarnation: hex.EncodeToString(drawn[:]), Lineage: file.Lineage, LocalRules: own,
		Guards: file.Guards(), AddressCount: len(file.Addresses), Seed: g.cfg.Seed})
	s.link = controlclient.NewTransport(file.Addresses, file.LeaseDurations(), func(ev lease.ClientEvent) { g.route.post(input{steer: ev}) }, g.log)
	g.route.steering = s
}

// Own are the rules of a router's own settings, as far as they can be in a version. What the module has no bound for, such as
// probes, is its own figure.
func RulesFromSettings(o *settings.ModuleSettings) *rules.Rules {
	r := &rules.Rules{Routers: o.Identity.Routers, PriorityWeights: map[string]float64{}, TenantQuotas: map[string]float64{}, OverQuotaFactor: o.Quotas.OverQuotaFactor,
		RetryBudgetShare: o.Rules.RetryBudgetShare, RetryBudgetFree: o.Rules.RetryBudgetFree, RetryBudgetWindowMillis: o.Rules.RetryBudgetWindow.Milliseconds(), HealthChecksPerStatement: ownProbes,
		SlowStartShare: o.Rules.SlowStartShare, SlowStartMultiple: o.Rules.SlowStartMultiple, WarmAfterMillis: o.Rules.SlowStartDuration.Milliseconds(), DrainGraceMillis: o.Rules.DrainGrace.Milliseconds(),
		KeyQuietPeriodMillis: o.Rules.KeyQuietPeriod.Milliseconds(), AllowedMachineTypes: map[string][]string{}}
	for _, w := range o.Workloads {
		r.PriorityWeights[w.Name] = w.PriorityWeight
		r.SheddableWorkloads = append(r.SheddableWorkloads, w.Name)
		if len(w.AllowedMachineTypes) > 0 {
			for _, k := range w.AllowedMachineTypes {
				r.AllowedMachineTypes[w.Name] = append(r.AllowedMachineTypes[w.Name], string(k))
			}
		}
	}
	for _, s := range o.Quotas.Tenants {
		r.TenantQuotas[string(s.Tenant)] = s.RatePerSecond
	}
	if r.Validate() != nil { // settings that no version could hold bind this router alone: the cautious side of nothing
		r = &rules.Rules{Routers: max(1, o.Identity.Routers)}
		r.Validate()
	}
	return r
}

const ownProbes = 2 // a statement, as the module has it

// steered hands the router's side an event, and returns what the module has to hear of it.
func (r *route) steered(now time.Duration, ev lease.ClientEvent) (events []decision.Event) {
	s := r.steering
	for _, a := range s.core.Step(now, ev) {
		if use, is := a.(lease.ApplyRules); is {
			s.acts, s.ground = use.Rules, use.Configuration
			r.gateway.log.Info("rules", zap.Stringer("on", use.Configuration), zap.Bool("term", use.Configuration.Leased), zap.Uint64("settled", use.Configuration.Activated), zap.Uint64("pending", use.Configuration.Pending))
			events = append(events, s.changed())
			if list := s.relist(now); len(list.Endpoints) > 0 {
				events = append(events, list)
			}
			continue
		}
		s.link.Execute(a)
	}
	return events
}

// lapsed tells whether the term on which a batch was decided has ended since: what it decided is not carried out any more.
func (s *steering) lapsed(now time.Duration) bool {
	return s.core.LeaseExpiry() > 0 && now >= s.core.LeaseExpiry()
}

// changed is what the module is told of the rules that the router acts on.
func (s *steering) changed() decision.RulesChanged {
	a := s.acts
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	ev := decision.RulesChanged{EffectiveRouters: 1 / max(1e-9, a.FleetQuota(s.name)), Rules: s.before, OverQuotaFactor: a.OverQuotaFactor}
	ev.Rules.SlowStartShare, ev.Rules.SlowStartMultiple, ev.Rules.SlowStartDuration = a.SlowStartShare, a.SlowStartMultiple, ms(a.WarmAfterMillis)
	ev.Rules.DrainGrace, ev.Rules.KeyQuietPeriod = ms(a.DrainGraceMillis), ms(a.KeyQuietPeriodMillis)
	ev.Rules.RetryBudgetWindow, ev.Rules.RetryBudgetFree, ev.Rules.RetryBudgetShare = ms(a.RetryBudgetWindowMillis), a.RetryBudgetFree, a.RetryBudgetShare
	ev.Rules.HealthChecksPerStatement = max(a.HealthChecksPerStatement, 1e-9) // 0 would be the module's own figure
	for _, w := range s.o.Workloads {
		importance, named := a.PriorityWeights[w.Name]
		if !named {
			importance = w.PriorityWeight
		}
		ev.PriorityWeights = append(ev.PriorityWeights, importance)
		ev.Protected = append(ev.Protected, !slices.Contains(a.SheddableWorkloads, w.Name))
		ev.AllowedMachineTypes = append(ev.AllowedMachineTypes, kinds(a, w))
	}
	for _, g := range s.o.Quotas.Tenants {
		if perSec, named := a.TenantQuotas[string(g.Tenant)]; named {
			g.RatePerSecond = perSec
		}
		ev.Quotas = append(ev.Quotas, g)
	}
	if len(a.PlacementExclusions) > 0 {
		ev.Rules.PlacementExclusions = map[decision.TableGroup][]decision.EngineID{}
	}
	for _, name := range slices.Sorted(maps.Keys(a.PlacementExclusions)) {
		if n, err := strconv.ParseInt(name, 10, 64); err == nil {
			for _, e := range a.PlacementExclusions[name] {
				ev.Rules.PlacementExclusions[decision.TableGroup(n)] = append(ev.Rules.PlacementExclusions[decision.TableGroup(n)], decision.EngineID(e))
			}
		}
	}
	return ev
}

// nowhere is a kind that no machine is of.
const nowhere = decision.MachineType("\x00none")

// kinds are those that a workload may run on: those of the version that the settings allow, too.
func kinds(a *rules.Rules, w decision.Workload) []decision.MachineType {
	of, bound := a.AllowedMachineTypes[w.Name]
	if !bound {
		return w.AllowedMachineTypes
	}
	list := []decision.MachineType{nowhere} // an empty list would be any
	for _, k := range of {
		if len(w.AllowedMachineTypes) == 0 || slices.Contains(w.AllowedMachineTypes, decision.MachineType(k)) {
			list = append(list, decision.MachineType(k))
		}
	}
	return list
}

// keep notes what the control feed tells, and has the module hear the cautious side of that and of the version's list.
func (s *steering) keep(now time.Duration, ev decision.EndpointList, addresses []string) decision.EndpointList {
	if ev.Kind != decision.ListPartial {
		clear(s.listed)
	}
	for i := range ev.Endpoints {
		entry := ev.Endpoints[i]
		if entry.State == decision.Removed {
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
		ev.Endpoints[i] = l.told
	}
	return ev
}

// relist tells the module of the engines whose place has changed with the rules.
func (s *steering) relist(now time.Duration) decision.EndpointList {
	list := decision.EndpointList{Kind: decision.ListPartial}
	for _, id := range slices.Sorted(maps.Keys(s.listed)) {
		l := s.listed[id]
		if e := s.effective(now, l); e != l.told {
			l.told = e
			list.Endpoints = append(list.Endpoints, e)
		}
	}
	return list
}

// effective is an engine's place by the feed and by the version: nothing new goes where either says no. One that has left by the version
// alone is drained, since what runs there is still to be heard of.
func (s *steering) effective(now time.Duration, l *listed) decision.Endpoint {
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
	case !x.WarmingUp:
		l.cold = 0
	case l.cold == 0:
		l.cold = now
	}
	e.StartedAt = max(e.StartedAt, l.cold)
	return e
}

// Package policy decides, for one router, which statements run, where, when and with how much memory.
//
// A host calls New once and then Handle with what happened, in order; Handle returns what to do, in order. The types of
// events and actions are in package decision. The module keeps no goroutine and reads no clock: equal calls give equal
// actions. A Module is not safe for concurrent use.
//
// Module wires the concerns, each of which has a file of its own with its constants and its state:
//
//   - the way of a statement: admission, queue, routing, attempt, retry, hedge, deadline;
//   - what limits a send: rules, capacity, fleet_quota, key_queue, slow_start, retry_budget, bulk_load;
//   - what is known of engines: endpoint_list, engine, load_report, congestion_window, outlier, health_check, affinity;
//   - what statements get: priority, memory_grant, tenant_quota.
//
// The reasons for the design and the measurements behind the constants are in docs/design.md.
package policy

import (
	"time"

	"bankledge/decision"
	"bankledge/internal/detrand"
	"bankledge/internal/estimate"
	"bankledge/internal/timerqueue"
)

// timerToken names the one timer that a module sets; setting it again replaces it.
const timerToken = "due"

// Module is one instance of the decision module. Instances share nothing.
type Module struct {
	identity decision.Identity
	traits   decision.EngineTraits
	limits   decision.Limits
	rules    decision.Rules

	now     time.Duration // of the current call
	actions []decision.Action
	timers  timerqueue.Queue
	timerAt time.Duration // when the host's timer fires; 0: it is not set
	random  detrand.Source

	workloads        []*workload // by workload ID
	endpoints        endpointList
	statements       map[decision.StatementID]*statement // that are not finished
	arrivals         int                                 // statements that ever arrived
	attemptsInFlight int

	queue         statementQueue
	keyQueues     keyQueues
	tenantQuotas  tenantQuotas
	fleetQuota    fleetQuota
	priorities    priorities
	affinity      tableTraffic
	slowStart     slowStart
	retryBudget   retryBudget
	healthChecks  healthCheckBudget
	peerLoad      estimate.PeerLoad // statements of other routers on engines
	maintenanceAt time.Duration     // last maintenance
}

// New opens an instance.
func New(settings decision.Settings) *Module {
	routers := float64(max(1, settings.Identity.Routers))
	m := &Module{
		identity:     settings.Identity,
		traits:       settings.Engines,
		limits:       settings.Limits,
		rules:        settings.Rules,
		random:       detrand.Source{Seed: settings.Identity.Seed},
		endpoints:    endpointList{maxRankings: maxTableGroups},
		statements:   map[decision.StatementID]*statement{},
		keyQueues:    keyQueues{},
		tenantQuotas: newTenantQuotas(settings.Quotas.Tenants, routers),
		priorities:   priorities{overQuotaFactor: settings.Quotas.OverQuotaFactor},
		affinity:     tableTraffic{decay: trafficDecay, maxGroups: maxTableGroups},
		slowStart:    newSlowStart(settings.Rules, routers, settings.Identity.Seed),
		healthChecks: newHealthCheckBudget(settings.Limits, settings.LoadReports),
		peerLoad:     estimate.PeerLoad{FreshFor: reportPeriod, LearningRate: peerLoadLearningRate},
	}
	for i, workload := range settings.Workloads {
		m.workloads = append(m.workloads, newWorkload(decision.WorkloadID(i), workload))
	}
	m.fleetQuota = fleetQuota{routers: routers, workloads: m.workloads}
	if settings.Limits.PollEndpoints {
		m.timers.Schedule(0, m.watchEndpoints)
	}
	return m
}

// Handle takes what happened by now, in order, and returns what to do, in order.
func (m *Module) Handle(now time.Duration, events []decision.Event) []decision.Action {
	m.now = now
	m.actions = nil
	m.slowStart.start(now)
	for _, event := range events {
		m.handleEvent(event)
	}
	m.timers.RunDue(now)
	if now >= m.maintenanceAt+maintenanceInterval {
		m.maintain()
	}
	m.dispatch()
	m.setTimer()
	return m.actions
}

// handleEvent takes one event. All but arrivals and timers may give queued statements a place that they did not find
// before.
func (m *Module) handleEvent(event decision.Event) {
	switch ev := event.(type) {
	case decision.StatementArrived:
		m.admit(ev)
		return
	case decision.TimerFired:
		m.timerAt = 0
		return
	case decision.EndpointList:
		m.updateEndpoints(ev)
	case decision.ResponseStarted:
		m.responseStarted(ev)
	case decision.AttemptProgress:
		m.attemptProgressed(ev)
	case decision.AttemptEnded:
		m.attemptEnded(ev)
	case decision.ClientCancelled:
		if s := m.statements[ev.Statement]; s != nil {
			m.finish(s)
		}
	case decision.ClientReadStateChanged:
		m.clientReadStateChanged(ev)
	case decision.HealthCheckEnded:
		m.healthCheckEnded(ev)
	case decision.RulesChanged:
		m.changeRules(&ev)
	case decision.ShutdownStarted:
		m.scheduleShutdown(ev.GracePeriod)
	}
	m.queue.dirty = true
}

// changeRules applies rules that take effect now, for statements that arrive from now on. What was learned and spent
// stays: the windows of the budgets go on.
func (m *Module) changeRules(ev *decision.RulesChanged) {
	m.rules = ev.Rules
	m.fleetQuota.routers = ev.EffectiveRouters
	m.priorities.overQuotaFactor = ev.OverQuotaFactor
	m.slowStart.changeRules(ev.Rules, ev.EffectiveRouters)
	for i, w := range m.workloads {
		changed := ev.Workloads[i]
		w.PriorityWeight = changed.PriorityWeight
		w.AllowedMachineTypes = changed.AllowedMachineTypes
		w.Protected = changed.Protected
	}
	m.tenantQuotas.change(ev.Quotas, ev.EffectiveRouters)
}

// act appends an action to what this call returns.
func (m *Module) act(action decision.Action) { m.actions = append(m.actions, action) }

// setTimer asks for a call at the next due time, unless the host's timer fires by then.
func (m *Module) setTimer() {
	at := m.timers.Next(m.maintenanceAt + maintenanceInterval)
	if m.timerAt != 0 && at >= m.timerAt {
		return
	}
	m.timerAt = at
	m.act(decision.SetTimer{Token: timerToken, At: at})
}

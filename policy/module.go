// Package policy decides for one router which statements run, where, when and with how much memory.
//
// A host calls New once and then Handle with the events that have occurred, in order; Handle returns the actions to
// take, in order. The types of events and actions are in package decision. The module starts no goroutine and reads no
// clock: equal calls give equal actions. A Module is not safe for concurrent use.
//
// Module connects the components, each of which has its own file with its constants and its state:
//
//   - the life cycle of a statement: admission, queue, routing, attempt, retry, hedge, deadline;
//   - limits on sending: rules, capacity, fleet_quota, key_queue, slow_start, retry_budget, bulk_load;
//   - state of the engines: endpoint_list, engine, load_report, congestion_window, outlier, health_check, affinity;
//   - resources of a statement: priority, memory_grant, tenant_quota.
//
// The reasons for the design and the measurements that the constants are based on are in docs/design.md.
package policy

import (
	"time"

	"bankledge/decision"
	"bankledge/internal/detrand"
	"bankledge/internal/estimate"
	"bankledge/internal/timerqueue"
)

// timerToken identifies the only timer that a module sets. Setting it again replaces it.
const timerToken = "due"

// Module is one instance of the decision module. Instances share no state.
type Module struct {
	identity decision.Identity
	traits   decision.EngineTraits
	limits   decision.Limits
	rules    decision.Rules

	now     time.Duration // time of the current call
	actions []decision.Action
	timers  timerqueue.Queue
	timerAt time.Duration // when the host's timer fires; 0: not set
	random  detrand.Source

	workloads        []*workload // by workload ID
	endpoints        endpointList
	statements       map[decision.StatementID]*statement // that are not finished
	arrivals         int                                 // number of statements received so far
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
	maintenanceAt time.Duration     // time of the last maintenance
}

// New returns a module with the given settings.
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

// Handle processes the events that have occurred by now, in order, and returns the actions to take, in order.
func (m *Module) Handle(now time.Duration, events []decision.Event) []decision.Action {
	m.now = now
	m.actions = nil
	m.slowStart.recordFirstCall(now)
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

// handleEvent handles one event. After any event other than an arrival or a timer, queued statements that could not be
// sent before may be sent.
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

// changeRules applies rules that take effect now, for statements that arrive from now on. Learned values are kept, and
// the windows of the budgets continue.
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

// emit appends an action to the result of the current call.
func (m *Module) emit(action decision.Action) { m.actions = append(m.actions, action) }

// setTimer requests a call at the next due time, unless the host's timer already fires by then.
func (m *Module) setTimer() {
	at := m.timers.Next(m.maintenanceAt + maintenanceInterval)
	if m.timerAt != 0 && at >= m.timerAt {
		return
	}
	m.timerAt = at
	m.emit(decision.SetTimer{Token: timerToken, At: at})
}

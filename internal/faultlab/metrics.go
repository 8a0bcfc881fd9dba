package faultlab

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Codes of answers in the client protocol.
const (
	codeCompleted = 20
	codeRejected  = 50
)

// Metrics summarises a history.
type Metrics struct {
	Statements         int     `json:"statements"`
	InTime             float64 `json:"in_time"`  // share of priority weight answered in time
	Rejected           float64 `json:"rejected"` // share of sent statements
	Wasted             float64 `json:"wasted"`   // share of the engines' work that was spent on abandoned attempts
	HealthChecks       float64 `json:"probes"`   // per engine and second
	AdditionalAttempts float64 `json:"further"`  // after a statement's first, per engine and second
	Cancellations      float64 `json:"calloffs"` // share of attempts that were cancelled or dropped
	Handshakes         float64 `json:"dials"`    // per attempt
	P50, P99           time.Duration
	InTimeBefore       float64       `json:"before"` // share in time of the priority weight due before the first fault
	FaultsEnd          time.Duration `json:"quiet"`  // end of the last fault
	RecoveryTime       time.Duration `json:"back"`   // from FaultsEnd until nine tenths of InTimeBefore are reached; 0: immediately
	PeakColdLoad       float64       `json:"cold_most"`
}

// maxLatencyMillis is the longest latency that the histogram can record, in milliseconds.
const maxLatencyMillis = 120_000

// measurement accumulates the metrics of a history.
type measurement struct {
	sent     map[string]Event // by id of the statement
	attempts map[string]Event // latest attempt by id of the statement
	served   servedBySecond
	latency  *hdrhistogram.Histogram // milliseconds

	statements         int
	totalWeight        float64
	inTimeWeight       float64
	rejected           int
	work               float64 // seconds on one thread
	wastedWork         float64
	attemptCount       float64
	additionalAttempts float64
	abandonedAttempts  float64 // cancelled or dropped
	healthChecks       float64
	handshakes         float64
	peakColdLoad       float64
}

// Measure computes the metrics of a history. Latencies are measured from the time at which a statement is due, so that a delay in the
// fault lab or in a router is included.
func Measure(h *History) Metrics {
	m := &measurement{
		sent:     map[string]Event{},
		attempts: map[string]Event{},
		served:   servedBySecond{},
		latency:  hdrhistogram.New(1, maxLatencyMillis, 3),
	}
	for _, e := range h.Events {
		m.add(e)
	}
	return m.metrics(h.Scenario)
}

func (m *measurement) add(e Event) {
	switch e.Kind {
	case StatementSent:
		m.addSent(e)
	case StatementAnswered:
		m.addAnswer(e)
	case AttemptStarted:
		m.addAttempt(e)
	case AttemptCancelled, AttemptAbandoned:
		m.addAbandoned(e)
	case HealthChecked:
		m.healthChecks++
	case EngineConnected:
		m.handshakes++
	}
}

func (m *measurement) addSent(e Event) {
	m.sent[e.Statement] = e
	if e.Retry > 0 {
		return
	}
	weight := workloadNamed(e.Workload).priorityWeight
	m.statements++
	m.totalWeight += weight
	m.served.addDue(e.At, weight)
}

func (m *measurement) addAnswer(e Event) {
	sent := m.sent[e.Statement]
	due := m.sent[originalID(e.Statement)].At
	m.latency.RecordValue(max(1, (e.At - sent.At).Milliseconds()))
	if e.Code == codeRejected {
		m.rejected++
	}
	if e.Code != codeCompleted {
		return
	}
	w := workloadNamed(sent.Workload)
	if e.At-due <= inTimeLimit(w) {
		m.inTimeWeight += w.priorityWeight
		m.served.addInTime(due, w.priorityWeight)
	}
}

func (m *measurement) addAttempt(e Event) {
	m.attemptCount++
	m.work += e.Work
	if _, again := m.attempts[e.Statement]; again {
		m.additionalAttempts++
	}
	m.attempts[e.Statement] = e
	m.peakColdLoad = max(m.peakColdLoad, e.ColdLoad)
}

// addAbandoned adds the wasted work of an attempt that was cancelled or dropped: the work that could run since its start, but at most the
// work of the attempt.
func (m *measurement) addAbandoned(e Event) {
	m.abandonedAttempts++
	started, ok := m.attempts[e.Statement]
	if !ok {
		return
	}
	threads := float64(workloadNamed(started.Workload).threads)
	m.wastedWork += min(started.Work, (e.At-started.At).Seconds()*threads)
}

func (m *measurement) metrics(s *Scenario) Metrics {
	firstFault := seconds(s.Seconds)
	for _, f := range s.Faults {
		firstFault = min(firstFault, seconds(f.At))
	}
	faultsEnd := seconds(s.FaultsEnd())
	before, recoveryTime := m.served.recovery(firstFault, faultsEnd, seconds(s.Seconds))
	engineSeconds := float64(s.Engines) * s.Seconds
	return Metrics{
		Statements:         m.statements,
		InTime:             ratio(m.inTimeWeight, m.totalWeight),
		Rejected:           ratio(float64(m.rejected), float64(len(m.sent))),
		Wasted:             ratio(m.wastedWork, m.work),
		HealthChecks:       m.healthChecks / engineSeconds,
		AdditionalAttempts: m.additionalAttempts / engineSeconds,
		Cancellations:      ratio(m.abandonedAttempts, m.attemptCount),
		Handshakes:         ratio(m.handshakes, m.attemptCount),
		P50:                m.quantile(50),
		P99:                m.quantile(99),
		InTimeBefore:       before,
		FaultsEnd:          faultsEnd,
		RecoveryTime:       recoveryTime,
		PeakColdLoad:       m.peakColdLoad,
	}
}

func (m *measurement) quantile(percent float64) time.Duration {
	return time.Duration(m.latency.ValueAtQuantile(percent)) * time.Millisecond
}

// ratio returns part divided by whole, or 0 if whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// inTimeShare is the share of a client's timeout within which an answer counts as in time.
const inTimeShare = 0.4

func inTimeLimit(w *workload) time.Duration { return time.Duration(float64(w.timeout) * inTimeShare) }

package policy

import "time"

const (
	// windowThreadsPerCore is the ceiling of a window, in threads a core.
	windowThreadsPerCore = 2.0
	// minWindow is the floor of a window, in attempts.
	minWindow = 1.0
	// windowDecreaseFactor divides a window on congestion.
	windowDecreaseFactor = 2
	// overloadedUtilization is the reported share of the cores above which windows are halved.
	overloadedUtilization = 0.90
	// missedReports is the number of report periods without a report after which own latencies are used instead.
	missedReports = 3
)

// congestionWindow limits the attempts of one workload in flight at one engine, by additive increase and
// multiplicative decrease with a slow start.
type congestionWindow struct {
	size      float64
	threshold float64 // of the slow start: below it the window doubles, above it grows by one
	halvedAt  time.Duration
	excluded  bool // the engine refused an attempt lately
	inFlight  int

	// Counts since the last step.
	refusals    int
	late        int // completed after more than half of the latency objective
	completions int
}

// grow is one step up.
func (w *congestionWindow) grow(ceiling float64) {
	if w.size < w.threshold {
		w.size = min(w.size*2, ceiling)
		return
	}
	w.size = min(w.size+1, ceiling)
}

// halve is one step down, at most one in a report period.
func (w *congestionWindow) halve(now time.Duration) {
	if w.halvedAt != 0 && now < w.halvedAt+reportPeriod {
		return
	}
	w.halvedAt = now
	w.size = max(minWindow, w.size/windowDecreaseFactor)
	w.threshold = w.size
}

// recordCompletion counts an attempt that completed.
func (w *congestionWindow) recordCompletion(late bool) {
	w.completions++
	if late {
		w.late++
	}
}

// mostlyLate reports whether over half of the completions since the last step were late.
func (w *congestionWindow) mostlyLate() bool { return w.late*2 > w.completions }

// startPeriod resets the counts after a step. An exclusion lasts until a period passes without a refusal.
func (w *congestionWindow) startPeriod() {
	w.excluded = w.excluded && w.refusals > 0
	w.refusals = 0
	w.late = 0
	w.completions = 0
}

// window is the engine's window for a workload.
func (e *engine) window(w *workload) *congestionWindow { return &e.windows[w.id] }

// windowCeiling is the largest window of a workload at the engine.
func (e *engine) windowCeiling(w *workload) float64 {
	return max(minWindow, e.cores*windowThreadsPerCore/float64(w.Threads))
}

// stepWindows moves the engine's windows: down on memory waits, on utilization or, for want of that, on own latencies;
// else up.
func (m *Module) stepWindows(e *engine, utilizationKnown bool) {
	e.windowsSteppedAt = m.now
	for i := range e.windows {
		w := &e.windows[i]
		switch {
		case w.refusals > 0: // halved at the refusal
		case e.isCongested(w, utilizationKnown):
			w.halve(m.now)
		default:
			w.grow(e.windowCeiling(m.workloads[i]))
		}
		w.startPeriod()
	}
}

// isCongested reports whether a step of the window goes down.
func (e *engine) isCongested(w *congestionWindow, utilizationKnown bool) bool {
	if e.queueDepth >= 1 {
		return true
	}
	if utilizationKnown {
		return e.utilization > overloadedUtilization
	}
	return w.mostlyLate()
}

// attemptRefused takes an engine's refusal: the window is halved, and the engine is excluded for the workload until a
// period has passed.
func (m *Module) attemptRefused(a *attempt) {
	w := a.engine.window(a.statement.classifiedAs)
	w.halve(m.now)
	w.refusals++
	w.excluded = true
	m.timers.Schedule(m.now+reportPeriod, func() { w.excluded = false })
}

// firstWindows are the windows of an engine that has just started: the mean of its machine type, or the floor.
func (l *endpointList) firstWindows(e *engine, workloads []*workload) []congestionWindow {
	windows := make([]congestionWindow, len(workloads))
	for i, w := range workloads {
		windows[i] = congestionWindow{size: l.meanWindow(e, i, minWindow), threshold: e.windowCeiling(w)}
	}
	return windows
}

// meanWindow is the mean window of the other ready engines of an engine's machine type, or otherwise if there is none.
func (l *endpointList) meanWindow(e *engine, workload int, otherwise float64) float64 {
	sum, count := 0.0, 0.0
	for _, other := range l.all {
		if other != e && other.isReady() && other.MachineType == e.MachineType {
			sum += other.windows[workload].size
			count++
		}
	}
	if count == 0 {
		return otherwise
	}
	return sum / count
}

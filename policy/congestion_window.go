package policy

import "time"

const (
	// windowThreadsPerCore is the upper bound of a window, in threads per core.
	windowThreadsPerCore = 2.0
	// minWindow is the lower bound of a window, in attempts.
	minWindow = 1.0
	// windowDecreaseFactor divides a window on congestion.
	windowDecreaseFactor = 2
	// overloadedUtilization is the reported share of cores in use above which windows are halved.
	overloadedUtilization = 0.90
	// missedReports is the number of report periods without a load report after which windows follow the latencies that
	// this router measures.
	missedReports = 3
)

// congestionWindow limits the attempts of one workload in flight on one engine. It uses additive increase and
// multiplicative decrease (AIMD) with a slow start.
type congestionWindow struct {
	size      float64
	threshold float64 // of the slow start: the window doubles below it and grows by one above it
	halvedAt  time.Duration
	excluded  bool // the engine recently rejected an attempt
	inFlight  int

	// Counts since the last adjustment.
	rejections  int
	late        int // completions that took more than half of the latency objective
	completions int
}

// grow increases the window by one step.
func (w *congestionWindow) grow(ceiling float64) {
	if w.size < w.threshold {
		w.size = min(w.size*2, ceiling)
		return
	}
	w.size = min(w.size+1, ceiling)
}

// halve decreases the window, at most once in a report period.
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

// mostlyLate reports whether more than half of the completions since the last adjustment were late.
func (w *congestionWindow) mostlyLate() bool { return w.late*2 > w.completions }

// startPeriod resets the counts after an adjustment. An exclusion ends when a period passes without a rejection.
func (w *congestionWindow) startPeriod() {
	w.excluded = w.excluded && w.rejections > 0
	w.rejections = 0
	w.late = 0
	w.completions = 0
}

// window returns the engine's window for a workload.
func (e *engine) window(w *workload) *congestionWindow { return &e.windows[w.id] }

// windowCeiling returns the upper bound of a workload's window on the engine.
func (e *engine) windowCeiling(w *workload) float64 {
	return max(minWindow, e.cores*windowThreadsPerCore/float64(w.Threads))
}

// adjustWindows adjusts the engine's windows. They shrink if statements wait for memory, if utilization is high or,
// where utilization is not reported, if most completions are late. Otherwise they grow.
func (m *Module) adjustWindows(e *engine, utilizationKnown bool) {
	e.windowsAdjustedAt = m.now
	for i := range e.windows {
		w := &e.windows[i]
		switch {
		case w.rejections > 0: // already halved at the rejection
		case e.isCongested(w, utilizationKnown):
			w.halve(m.now)
		default:
			w.grow(e.windowCeiling(m.workloads[i]))
		}
		w.startPeriod()
	}
}

// isCongested reports whether the window has to shrink.
func (e *engine) isCongested(w *congestionWindow, utilizationKnown bool) bool {
	if e.queueDepth >= 1 {
		return true
	}
	if utilizationKnown {
		return e.utilization > overloadedUtilization
	}
	return w.mostlyLate()
}

// attemptOverloaded handles an engine's rejection: it halves the window and excludes the engine for the workload until
// a period has passed.
func (m *Module) attemptOverloaded(a *attempt) {
	w := a.engine.window(a.statement.classifiedAs)
	w.halve(m.now)
	w.rejections++
	w.excluded = true
	m.timers.Schedule(m.now+reportPeriod, func() { w.excluded = false })
}

// initialWindows returns the windows of an engine that has just started: the mean of its machine type, or minWindow if
// no other engine has that type.
func (l *endpointList) initialWindows(e *engine, workloads []*workload) []congestionWindow {
	windows := make([]congestionWindow, len(workloads))
	for i, w := range workloads {
		windows[i] = congestionWindow{size: l.meanWindow(e, i, minWindow), threshold: e.windowCeiling(w)}
	}
	return windows
}

// meanWindow returns the mean window of the other ready engines with the engine's machine type, or fallback if there
// are none.
func (l *endpointList) meanWindow(e *engine, workload int, fallback float64) float64 {
	sum, count := 0.0, 0.0
	for _, other := range l.all {
		if other != e && other.isReady() && other.MachineType == e.MachineType {
			sum += other.windows[workload].size
			count++
		}
	}
	if count == 0 {
		return fallback
	}
	return sum / count
}

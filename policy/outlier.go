package policy

import (
	"time"

	"bankledge/decision"
)

const (
	// An ejected engine gets a trial statement after minEjection. The delay grows up to maxEjection with each failed
	// trial.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
	// ejectionBackoffFactor multiplies the delay until the next trial.
	ejectionBackoffFactor = 2
	// maxErrorShare is the share of errors above which an engine is ejected. It may be readmitted at
	// readmissionErrorShare.
	maxErrorShare         = 0.5
	readmissionErrorShare = maxErrorShare / 2
	// engineLearningRate is the weight of one outcome in the moving averages of an engine's slowdown and error share.
	engineLearningRate = 0.2
	// slowdownDecay is the share by which each maintenance moves an engine's slowdown towards 1: a deviation decays
	// within half a minute.
	slowdownDecay = 0.002
	// openAttemptSlowdownDivisor is the number of usual run times after which an attempt without an outcome raises the
	// slowdown of its engine.
	openAttemptSlowdownDivisor = 2.0
	// Where engines send no progress messages, an attempt counts as silent after silentObjectiveShare of its latency
	// objective and silentRunTimes usual run times have both passed. A router that rarely receives a message about an
	// engine cannot conclude anything from a pause.
	silentObjectiveShare = 0.6
	silentRunTimes       = 10.0
	// silentProgressIntervals is the number of missed progress messages after which an attempt counts as silent. Each
	// missed message allows for one maintenance interval in addition.
	silentProgressIntervals = 2
	// overloadFactor is the multiple of the statements that an engine takes at most above which it completes few of
	// them.
	overloadFactor = 1.5
)

// isHealthy reports whether an engine may get a statement. An ejected engine gets a single trial statement once its
// ejection time is over. Only idempotent statements are used until another maxEjection has passed.
func (m *Module) isHealthy(e *engine, s *statement) bool {
	if m.arrivals < e.skippedUntilArrival {
		return false
	}
	if !e.ejected {
		return true
	}
	if len(e.attempts) > 0 || m.now < e.ejectedUntil {
		return false
	}
	return s.idempotency == decision.Idempotent || m.now >= e.ejectedUntil+maxEjection
}

// eject stops sending to an engine for a time that grows with each ejection. The engine counts as unreachable if its
// connections failed.
func (m *Module) eject(e *engine, unreachable bool) {
	e.unreachable = e.unreachable || unreachable
	if e.ejected && m.now < e.ejectedUntil {
		return
	}
	e.ejected = true
	e.backoff = min(max(minEjection, e.backoff*ejectionBackoffFactor), maxEjection)
	e.ejectedUntil = m.now + e.backoff
}

// failsTrial reports whether a failure at this time is that of a trial. The first failed connection may only have been
// slow to open. An engine that fails again counts as unreachable, and as just started when it is back.
func (m *Module) failsTrial(e *engine) bool { return e.ejected && m.now >= e.ejectedUntil }

// readmit handles activity of an engine. An ejected engine gets statements again, unless its error share is too high or
// it is overloaded; then more attempts have to complete there first. An unreachable engine counts as just started,
// since it may have restarted before the endpoint list says so.
func (m *Module) readmit(e *engine) {
	e.lastEventAt = m.now
	if e.ejected && (e.errorShare > readmissionErrorShare || m.isOverloaded(e)) {
		return
	}
	if e.unreachable {
		e.StartedAt = max(e.StartedAt, m.now)
		e.recentTables = nil
	}
	e.ejected = false
	e.unreachable = false
	e.backoff = 0
}

// isOverloaded reports whether all routers together have so many statements in flight on an engine that few of them
// complete. Such an engine has to be ejected: if each router sent to it again as soon as its last report was no longer
// fresh, that alone would keep it overloaded.
func (m *Module) isOverloaded(e *engine) bool {
	return e.statementsInFlight() > overloadFactor*maxStatementsPerCore*e.cores*m.slowStart.capacityShare(e, m.now)
}

// updateErrorShares updates error shares after a statement completed on an engine. An earlier error of the same
// statement counts as a failure of the engine that returned it, since the statement itself is not the cause.
func (m *Module) updateErrorShares(s *statement, completed *engine) {
	completed.errorShare *= 1 - engineLearningRate
	for _, a := range s.attempts {
		if !a.errored || a.engine == completed {
			continue
		}
		a.engine.errorShare += engineLearningRate * (1 - a.engine.errorShare)
		if a.engine.errorShare > maxErrorShare {
			m.eject(a.engine, false)
		}
	}
}

// updateSlowdown updates the engine's slowdown from the run time of a completed statement.
func (e *engine) updateSlowdown(runTime time.Duration, s *statement) {
	usual := max(1, s.classifiedAs.runTimeFactor*float64(s.expectedRun))
	e.slowdown += engineLearningRate * (float64(runTime)/usual - e.slowdown)
}

// decaySlowdown moves the engine's slowdown towards 1.
func (e *engine) decaySlowdown() { e.slowdown += slowdownDecay * (1 - e.slowdown) }

// detectSilentAttempts ejects an engine that sends nothing about its attempts in flight, and cancels or hedges these.
func (m *Module) detectSilentAttempts(e *engine) {
	for _, a := range e.attempts {
		usual := a.statement.classifiedAs.runTimeFactor * float64(a.statement.expectedRun)
		e.slowdown = max(e.slowdown, float64(m.now-a.sentAt)/max(1, openAttemptSlowdownDivisor*usual))
		if m.now > max(e.lastEventAt, a.sentAt)+m.silenceTimeout(a) {
			m.eject(e, false)
			m.cancelOrHedge(a, decision.ReasonNoProgress)
		}
	}
}

// silenceTimeout returns the time without activity after which an attempt counts as silent.
func (m *Module) silenceTimeout(a *attempt) time.Duration {
	if m.traits.ProgressInterval > 0 {
		return silentProgressIntervals * (m.traits.ProgressInterval + maintenanceInterval)
	}
	w := a.statement.classifiedAs
	expectedRun := a.statement.expectedRun
	byObjective := silentObjectiveShare * float64(w.objective(expectedRun))
	byRunTime := silentRunTimes * w.runTimeFactor * float64(expectedRun)
	return time.Duration(max(byObjective, byRunTime))
}

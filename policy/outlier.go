package policy

import (
	"time"

	"bankledge/decision"
)

const (
	// An ejected engine gets a trial after minEjection, which doubles up to maxEjection at each trial that fails.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
	// ejectionBackoffFactor multiplies the time until the next trial.
	ejectionBackoffFactor = 2
	// maxErrorShare is the share of errors from which an engine is ejected; it is readmitted at half of it.
	maxErrorShare         = 0.5
	readmissionErrorShare = maxErrorShare / 2
	// engineLearningRate is the weight of one outcome in an engine's pace and its share of errors.
	engineLearningRate = 0.2
	// paceRecovery is what one maintenance takes off an engine's pace, of its distance to the usual one: it fades in
	// half a minute.
	paceRecovery = 0.002
	// openAttemptPaceDivisor: an attempt without an outcome says something of its engine's pace only after so many
	// usual times.
	openAttemptPaceDivisor = 2.0
	// Where engines send no progress messages, an attempt is silent after this share of its objective and so many usual
	// run times: a router that rarely gets a message about an engine learns nothing from a pause.
	silentObjectiveShare = 0.6
	silentPaces          = 10.0
	// silentProgressIntervals is the number of missed progress messages, each with the time of a maintenance, after which
	// an attempt is silent.
	silentProgressIntervals = 2
	// overloadFactor times the statements that an engine takes at most is a load under which little ends there.
	overloadFactor = 1.5
)

// isHealthy reports whether an engine may get a statement. One that is ejected gets a single trial after a while,
// idempotent if there is one in time.
func (m *Module) isHealthy(e *engine, s *statement) bool {
	if m.arrivals < e.passedOverUntil {
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

// eject stops sending to an engine for a time that grows. It is unreachable if its connections failed.
func (m *Module) eject(e *engine, unreachable bool) {
	e.unreachable = e.unreachable || unreachable
	if e.ejected && m.now < e.ejectedUntil {
		return
	}
	e.ejected = true
	e.backoff = min(max(minEjection, e.backoff*ejectionBackoffFactor), maxEjection)
	e.ejectedUntil = m.now + e.backoff
}

// failsTrial reports whether a failure now is that of a trial. One connection that does not come up may only be late;
// an engine that fails again counts as unreachable, and as just started when it is back.
func (m *Module) failsTrial(e *engine) bool { return e.ejected && m.now >= e.ejectedUntil }

// readmit handles a sign of life: an ejected engine gets statements again, unless it erred too often or is overloaded;
// then more has to complete there first. One that was unreachable may have restarted before the list says so.
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

// isOverloaded reports whether all routers together have so much in flight on an engine that little of it ends. If each
// sent to it again as soon as its last report had faded, that alone would keep it overloaded: it is ejected.
func (m *Module) isOverloaded(e *engine) bool {
	return e.statementsInFlight() > overloadFactor*maxStatementsPerCore*e.cores*m.slowStart.capacityShare(e, m.now)
}

// learnErrors takes a statement that completed on an engine: where it erred before, that speaks against the engine
// there, since it is not the statement.
func (m *Module) learnErrors(s *statement, completed *engine) {
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

// learnPace takes the time of a statement that completed on the engine.
func (e *engine) learnPace(taken time.Duration, s *statement) {
	usual := max(1, s.classifiedAs.pace*float64(s.expectedRun))
	e.pace += engineLearningRate * (float64(taken)/usual - e.pace)
}

// recoverPace has an engine's pace fade towards the usual one.
func (e *engine) recoverPace() { e.pace += paceRecovery * (1 - e.pace) }

// detectSilence ejects an engine that has attempts in flight and sends nothing about them, and moves these elsewhere.
func (m *Module) detectSilence(e *engine) {
	for _, a := range e.attempts {
		usual := a.statement.classifiedAs.pace * float64(a.statement.expectedRun)
		e.pace = max(e.pace, float64(m.now-a.sentAt)/max(1, openAttemptPaceDivisor*usual))
		if m.now > max(e.lastEventAt, a.sentAt)+m.silenceTimeout(a) {
			m.eject(e, false)
			m.moveElsewhere(a, decision.ReasonNoProgress)
		}
	}
}

// silenceTimeout is the time without a sign of life after which an attempt counts as silent.
func (m *Module) silenceTimeout(a *attempt) time.Duration {
	if m.traits.ProgressInterval > 0 {
		return silentProgressIntervals * (m.traits.ProgressInterval + maintenanceInterval)
	}
	w := a.statement.classifiedAs
	expectedRun := a.statement.expectedRun
	byObjective := silentObjectiveShare * float64(w.objective(expectedRun))
	byPace := silentPaces * w.pace * float64(expectedRun)
	return time.Duration(max(byObjective, byPace))
}

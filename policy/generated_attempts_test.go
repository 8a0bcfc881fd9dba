package policy_test

import (
	"cmp"
	"math"
	"time"

	"bankledge/decision"
)

// startAttempt runs an attempt on its engine and schedules its progress messages and its outcome.
func (s *generatedSite) startAttempt(a decision.StartAttempt) {
	statement, engine := s.open[a.Statement], s.engines[a.Engine]
	key := attemptKey{a.Statement, decision.AttemptID(statement.attempts)}
	statement.attempts++
	workload := s.moduleSettings.Workloads[statement.event.Workload]
	threads := float64(max(1, workload.Threads))
	s.attempts[key] = &generatedAttempt{engine: engine, threads: threads}
	engine.running++
	work := cmp.Or(statement.event.EstimatedWork, workload.LatencyObjective/4)
	run := time.Duration(s.logUniform(0.5, 2) * float64(work) / threads * (1 + float64(engine.running)*threads/engine.cores/2))
	outcome, after := s.outcome(engine, run)
	if a.StartBefore > 0 && s.now+after > a.StartBefore && s.chance(0.3) {
		outcome = decision.NotSent
	}
	s.scheduleProgress(key, statement, after)
	if outcome == decision.Completed && s.chance(0.3) {
		s.schedule(after*9/10, func() []decision.Event {
			if s.attempts[key] == nil || s.open[key.statement] == nil {
				return nil
			}
			return []decision.Event{decision.ResponseStarted{
				Statement: key.statement,
				Attempt:   key.attempt,
				Engine:    engine.entry.Engine,
				Elapsed:   after,
			}}
		})
	}
	s.schedule(after, func() []decision.Event { return s.end(key, outcome) })
}

// outcome draws the outcome of an attempt and the time until it ends.
func (s *generatedSite) outcome(engine *generatedEngine, run time.Duration) (decision.Outcome, time.Duration) {
	kind := engine.fault
	if s.chance(0.01) {
		kind = fault(s.random.IntN(int(numFaults)))
	}
	switch kind {
	case slow:
		return decision.Completed, run * time.Duration(5+s.random.IntN(30))
	case silent:
		return decision.TimedOut, s.between(8*time.Second, 20*time.Second)
	case failing:
		return decision.Errored, s.between(ms, 5*ms)
	case refusing:
		return decision.ConnectFailed, s.between(ms, 250*ms)
	case full:
		return decision.Overloaded, s.between(ms, 5*ms)
	case resetting:
		return decision.ConnectionReset, s.between(0, run)
	case flaky:
		if s.chance(0.6) {
			return decision.Errored, run / 2
		}
	}
	return decision.Completed, run
}

// scheduleProgress schedules the progress messages of a running attempt, if engines send any.
func (s *generatedSite) scheduleProgress(key attemptKey, statement *generatedStatement, run time.Duration) {
	every := s.moduleSettings.Engines.ProgressInterval
	if every == 0 || s.attempts[key].engine.fault == silent {
		return
	}
	schedule := func(after time.Duration, kind decision.ProgressKind, value float64) {
		s.schedule(after, func() []decision.Event {
			attempt := s.attempts[key]
			if attempt == nil {
				return nil
			}
			return []decision.Event{decision.AttemptProgress{Statement: key.statement, Attempt: key.attempt,
				Engine: attempt.engine.entry.Engine, Kind: kind, Value: value}}
		})
	}
	done := s.logUniform(0.7, 1) // progress is seldom linear
	if s.chance(0.05) {
		done = 0.05
	}
	for at := every; at < run; at += every {
		schedule(at, decision.ProgressShareDone, done*float64(at)/float64(run))
	}
	if s.chance(0.15) {
		schedule(s.between(0, run), decision.ProgressSpilling, s.logUniform(10, 500))
	}
	if s.chance(0.05) {
		schedule(s.between(0, run), decision.ProgressWaiting, float64(1+s.random.IntN(2)))
	}
}

// end ends an attempt with an outcome, unless it has already ended.
func (s *generatedSite) end(key attemptKey, outcome decision.Outcome) []decision.Event {
	attempt := s.attempts[key]
	if attempt == nil {
		return nil
	}
	delete(s.attempts, key)
	engine := attempt.engine
	engine.running--
	event := decision.AttemptEnded{Statement: key.statement, Attempt: key.attempt, Engine: engine.entry.Engine,
		Outcome: outcome, Elapsed: s.between(ms, time.Second), Cost: 1}
	if outcome == decision.Completed && s.open[key.statement] != nil {
		event.StatementFinished = true
		delete(s.open, key.statement)
	}
	answered := outcome == decision.Completed || outcome == decision.Errored
	if answered && s.moduleSettings.LoadReports.Source == decision.LoadReportsInResponses && s.chance(0.8) {
		event.Report = s.report(engine)
	}
	return []decision.Event{event}
}

func (s *generatedSite) checkHealth(id decision.EngineID) {
	engine := s.engines[id]
	s.schedule(s.between(ms, 40*ms), func() []decision.Event {
		event := decision.HealthCheckEnded{Engine: id, Outcome: decision.Completed, Elapsed: ms}
		switch {
		case engine.fault == refusing:
			event.Outcome = decision.ConnectFailed
		case engine.fault == silent || s.chance(0.02):
			event.Outcome = decision.TimedOut
		default:
			event.Report = s.report(engine)
		}
		return []decision.Event{event}
	})
}

// report returns a load report with the fields of the settings, of which some are missing at random.
func (s *generatedSite) report(engine *generatedEngine) *decision.LoadReport {
	report := &decision.LoadReport{}
	for _, field := range s.moduleSettings.LoadReports.Fields {
		if s.chance(0.03) {
			continue
		}
		inFlight := float64(engine.running) + engine.others
		value := 0.0
		switch field {
		case decision.FieldInFlight:
			value = math.Floor(inFlight * s.logUniform(0.9, 1.1))
		case decision.FieldQueueDepth:
			value = math.Floor(max(0, inFlight-engine.cores) / 2)
		case decision.FieldUtilization:
			value = min(1, inFlight/engine.cores*s.logUniform(0.8, 1.2))
		}
		report.Set(field, value)
	}
	return report
}

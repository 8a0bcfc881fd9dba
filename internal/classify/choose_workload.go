package classify

import (
	"math"
	"time"

	"bankledge/decision"
	"bankledge/internal/fingerprint"
	"bankledge/internal/sqltext"
)

const (
	// minFingerprintRuns is how many runs of a fingerprint, under all labels, are needed to choose a workload by them.
	minFingerprintRuns = 12
	// maxRunTimeSpread is the largest standard deviation of the logarithms of a fingerprint's run times with which the
	// run times are still used to choose a workload.
	maxRunTimeSpread = 1.3

	// minLogLikelihoodRatio is the log likelihood ratio of another workload to the declared one above which the other
	// workload is chosen. 4 is a likelihood ratio of 55 to 1.
	minLogLikelihoodRatio = 4.0
	// priorRuns reduces the weight of few runs: n runs weigh n/(n+priorRuns).
	priorRuns = 3.0
	// labelMajority is the ratio of a fingerprint's runs with another label to its runs with the declared label from which
	// most clients are assumed to use the other label.
	labelMajority = 4.0
	// maxLabelBonus is the most that is added to a workload's log likelihood ratio because other clients use its label.
	maxLabelBonus = 3.0
	// keyLookupPenalty is subtracted from the log likelihood ratio of a heavier workload if the statement selects rows by
	// a key.
	keyLookupPenalty = 3.0
	// maxLabelRuns is the largest number of runs by which the recent runs with one label are weighted.
	maxLabelRuns = 4 * fingerprint.MaxRecentRuns

	textConfidence    = 0.99 // the text contradicts the label
	writeConfidence   = 0.9  // the label of a write or a bulk load is accepted
	unknownConfidence = 0.5  // nothing is known about the statement
)

// choice is the workload that a statement is treated as, with the reason and the confidence.
type choice struct {
	workload   decision.WorkloadID
	reason     Reason
	confidence float64 // 0 to 1
}

// chooseWorkload chooses the workload that a statement is treated as: by the text if it contradicts the label or
// writes, else by the fingerprint's runs if there are enough of them, else by the structure of the text.
func (c *Classifier) chooseWorkload(now time.Duration, observation *Observation, statement *sqltext.Statement) choice {
	if chosen, certain := c.chooseByText(observation.declared, statement); certain {
		return chosen
	}
	record := observation.record
	labelRuns := record.RunTimesOf(int(observation.declared))
	if labelRuns != nil && labelRuns.Full() && record.DecayedRuns(now) >= fingerprint.MaxRecentRuns/2 {
		return c.chooseByLabelRuns(observation, labelRuns, statement)
	}
	if runs := record.DecayedRuns(now); runs >= minFingerprintRuns {
		return c.chooseByAllRuns(observation, runs, statement)
	}
	return c.chooseByStructure(observation)
}

// chooseByText chooses a workload if the text contradicts the label, and accepts the label of any other bulk load or
// write. It returns false for all other statements.
func (c *Classifier) chooseByText(declared decision.WorkloadID, statement *sqltext.Statement) (chosen choice, certain bool) {
	bulkLoad := c.workloads[declared].BulkLoad
	switch {
	case !bulkLoad && isBulkWrite(statement):
		if load, found := c.onlyBulkLoad(); found {
			return choice{load, ReasonBulkWrite, textConfidence}, true
		}
		return choice{declared, ReasonRunsMatchLabel, unknownConfidence}, true
	case bulkLoad && statement.Kind == sqltext.Select && !statement.Writes && !statement.ForUpdate:
		if _, heaviest, differ := c.readingWorkloads(); differ {
			return choice{heaviest, ReasonReadOnly, textConfidence}, true
		}
		return choice{declared, ReasonUnknownFingerprint, unknownConfidence}, true
	case bulkLoad || statement.Writes:
		return choice{declared, ReasonRunsMatchLabel, writeConfidence}, true
	}
	return choice{}, false
}

// chooseByLabelRuns chooses a workload by the fingerprint's recent runs with the declared label.
func (c *Classifier) chooseByLabelRuns(observation *Observation, labelRuns *fingerprint.RecentRunTimes, statement *sqltext.Statement) choice {
	if labelRuns.Spread() > maxRunTimeSpread {
		return choice{observation.declared, ReasonInconsistentRuns, 0}
	}
	evidence := runEvidence{
		reason: ReasonLabelRunsMatchOther,
		median: labelRuns.Median(),
		count:  float64(min(labelRuns.N(), maxLabelRuns)),
	}
	allRuns := observation.record.RunTime.N()
	if float64(labelRuns.N()) > labelMajority/(labelMajority+1)*allRuns { // more than four of five runs had this label
		evidence.median = observation.record.RunTime.Quantile(0.5)
		evidence.count = allRuns
	}
	evidence.high = max(evidence.median, labelRuns.SecondHighest())
	return c.chooseByRuns(observation, evidence, statement)
}

// chooseByAllRuns chooses a workload by the fingerprint's runs under all labels.
func (c *Classifier) chooseByAllRuns(observation *Observation, runs float64, statement *sqltext.Statement) choice {
	declared := observation.declared
	record := observation.record
	if record.RunTime.Spread() > maxRunTimeSpread {
		return choice{declared, ReasonInconsistentRuns, 0}
	}
	estimatedRunTime := observation.estimatedRunTime * math.Exp(c.workloads[declared].estimateBias())
	if record.EstimateRatio.N() >= fingerprint.MaxRecentRuns { // this fingerprint's own ratio of run time to estimate
		estimatedRunTime = observation.estimatedRunTime * math.Exp(record.EstimateRatio.Quantile(0.5))
	}
	evidence := runEvidence{
		reason:           ReasonRunsMatchOther,
		median:           record.RunTime.Quantile(0.5),
		high:             record.RunTime.Quantile(0.8),
		count:            runs,
		estimatedRunTime: estimatedRunTime,
	}
	chosen := c.chooseByRuns(observation, evidence, statement)
	if chosen.workload != declared && c.labelEvidence[declared][chosen.workload].labelsAreReliable() {
		return choice{declared, ReasonLabelMoreReliable, 0}
	}
	return chosen
}

// chooseByStructure chooses a workload by the structure of the text if the fingerprint has too few runs.
func (c *Classifier) chooseByStructure(observation *Observation) choice {
	declared := observation.declared
	suggested := observation.byStructure
	if suggested == declared {
		return choice{declared, ReasonUnknownFingerprint, unknownConfidence}
	}
	evidence := c.labelEvidence[declared][suggested]
	if evidence.labelsAreReliable() || evidence.structureMisleads() {
		return choice{declared, ReasonLabelMoreReliable, 0}
	}
	return choice{suggested, ReasonTextStructure, evidence.structureConfidence()}
}

// runEvidence summarises a fingerprint's runs. The fields median and high are natural logarithms of seconds: high is
// about the 80th percentile.
type runEvidence struct {
	reason           Reason // returned if another workload is chosen
	median, high     float64
	count            float64 // of runs
	estimatedRunTime float64 // in seconds, from the client's estimate; 0: none
}

// chooseByRuns compares a fingerprint's run times with those of each workload's fingerprints by a likelihood ratio test.
//
// A lighter workload than the declared one is chosen only if the runs with the declared label are light, or if the
// client's estimate is closer to the lighter workload too: a client gains nothing by an estimate that is too high.
// Unless most clients use the lighter label, it is compared with the high run time and not with the median, so that
// nearly all runs have to be light and not only half of them.
func (c *Classifier) chooseByRuns(observation *Observation, evidence runEvidence, statement *sqltext.Statement) choice {
	declared := observation.declared
	declaredMedian, declaredSpread, known := c.workloads[declared].runTimeStats()
	if !known {
		return choice{declared, ReasonUnknownFingerprint, unknownConfidence}
	}
	underAllLabels := evidence.reason == ReasonRunsMatchOther
	best := declared
	bestLogRatio := 0.0
	for i, w := range c.workloads {
		candidate := decision.WorkloadID(i)
		median, spread, known := w.runTimeStats()
		if w.BulkLoad || !known || candidate == declared {
			continue
		}
		lighter := median < declaredMedian
		labelRatio := runsWithLabel(observation.record, i) / runsWithLabel(observation.record, int(declared))
		runTime := evidence.median
		if lighter && labelRatio < labelMajority {
			runTime = evidence.high
		}
		if (runTime-declaredMedian)*(median-declaredMedian) <= 0 { // they lie on different sides of the declared median
			continue
		}
		if lighter && underAllLabels && evidence.estimatedRunTime > 0 && math.Log(evidence.estimatedRunTime) > (declaredMedian+median)/2 {
			continue
		}
		deviationFromDeclared := (runTime - declaredMedian) / declaredSpread
		deviationFromCandidate := (runTime - median) / spread
		logRatio := (deviationFromDeclared*deviationFromDeclared-deviationFromCandidate*deviationFromCandidate)/2 + math.Log(declaredSpread/spread)
		selectsByKey := statement.EqualityConditions > 0 && !statement.Grouped
		if median > declaredMedian && selectsByKey && underAllLabels {
			logRatio -= keyLookupPenalty
		}
		logRatio *= evidence.count / (evidence.count + priorRuns)
		if logRatio > 1 { // other clients' labels add weight only if the run times agree with them
			logRatio += min(maxLabelBonus, max(0, 2*math.Log(labelRatio)))
		}
		if logRatio > bestLogRatio {
			best = candidate
			bestLogRatio = logRatio
		}
	}
	if bestLogRatio > minLogLikelihoodRatio {
		return choice{best, evidence.reason, 1 / (1 + math.Exp(minLogLikelihoodRatio-bestLogRatio))}
	}
	return choice{declared, ReasonRunsMatchLabel, evidence.count / (evidence.count + priorRuns)}
}

// runsWithLabel returns the number of a fingerprint's runs that were declared as a workload, plus one: the result is
// used in ratios, as dividend and divisor.
func runsWithLabel(record *fingerprint.Record, workload int) float64 {
	runs := record.RunTimesOf(workload)
	if runs == nil {
		return 1
	}
	return float64(1 + runs.N())
}

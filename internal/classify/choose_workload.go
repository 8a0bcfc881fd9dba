package classify

import (
	"math"
	"time"

	"bankledge/decision"
	"bankledge/internal/fingerprint"
	"bankledge/internal/sqltext"
)

const (
	minFingerprintRuns = 12  // of a fingerprint under all labels, to decide by them
	maxRunSpread       = 1.3 // standard deviation of logarithms: runs that vary more decide nothing

	// minLikelihoodRatio is the log likelihood ratio for another workload above which it is chosen: 55 to 1.
	minLikelihoodRatio = 4.0
	// doubtRuns is added to the number of runs in the denominator, so that few runs weigh little.
	doubtRuns = 3.0
	// labelMajority is the ratio of runs with another label to runs with the declared one from which the other label prevails.
	labelMajority = 4.0
	// maxLabelRatio is the largest log likelihood ratio that the labels of most clients add.
	maxLabelRatio = 3.0
	// keyLookupDoubt is subtracted from a heavier workload's log likelihood ratio for statements that select rows by a key.
	keyLookupDoubt = 3.0
	// maxOwnRuns bounds the weight of the last runs with one label, in runs.
	maxOwnRuns = 4 * fingerprint.RecentRuns

	// The confidence if the text is certain, for writes and bulk loads, and if nothing is known.
	textConfidence    = 0.99
	writeConfidence   = 0.9
	unknownConfidence = 0.5
)

// choice is the workload that a statement is treated as, with the reason.
type choice struct {
	workload   decision.WorkloadID
	reason     Reason
	confidence float64 // 0 to 1
}

// chooseWorkload decides by the text where that is certain, then by the fingerprint's runs, then by the structure of
// the text.
func (c *Classifier) chooseWorkload(now time.Duration, observation *Observation, statement *sqltext.Statement) choice {
	if chosen, certain := c.chooseByText(observation.declared, statement); certain {
		return chosen
	}
	record := observation.record
	ownRuns := record.RunTimesOf(int(observation.declared))
	if ownRuns != nil && ownRuns.Full() && record.Runs(now) >= fingerprint.RecentRuns/2 {
		return c.chooseByOwnRuns(observation, ownRuns, statement)
	}
	if runs := record.Runs(now); runs >= minFingerprintRuns {
		return c.chooseByAllRuns(observation, runs, statement)
	}
	return c.chooseByStructure(observation)
}

// chooseByText decides about statements whose text contradicts the label, and about bulk loads and writes, whose
// label is otherwise accepted.
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

// chooseByOwnRuns decides by the fingerprint's last runs with the declared label.
func (c *Classifier) chooseByOwnRuns(observation *Observation, ownRuns *fingerprint.RecentRunTimes, statement *sqltext.Statement) choice {
	if ownRuns.Spread() > maxRunSpread {
		return choice{observation.declared, ReasonInconsistentRuns, 0}
	}
	evidence := runEvidence{
		reason: ReasonLabelRunsMatchOther,
		median: ownRuns.Median(),
		count:  float64(min(ownRuns.N(), maxOwnRuns)),
	}
	allRuns := observation.record.Run.N()
	if float64(ownRuns.N()) > labelMajority/(labelMajority+1)*allRuns { // nearly all runs had this label
		evidence.median = observation.record.Run.Quantile(0.5)
		evidence.count = allRuns
	}
	evidence.high = max(evidence.median, ownRuns.High())
	return c.chooseByRuns(observation, evidence, statement)
}

// chooseByAllRuns decides by the fingerprint's runs under all labels.
func (c *Classifier) chooseByAllRuns(observation *Observation, runs float64, statement *sqltext.Statement) choice {
	declared := observation.declared
	record := observation.record
	if record.Run.Spread() > maxRunSpread {
		return choice{declared, ReasonInconsistentRuns, 0}
	}
	claimedRun := observation.claimedRun * math.Exp(c.workloads[declared].claimBias())
	if record.Ratio.N() >= fingerprint.RecentRuns { // corrected by this fingerprint's ratio of runs to claims
		claimedRun = observation.claimedRun * math.Exp(record.Ratio.Quantile(0.5))
	}
	evidence := runEvidence{
		reason:     ReasonRunsMatchOther,
		median:     record.Run.Quantile(0.5),
		high:       record.Run.Quantile(0.8),
		count:      runs,
		claimedRun: claimedRun,
	}
	chosen := c.chooseByRuns(observation, evidence, statement)
	if chosen.workload != declared && c.labelEvidence[declared][chosen.workload].labelsAreReliable() {
		return choice{declared, ReasonLabelMoreReliable, 0}
	}
	return chosen
}

// chooseByStructure decides about a statement whose fingerprint has too few runs.
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

// runEvidence summarises a fingerprint's runs. Median and high are natural logarithms of seconds.
type runEvidence struct {
	reason       Reason // given if another workload is chosen
	median, high float64
	count        float64 // runs
	claimedRun   float64 // seconds; 0: none
}

// chooseByRuns compares a fingerprint's runs with those of the workloads' fingerprints, by likelihood. A lighter
// workload than the declared one is chosen only if the label's own runs are light, or if the claimed work is no more
// than the lighter workload's, since clients gain nothing by claiming more. Nearly all runs have to be light, not half.
func (c *Classifier) chooseByRuns(observation *Observation, evidence runEvidence, statement *sqltext.Statement) choice {
	declared := observation.declared
	declaredMedian, declaredSpread, known := c.workloads[declared].typicalRuns()
	if !known {
		return choice{declared, ReasonUnknownFingerprint, unknownConfidence}
	}
	underAllLabels := evidence.reason == ReasonRunsMatchOther
	best := declared
	bestRatio := 0.0
	for i, w := range c.workloads {
		candidate := decision.WorkloadID(i)
		median, spread, known := w.typicalRuns()
		if w.BulkLoad || !known || candidate == declared {
			continue
		}
		lighter := median < declaredMedian
		labelRatio := labelledRuns(observation.record, i) / labelledRuns(observation.record, int(declared))
		run := evidence.median
		if lighter && labelRatio < labelMajority {
			run = evidence.high
		}
		if (run-declaredMedian)*(median-declaredMedian) <= 0 { // the runs differ from the declared workload in the other direction
			continue
		}
		if lighter && underAllLabels && evidence.claimedRun > 0 && math.Log(evidence.claimedRun) > (declaredMedian+median)/2 {
			continue
		}
		fromDeclared := (run - declaredMedian) / declaredSpread
		fromCandidate := (run - median) / spread
		ratio := (fromDeclared*fromDeclared-fromCandidate*fromCandidate)/2 + math.Log(declaredSpread/spread)
		picksByKey := statement.KeyEqual > 0 && !statement.Grouped
		if median > declaredMedian && picksByKey && underAllLabels {
			ratio -= keyLookupDoubt
		}
		ratio *= evidence.count / (evidence.count + doubtRuns)
		if ratio > 1 { // the label of most clients adds weight only if the runs agree
			ratio += min(maxLabelRatio, max(0, 2*math.Log(labelRatio)))
		}
		if ratio > bestRatio {
			best = candidate
			bestRatio = ratio
		}
	}
	if bestRatio > minLikelihoodRatio {
		return choice{best, evidence.reason, 1 / (1 + math.Exp(minLikelihoodRatio-bestRatio))}
	}
	return choice{declared, ReasonRunsMatchLabel, evidence.count / (evidence.count + doubtRuns)}
}

// labelledRuns returns how many runs of a fingerprint had a workload's label, plus one.
func labelledRuns(record *fingerprint.Record, workload int) float64 {
	runs := record.RunTimesOf(workload)
	if runs == nil {
		return 1
	}
	return float64(1 + runs.N())
}

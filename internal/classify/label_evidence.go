package classify

import (
	"math"

	"bankledge/decision"
	"bankledge/internal/fingerprint"
)

const (
	// minEvidence is the number of fingerprints from which labels can be found reliable, or the structure misleading.
	minEvidence = 3

	// minLabelGap is the difference between the median logarithms of one fingerprint's run times under two labels above
	// which the two count as different.
	minLabelGap = 0.9

	// maxRefutedRatio is the ratio of refuted to confirmed fingerprints above which the structure is ignored.
	maxRefutedRatio = 0.25
)

// labelEvidence counts the fingerprints that are evidence for or against a declared workload compared with another one.
type labelEvidence struct {
	runsDiffer, runsSimilar              int // fingerprints declared as both workloads, whose run times differ by label or not
	structureConfirmed, structureRefuted int // fingerprints whose structure suggests the other workload
}

// labelsAreReliable reports whether fingerprints that are declared as both workloads mostly differ in run time by their
// label. If so, the label is not overruled by the fingerprint's runs under all labels or by the structure.
func (e labelEvidence) labelsAreReliable() bool {
	return e.runsDiffer >= minEvidence && e.runsDiffer > e.runsSimilar
}

// structureMisleads reports whether run times have refuted the workload that the structure suggests too often.
func (e labelEvidence) structureMisleads() bool {
	return e.structureRefuted >= minEvidence && float64(e.structureRefuted) > maxRefutedRatio*float64(e.structureConfirmed)
}

// structureConfidence returns the confidence in the workload that the structure suggests, from 0 to 1. Without evidence,
// it is 0.9.
func (e labelEvidence) structureConfidence() float64 {
	return float64(e.structureConfirmed+9) / float64(e.structureConfirmed+e.structureRefuted+10)
}

// recordLabelEvidence counts a fingerprint as evidence about labels and structure. The runs are its recent runs with the
// declared label.
func (c *Classifier) recordLabelEvidence(observation *Observation, record *fingerprint.Record, runs *fingerprint.RecentRunTimes) {
	declared := observation.declared
	suggested := observation.byStructure
	if suggested != declared && runs.N() == fingerprint.MaxRecentRuns { // once for each fingerprint
		c.recordStructureEvidence(declared, suggested, runs.Median())
	}
	for i := range c.workloads {
		other := decision.WorkloadID(i)
		otherRuns := record.RunTimesOf(i)
		if other == declared || otherRuns == nil || !otherRuns.Full() || record.LabelEvidenceCounted {
			continue
		}
		declaredMedian, _, known := c.workloads[declared].runTimeStats()
		otherMedian, _, otherKnown := c.workloads[other].runTimeStats()
		if !known || !otherKnown {
			continue
		}
		record.LabelEvidenceCounted = true
		gap := runs.Median() - otherRuns.Median()
		if math.Abs(gap) > minLabelGap && gap*(declaredMedian-otherMedian) > 0 {
			c.labelEvidence[declared][other].runsDiffer++
			c.labelEvidence[other][declared].runsDiffer++
		} else {
			c.labelEvidence[declared][other].runsSimilar++
			c.labelEvidence[other][declared].runsSimilar++
		}
	}
}

// recordStructureEvidence counts whether a fingerprint's median run time is closer to that of the workload that its
// structure suggests than to that of the declared workload.
func (c *Classifier) recordStructureEvidence(declared, suggested decision.WorkloadID, median float64) {
	declaredMedian, _, known := c.workloads[declared].runTimeStats()
	suggestedMedian, _, suggestedKnown := c.workloads[suggested].runTimeStats()
	if !known || !suggestedKnown {
		return
	}
	if math.Abs(median-suggestedMedian) < math.Abs(median-declaredMedian) {
		c.labelEvidence[declared][suggested].structureConfirmed++
	} else {
		c.labelEvidence[declared][suggested].structureRefuted++
	}
}

package classify

import (
	"math"

	"bankledge/decision"
	"bankledge/internal/fingerprint"
)

const (
	// minEvidence is how many fingerprints it takes to find that labels are reliable, or that structure misleads.
	minEvidence = 3

	// minLabelGap is the difference between the median logarithms of one fingerprint's runs under two labels above which
	// the labels run apart.
	minLabelGap = 0.9

	// maxRefutedShare is the share of refuted fingerprints over confirmed ones above which structure is ignored.
	maxRefutedShare = 0.25
)

// labelEvidence counts the fingerprints that speak for or against a declared workload compared with another one.
type labelEvidence struct {
	runsApart, runsAlike                 int // fingerprints that both labels use
	structureConfirmed, structureRefuted int // fingerprints whose structure suggests the other workload
}

// labelsAreReliable reports whether one fingerprint's runs under two labels mostly differ as the labels do; then neither
// fingerprint nor structure overrules a label.
func (e labelEvidence) labelsAreReliable() bool {
	return e.runsApart >= minEvidence && e.runsApart > e.runsAlike
}

// structureMisleads reports whether runs have refuted the workload that the structure suggests.
func (e labelEvidence) structureMisleads() bool {
	return e.structureRefuted >= minEvidence && float64(e.structureRefuted) > maxRefutedShare*float64(e.structureConfirmed)
}

// structureConfidence returns the confidence in the workload that the structure suggests, from 0 to 1.
func (e labelEvidence) structureConfidence() float64 {
	return float64(e.structureConfirmed+9) / float64(e.structureConfirmed+e.structureRefuted+10)
}

// recordLabelEvidence counts a fingerprint with enough runs as evidence about labels and structure.
func (c *Classifier) recordLabelEvidence(observation *Observation, record *fingerprint.Record, runs *fingerprint.RecentRunTimes) {
	declared := observation.declared
	suggested := observation.byStructure
	if suggested != declared && runs.N() == fingerprint.RecentRuns { // once for each fingerprint
		c.recordStructureEvidence(declared, suggested, runs.Median())
	}
	for i := range c.workloads {
		other := decision.WorkloadID(i)
		otherRuns := record.RunTimesOf(i)
		if other == declared || otherRuns == nil || !otherRuns.Full() || record.LabelCounted {
			continue
		}
		declaredMedian, _, known := c.workloads[declared].typicalRuns()
		otherMedian, _, otherKnown := c.workloads[other].typicalRuns()
		if !known || !otherKnown {
			continue
		}
		record.LabelCounted = true
		gap := runs.Median() - otherRuns.Median()
		if math.Abs(gap) > minLabelGap && gap*(declaredMedian-otherMedian) > 0 {
			c.labelEvidence[declared][other].runsApart++
			c.labelEvidence[other][declared].runsApart++
		} else {
			c.labelEvidence[declared][other].runsAlike++
			c.labelEvidence[other][declared].runsAlike++
		}
	}
}

// recordStructureEvidence counts whether a fingerprint runs like the workload that its structure suggests.
func (c *Classifier) recordStructureEvidence(declared, suggested decision.WorkloadID, median float64) {
	declaredMedian, _, known := c.workloads[declared].typicalRuns()
	suggestedMedian, _, suggestedKnown := c.workloads[suggested].typicalRuns()
	if !known || !suggestedKnown {
		return
	}
	if math.Abs(median-suggestedMedian) < math.Abs(median-declaredMedian) {
		c.labelEvidence[declared][suggested].structureConfirmed++
	} else {
		c.labelEvidence[declared][suggested].structureRefuted++
	}
}

// Package classify decides how a statement is treated: as which workload, its expected work and memory, and the table
// groups that it names. It weighs the declared workload (the label), the structure of the text (package sqltext) and how
// statements with the same fingerprint have run (package fingerprint).
//
// Classify is called for a statement that arrives, and RecordEnd when an attempt of it has ended. The package is pure: no
// I/O, no clock, no goroutines. It rejects nothing and loosens no rule: effect, order, placement, timeout and quotas stay
// those of the declared workload, but a statement that writes is not idempotent under any label.
//
// It learns only from ends of attempts, not from claims such as an estimate. Taking a light statement for a heavy one
// delays that statement; taking a heavy one for a light one stalls an engine for all clients. So the label stands in
// case of doubt, and only statements with a history of light runs are treated as lighter than declared.
package classify

import (
	"slices"
	"time"

	"bankledge/decision"
	"bankledge/internal/fingerprint"
	"bankledge/internal/sqltext"
)

// Classification is how a statement is treated. Work and MemoryMB are 0 where the declared figure stands.
type Classification struct {
	Workload     decision.WorkloadID
	Reason       Reason
	Confidence   float64       // 0 to 1, that Workload is right
	Work         time.Duration // on one thread
	MemoryMB     float64
	Writes       bool // also if the label is a reading workload's
	Tables       decision.TableGroup
	LockedTables decision.TableGroup   // written; NoGroup: none
	OtherTables  []decision.TableGroup // named beside Tables
}

// Observation is the input of RecordEnd about a statement that was classified.
type Observation struct {
	fingerprint uint64
	record      *fingerprint.Record // nil: none was found
	declared    decision.WorkloadID
	treatedAs   decision.WorkloadID
	byStructure decision.WorkloadID // what the structure alone suggests; the declared one if nothing
	expectedRun float64             // seconds, as engines run now
	estimate    float64             // seconds on one thread, as declared; 0: none
	claimedRun  float64             // seconds, the run that follows from the estimate
	memoryMB    float64             // as declared
}

// Reclassification is a change of workload.
type Reclassification struct {
	Declared, TreatedAs decision.WorkloadID
}

// Counts are the numbers of decisions since the start.
type Counts struct {
	Hits, Misses        int64 // fingerprints known and unknown
	ByReason            [NumReasons]int64
	Reclassified        map[Reclassification]int64
	ChangedFingerprints int64 // fingerprints whose behaviour has changed
}

// Classifier classifies statements and learns from their ends. It is not safe for concurrent use.
type Classifier struct {
	workloads     []*workload
	labelEvidence [][]labelEvidence // by declared workload and another one
	fingerprints  *fingerprint.Cache
	counts        Counts
}

// New returns a classifier for workloads whose records of fingerprints use at most fingerprintBytes of memory.
func New(workloads []decision.Workload, fingerprintBytes int64) *Classifier {
	c := &Classifier{
		fingerprints: fingerprint.NewCache(fingerprintBytes),
		counts:       Counts{Reclassified: map[Reclassification]int64{}},
	}
	for _, declared := range workloads {
		c.workloads = append(c.workloads, newWorkload(declared))
		c.labelEvidence = append(c.labelEvidence, make([]labelEvidence, len(workloads)))
	}
	return c
}

// Counts returns the counts so far.
func (c *Classifier) Counts() Counts {
	counts := c.counts
	counts.Hits, counts.Misses = c.fingerprints.Counts()
	return counts
}

// Classify classifies a statement that arrives now, declared as a workload with estimates of its work on one thread and
// of its memory (0: none). It fills in the observation, for RecordEnd.
func (c *Classifier) Classify(now time.Duration, declared decision.WorkloadID, estimate time.Duration, memoryMB float64,
	statement *sqltext.Statement, observation *Observation) Classification {
	classified := Classification{
		Writes:       statement.Writes,
		Tables:       decision.TableGroup(statement.PrimaryGroup()),
		LockedTables: decision.TableGroup(statement.LockedGroup()),
	}
	classified.OtherTables = otherTables(statement, classified.Tables)
	*observation = Observation{
		fingerprint: statement.Fingerprint,
		declared:    declared,
		memoryMB:    memoryMB,
		estimate:    estimate.Seconds(),
		claimedRun:  estimate.Seconds() / c.workloads[declared].threads,
		byStructure: c.workloadByStructure(declared, statement),
	}
	if statement.Fingerprint != 0 {
		observation.record = c.fingerprints.Lookup(statement.Fingerprint)
	}
	chosen := choice{workload: declared, reason: ReasonTextTooLarge}
	if !statement.Truncated {
		chosen = c.chooseWorkload(now, observation, statement)
	}
	classified.Workload = chosen.workload
	classified.Reason = chosen.reason
	classified.Confidence = chosen.confidence
	observation.treatedAs = chosen.workload
	observation.claimedRun = observation.estimate / c.workloads[chosen.workload].threads
	classified.Work = c.expectedWork(now, observation)
	classified.MemoryMB = c.expectedMemory(observation)
	c.count(chosen, declared)
	return classified
}

func (c *Classifier) count(chosen choice, declared decision.WorkloadID) {
	c.counts.ByReason[chosen.reason]++
	if chosen.workload != declared {
		c.counts.Reclassified[Reclassification{Declared: declared, TreatedAs: chosen.workload}]++
	}
}

// otherTables returns the table groups that a statement names beside its primary one, the written ones first.
func otherTables(statement *sqltext.Statement, primary decision.TableGroup) []decision.TableGroup {
	var others []decision.TableGroup
	for _, groups := range []*sqltext.Groups{&statement.Written, &statement.Read} {
		for _, number := range groups.Slice() {
			group := decision.TableGroup(number)
			if group != primary && !slices.Contains(others, group) {
				others = append(others, group)
			}
		}
	}
	return others
}

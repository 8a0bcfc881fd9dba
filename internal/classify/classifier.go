// Package classify determines the workload that a statement is treated as, its expected work and memory, and the table
// groups that it names. It combines the declared workload (the label), the structure of the text (package sqltext) and
// the run times of earlier statements with the same fingerprint (package fingerprint).
//
// The router calls Classify when a statement arrives, and RecordEnd when one of its attempts has ended. The package does
// no I/O, reads no clock and starts no goroutines. It rejects no statement and relaxes no rule: effect, order, placement,
// timeout and quotas remain those of the declared workload, except that a statement that writes is never idempotent,
// whatever its label.
//
// The statistics are updated only when attempts end, never by what clients declare, such as estimates. A light statement
// that is treated as heavy is itself delayed; a heavy one that is treated as light stalls an engine for all clients.
// Therefore the label is kept if the evidence is weak, and a statement is treated as lighter than declared only if its
// fingerprint has a history of light runs.
package classify

import (
	"slices"
	"time"

	"bankledge/decision"
	"bankledge/internal/fingerprint"
	"bankledge/internal/sqltext"
)

// Classification describes how a statement is treated. If Work or MemoryMB is 0, the declared value applies.
type Classification struct {
	Workload          decision.WorkloadID
	Reason            Reason
	Confidence        float64               // that Workload is right, 0 to 1
	Work              time.Duration         // expected execution time on one thread
	MemoryMB          float64               // expected memory
	Writes            bool                  // by the text, whatever the label is
	PrimaryTableGroup decision.TableGroup   // the primary table group; sqltext.NoGroup: none
	LockedTableGroup  decision.TableGroup   // written by the statement; sqltext.NoGroup: none
	OtherTableGroups  []decision.TableGroup // named in addition to PrimaryTableGroup
}

// Observation holds what RecordEnd needs to know about a statement that was classified.
type Observation struct {
	fingerprint      uint64
	record           *fingerprint.Record // nil if the fingerprint has none
	declared         decision.WorkloadID
	treatedAs        decision.WorkloadID
	byStructure      decision.WorkloadID // the workload that the structure of the text suggests, or the declared one
	expectedRunTime  float64             // in seconds, including the delay that slow engines add
	estimate         float64             // declared work in seconds on one thread; 0: none
	estimatedRunTime float64             // in seconds, the estimate divided by the workload's threads
	memoryMB         float64             // declared memory
}

// Reclassification is a pair of workloads: the declared one, and the one that a statement is treated as instead.
type Reclassification struct {
	Declared, TreatedAs decision.WorkloadID
}

// Counts holds the numbers of classifications since the classifier was created.
type Counts struct {
	Hits, Misses        int64 // lookups of fingerprints with and without a record
	ByReason            [NumReasons]int64
	Reclassified        map[Reclassification]int64
	ChangedFingerprints int64 // how often a fingerprint's run times were found to have changed
}

// Classifier classifies statements and updates its statistics when their attempts end. It is not safe for concurrent use.
type Classifier struct {
	workloads     []*workload
	labelEvidence [][]labelEvidence // by declared workload, then by the workload that it is compared with
	fingerprints  *fingerprint.Cache
	counts        Counts
}

// New returns a classifier for the given workloads. Its fingerprint records use about fingerprintBytes of memory at most.
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

// Counts returns the current counts; the map in them is the classifier's own.
func (c *Classifier) Counts() Counts {
	counts := c.counts
	counts.Hits, counts.Misses = c.fingerprints.Counts()
	return counts
}

// Classify classifies a statement that arrives now. The client declares its workload and estimates its work on one
// thread and its memory (0: no estimate). Classify overwrites the observation, which the caller passes to RecordEnd.
func (c *Classifier) Classify(now time.Duration, declared decision.WorkloadID, estimate time.Duration, memoryMB float64,
	statement *sqltext.Statement, observation *Observation) Classification {
	classified := Classification{
		Writes:            statement.Writes,
		PrimaryTableGroup: decision.TableGroup(statement.PrimaryGroup()),
		LockedTableGroup:  decision.TableGroup(statement.LockedGroup()),
	}
	classified.OtherTableGroups = otherTableGroups(statement, classified.PrimaryTableGroup)
	*observation = Observation{
		fingerprint:      statement.Fingerprint,
		declared:         declared,
		memoryMB:         memoryMB,
		estimate:         estimate.Seconds(),
		estimatedRunTime: estimate.Seconds() / c.workloads[declared].threads,
		byStructure:      c.workloadByStructure(declared, statement),
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
	observation.estimatedRunTime = observation.estimate / c.workloads[chosen.workload].threads
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

// otherTableGroups returns the table groups that a statement names in addition to its primary one, the written ones first.
func otherTableGroups(statement *sqltext.Statement, primary decision.TableGroup) []decision.TableGroup {
	var others []decision.TableGroup
	for _, groups := range []*sqltext.Groups{&statement.GroupsWritten, &statement.GroupsRead} {
		for _, number := range groups.Slice() {
			group := decision.TableGroup(number)
			if group != primary && !slices.Contains(others, group) {
				others = append(others, group)
			}
		}
	}
	return others
}

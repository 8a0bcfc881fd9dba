package policy

import (
	"maps"
	"math"
	"slices"

	"bankledge/decision"
)

const (
	// recentTableGroups is the number of table groups, those sent last, that an engine is assumed to have in its
	// caches.
	recentTableGroups = 4
	// trafficDecay is the factor by which each arrival reduces the earlier counts by table group.
	trafficDecay = 0.999
	// maxTableGroups limits the number of table groups tracked, since clients may name any number of them.
	maxTableGroups = 4096
)

// tableTraffic counts statements by table group. Each statement of any group decays all earlier counts.
type tableTraffic struct {
	decay     float64
	maxGroups int // approximate limit; 0: none
	total     float64
	sequence  int // number of statements counted
	groups    map[decision.TableGroup]decayingCount
}

// decayingCount is a count, and the sequence number of the statement up to which it has been decayed.
type decayingCount struct {
	value    float64
	sequence int
}

// count counts a statement of the table group.
func (t *tableTraffic) count(tables decision.TableGroup) {
	if t.groups == nil {
		t.groups = map[decision.TableGroup]decayingCount{}
	}
	t.sequence++
	t.total = t.total*t.decay + 1
	t.groups[tables] = decayingCount{value: t.decayedCount(tables) + 1, sequence: t.sequence}
	if t.maxGroups > 0 && len(t.groups) > t.maxGroups {
		t.evictRare(tables)
	}
}

// evictRare removes the groups whose count is at most the mean, except keep: they account for the least traffic.
func (t *tableTraffic) evictRare(keep decision.TableGroup) {
	mean := t.total / float64(len(t.groups))
	maps.DeleteFunc(t.groups, func(tables decision.TableGroup, _ decayingCount) bool {
		return tables != keep && t.decayedCount(tables) <= mean
	})
}

// decayedCount returns the table group's current count.
func (t *tableTraffic) decayedCount(tables decision.TableGroup) float64 {
	c := t.groups[tables]
	return c.value * math.Pow(t.decay, float64(t.sequence-c.sequence))
}

// servedRecently reports whether the table group is one of the last few sent to the engine.
func (e *engine) servedRecently(tables decision.TableGroup) bool {
	return slices.Contains(e.recentTables, tables)
}

// touch records the table group as the last one sent to the engine, and keeps the last few.
func (e *engine) touch(tables decision.TableGroup, keep int) {
	e.recentTables = slices.DeleteFunc(e.recentTables, func(t decision.TableGroup) bool { return t == tables })
	e.recentTables = append(e.recentTables, tables)
	if len(e.recentTables) > keep {
		e.recentTables = e.recentTables[1:]
	}
}

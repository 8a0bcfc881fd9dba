package policy

import (
	"maps"
	"math"
	"slices"

	"bankledge/decision"
)

const (
	// recentTableGroups is how many table groups sent last an engine is taken to have in its caches.
	recentTableGroups = 4
	// trafficDecay is what an arrival leaves of each earlier one in the counts by table group.
	trafficDecay = 0.999
	// maxTableGroups limits the table groups that are remembered, whatever clients name.
	maxTableGroups = 4096
)

// tableTraffic counts statements by table group; every count decays at each statement of any group.
type tableTraffic struct {
	decay     float64
	maxGroups int // about; 0: any number
	total     float64
	sequence  int // statements counted
	groups    map[decision.TableGroup]decayingCount
}

// decayingCount is a count as it was when so many statements had been counted.
type decayingCount struct {
	value    float64
	sequence int
}

// count adds a statement.
func (t *tableTraffic) count(tables decision.TableGroup) {
	if t.groups == nil {
		t.groups = map[decision.TableGroup]decayingCount{}
	}
	t.sequence++
	t.total = t.total*t.decay + 1
	t.groups[tables] = decayingCount{value: t.of(tables) + 1, sequence: t.sequence}
	if t.maxGroups > 0 && len(t.groups) > t.maxGroups {
		t.forgetRare(tables)
	}
}

// forgetRare drops the groups up to the mean count, which say least, but for one.
func (t *tableTraffic) forgetRare(keep decision.TableGroup) {
	mean := t.total / float64(len(t.groups))
	maps.DeleteFunc(t.groups, func(tables decision.TableGroup, _ decayingCount) bool {
		return tables != keep && t.of(tables) <= mean
	})
}

// of is the decayed count of a table group's statements.
func (t *tableTraffic) of(tables decision.TableGroup) float64 {
	c := t.groups[tables]
	return c.value * math.Pow(t.decay, float64(t.sequence-c.sequence))
}

// servedRecently reports whether the table group is among those sent to the engine last.
func (e *engine) servedRecently(tables decision.TableGroup) bool {
	return slices.Contains(e.recentTables, tables)
}

// touch makes the table group the last one sent to the engine, and keeps the last few.
func (e *engine) touch(tables decision.TableGroup, keep int) {
	e.recentTables = slices.DeleteFunc(e.recentTables, func(t decision.TableGroup) bool { return t == tables })
	e.recentTables = append(e.recentTables, tables)
	if len(e.recentTables) > keep {
		e.recentTables = e.recentTables[1:]
	}
}

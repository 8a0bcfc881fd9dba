package configregister

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/configversion"
	"bankledge/internal/rules"
)

// fixture is a register to which tests apply entries.
type fixture struct {
	Register
	t *testing.T
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return &fixture{t: t, Register: Register{Guards: configversion.Guards{MaxRemovedShare: 0.5}}}
}

func (f *fixture) apply(entry Entry) Outcome {
	f.t.Helper()
	raw, err := json.Marshal(entry)
	require.NoError(f.t, err)
	outcome, _ := f.Apply(raw)
	return outcome
}

// propose proposes rules that differ only in SlowStartMultiple.
func (f *fixture) propose(id string, slowStartMultiple float64, forced ...string) Outcome {
	f.t.Helper()
	r := &rules.Rules{Routers: 3, SlowStartMultiple: slowStartMultiple, SlowStartShare: 0.3, HealthChecksPerStatement: 2}
	require.NoError(f.t, r.Validate())
	return f.apply(Entry{Kind: EntryPropose, ID: id, Rules: r.Canonical(), ForcedGuards: forced})
}

func (f *fixture) activateUpTo(number uint64) { f.apply(Entry{Kind: EntryActivate, Number: number}) }

func TestRegisterIsBootstrappedOnce(t *testing.T) {
	f := newFixture(t)
	assert.Contains(t, f.propose("before bootstrap", 2).Error, "not founded")
	f.apply(Entry{Kind: EntryBootstrap, Lineage: "l"})
	f.apply(Entry{Kind: EntryBootstrap, Lineage: "m"})
	assert.Equal(t, "l", f.Lineage)
}

func TestRegister(t *testing.T) {
	f := newFixture(t)
	f.apply(Entry{Kind: EntryBootstrap, Lineage: "l"})
	assert.Equal(t, uint64(1), f.propose("a", 2).Number)
	assert.Contains(t, f.propose("b", 3).Error, ErrRolloutInProgress.Error())

	f.activateUpTo(9)
	assert.Zero(t, f.Activated, "only a committed version can be activated")
	f.activateUpTo(1)
	assert.Equal(t, uint64(2), f.propose("b", 3).Number, "a proposal that was rejected during a rollout can be sent again")
	assert.Equal(t, uint64(2), f.propose("b", 3).Number, "a duplicate proposal is applied once")
	assert.Len(t, f.Versions, 2)

	assert.Len(t, f.UpdatesAfter(0), 2)
	assert.Len(t, f.UpdatesAfter(1), 1)
	f.activateUpTo(2)
	assert.Len(t, f.UpdatesAfter(0), 1, "a router that knows no version needs only the activated one")

	assert.Contains(t, f.propose("c", 1).Error, configversion.GuardFloor)
	assert.Contains(t, f.propose("same", 3).Error, "nothing differs")
	assert.Contains(t, f.propose("d", 3, "any").Error, "no guard")
	assert.Equal(t, uint64(3), f.propose("e", 1, configversion.GuardFloor).Number)
}

func TestRegisterRollsBack(t *testing.T) {
	f := newFixture(t)
	f.apply(Entry{Kind: EntryBootstrap, Lineage: "l"})
	for i, multiple := range []float64{2, 3, 1} {
		number := uint64(i + 1)
		require.Equal(t, number, f.propose(string(rune('a'+i)), multiple, configversion.GuardFloor).Number)
		f.activateUpTo(number)
	}
	assert.Equal(t, uint64(4), f.apply(Entry{Kind: EntryRollback, ID: "f", Number: 2}).Number)
	assert.Equal(t, 3.0, f.Newest().Rules.SlowStartMultiple)
	assert.Contains(t, f.apply(Entry{Kind: EntryRollback, ID: "g", Number: 77}).Error, ErrRolloutInProgress.Error())
	f.activateUpTo(4)
	assert.Contains(t, f.apply(Entry{Kind: EntryRollback, ID: "h", Number: 77}).Error, "not kept")
}

func TestRegisterClone(t *testing.T) {
	f := newFixture(t)
	f.apply(Entry{Kind: EntryBootstrap, Lineage: "l"})
	f.propose("a", 2)
	before := f.Snapshot()
	clone := f.Clone()
	f.activateUpTo(1)
	f.propose("b", 3)
	assert.Equal(t, string(before), string(clone.Snapshot()))
}

func TestRegisterSnapshots(t *testing.T) {
	f := newFixture(t)
	f.apply(Entry{Kind: EntryBootstrap, Lineage: "l"})
	f.propose("a", 2)
	f.activateUpTo(1)
	f.propose("b", 3)
	var restored Register
	require.NoError(t, restored.Restore(f.Snapshot()))
	assert.Equal(t, f.Newest().Hash, restored.Newest().Hash)
	assert.Equal(t, f.Outcomes, restored.Outcomes)
	assert.ErrorContains(t, restored.Restore([]byte("{")), "snapshot")
}

func TestRegisterSkipsUnreadableEntries(t *testing.T) {
	f := newFixture(t)
	_, proposed := f.Apply([]byte("{"))
	assert.False(t, proposed)
}

package replica

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/configregister"
	"bankledge/internal/consensus/store"
	"bankledge/internal/lease"
	"bankledge/internal/rules"
)

// openNewGroup opens a new group of processes with empty folders, one for each share. A process has its share as MaxRemovedShare, which the
// settings file calls most_gone.
func openNewGroup(t *testing.T, shares ...float64) *storedGroup {
	t.Helper()
	g := &storedGroup{t: t, folders: map[uint64]string{}, initial: map[uint64]Member{}, maxRemovedShares: map[uint64]float64{}}
	for i, share := range shares {
		id := uint64(i + 1)
		g.folders[id] = t.TempDir()
		g.initial[id] = Member{Peer: fmt.Sprint("p", id), Client: fmt.Sprint("c", id), Voter: true}
		g.maxRemovedShares[id] = share
	}
	g.open()
	return g
}

// proposeEngines proposes rules with a number of active engines to the leader, and returns the outcome.
func (g *storedGroup) proposeEngines(id string, engines int) configregister.Outcome {
	g.t.Helper()
	r := &rules.Rules{Routers: 2, SlowStartMultiple: 3, Engines: map[string]rules.Engine{}}
	for i := range engines {
		r.Engines[fmt.Sprint("e", i)] = rules.Engine{Phase: rules.Active, Address: fmt.Sprint("h:", i+1)}
	}
	require.NoError(g.t, r.Validate())
	g.outcomes = nil
	entry := configregister.Entry{Kind: configregister.EntryPropose, ID: id, Rules: r.Canonical()}
	g.step(g.leader(), LeaseRequest{Event: lease.ProposalReceived{CallID: 1, Entry: entry}})
	g.runUntil(func() bool { return len(g.outcomes) > 0 })
	return g.outcomes[0]
}

// removeThreeOfEight commits a version with eight engines, and proposes one with five. It returns the outcome of that proposal once all processes
// have applied it.
func (g *storedGroup) removeThreeOfEight() configregister.Outcome {
	g.t.Helper()
	g.runUntil(func() bool { return g.leader() != 0 })
	require.Equal(g.t, uint64(1), g.proposeEngines("eight", 8).Number)
	g.runUntil(func() bool { return g.allActivated(1) })
	outcome := g.proposeEngines("five", 5)
	g.runUntil(func() bool { return g.allActivated(outcome.Number) && g.allApplied() })
	return outcome
}

// allApplied reports whether all processes have applied the same entries.
func (g *storedGroup) allApplied() bool {
	for _, replica := range g.replicas {
		if replica.node.AppliedIndex() != g.replicas[1].node.AppliedIndex() {
			return false
		}
	}
	return true
}

// assertSameRegister checks that all processes have the same versions and outcomes.
func (g *storedGroup) assertSameRegister() {
	g.t.Helper()
	for id, replica := range g.replicas {
		assert.Equal(g.t, g.replicas[1].Register().Versions, replica.Register().Versions, "process %d", id)
		assert.Equal(g.t, g.replicas[1].Register().Outcomes, replica.Register().Outcomes, "process %d", id)
	}
}

// While a change of most_gone is rolled out, the processes of a group have different shares. Each process applied a committed proposal with
// its own share, so the same log resulted in different registers: newest version 2 with a share of 0.5, and 1 with a share of 0.1.
func TestProcessesWithDifferentShares(t *testing.T) {
	for _, shares := range [][]float64{{0.5, 0.1, 0.5}, {0.1, 0.5, 0.5}, {0.5, 0.5, 0.1}, {0.1, 0.1, 0.5}} {
		t.Run(fmt.Sprint(shares), func(t *testing.T) {
			g := openNewGroup(t, shares...)
			defer g.close()
			outcome := g.removeThreeOfEight()
			g.assertSameRegister()
			if share := shares[g.leader()-1]; share < 3.0/8 {
				assert.Contains(t, outcome.Error, "3 of 8 active engines go at once, over a share of 0.1", "the proposal is checked with the leader's share")
			} else {
				assert.Equal(t, uint64(2), outcome.Number)
			}
		})
	}
}

// A process that is restarted with another share has the same versions as before, whether it replays its log or starts from a snapshot. A
// replay applied the old proposals with the new share (newest version 1), a snapshot with the share stored in it (newest version 2).
func TestRestartWithAnotherShare(t *testing.T) {
	for _, c := range []struct {
		name                   string
		before, after          float64
		withSnapshot, accepted bool
	}{
		{"replay, smaller share", 0.5, 0.1, false, true},
		{"replay, larger share", 0.1, 0.5, false, false},
		{"snapshot, smaller share", 0.5, 0.1, true, true},
		{"snapshot, larger share", 0.1, 0.5, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := openNewGroup(t, c.before)
			if c.withSnapshot {
				g.compactionInterval = 3
				g.close()
				g.open()
			}
			newest := uint64(1)
			if g.removeThreeOfEight().Error == "" {
				newest = 2
			}
			assert.Equal(t, c.accepted, newest == 2)
			g.close()

			g.maxRemovedShares[1] = c.after
			g.open()
			g.runUntil(func() bool { return g.leader() != 0 && g.allActivated(newest) })
			assert.Equal(t, newest, g.replicas[1].Register().NewestNumber())
			if newest == 2 {
				require.Equal(t, uint64(3), g.proposeEngines("eight again", 8).Number)
				g.runUntil(func() bool { return g.allActivated(3) })
			}
			again := g.proposeEngines("five again", 5)
			assert.Equal(t, c.after < 3.0/8, again.Error != "", "new proposals are checked with the new share: %s", again.Error)
			g.close()
		})
	}
}

// storeInEarlierFormat copies a process's stored state to a new folder, with entries in the format of earlier versions of this program: without
// a share.
func (g *storedGroup) storeInEarlierFormat(id uint64) {
	g.t.Helper()
	disk, err := store.Open(g.folders[id], id)
	require.NoError(g.t, err)
	stored, err := disk.Load()
	require.NoError(g.t, err)
	require.NoError(g.t, disk.Close())
	for _, entry := range stored.Entries {
		var written configregister.LogEntry
		if json.Unmarshal(entry.GetData(), &written) != nil {
			continue // a leader's first entry, or a membership change
		}
		earlier, err := json.Marshal(written.Entry)
		require.NoError(g.t, err)
		require.NotContains(g.t, string(earlier), "most_gone")
		entry.Data = earlier
	}
	g.folders[id] = g.t.TempDir()
	disk, err = store.Open(g.folders[id], id)
	require.NoError(g.t, err)
	require.NoError(g.t, disk.Save(stored))
	require.NoError(g.t, disk.Close())
}

// Entries of earlier versions of this program contain no share. A process that is restarted with its old share has the same versions as before,
// and keeps them when it is later restarted with another share.
func TestReplayOfEntriesWithoutShare(t *testing.T) {
	for _, c := range []struct {
		before, after float64
		newest        uint64
	}{{0.5, 0.1, 2}, {0.1, 0.5, 1}} {
		t.Run(fmt.Sprint(c.before, " then ", c.after), func(t *testing.T) {
			g := openNewGroup(t, c.before)
			g.removeThreeOfEight()
			g.close()
			g.storeInEarlierFormat(1)
			for _, share := range []float64{c.before, c.after, c.before} {
				g.maxRemovedShares[1] = share
				g.open()
				g.runUntil(func() bool { return g.leader() != 0 && g.allActivated(c.newest) })
				assert.Equal(t, c.newest, g.replicas[1].Register().NewestNumber(), "with a share of %v", share)
				g.close()
			}
		})
	}
}

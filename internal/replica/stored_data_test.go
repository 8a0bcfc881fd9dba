package replica

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/consensus/store"
)

// testdata/README.md describes how the stored folders were created.

// readRecording reads the recorded versions and members that a group served last.
func readRecording(t *testing.T, name string) (versions string, members map[uint64]Member) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name+".versions.json"))
	require.NoError(t, err)
	versions = string(raw)
	raw, err = os.ReadFile(filepath.Join("testdata", name+".status.json"))
	require.NoError(t, err)
	var status struct {
		Members map[uint64]Member `json:"members"`
	}
	require.NoError(t, json.Unmarshal(raw, &status))
	return versions, status.Members
}

// A group that opens the recorded folders serves the recorded versions and members. It then commits versions until the next snapshot, and
// serves the same state after another restart.
func TestOpensStoredFolders(t *testing.T) {
	for _, c := range []struct {
		name    string
		folders []string
		newest  uint64
	}{
		{"single", []string{"single"}, 37},
		{"trio", []string{"trio1", "trio2", "trio3"}, 26},
	} {
		t.Run(c.name, func(t *testing.T) {
			recordedVersions, recordedMembers := readRecording(t, c.name)
			members, err := json.Marshal(recordedMembers)
			require.NoError(t, err)
			ids := []uint64{1, 2, 3}[:len(c.folders)]
			g := &storedGroup{t: t, folders: copyFolders(t, ids, c.folders...), initial: map[uint64]Member{}}
			for _, id := range ids {
				g.initial[id] = recordedMembers[id]
			}

			g.open()
			g.runUntil(func() bool { return g.leader() != 0 && g.allActivated(c.newest) })
			for id := range g.replicas {
				servedVersions, servedMembers := g.served(id)
				assert.JSONEq(t, recordedVersions, servedVersions)
				assert.JSONEq(t, string(members), servedMembers)
			}
			for i := range 25 { // past another snapshot
				assert.Equal(t, c.newest+uint64(i)+1, g.propose(float64(100+i)))
			}
			versions, _ := g.served(g.leader())
			g.close()

			g.open()
			g.runUntil(func() bool { return g.leader() != 0 && g.allActivated(c.newest+25) })
			for id := range g.replicas {
				servedVersions, servedMembers := g.served(id)
				assert.JSONEq(t, versions, servedVersions)
				assert.JSONEq(t, string(members), servedMembers)
			}
			g.close()
		})
	}
}

// The store loads the hard state, the snapshot, and the entries after the snapshot from each recorded folder.
func TestLoadsStoredState(t *testing.T) {
	for _, c := range []struct {
		folder string
		id     uint64
		state  string
	}{
		{"single", 1, "term 3, vote 1, commit 60; snapshot 80 of term 3, voters [1], learners [8]; 1 entries from 81 to 81; sum c273aa831b49"},
		{"trio1", 1, "term 2, vote 3, commit 1; snapshot 40 of term 2, voters [1 2 3], learners [4]; 16 entries from 41 to 56; sum 02e2248cfbe2"},
		{"trio2", 2, "term 2, vote 3, commit 3; snapshot 40 of term 2, voters [1 2 3], learners [4]; 16 entries from 41 to 56; sum 02e2248cfbe2"},
		{"trio3", 3, "term 2, vote 3, commit 1; snapshot 40 of term 2, voters [1 2 3], learners [4]; 16 entries from 41 to 56; sum 02e2248cfbe2"},
	} {
		t.Run(c.folder, func(t *testing.T) {
			disk, err := store.Open(copyFolders(t, []uint64{c.id}, c.folder)[c.id], c.id)
			require.NoError(t, err)
			defer disk.Close()
			stored, err := disk.Load()
			require.NoError(t, err)
			metadata := stored.Snapshot.GetMetadata()
			sum := sha256.New()
			sum.Write(stored.Snapshot.GetData())
			for _, entry := range stored.Entries {
				fmt.Fprintln(sum, entry.GetIndex(), entry.GetTerm(), entry.GetType(), string(entry.GetData()))
			}
			state := fmt.Sprintf("term %d, vote %d, commit %d; snapshot %d of term %d, voters %v, learners %v; %d entries from %d to %d; sum %.6x",
				stored.HardState.GetTerm(), stored.HardState.GetVote(), stored.HardState.GetCommit(), metadata.GetIndex(), metadata.GetTerm(), metadata.GetConfState().GetVoters(), metadata.GetConfState().GetLearners(),
				len(stored.Entries), stored.Entries[0].GetIndex(), stored.Entries[len(stored.Entries)-1].GetIndex(), sum.Sum(nil))
			assert.Equal(t, c.state, state)
		})
	}
}

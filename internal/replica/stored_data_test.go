package replica

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"bankledge/internal/configregister"
	"bankledge/internal/configversion"
	"bankledge/internal/consensus"
	"bankledge/internal/consensus/store"
	"bankledge/internal/lease"
	"bankledge/internal/rules"
)

// The folders in testdata were left by the program bankledge-control of commit 05e118f: "single" by a process alone that was
// started twice and then killed, after 37 versions, a member added and removed, another one added that never ran; "trio1" to
// "trio3" by a group of three after 26 versions and a fourth member that never ran. Both compact each 20 entries. Beside them
// stand the versions and the status that the group served last.

// storedGroup is a group of processes that runs on copies of stored folders, with a simulated clock and network.
type storedGroup struct {
	t        *testing.T
	folders  map[uint64]string
	initial  map[uint64]Member
	now      time.Duration
	stores   map[uint64]*store.Store
	seats    map[uint64]*Replica
	inFlight []*pb.Message
	outcomes []configregister.Outcome
}

func copyFolders(t *testing.T, ids []uint64, names ...string) map[uint64]string {
	t.Helper()
	folders := map[uint64]string{}
	for i, name := range names {
		folder := filepath.Join(t.TempDir(), name)
		require.NoError(t, os.CopyFS(folder, os.DirFS(filepath.Join("testdata", name))))
		folders[ids[i]] = folder
	}
	return folders
}

func (g *storedGroup) open() {
	g.t.Helper()
	g.stores, g.seats = map[uint64]*store.Store{}, map[uint64]*Replica{}
	for id := uint64(1); id <= uint64(len(g.folders)); id++ {
		disk, err := store.Open(g.folders[id], id)
		require.NoError(g.t, err)
		kept, err := disk.Load()
		require.NoError(g.t, err)
		g.stores[id] = disk
		seat, do, err := New(Settings{LeaseDurations: lease.DefaultDurations(), Guards: configversion.Guards{MaxRemovedShare: 0.5}, InitialMembers: g.initial, Lineage: "unused", CompactionInterval: 20,
			Consensus: consensus.Settings{ID: id, HeartbeatInterval: 20 * time.Millisecond, ElectionTimeout: 150 * time.Millisecond, Seed: id,
				Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}}}, kept, g.now)
		require.NoError(g.t, err)
		g.seats[id] = seat
		g.carryOut(id, do)
	}
}

func (g *storedGroup) close() {
	g.t.Helper()
	for _, disk := range g.stores {
		require.NoError(g.t, disk.Close())
	}
	g.inFlight = nil
}

func (g *storedGroup) carryOut(id uint64, do []Action) {
	g.t.Helper()
	for _, action := range do {
		switch a := action.(type) {
		case Persist:
			require.NoError(g.t, g.stores[id].Save(a.State))
		case SendMessage:
			g.inFlight = append(g.inFlight, a.Message)
		case LeaseResponse:
			if told, is := a.Action.(lease.SendOutcome); is {
				g.outcomes = append(g.outcomes, told.Outcome)
			}
		}
	}
}

func (g *storedGroup) step(id uint64, event Event) {
	g.t.Helper()
	g.carryOut(id, g.seats[id].Step(g.now, event))
}

// runUntil lets time pass until the group is as wanted.
func (g *storedGroup) runUntil(reached func() bool) {
	g.t.Helper()
	for deadline := g.now + time.Minute; !reached(); {
		for len(g.inFlight) > 0 {
			message := g.inFlight[0]
			g.inFlight = g.inFlight[1:]
			if g.seats[message.GetTo()] != nil {
				g.step(message.GetTo(), MessageReceived{Message: message})
			}
		}
		g.now += 5 * time.Millisecond
		require.Less(g.t, g.now, deadline, "the group does not get there")
		for id := uint64(1); id <= uint64(len(g.seats)); id++ {
			if g.now >= g.seats[id].NextDeadline(g.now) || g.seats[id].IsLeader() {
				g.step(id, Tick{})
			}
		}
	}
}

func (g *storedGroup) leader() uint64 {
	for id, seat := range g.seats {
		if seat.IsLeader() {
			return id
		}
	}
	return 0
}

// allApplied tells whether each process has a version in force.
func (g *storedGroup) allApplied(number uint64) bool {
	for _, seat := range g.seats {
		if seat.Register().Activated < number {
			return false
		}
	}
	return true
}

func (g *storedGroup) propose(further float64) uint64 {
	g.t.Helper()
	r := &rules.Rules{Routers: 2, SlowStartMultiple: 3, RetryBudgetFree: further}
	r.Engines = map[string]rules.Engine{}
	for i, name := range []string{"a", "b", "c"} {
		r.Engines[name] = rules.Engine{Phase: rules.Active, Address: fmt.Sprint("h:", i+1)}
	}
	require.NoError(g.t, r.Validate())
	g.outcomes = nil
	g.step(g.leader(), LeaseRequest{Event: lease.ProposalReceived{CallID: 1, Entry: configregister.Entry{Kind: configregister.EntryPropose, ID: fmt.Sprint("id", further), Rules: r.Canonical()}}})
	g.runUntil(func() bool { return len(g.outcomes) > 0 })
	require.Empty(g.t, g.outcomes[0].Error)
	g.runUntil(func() bool { return g.allApplied(g.outcomes[0].Number) })
	return g.outcomes[0].Number
}

// served is what a process serves, in the form of the recorded files.
func (g *storedGroup) served(id uint64) (versions, members string) {
	g.t.Helper()
	register := g.seats[id].Register()
	raw, err := json.Marshal(map[string]any{"lineage": register.Lineage, "settled": register.Activated, "versions": register.Versions})
	require.NoError(g.t, err)
	versions = string(raw)
	raw, err = json.Marshal(g.seats[id].Members())
	require.NoError(g.t, err)
	return versions, string(raw)
}

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
			recorded, err := os.ReadFile(filepath.Join("testdata", c.name+".versions.json"))
			require.NoError(t, err)
			var status struct {
				Members map[uint64]Member `json:"members"`
			}
			raw, err := os.ReadFile(filepath.Join("testdata", c.name+".status.json"))
			require.NoError(t, err)
			require.NoError(t, json.Unmarshal(raw, &status))
			members, err := json.Marshal(status.Members)
			require.NoError(t, err)

			ids := []uint64{1, 2, 3}[:len(c.folders)]
			g := &storedGroup{t: t, folders: copyFolders(t, ids, c.folders...), initial: map[uint64]Member{}}
			for _, id := range ids {
				g.initial[id] = status.Members[id]
			}
			g.open()
			g.runUntil(func() bool { return g.leader() != 0 && g.allApplied(c.newest) })
			for id := range g.seats {
				servedVersions, servedMembers := g.served(id)
				assert.JSONEq(t, string(recorded), servedVersions)
				assert.JSONEq(t, string(members), servedMembers)
			}
			for i := range 25 { // past another snapshot
				assert.Equal(t, c.newest+uint64(i)+1, g.propose(float64(100+i)))
			}
			versions, _ := g.served(g.leader())
			g.close()

			g.open()
			g.runUntil(func() bool { return g.leader() != 0 && g.allApplied(c.newest+25) })
			for id := range g.seats {
				servedVersions, servedMembers := g.served(id)
				assert.JSONEq(t, versions, servedVersions)
				assert.JSONEq(t, string(members), servedMembers)
			}
			g.close()
		})
	}
}

// What the store reads in each folder: the hard state, the snapshot, and the entries behind it.
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
			kept, err := disk.Load()
			require.NoError(t, err)
			metadata := kept.Snapshot.GetMetadata()
			sum := sha256.New()
			sum.Write(kept.Snapshot.GetData())
			for _, entry := range kept.Entries {
				fmt.Fprintln(sum, entry.GetIndex(), entry.GetTerm(), entry.GetType(), string(entry.GetData()))
			}
			state := fmt.Sprintf("term %d, vote %d, commit %d; snapshot %d of term %d, voters %v, learners %v; %d entries from %d to %d; sum %.6x",
				kept.HardState.GetTerm(), kept.HardState.GetVote(), kept.HardState.GetCommit(), metadata.GetIndex(), metadata.GetTerm(), metadata.GetConfState().GetVoters(), metadata.GetConfState().GetLearners(),
				len(kept.Entries), kept.Entries[0].GetIndex(), kept.Entries[len(kept.Entries)-1].GetIndex(), sum.Sum(nil))
			assert.Equal(t, c.state, state)
		})
	}
}

package replica

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"os"
	"path/filepath"
	"testing"
	"time"

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

// storedGroup is a group of processes that store their state on disk, with a simulated clock and network.
type storedGroup struct {
	t        *testing.T
	folders  map[uint64]string
	initial  map[uint64]Member
	now      time.Duration
	stores   map[uint64]*store.Store
	replicas map[uint64]*Replica
	inFlight []*pb.Message
	outcomes []configregister.Outcome

	maxRemovedShares   map[uint64]float64 // by process; testMaxRemovedShare for a process that is not in the map
	compactionInterval uint64             // 0: testCompactionInterval
}

// Settings of processes, unless a test sets others.
const (
	testMaxRemovedShare    = 0.5
	testCompactionInterval = 20
)

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

func (g *storedGroup) settings(id uint64) Settings {
	return Settings{
		Consensus: consensus.Settings{
			ID:                id,
			HeartbeatInterval: 20 * time.Millisecond,
			ElectionTimeout:   150 * time.Millisecond,
			Seed:              id,
			Logger:            &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
		},
		LeaseDurations:     lease.DefaultDurations(),
		Guards:             configversion.Guards{MaxRemovedShare: cmp.Or(g.maxRemovedShares[id], testMaxRemovedShare)},
		InitialMembers:     g.initial,
		Lineage:            "unused",
		CompactionInterval: cmp.Or(g.compactionInterval, testCompactionInterval),
	}
}

func (g *storedGroup) open() {
	g.t.Helper()
	g.stores = map[uint64]*store.Store{}
	g.replicas = map[uint64]*Replica{}
	for id := uint64(1); id <= uint64(len(g.folders)); id++ {
		disk, err := store.Open(g.folders[id], id)
		require.NoError(g.t, err)
		stored, err := disk.Load()
		require.NoError(g.t, err)
		g.stores[id] = disk
		replica, actions, err := New(g.settings(id), stored, g.now)
		require.NoError(g.t, err)
		g.replicas[id] = replica
		g.carryOut(id, actions)
	}
}

func (g *storedGroup) close() {
	g.t.Helper()
	for _, disk := range g.stores {
		require.NoError(g.t, disk.Close())
	}
	g.inFlight = nil
}

func (g *storedGroup) carryOut(id uint64, actions []Action) {
	g.t.Helper()
	for _, action := range actions {
		switch action := action.(type) {
		case Persist:
			require.NoError(g.t, g.stores[id].Save(action.State))
		case SendMessage:
			g.inFlight = append(g.inFlight, action.Message)
		case LeaseResponse:
			if answer, ok := action.Action.(lease.SendOutcome); ok {
				g.outcomes = append(g.outcomes, answer.Outcome)
			}
		}
	}
}

func (g *storedGroup) step(id uint64, event Event) {
	g.t.Helper()
	g.carryOut(id, g.replicas[id].Step(g.now, event))
}

// runUntil runs the group until the condition holds.
func (g *storedGroup) runUntil(condition func() bool) {
	g.t.Helper()
	deadline := g.now + time.Minute
	for !condition() {
		g.deliverMessages()
		g.now += 5 * time.Millisecond
		require.Less(g.t, g.now, deadline, "the condition does not hold within a minute")
		for id := uint64(1); id <= uint64(len(g.replicas)); id++ {
			if g.now >= g.replicas[id].NextDeadline(g.now) || g.replicas[id].IsLeader() {
				g.step(id, Tick{})
			}
		}
	}
}

func (g *storedGroup) deliverMessages() {
	g.t.Helper()
	for len(g.inFlight) > 0 {
		message := g.inFlight[0]
		g.inFlight = g.inFlight[1:]
		receiver := message.GetTo()
		if g.replicas[receiver] != nil {
			g.step(receiver, MessageReceived{Message: message})
		}
	}
}

// leader returns the id of the process that leads, 0 if none does.
func (g *storedGroup) leader() uint64 {
	for id, replica := range g.replicas {
		if replica.IsLeader() {
			return id
		}
	}
	return 0
}

// allActivated reports whether a version is activated on each process.
func (g *storedGroup) allActivated(number uint64) bool {
	for _, replica := range g.replicas {
		if replica.Register().Activated < number {
			return false
		}
	}
	return true
}

// propose proposes rules, and returns the number of the version once it is activated on all processes.
func (g *storedGroup) propose(retryBudgetFree float64) uint64 {
	g.t.Helper()
	r := &rules.Rules{Routers: 2, SlowStartMultiple: 3, RetryBudgetFree: retryBudgetFree}
	r.Engines = map[string]rules.Engine{}
	for i, name := range []string{"a", "b", "c"} {
		r.Engines[name] = rules.Engine{Phase: rules.Active, Address: fmt.Sprint("h:", i+1)}
	}
	require.NoError(g.t, r.Validate())
	g.outcomes = nil
	entry := configregister.Entry{
		Kind:  configregister.EntryPropose,
		ID:    fmt.Sprint("id", retryBudgetFree),
		Rules: r.Canonical(),
	}
	g.step(g.leader(), LeaseRequest{Event: lease.ProposalReceived{CallID: 1, Entry: entry}})
	g.runUntil(func() bool { return len(g.outcomes) > 0 })
	require.Empty(g.t, g.outcomes[0].Error)
	g.runUntil(func() bool { return g.allActivated(g.outcomes[0].Number) })
	return g.outcomes[0].Number
}

// served returns the versions and members that a process serves, in the format of the recorded files.
func (g *storedGroup) served(id uint64) (versions, members string) {
	g.t.Helper()
	register := g.replicas[id].Register()
	raw, err := json.Marshal(map[string]any{"lineage": register.Lineage, "settled": register.Activated, "versions": register.Versions})
	require.NoError(g.t, err)
	versions = string(raw)
	raw, err = json.Marshal(g.replicas[id].Members())
	require.NoError(g.t, err)
	return versions, string(raw)
}

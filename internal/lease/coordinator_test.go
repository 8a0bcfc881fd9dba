package lease

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/configregister"
)

func TestCoordinatorGrantsLeases(t *testing.T) {
	f := newCoordinatorFixture(t)
	renewal := Renewal{Name: "r", Incarnation: "x", Lineage: "l", KnownVersion: 1, KnownHash: "h1"}
	assert.Contains(t, f.renew(renewal).RejectReason, "does not lead")
	f.step(LeadershipGained{})
	assert.True(t, f.renew(renewal).Granted)

	for wantReason, change := range map[string]func(*Renewal){
		"lineage l":      func(r *Renewal) { r.Lineage = "m" },
		"from a backup":  func(r *Renewal) { r.KnownVersion = 4 },
		"is another one": func(r *Renewal) { r.KnownHash = "h2" },
		"incarnation":    func(r *Renewal) { r.Incarnation = "" },
		"too long":       func(r *Renewal) { r.Name = strings.Repeat("x", 300) },
		"":               func(r *Renewal) { r.KnownVersion, r.KnownHash = 0, "" }, // no reason: the client only has to catch up
	} {
		changed := renewal
		change(&changed)
		reply := f.renew(changed)
		assert.False(t, reply.Granted, wantReason)
		assert.Contains(t, reply.RejectReason, wantReason)
	}

	otherDurations := renewal
	otherDurations.DurationsKey = "term 1h"
	assert.False(t, f.grant(f.now, request{renewal: otherDurations}).Granted)
}

// A version is activated once each client with a lease knows it, but not before all leases that an earlier leader may have granted have
// expired.
func TestCoordinatorActivatesVersions(t *testing.T) {
	f := newCoordinatorFixture(t)
	f.step(LeadershipGained{})
	f.step(StateApplied{Lineage: "l", Newest: 2, Activated: 1, Hash: "h2"})
	assert.False(t, f.activates(), "a new leader waits for the leases of earlier leaders to expire")
	f.now = DefaultDurations().CoordinatorLease()
	assert.True(t, f.step(CoordinatorTick{}).activates())
	assert.False(t, f.step(CoordinatorTick{}).activates(), "the activation is proposed once")
	f.step(StateApplied{Lineage: "l", Newest: 2, Activated: 2, Hash: "h2"})

	grantedAt := f.now
	for _, incarnation := range []string{"x", "y"} {
		require.True(t, f.renew(Renewal{Name: "r", Incarnation: incarnation, Lineage: "l", KnownVersion: 2, KnownHash: "h2"}).Granted)
	}
	assert.True(t, f.Sessions(f.now)[0].DuplicateName, "two processes with the same name hold leases")

	f.step(StateApplied{Lineage: "l", Newest: 3, Activated: 2, Hash: "h3"})
	assert.False(t, f.activates())
	f.now += 100 * ms
	require.True(t, f.renew(Renewal{Name: "r", Incarnation: "x", Lineage: "l", KnownVersion: 3, KnownHash: "h3"}).Granted)
	assert.False(t, f.activates(), "the other client has a lease on the previous version")
	f.now = grantedAt + DefaultDurations().CoordinatorLease() - ms
	assert.False(t, f.step(CoordinatorTick{}).activates())
	f.now = grantedAt + DefaultDurations().CoordinatorLease()
	assert.True(t, f.step(CoordinatorTick{}).activates())
}

func TestCoordinatorAppendsOneProposalAtATime(t *testing.T) {
	f := newCoordinatorFixture(t)
	f.step(LeadershipGained{})
	propose := func(callID uint64, id string) {
		f.step(ProposalReceived{callID, configregister.Entry{Kind: configregister.EntryPropose, ID: id}})
	}
	propose(1, "a")
	assert.Equal(t, []string{"a"}, f.appendedIDs())
	propose(2, "b")
	assert.Empty(t, f.appendedIDs())

	f.step(StateApplied{Lineage: "l", Newest: 2, Activated: 1, Outcomes: []configregister.Outcome{{ID: "a", Number: 2}}})
	assert.Contains(t, f.actions, CoordinatorAction(SendOutcome{1, configregister.Outcome{ID: "a", Number: 2}}))
	assert.Empty(t, f.appendedIDs(), "the previous version is not activated yet")
	f.step(StateApplied{Lineage: "l", Newest: 2, Activated: 2})
	assert.Equal(t, []string{"b"}, f.appendedIDs())

	f.step(LeadershipLost{})
	assert.Contains(t, f.actions, CoordinatorAction(SendOutcome{2, configregister.Outcome{ID: "b", Error: ErrNotLeader.Error()}}),
		"the proposal may still be committed, so the caller has to retry")

	f.step(LeadershipGained{})
	for i := range 2 * maxProposals {
		propose(uint64(i+10), fmt.Sprint(i))
	}
	assert.LessOrEqual(t, len(f.queuedProposals)+len(f.appendedProposals), maxProposals, "the waiting proposals are bounded")
	f.step(ProposalReceived{3, configregister.Entry{Kind: configregister.EntryActivate, ID: "c"}})
	assert.Contains(t, f.actions[0].(SendOutcome).Outcome.Error, "not a proposal")
}

func TestCoordinatorRemovesStaleSessions(t *testing.T) {
	f := newCoordinatorFixture(t)
	f.step(LeadershipGained{})
	for i := range maxSessions + 10 {
		f.renew(Renewal{Name: "r", Incarnation: fmt.Sprint(i), Lineage: "l", KnownVersion: 1, KnownHash: "h1"})
	}
	assert.Len(t, f.sessions, maxSessions)
	f.now += sessionRetention + time.Minute
	f.step(CoordinatorTick{})
	assert.Empty(t, f.sessions)
}

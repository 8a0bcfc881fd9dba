package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/configregister"
)

// openSingle opens a group of one process on a copy of the recorded folder.
func openSingle(t *testing.T) *storedGroup {
	t.Helper()
	g := &storedGroup{
		t:       t,
		folders: copyFolders(t, []uint64{1}, "single"),
		initial: map[uint64]Member{1: {Peer: "p1", Client: "c1", Voter: true}},
	}
	g.open()
	t.Cleanup(g.close)
	return g
}

// request requests a membership change, and returns the outcome.
func (g *storedGroup) request(event MembershipRequest) configregister.Outcome {
	g.t.Helper()
	g.outcomes = nil
	g.step(1, event)
	g.runUntil(func() bool { return len(g.outcomes) > 0 })
	return g.outcomes[0]
}

// The texts for rejected membership requests, which operators read.
func TestMembershipRequests(t *testing.T) {
	g := openSingle(t)
	assert.Equal(t, "this process does not lead the group", g.request(MembershipRequest{CallID: 1, MemberID: 8, Remove: true}).Error)
	g.runUntil(func() bool { return g.leader() != 0 })
	complete := Member{Peer: "p9", Client: "c9"}
	for _, c := range []struct {
		name  string
		event MembershipRequest
		text  string
	}{
		{"unknown", MembershipRequest{CallID: 2, MemberID: 9, Remove: true}, "process 9 is no member"},
		{"last voter", MembershipRequest{CallID: 3, MemberID: 1, Remove: true}, "process 1 is the only one that votes"},
		{"no id", MembershipRequest{CallID: 4, Member: complete}, "a member needs an id, and addresses for the others and for routers"},
		{"no peer", MembershipRequest{CallID: 5, MemberID: 9, Member: Member{Client: "c9"}}, "a member needs an id, and addresses for the others and for routers"},
		{"no client", MembershipRequest{CallID: 6, MemberID: 9, Member: Member{Peer: "p9"}}, "a member needs an id, and addresses for the others and for routers"},
		{"known", MembershipRequest{CallID: 7, MemberID: 8, Member: complete}, "process 8 is a member already: remove it first, and add it anew under another id"},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, configregister.Outcome{Error: c.text}, g.request(c.event))
		})
	}
}

// An added member is a learner, and a removed one is no longer listed.
func TestMembershipChanges(t *testing.T) {
	g := openSingle(t)
	g.runUntil(func() bool { return g.leader() != 0 })
	require.Equal(t, configregister.Outcome{Number: 8}, g.request(MembershipRequest{CallID: 1, MemberID: 8, Remove: true}))
	require.Equal(t, configregister.Outcome{Number: 9}, g.request(MembershipRequest{CallID: 2, MemberID: 9, Member: Member{Peer: "p9", Client: "c9"}}))
	assert.Equal(t, map[uint64]Member{1: {Peer: "p1", Client: "c1", Voter: true}, 9: {Peer: "p9", Client: "c9"}}, g.replicas[1].Members())
	g.now += time.Second
	g.step(1, Tick{})
	assert.False(t, g.replicas[1].Members()[9].Voter, "a learner that has not caught up is not promoted")
}

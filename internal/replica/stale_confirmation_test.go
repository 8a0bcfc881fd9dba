package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"

	"bankledge/internal/lease"
)

// checkLeadership requests a confirmation that a process leads.
func (g *storedGroup) checkLeadership(id, callID uint64) {
	g.t.Helper()
	g.step(id, LeaseRequest{Event: lease.LeadershipCheckRequested{CallID: callID}})
}

// takeMessages removes the messages that are on their way, and returns them.
func (g *storedGroup) takeMessages() (taken []*pb.Message) {
	taken = g.inFlight
	g.inFlight = nil
	return taken
}

// deliver hands messages to their receivers.
func (g *storedGroup) deliver(messages ...*pb.Message) {
	g.t.Helper()
	for _, message := range messages {
		g.step(message.GetTo(), MessageReceived{Message: message})
	}
}

// A leader that no quorum answers is silenced, and leads again in the same term once a quorum answers, by responses that were late. Its
// confirmation tokens began at 1 again, so a response to a request from before was taken for the confirmation of a later one, though nobody
// had been asked since: a lease could be granted beside a newer leader.
func TestConfirmationFromBeforeSilenceIsNotTaken(t *testing.T) {
	g := openNewGroup(t, 0.5, 0.5, 0.5)
	defer g.close()
	g.runUntil(func() bool { return g.leader() != 0 && g.allApplied() && len(g.inFlight) == 0 })
	leader := g.leader()
	term := g.replicas[leader].Role().Term

	g.checkLeadership(leader, 1)
	g.deliver(g.takeMessages()...) // the request for a confirmation reaches the others
	late := g.takeMessages()       // and their responses are on their way
	require.Len(t, late, 2)
	for g.replicas[leader].IsLeader() {
		g.now += 5 * time.Millisecond
		g.step(leader, Tick{})
		g.takeMessages() // which nobody receives
	}
	require.Len(t, g.outcomes, 1)
	assert.Equal(t, lease.ErrNotLeader.Error(), g.outcomes[0].Error)

	plain := &pb.Message{
		Type: pb.MsgHeartbeatResp.Enum(),
		From: late[0].From,
		To:   late[0].To,
		Term: late[0].Term,
	}
	g.deliver(plain) // a late response to an earlier heartbeat
	g.step(leader, Tick{})
	require.True(t, g.replicas[leader].IsLeader(), "a quorum has responded")
	require.Equal(t, term, g.replicas[leader].Role().Term)
	g.takeMessages()

	g.outcomes = nil
	g.checkLeadership(leader, 2)
	asked := g.takeMessages()
	g.deliver(late...)
	assert.Empty(t, g.outcomes, "nobody was asked since the second check was requested")

	g.deliver(asked...)
	g.deliver(g.takeMessages()...)
	require.Len(t, g.outcomes, 1)
	assert.Empty(t, g.outcomes[0].Error)
}

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

// takeMessages removes the messages in flight, and returns them.
func (g *storedGroup) takeMessages() (taken []*pb.Message) {
	taken = g.inFlight
	g.inFlight = nil
	return taken
}

// deliver delivers messages to their receivers.
func (g *storedGroup) deliver(messages ...*pb.Message) {
	g.t.Helper()
	for _, message := range messages {
		g.step(message.GetTo(), MessageReceived{Message: message})
	}
}

// A leader that loses its quorum stops leading, and leads again in the same term once late responses from a quorum arrive. Its confirmation
// tokens started from 1 again, so a late response to an earlier confirmation request was accepted as the response to a later request, which no
// process had received. A lease could then be granted although a newer leader existed.
func TestConfirmationFromBeforeQuorumLossIsIgnored(t *testing.T) {
	g := openNewGroup(t, 0.5, 0.5, 0.5)
	defer g.close()
	g.runUntil(func() bool { return g.leader() != 0 && g.allApplied() && len(g.inFlight) == 0 })
	leader := g.leader()
	term := g.replicas[leader].Role().Term

	g.checkLeadership(leader, 1)
	g.deliver(g.takeMessages()...) // the others receive the confirmation request
	late := g.takeMessages()       // their responses are delayed
	require.Len(t, late, 2)
	for g.replicas[leader].IsLeader() {
		g.now += 5 * time.Millisecond
		g.step(leader, Tick{})
		g.takeMessages() // lost: nobody receives them
	}
	require.Len(t, g.outcomes, 1)
	assert.Equal(t, lease.ErrNotLeader.Error(), g.outcomes[0].Error)

	heartbeatResponse := &pb.Message{
		Type: pb.MsgHeartbeatResp.Enum(),
		From: late[0].From,
		To:   late[0].To,
		Term: late[0].Term,
	}
	g.deliver(heartbeatResponse) // a late response to an earlier heartbeat
	g.step(leader, Tick{})
	require.True(t, g.replicas[leader].IsLeader(), "a quorum has responded")
	require.Equal(t, term, g.replicas[leader].Role().Term)
	g.takeMessages()

	g.outcomes = nil
	g.checkLeadership(leader, 2)
	requests := g.takeMessages()
	g.deliver(late...)
	assert.Empty(t, g.outcomes, "no process has received the second confirmation request")

	g.deliver(requests...)
	g.deliver(g.takeMessages()...)
	require.Len(t, g.outcomes, 1)
	assert.Empty(t, g.outcomes[0].Error)
}

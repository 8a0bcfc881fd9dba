package controlserver

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/lease"
	"bankledge/internal/replica"
)

func renewalEvent(callID uint64) replica.Event {
	return replica.LeaseRequest{Event: lease.RenewalReceived{CallID: callID}}
}

func TestMailboxCall(t *testing.T) {
	box := newMailbox()
	go func() {
		call := (<-box.messages).(callMessage)
		call.reply <- lease.SendReply{CallID: call.callID}
	}()
	answer, err := box.call(t.Context(), renewalEvent)
	require.NoError(t, err)
	assert.Equal(t, lease.SendReply{CallID: 1}, answer)
}

// A cancelled call is reported to the driver, so that the replica forgets it.
func TestMailboxCallCancelled(t *testing.T) {
	box := newMailbox()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() {
		_, err := box.call(ctx, renewalEvent)
		ended <- err
	}()
	call := (<-box.messages).(callMessage)
	cancel()
	assert.ErrorIs(t, <-ended, errBusy)
	assert.Equal(t, cancelMessage{callID: call.callID}, <-box.messages)
}

// A full mailbox blocks calls and drops messages that need no answer.
func TestMailboxFull(t *testing.T) {
	box := newMailbox()
	for range mailboxSize {
		box.trySend(eventMessage{event: replica.Tick{}})
	}
	box.trySend(eventMessage{event: replica.Tick{}})
	assert.Len(t, box.messages, mailboxSize)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := box.call(ctx, renewalEvent)
	assert.ErrorIs(t, err, errBusy)
	assert.Nil(t, box.sessions(ctx))
}

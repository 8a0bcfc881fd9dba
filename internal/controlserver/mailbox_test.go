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
	mailbox := newMailbox()
	go func() {
		call := (<-mailbox.messages).(callMessage)
		call.reply <- lease.SendReply{CallID: call.callID}
	}()
	action, err := mailbox.call(t.Context(), renewalEvent)
	require.NoError(t, err)
	assert.Equal(t, lease.SendReply{CallID: 1}, action)
}

// A cancelled call is reported to the driver, so that the replica can drop it.
func TestMailboxCallCancelled(t *testing.T) {
	mailbox := newMailbox()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() {
		_, err := mailbox.call(ctx, renewalEvent)
		ended <- err
	}()
	call := (<-mailbox.messages).(callMessage)
	cancel()
	assert.ErrorIs(t, <-ended, errBusy)
	assert.Equal(t, cancelMessage{callID: call.callID}, <-mailbox.messages)
}

// A full mailbox blocks calls and drops messages that have no reply.
func TestMailboxFull(t *testing.T) {
	mailbox := newMailbox()
	for range mailboxSize {
		mailbox.trySend(eventMessage{event: replica.Tick{}})
	}
	mailbox.trySend(eventMessage{event: replica.Tick{}})
	assert.Len(t, mailbox.messages, mailboxSize)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := mailbox.call(ctx, renewalEvent)
	assert.ErrorIs(t, err, errBusy)
	assert.Nil(t, mailbox.sessions(ctx))
}

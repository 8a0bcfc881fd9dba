package controlserver

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"bankledge/internal/lease"
	"bankledge/internal/replica"
)

// mailboxSize is the maximum number of messages that are queued for the driver.
const mailboxSize = 4096

// errBusy is returned to a caller whose request the driver did not answer before the deadline.
var errBusy = errors.New("this process is busy, or ends")

// mailbox queues the messages that HTTP handlers and the peer transport send to the driver.
type mailbox struct {
	messages   chan message
	lastCallID atomic.Uint64
}

// message is an input of the driver.
type message interface{ message() }

type (
	// eventMessage carries an event for the replica that has no reply.
	eventMessage struct{ event replica.Event }

	// callMessage carries an event for the replica whose reply a caller waits for.
	callMessage struct {
		callID uint64
		event  replica.Event
		reply  chan<- lease.CoordinatorAction // buffered, so that the driver never blocks on it
	}

	// cancelMessage reports that the caller no longer waits for the reply to a call.
	cancelMessage struct{ callID uint64 }

	// inspectMessage makes the driver's goroutine run a function that reads the replica.
	inspectMessage struct {
		inspect func(node *replica.Replica, now time.Duration)
	}
)

func (eventMessage) message()   {}
func (callMessage) message()    {}
func (cancelMessage) message()  {}
func (inspectMessage) message() {}

func newMailbox() *mailbox {
	return &mailbox{messages: make(chan message, mailboxSize)}
}

// send blocks until the mailbox has capacity for the message. It returns errBusy if ctx ends first.
func (m *mailbox) send(ctx context.Context, msg message) error {
	select {
	case m.messages <- msg:
		return nil
	case <-ctx.Done():
		return errBusy
	}
}

// trySend queues the message, or drops it if the mailbox is full: the replica tolerates lost messages, as it does on the network.
func (m *mailbox) trySend(msg message) {
	select {
	case m.messages <- msg:
	default:
	}
}

// call sends the replica the event that newEvent returns for a new call id, and waits for the reply. It returns errBusy if ctx ends first.
func (m *mailbox) call(ctx context.Context, newEvent func(callID uint64) replica.Event) (lease.CoordinatorAction, error) {
	callID := m.lastCallID.Add(1)
	reply := make(chan lease.CoordinatorAction, 1)
	if err := m.send(ctx, callMessage{callID: callID, event: newEvent(callID), reply: reply}); err != nil {
		return nil, err
	}
	select {
	case action := <-reply:
		return action, nil
	case <-ctx.Done():
		m.trySend(cancelMessage{callID: callID}) // an operation that has started may still complete
		return nil, errBusy
	}
}

// sessions returns the lease sessions of routers that this process knows as the leader, or nil if ctx ends before the driver answers.
func (m *mailbox) sessions(ctx context.Context) []lease.Session {
	sessions := make(chan []lease.Session, 1)
	inspect := func(node *replica.Replica, now time.Duration) {
		sessions <- node.Sessions(now)
	}
	if err := m.send(ctx, inspectMessage{inspect: inspect}); err != nil {
		return nil
	}
	select {
	case list := <-sessions:
		return list
	case <-ctx.Done():
		return nil
	}
}

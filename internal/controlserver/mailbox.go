package controlserver

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"bankledge/internal/lease"
	"bankledge/internal/replica"
)

// mailboxSize is how many messages may wait for the driver.
const mailboxSize = 4096

// errBusy is returned to a caller whose request the driver did not answer in time.
var errBusy = errors.New("this process is busy, or ends")

// mailbox holds what HTTP handlers and the peer transport send to the driver.
type mailbox struct {
	messages   chan message
	lastCallID atomic.Uint64
}

// message is an input of the driver.
type message interface{ message() }

type (
	// eventMessage is an event for the replica that needs no answer.
	eventMessage struct{ event replica.Event }

	// callMessage is an event for the replica whose answer a caller waits for.
	callMessage struct {
		callID uint64
		event  replica.Event
		reply  chan<- lease.CoordinatorAction // buffered, so that the driver never blocks on it
	}

	// cancelMessage reports that the caller no longer waits for the answer to a call.
	cancelMessage struct{ callID uint64 }

	// inspectMessage runs a function that reads the replica.
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

// send blocks until the mailbox accepts the message. It returns errBusy if ctx ends before.
func (m *mailbox) send(ctx context.Context, msg message) error {
	select {
	case m.messages <- msg:
		return nil
	case <-ctx.Done():
		return errBusy
	}
}

// trySend drops the message when the mailbox is full, as a network would.
func (m *mailbox) trySend(msg message) {
	select {
	case m.messages <- msg:
	default:
	}
}

// call hands the replica an event that carries a call's id and waits for the answer. It returns errBusy if ctx ends before.
func (m *mailbox) call(ctx context.Context, newEvent func(callID uint64) replica.Event) (lease.CoordinatorAction, error) {
	callID := m.lastCallID.Add(1)
	reply := make(chan lease.CoordinatorAction, 1)
	if err := m.send(ctx, callMessage{callID: callID, event: newEvent(callID), reply: reply}); err != nil {
		return nil, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		m.trySend(cancelMessage{callID: callID}) // work that has begun may still complete
		return nil, errBusy
	}
}

// sessions returns the router processes that this process knows if it is the leader, nil if the driver does not answer in time.
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

// Package controlclient connects a router to the control group: it sends the renewals and follows the stream of configuration versions
// that the router's side of the leases (lease.Client) requests, and hands it the results as events. It makes no decisions of its own.
package controlclient

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"bankledge/internal/lease"
	"bankledge/internal/logevent"
)

const (
	connectTimeout   = 500 * time.Millisecond
	maxRenewals      = 4  // that may wait for replies at the same time
	maxQueuedActions = 16 // renewals that Run has not started yet
)

// statusError is returned for a response of the group that is not 200.
type statusError struct{ status int }

func (e *statusError) Error() string { return fmt.Sprintf("the group answered %d", e.status) }

// Transport carries out the actions of a lease.Client. Its connections and goroutines belong to Run.
type Transport struct {
	addresses     []string
	replyDeadline time.Duration // after which the reply to a renewal no longer counts
	deliver       func(lease.ClientEvent)
	log           *zap.Logger

	renewals       chan lease.SendRenewal
	reopenings     chan lease.ReopenStream // buffers one; a newer action replaces it
	calls          sync.WaitGroup
	idleConnection chan net.Conn // for the next renewal
}

// NewTransport returns a transport to the group's processes at these addresses. It hands events to deliver, which must not block and
// is called by several goroutines. Nothing is sent before Run is called.
func NewTransport(addresses []string, durations lease.Durations, deliver func(lease.ClientEvent), log *zap.Logger) *Transport {
	return &Transport{
		addresses:      addresses,
		replyDeadline:  durations.ClientLease(),
		deliver:        deliver,
		log:            log,
		renewals:       make(chan lease.SendRenewal, maxQueuedActions),
		reopenings:     make(chan lease.ReopenStream, 1),
		idleConnection: make(chan net.Conn, 1),
	}
}

// Execute starts an action; it never blocks. A renewal that finds the queue full is dropped, as if it had been lost on the network.
func (t *Transport) Execute(action lease.ClientAction) {
	switch action := action.(type) {
	case lease.SendRenewal:
		select {
		case t.renewals <- action:
		default:
		}
	case lease.ReopenStream:
		t.replaceReopening(action)
	case lease.LogMessage:
		t.log.Warn(logevent.ControlClientMessage, logevent.Message(action.Text))
	}
}

func (t *Transport) replaceReopening(reopening lease.ReopenStream) {
	select {
	case <-t.reopenings:
	default:
	}
	select {
	case t.reopenings <- reopening:
	default:
	}
}

// Run sends renewals and follows one stream at a time until ctx ends. It returns when all its goroutines have ended.
func (t *Transport) Run(ctx context.Context) error {
	defer t.calls.Wait()
	closeStream := context.CancelFunc(func() {})
	defer func() { closeStream() }()
	slots := make(chan struct{}, maxRenewals)
	for {
		select {
		case <-ctx.Done():
			return nil
		case renewal := <-t.renewals:
			t.startRenewal(ctx, slots, renewal)
		case reopening := <-t.reopenings:
			closeStream()
			streamCtx, cancel := context.WithCancel(ctx)
			closeStream = cancel
			t.calls.Go(func() { t.followStream(streamCtx, reopening) })
		}
	}
}

// startRenewal sends a renewal in a goroutine of its own if one of the slots is free.
func (t *Transport) startRenewal(ctx context.Context, slots chan struct{}, renewal lease.SendRenewal) {
	select {
	case slots <- struct{}{}:
		t.calls.Go(func() {
			defer func() { <-slots }()
			t.renew(ctx, renewal)
		})
	default:
		t.deliver(lease.RenewalFailed{Seq: renewal.Renewal.Seq})
	}
}

// Close closes the idle connection. It is called after Run has returned.
func (t *Transport) Close() {
	select {
	case conn := <-t.idleConnection:
		conn.Close()
	default:
	}
}

// address maps an address index of the lease client, which may exceed the number of addresses, to an address.
func (t *Transport) address(index int) string { return t.addresses[index%len(t.addresses)] }

// dial connects to a process of the group.
func dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

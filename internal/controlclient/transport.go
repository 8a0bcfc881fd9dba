// Package controlclient connects a router to the control group. It executes the actions of the router's part of the lease protocol
// (lease.Client): it sends renewals, follows the stream of configuration versions, and delivers the results as events. It makes no
// decisions of its own.
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
	connectTimeout     = 500 * time.Millisecond
	maxPendingRenewals = 4  // renewals that may wait for replies at the same time
	maxQueuedRenewals  = 16 // renewals that Run has not started yet
)

// statusError is returned for a response of the group whose HTTP status is not 200.
type statusError struct{ status int }

func (e *statusError) Error() string {
	return fmt.Sprintf("the control group responded with HTTP status %d", e.status)
}

// Transport executes the actions of a lease.Client. Run owns all its goroutines and connections, except for the idle connection, which
// Close closes.
type Transport struct {
	addresses      []string
	renewalTimeout time.Duration // a later reply to a renewal is useless, as the lease would have expired
	deliver        func(lease.ClientEvent)
	log            *zap.Logger

	renewals       chan lease.SendRenewal
	reopenings     chan lease.ReopenStream // holds at most one action; a newer one replaces it
	goroutines     sync.WaitGroup          // started by Run
	idleConnection chan net.Conn           // holds at most one connection, which the next renewal uses
}

// NewTransport returns a transport to the group's processes at these addresses. It passes events to deliver, which must not block and is
// called by several goroutines concurrently. Nothing is sent until Run is called.
func NewTransport(addresses []string, durations lease.Durations, deliver func(lease.ClientEvent), log *zap.Logger) *Transport {
	return &Transport{
		addresses:      addresses,
		renewalTimeout: durations.ClientLease(),
		deliver:        deliver,
		log:            log,
		renewals:       make(chan lease.SendRenewal, maxQueuedRenewals),
		reopenings:     make(chan lease.ReopenStream, 1),
		idleConnection: make(chan net.Conn, 1),
	}
}

// Execute queues an action for Run, or logs a message; it never blocks. If the queue is full, a renewal is dropped; the lease client
// treats it as lost on the network.
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

// Run sends renewals and follows one stream at a time until ctx is cancelled. It returns after all its goroutines have ended.
func (t *Transport) Run(ctx context.Context) error {
	defer t.goroutines.Wait()
	closeStream := context.CancelFunc(func() {})
	defer func() { closeStream() }()
	slots := make(chan struct{}, maxPendingRenewals)
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
			t.goroutines.Go(func() { t.followStream(streamCtx, reopening) })
		}
	}
}

// startRenewal sends a renewal in a new goroutine. If all slots are taken, the renewal fails at once.
func (t *Transport) startRenewal(ctx context.Context, slots chan struct{}, renewal lease.SendRenewal) {
	select {
	case slots <- struct{}{}:
		t.goroutines.Go(func() {
			defer func() { <-slots }()
			t.renew(ctx, renewal)
		})
	default:
		t.deliver(lease.RenewalFailed{Seq: renewal.Renewal.Seq})
	}
}

// Close closes the idle connection. It must be called only after Run has returned.
func (t *Transport) Close() {
	select {
	case conn := <-t.idleConnection:
		conn.Close()
	default:
	}
}

// address returns the address for an address index of the lease client, which may exceed the number of addresses.
func (t *Transport) address(index int) string { return t.addresses[index%len(t.addresses)] }

// dial connects to a process of the group.
func dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

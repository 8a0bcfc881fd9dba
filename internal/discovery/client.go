// Package discovery watches the control feed, which publishes numbered changes of the endpoint list as server-sent events.
//
// Client connects, requests the events after the last one that it handled, and replaces a connection that ends, falls silent or delivers no
// events. monitoredConn detects when a connection must be replaced; startTimes computes when engines started.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"bankledge/internal/logevent"
)

// maxEventErrors is how often an event that cannot be parsed is requested before it is skipped.
const maxEventErrors = 3

// Client watches the control feed at an address. While Watch runs, only its goroutine may use the client, except for SetAddress and
// HasUnreadEvents, which are safe for concurrent use.
type Client struct {
	address     string
	LastEventID int64            // number of the last event handled
	onEvent     func(WatchEvent) // called by Watch for each event with a list
	log         *zap.Logger

	startTimes  startTimes
	syncedAt    time.Time                   // when the client last knew all events of the feed; zero: never yet
	conn        atomic.Pointer[net.TCPConn] // the connection that is being read
	reading     atomic.Bool                 // a read is in progress, so everything read before it was handled
	stream      *monitoredConn              // wraps conn; used only by the goroutine of Watch
	pending     *pendingStreams             // used only by the goroutine of Watch
	replacement *openedStream               // replaces stream; nil: none

	replacementOpened atomic.Bool // a pending stream has delivered its first line

	eventErrors  int  // number of failed attempts to parse the next event
	gapRequested bool // the events missing before the next one were already requested again

	mu               sync.Mutex
	addressChange    *addressChange     // the new address, if one was set; nil: none
	cancelConnection context.CancelFunc // ends the current connection, or the backoff before the next one
}

// addressChange is a new address of the feed, with the events that are known from another source.
type addressChange struct {
	address     string
	knownEvents []json.RawMessage
}

// New returns a client of the control feed at an address. Watch calls onEvent for each event with a list. origin is the origin of the
// router's clock and must have a monotonic reading.
func New(address string, origin time.Time, onEvent func(WatchEvent), log *zap.Logger) *Client {
	return &Client{
		address:    address,
		onEvent:    onEvent,
		log:        log,
		startTimes: startTimes{origin: origin},
	}
}

// ApplyKnownEvents parses the events of the configuration, before the feed is watched. It calls apply for each event with a list and
// returns the highest number. It stops at the first invalid event and returns an error.
func (c *Client) ApplyKnownEvents(events []json.RawMessage, apply func(WatchEvent)) (last int64, err error) {
	for _, raw := range events {
		event, hasList, err := c.parseReceivedEvent(raw)
		if err != nil {
			return last, fmt.Errorf("known.events: %w", err)
		}
		last = max(last, event.Number)
		if hasList {
			apply(event)
		}
	}
	c.syncedAt = time.Now() // any other event is published after the router's start
	return last, nil
}

// parseReceivedEvent parses an event that was received just now, and sets the start times of its endpoints.
func (c *Client) parseReceivedEvent(raw []byte) (event WatchEvent, hasList bool, err error) {
	event, hasList, err = ParseEvent(raw)
	if err == nil {
		c.startTimes.resolve(&event, c.syncedAt, time.Now())
	}
	return event, hasList, err
}

// SetAddress makes the client immediately continue at another address, from the last handled event. Those of knownEvents that are new are
// handled first. If SetAddress is called several times, the last call takes effect.
func (c *Client) SetAddress(address string, knownEvents []json.RawMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addressChange = &addressChange{address: address, knownEvents: knownEvents}
	if c.cancelConnection != nil {
		c.cancelConnection()
	}
}

// applyAddressChange switches to a new address, if one was set. The returned context is cancelled when the next address is set.
func (c *Client) applyAddressChange(ctx context.Context) (connCtx context.Context, cancel context.CancelFunc, changed bool) {
	connCtx, cancel = context.WithCancel(ctx)
	c.mu.Lock()
	next := c.addressChange
	c.addressChange = nil
	c.cancelConnection = cancel
	c.mu.Unlock()
	if next == nil {
		return connCtx, cancel, false
	}
	c.log.Info(logevent.ControlFeedAddressChanged,
		zap.String("address", next.address), zap.Int64("last_event_id", c.LastEventID))
	c.address = next.address
	c.applyNewerEvents(next.knownEvents)
	return connCtx, cancel, true
}

// applyNewerEvents handles the new events of a list, up to the first gap. The feed itself sends the events after the gap.
func (c *Client) applyNewerEvents(events []json.RawMessage) {
	for _, raw := range events {
		event, hasList, err := c.parseReceivedEvent(raw)
		if err != nil || event.Number > c.LastEventID+1 && !event.Complete {
			return
		}
		if event.Number <= c.LastEventID {
			continue
		}
		c.LastEventID = event.Number
		if hasList {
			c.onEvent(event)
		}
	}
}

// Watch follows the feed until ctx is done. It replaces a connection that ends or falls silent immediately, and with increasing backoff
// while nothing is received. The returned error is always nil.
func (c *Client) Watch(ctx context.Context) error {
	c.pending = newPendingStreams(openStream, c.interruptRead)
	defer c.pending.stop()
	defer c.closeReplacement()
	for ctx.Err() == nil {
		streamCtx, cancel, addressChanged := c.applyAddressChange(ctx)
		if addressChanged {
			c.closeReplacement()
			c.pending.restart() // its streams are connected to the old address
		}
		if opened := c.awaitStream(ctx, streamCtx); opened != nil {
			c.followUntilLost(ctx, streamCtx, opened)
		}
		cancel()
	}
	return nil
}

func (c *Client) closeReplacement() {
	c.replacement.close()
	c.replacement = nil
}

// awaitStream returns a stream whose first line has arrived, or nil if ctx is done first. Streams that are opened live until watchCtx is
// done.
func (c *Client) awaitStream(watchCtx, ctx context.Context) *openedStream {
	if opened := c.replacement; opened != nil {
		c.replacement = nil
		return opened
	}
	for ctx.Err() == nil {
		now := time.Now()
		if waiting := c.pending.openIfDue(watchCtx, now, c.nextRequest()); waiting > 0 {
			c.log.Warn(logevent.ControlFeedSlow, zap.Int("waiting", waiting), zap.Int64("last_event_id", c.LastEventID))
		}
		opened, retryDelay, err := c.takeOpened(now)
		switch {
		case opened != nil:
			return opened
		case err != nil:
			c.logLost(ctx, err, retryDelay)
			continue
		}
		select {
		case <-c.pending.changed:
		case <-time.After(time.Until(c.pending.nextOpenAt)):
		case <-ctx.Done():
		}
	}
	return nil
}

// followUntilLost reads the events of a stream until it ends, and plans when the next one is opened.
func (c *Client) followUntilLost(watchCtx, ctx context.Context, opened *openedStream) {
	lastEventID := c.LastEventID
	began := time.Now()
	err := c.follow(watchCtx, ctx, opened)
	replaced := errors.Is(err, errReplaced)
	if replaced || c.LastEventID > lastEventID || time.Since(began) > initialLineTimeout/2 { // the connection was established
		c.pending.retry.reset()
	}
	if !replaced {
		c.logLost(ctx, err, c.pending.scheduleRetry(time.Now()))
	}
}

// logLost logs why a connection was lost, unless ctx is done.
func (c *Client) logLost(ctx context.Context, cause error, retryDelay time.Duration) {
	if ctx.Err() == nil {
		c.log.Warn(logevent.ControlFeedLost,
			zap.Error(cause), zap.Int64("last_event_id", c.LastEventID), logevent.Milliseconds("backoff_ms", retryDelay))
	}
}

// handleEvent handles one event. Duplicates are skipped. Events that are missing before it are requested again once; an event that cannot
// be parsed is requested maxEventErrors times in total. An error ends the connection, so that the next connection repeats the request.
func (c *Client) handleEvent(id, data string) error {
	event, hasList, err := c.parseReceivedEvent([]byte(data))
	if number, idErr := strconv.ParseInt(id, 10, 64); idErr == nil {
		event.Number = number
	}
	switch {
	case err != nil:
		return c.handleInvalidEvent(id, event.Number, err)
	case event.Number <= c.LastEventID:
		return nil
	case event.Number > c.LastEventID+1 && !c.gapRequested:
		c.gapRequested = true
		return &gapError{number: event.Number, last: c.LastEventID}
	}
	c.LastEventID = event.Number
	c.eventErrors = 0
	c.gapRequested = false
	if hasList {
		c.onEvent(event)
	}
	return nil
}

// handleInvalidEvent returns an error so that the event is requested again, or skips the event after maxEventErrors failures.
func (c *Client) handleInvalidEvent(id string, number int64, cause error) error {
	c.eventErrors++
	if c.eventErrors < maxEventErrors {
		return fmt.Errorf("event %q: %w", id, cause)
	}
	c.log.Error(logevent.ControlFeedEventSkipped, zap.String("event_id", id), zap.Error(cause))
	c.eventErrors = 0
	c.LastEventID = max(c.LastEventID, number)
	return nil
}

// gapError reports an event before which others are missing.
type gapError struct{ number, last int64 }

func (e *gapError) Error() string {
	return fmt.Sprintf("event %d after %d: requesting the events in between", e.number, e.last)
}

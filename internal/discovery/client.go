// Package discovery watches the control feed: numbered changes of the endpoint list, as server-sent events.
//
// Client connects, requests what follows the last event that it handled, and goes on with a new connection when one ends, falls silent
// or brings no events. liveConn decides when that is, startTimes works out when engines started.
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

// maxEventErrors is how often an event that cannot be read is requested before it is skipped.
const maxEventErrors = 3

// Client watches the control feed at an address. One goroutine owns it while it watches; SetAddress and HasUnreadEvents are safe for
// concurrent use.
type Client struct {
	address     string
	LastEventID int64            // number of the last event handled
	onEvent     func(WatchEvent) // called by Watch for each event that holds a list
	log         *zap.Logger

	startTimes       startTimes
	syncedAt         time.Time                   // when all events of the feed were known; zero: never yet
	conn             atomic.Pointer[net.TCPConn] // the connection that is read
	reading          atomic.Bool                 // a read is blocked, so everything read before was handled
	stream           *liveConn                   // conn, for the goroutine that watches
	spare            net.Conn                    // the connection to use after conn; nil: none
	emptyConnections int                         // connections in a row that brought no line

	eventErrors  int  // failed attempts to read the next event
	gapRequested bool // the events missing before the next one were requested again already

	mu               sync.Mutex
	relocation       *relocation        // the new address, if one was set; nil: none
	cancelConnection context.CancelFunc // ends the present connection, or the backoff before the next
}

// relocation is a new address of the feed, with the events that are known from another source.
type relocation struct {
	address     string
	knownEvents []json.RawMessage
}

// New returns a client of the control feed at an address; Watch calls onEvent for each event with a list. origin is the zero of the
// router's clock, with a monotonic reading.
func New(address string, origin time.Time, onEvent func(WatchEvent), log *zap.Logger) *Client {
	return &Client{
		address:    address,
		onEvent:    onEvent,
		log:        log,
		startTimes: startTimes{origin: origin},
	}
}

// ApplyKnownEvents reads the events of the configuration, before the feed is watched: it calls apply for those that hold a list, and
// returns the highest number. It ends at the first that is not valid.
func (c *Client) ApplyKnownEvents(events []json.RawMessage, apply func(WatchEvent)) (last int64, err error) {
	for _, raw := range events {
		event, hasList, err := c.parseReceived(raw)
		if err != nil {
			return last, fmt.Errorf("known.events: %w", err)
		}
		last = max(last, event.Number)
		if hasList {
			apply(event)
		}
	}
	c.syncedAt = time.Now() // what is not among them happens after the start
	return last, nil
}

// parseReceived reads an event that is received now.
func (c *Client) parseReceived(raw []byte) (event WatchEvent, hasList bool, err error) {
	event, hasList, err = ParseEvent(raw)
	if err == nil {
		c.startTimes.resolve(&event, c.syncedAt, time.Now())
	}
	return event, hasList, err
}

// SetAddress makes the client go on at another address, from the event last handled, at once. Events that the caller knows of are
// handled first, as far as they are new. Of several calls the last counts.
func (c *Client) SetAddress(address string, knownEvents []json.RawMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relocation = &relocation{address: address, knownEvents: knownEvents}
	if c.cancelConnection != nil {
		c.cancelConnection()
	}
}

// applyRelocation goes to another address, if one was set. The context that it returns ends when the next one is set.
func (c *Client) applyRelocation(ctx context.Context) (connCtx context.Context, cancel context.CancelFunc, relocated bool) {
	connCtx, cancel = context.WithCancel(ctx)
	c.mu.Lock()
	next := c.relocation
	c.relocation = nil
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

// applyNewerEvents handles the new events of a list, up to the first gap. The feed itself sends those behind the gap.
func (c *Client) applyNewerEvents(events []json.RawMessage) {
	for _, raw := range events {
		event, hasList, err := c.parseReceived(raw)
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

// Watch follows the feed until ctx ends. A connection that ends or falls silent is replaced at once, and with increasing backoff while
// nothing is received. Its error is always nil.
func (c *Client) Watch(ctx context.Context) error {
	defer c.closeSpare()
	var retry backoff
	for ctx.Err() == nil {
		connCtx, cancel, relocated := c.applyRelocation(ctx)
		if relocated {
			c.closeSpare() // it is connected to the old address
			c.emptyConnections = 0
			retry.reset()
		}
		lastEventID := c.LastEventID
		began := time.Now()
		err := c.watchOnce(connCtx)
		replaced := errors.Is(err, errReplaced)
		if replaced || c.LastEventID > lastEventID || time.Since(began) > initialLineTimeout/2 { // the connection was established
			retry.reset()
		}
		if !replaced {
			c.waitBackoff(connCtx, err, retry.pause)
			retry.increase()
		}
		cancel()
	}
	return nil
}

// waitBackoff waits after a connection was lost, until ctx ends at the latest.
func (c *Client) waitBackoff(ctx context.Context, lost error, pause time.Duration) {
	if ctx.Err() == nil {
		c.log.Warn(logevent.ControlFeedLost,
			zap.Error(lost), zap.Int64("last_event_id", c.LastEventID), logevent.Milliseconds("backoff_ms", pause))
	}
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// handleEvent handles one event. Repeats are skipped. The events missing before it are requested again once, an event that cannot be
// read is requested maxEventErrors times in all. An error ends the connection, so that the next one requests again.
func (c *Client) handleEvent(id, data string) error {
	event, hasList, err := c.parseReceived([]byte(data))
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

// handleInvalidEvent returns an error to have the event requested again, or skips it if that was done often enough.
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

// Package feed follows the control feed: numbered changes of the list of engines, as server-sent events.
package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"bankledge/decision"
	"bankledge/internal/http1"
	"bankledge/internal/settings"
	"bankledge/internal/sse"
)

const (
	silenceTimeout   = 2500 * time.Millisecond // a comment comes each second: a feed without a whole line for so long is dead
	firstLineTimeout = 1250 * time.Millisecond // that a new connection is given for its next line; half as much more after each that had none
	progressBytes    = 4 << 10                 // bytes of one line that are a sign of life, too: an event may be long
	eventTimeout     = 4 * time.Second         // without an event, comments or not: another connection may have one to tell
	connectTimeout   = 500 * time.Millisecond
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 400 * time.Millisecond
	maxEventBytes    = 1 << 20 // bytes of one event, of thousands of engines
	maxEventErrors   = 3       // an event that cannot be read is asked for so often, then passed over
)

// Member is an engine in a change, with the address where it listens.
type Endpoint struct {
	decision.Endpoint
	Address           string
	startedUnixMillis int64 // Unix time of a late start, or 0
}

// Change is one numbered event. Complete: it holds the whole list.
type WatchEvent struct {
	Number    int64
	Revision  int64
	Complete  bool
	Endpoints []Endpoint
}

var engineStates = map[string]decision.EngineState{"active": decision.Ready, "leaving": decision.Draining,
	"left": decision.Removed}

// Parse reads one event; ok is false for an event that holds no list. Times of starts are not worked out yet.
func ParseEvent(raw []byte) (c WatchEvent, ok bool, err error) {
	var in struct {
		N       int64 `json:"n"`
		Members *struct {
			Revision int64 `json:"revision"`
			Complete bool  `json:"complete"`
			Members  []struct {
				ID       decision.EngineID    `json:"id"`
				HostPort string               `json:"host_port"`
				Locality decision.Zone        `json:"locality"`
				Flavor   decision.MachineType `json:"flavor"`
				Cell     decision.Cell        `json:"cell"`
				Phase    string               `json:"phase"`
				Size     float64              `json:"size"`
				UpSince  float64              `json:"up_since_ms"`
			} `json:"members"`
		} `json:"members"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return c, false, err
	}
	c.Number = in.N
	if in.Members == nil {
		return c, false, nil
	}
	c.Revision, c.Complete = in.Members.Revision, in.Members.Complete
	for _, m := range in.Members.Members {
		state, err := settings.LookUpWord("phase", m.Phase, engineStates)
		if err != nil {
			return c, false, err
		}
		if m.ID == "" {
			return c, false, errors.New("a member without an id")
		}
		if err := settings.ValidateAddress(m.HostPort); err != nil && state != decision.Removed {
			return c, false, fmt.Errorf("host_port of %s: %w", m.ID, err)
		}
		c.Endpoints = append(c.Endpoints, Endpoint{Address: m.HostPort, startedUnixMillis: int64(m.UpSince), Endpoint: decision.Endpoint{Engine: m.ID,
			Zone: m.Locality, MachineType: m.Flavor, Cell: m.Cell, State: state, Weight: m.Size}})
	}
	return c, true, nil
}

// Feed follows the control feed at an address.
type Client struct {
	Address     string
	LastEventID int64 // number of the last event taken
	OnEvent     func(WatchEvent)
	Log         *zap.Logger

	startTimes       startTimes
	syncedAt         time.Time                   // when all that the feed had to tell was known; zero: never yet
	conn             atomic.Pointer[net.TCPConn] // the connection that is followed
	reading          atomic.Bool                 // for what comes next: all that was read has been taken
	stream           *liveConn                   // the same
	spare            net.Conn                    // one that is to take its place
	emptyConnections int                         // connections in a row that brought no line

	eventErrors  int  // tries at the event that could not be read
	gapRequested bool // a gap was asked for again already

	mu               sync.Mutex
	relocation       *relocation        // where to go on, if elsewhere
	cancelConnection context.CancelFunc // ends the present connection, or the pause before the next
}

// New prepares to follow the control feed at an address, with take hearing each change. origin is that of the router's clock.
func New(address string, origin time.Time, take func(WatchEvent), log *zap.Logger) *Client {
	return &Client{Address: address, OnEvent: take, Log: log, startTimes: startTimes{origin: origin}}
}

// Known reads the events of the configuration, before the feed is followed: it hands out those that hold a list, and goes on from last.
func (f *Client) ApplyKnownEvents(events []json.RawMessage, take func(WatchEvent)) (last int64, err error) {
	for _, raw := range events {
		c, held, err := f.parseReceived(raw)
		if err != nil {
			return last, fmt.Errorf("known.events: %w", err)
		}
		if last = max(last, c.Number); held {
			take(c)
		}
	}
	f.syncedAt = time.Now() // what is not among them comes after the start
	return last, nil
}

// read reads one event that is heard now.
func (f *Client) parseReceived(raw []byte) (c WatchEvent, ok bool, err error) {
	if c, ok, err = ParseEvent(raw); err == nil {
		f.startTimes.resolve(&c, f.syncedAt, time.Now())
	}
	return c, ok, err
}

// place is where the feed is to be found, and the events that are known from elsewhere.
type relocation struct {
	address     string
	knownEvents []json.RawMessage
}

// Move makes the feed go on at another address, from the number last taken, at once. Events that the caller
// knows of are taken first, as far as they are new. Of several moves the last counts.
func (f *Client) SetAddress(address string, known []json.RawMessage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relocation = &relocation{address, known}
	if f.cancelConnection != nil {
		f.cancelConnection()
	}
}

// settle carries out a move; the context that it returns ends with the next one.
func (f *Client) applyRelocation(ctx context.Context) (stay context.Context, leave context.CancelFunc, moved bool) {
	f.mu.Lock()
	next := f.relocation
	f.relocation = nil
	stay, leave = context.WithCancel(ctx)
	f.cancelConnection = leave
	f.mu.Unlock()
	if next != nil {
		f.Log.Info("control feed moves", zap.String("to", next.address), zap.Int64("last", f.LastEventID))
		f.Address = next.address
		f.applyNewerEvents(next.knownEvents)
	}
	return stay, leave, next != nil
}

// catchUp takes what is new of a list of events, as far as it follows on what was taken.
func (f *Client) applyNewerEvents(known []json.RawMessage) {
	for _, raw := range known {
		c, held, err := f.parseReceived(raw)
		if err != nil || c.Number > f.LastEventID+1 && !c.Complete {
			return // the feed itself tells of it
		}
		if c.Number > f.LastEventID {
			if f.LastEventID = c.Number; held {
				f.OnEvent(c)
			}
		}
	}
}

// Follow follows the feed until ctx ends: a connection that ends or falls silent is made anew at once, then
// with growing pauses while nothing comes.
func (f *Client) Watch(ctx context.Context) error {
	pause := time.Duration(0)
	defer f.closeSpare()
	for ctx.Err() == nil {
		stay, leave, moved := f.applyRelocation(ctx)
		if moved {
			f.closeSpare() // it leads to the old place
			pause, f.emptyConnections = 0, 0
		}
		before := f.LastEventID
		began := time.Now()
		err := f.watchOnce(stay)
		renewed := errors.Is(err, errReplaced)
		if f.LastEventID > before || renewed || time.Since(began) > firstLineTimeout/2 { // it came up: the next one at once
			pause = 0
		}
		if renewed {
			leave()
			continue
		}
		if stay.Err() == nil {
			f.Log.Warn("control feed lost, connecting anew", zap.Error(err), zap.Int64("last", f.LastEventID), zap.Duration("pause", pause))
		}
		select {
		case <-time.After(pause):
		case <-stay.Done():
		}
		leave()
		pause = min(maxBackoff, max(minBackoff, 2*pause))
	}
	return nil
}

var errReplaced = errors.New("another connection has taken its place")

// once follows the feed on one connection, the one that has taken the last one's place or a new one.
func (f *Client) watchOnce(ctx context.Context) error {
	raw := f.spare
	f.spare = nil
	if raw == nil {
		var err error
		if raw, err = f.connect(ctx); err != nil {
			return err
		}
	}
	defer raw.Close()
	defer context.AfterFunc(ctx, func() { raw.Close() })()
	tcp, _ := raw.(*net.TCPConn)
	f.conn.Store(tcp)
	defer f.conn.Store(nil)
	stream := &liveConn{Conn: raw, lastProgress: time.Now(), progressTimeout: f.firstLineTimeout(), lastEvent: time.Now(), reading: &f.reading}
	stream.connectReplacement = func() bool {
		var err error
		f.spare, err = f.connect(ctx)
		return err == nil
	}
	f.stream = stream
	defer func() {
		if f.emptyConnections++; stream.bodyStarted {
			f.emptyConnections = 0
		}
	}()
	reader := http1.NewReader(stream)
	head, err := reader.ReadHeader()
	if err != nil {
		return err
	}
	if head.Status != 200 {
		return fmt.Errorf("control feed answered %d", head.Status)
	}
	stream.headerRead = true
	return f.readEvents(reader.BodyReader(head))
}

// Behind tells whether the control feed has told something that was not read, or not taken, yet. Anybody may ask.
func (f *Client) HasUnreadEvents() (behind bool) {
	conn := f.conn.Load()
	if conn == nil {
		return false
	}
	if !f.reading.Load() {
		return true
	}
	if raw, err := conn.SyscallConn(); err == nil { // closed: there is nothing more to come
		raw.Control(func(fd uintptr) {
			n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
			behind = err == nil && n > 0
		})
	}
	return behind
}

func (f *Client) closeSpare() {
	if f.spare != nil {
		f.spare.Close()
		f.spare = nil
	}
}

// ask makes a connection and asks for what follows the last event taken.
func (f *Client) connect(ctx context.Context) (net.Conn, error) {
	dial, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(dial, "tcp", f.Address)
	if err != nil {
		return nil, err
	}
	raw.SetDeadline(time.Now().Add(firstLineTimeout))
	call := "GET /v1/events HTTP/1.1\r\nHost: " + f.Address + "\r\nAccept: text/event-stream\r\nLast-Event-ID: " +
		strconv.FormatInt(f.LastEventID, 10) + "\r\n\r\n"
	if _, err := io.WriteString(raw, call); err != nil {
		raw.Close()
		return nil, err
	}
	return raw, nil
}

// patience is how long a new connection is given for its first line. All connections that an event may meet before it is told
// have to fit in the time after which it counts as told; and a feed that is slow to begin has to be given time in the end.
func (f *Client) firstLineTimeout() time.Duration {
	patience := firstLineTimeout
	for range f.emptyConnections {
		patience = min(silenceTimeout, patience*3/2)
	}
	return patience
}

// alive is a connection that ends when it gives no sign of life for long. Not every byte is one: a line that comes a byte at a time
// tells nothing, and neither does a connection that brings the answer's head and no more.
type liveConn struct {
	net.Conn
	lastProgress       time.Time // of life, the last
	bytesSinceProgress int       // bytes since then
	progressTimeout    time.Duration
	headerRead         bool      // the answer's head is read
	bodyStarted        bool      // and lines of its body have come
	lastEvent          time.Time // the last, or the start
	reading            *atomic.Bool
	connectReplacement func() bool // makes a connection that may take this one's place
}

func (a *liveConn) Read(p []byte) (int, error) {
	for {
		due := a.lastProgress.Add(a.progressTimeout)
		if again := a.lastEvent.Add(eventTimeout); a.bodyStarted && again.Before(due) {
			due = again
		}
		a.SetReadDeadline(due)
		a.reading.Store(true)
		n, err := a.Conn.Read(p)
		a.reading.Store(false)
		now := time.Now()
		if a.bytesSinceProgress += n; bytes.IndexByte(p[:n], '\n') >= 0 || a.bytesSinceProgress >= progressBytes {
			if a.lastProgress, a.bytesSinceProgress = now, 0; a.headerRead {
				a.bodyStarted, a.progressTimeout = true, silenceTimeout
			}
		}
		if n > 0 || err == nil || !errors.Is(err, os.ErrDeadlineExceeded) || !a.bodyStarted || now.Sub(a.lastProgress) >= a.progressTimeout {
			return n, err
		}
		if a.connectReplacement() { // only its events are missed
			return 0, errReplaced
		}
		a.lastEvent = now.Add(firstLineTimeout - eventTimeout) // tried again a while later: this one is better than none
	}
}

// events reads server-sent events until the stream ends or one calls for a new connection.
func (f *Client) readEvents(body io.Reader) error {
	return sse.Read(body, maxEventBytes, sse.Handler{
		OnEvent: func(e sse.Event) error {
			if f.stream != nil {
				f.stream.lastEvent = time.Now()
			}
			err := f.handleEvent(e.ID, e.Data)
			if err == nil {
				f.syncedAt = time.Now()
			}
			return err
		},
		OnComment: func() { f.syncedAt = time.Now() },
	})
}

// event takes one event: repeats are passed over, a gap is asked for again once.
func (f *Client) handleEvent(id, data string) error {
	c, held, err := f.parseReceived([]byte(data))
	if n, bad := strconv.ParseInt(id, 10, 64); bad == nil {
		c.Number = n
	}
	switch {
	case err != nil:
		if f.eventErrors++; f.eventErrors < maxEventErrors {
			return fmt.Errorf("event %q: %w", id, err)
		}
		f.Log.Error("an event of the control feed is passed over", zap.String("id", id), zap.Error(err))
		f.eventErrors = 0
		f.LastEventID = max(f.LastEventID, c.Number)
		return nil
	case c.Number <= f.LastEventID:
		return nil
	case c.Number > f.LastEventID+1 && !f.gapRequested:
		f.gapRequested = true
		return fmt.Errorf("event %d after %d: asking for what is between", c.Number, f.LastEventID)
	}
	f.LastEventID, f.eventErrors, f.gapRequested = c.Number, 0, false
	if held {
		f.OnEvent(c)
	}
	return nil
}

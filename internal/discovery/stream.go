package discovery

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"bankledge/internal/tcpsocket"
)

const (
	// silenceTimeout is the time without a complete line after which a stream is dead: the feed sends a comment each second.
	silenceTimeout = 2500 * time.Millisecond
	// initialLineTimeout is how long a new connection is given for its first line; half as much more after each that brought none.
	initialLineTimeout = 1250 * time.Millisecond
	// progressBytes of one line count as progress, too: an event may be long.
	progressBytes = 4 << 10
	// lateReadTimeout bounds a read, after its deadline, of bytes that have arrived.
	lateReadTimeout = 20 * time.Millisecond
	// eventTimeout is the time without an event, comments or not, after which another connection is opened, in case this one misses events.
	eventTimeout = 4 * time.Second
)

// errReplaced is returned when another connection has taken the place of the one that was read.
var errReplaced = errors.New("another connection has taken its place")

// liveConn is a connection whose reads fail after a time without progress. Not every byte is progress: a line that arrives a byte at a
// time yields no event, and neither does a response header without a body.
type liveConn struct {
	net.Conn
	lastProgress       time.Time
	bytesSinceProgress int
	progressTimeout    time.Duration
	headerRead         bool      // of the response
	bodyStarted        bool      // lines of the response's body have arrived
	lastEvent          time.Time // or the start
	reading            *atomic.Bool
	connectReplacement func() bool // opens a connection that may replace this one
}

// Read reads from the connection. It fails with os.ErrDeadlineExceeded after a time without progress, and with errReplaced where there
// is progress but no event, and another connection could be made.
func (l *liveConn) Read(p []byte) (int, error) {
	for {
		n, err := l.readBefore(p, l.deadline())
		now := time.Now()
		l.recordProgress(p[:n], now)
		timedOut := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
		if !timedOut || !l.bodyStarted || now.Sub(l.lastProgress) >= l.progressTimeout {
			return n, err
		}
		if l.connectReplacement() { // the replacement requests all events that this connection did not deliver
			return 0, errReplaced
		}
		l.lastEvent = now.Add(initialLineTimeout - eventTimeout) // tried again after initialLineTimeout; this connection is used until then
	}
}

// readBefore reads once, before a deadline. What arrived in time while the router did not run is read after it.
func (l *liveConn) readBefore(p []byte, deadline time.Time) (int, error) {
	l.reading.Store(true)
	defer l.reading.Store(false)
	l.SetReadDeadline(deadline)
	n, err := l.Conn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if unread, unreadErr := tcpsocket.UnreadBytes(l.Conn); unreadErr != nil || unread == 0 {
		return n, err
	}
	l.SetReadDeadline(time.Now().Add(lateReadTimeout))
	return l.Conn.Read(p)
}

// deadline is when progress, or an event, is due.
func (l *liveConn) deadline() time.Time {
	progressDue := l.lastProgress.Add(l.progressTimeout)
	eventDue := l.lastEvent.Add(eventTimeout)
	if l.bodyStarted && eventDue.Before(progressDue) {
		return eventDue
	}
	return progressDue
}

func (l *liveConn) recordProgress(received []byte, now time.Time) {
	l.bytesSinceProgress += len(received)
	if bytes.IndexByte(received, '\n') < 0 && l.bytesSinceProgress < progressBytes {
		return
	}
	l.lastProgress = now
	l.bytesSinceProgress = 0
	if l.headerRead {
		l.bodyStarted = true
		l.progressTimeout = silenceTimeout
	}
}

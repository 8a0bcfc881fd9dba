package discovery

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// silenceTimeout is after how long without a complete line a stream is dead: the feed sends a comment each second.
	silenceTimeout = 2500 * time.Millisecond
	// initialLineTimeout is how long a new connection is given for its first line; half as much more after each that brought none.
	initialLineTimeout = 1250 * time.Millisecond
	// progressBytes of one line count as progress, too: an event may be long.
	progressBytes = 4 << 10
	// eventTimeout is after how long without an event, comments or not, another connection is made: it may bring one.
	eventTimeout = 4 * time.Second
)

// errReplaced is returned when another connection has taken the place of the one that was read.
var errReplaced = errors.New("another connection has taken its place")

// liveConn is a connection of which a read fails when it makes no progress for long. Not every byte is progress: a line that arrives a
// byte at a time brings no event, and neither does a connection that brings a response header and no more.
type liveConn struct {
	net.Conn
	lastProgress       time.Time
	bytesSinceProgress int
	progressTimeout    time.Duration
	headerRead         bool      // of the response
	bodyStarted        bool      // lines of the response's body have arrived
	lastEvent          time.Time // or the start
	reading            *atomic.Bool
	connectReplacement func() bool // makes a connection that may take this one's place
}

// Read reads from the connection. It fails with os.ErrDeadlineExceeded after a time without progress, and with errReplaced where there
// is progress but no event, and another connection could be made.
func (l *liveConn) Read(p []byte) (int, error) {
	for {
		l.SetReadDeadline(l.deadline())
		l.reading.Store(true)
		n, err := l.Conn.Read(p)
		l.reading.Store(false)
		now := time.Now()
		l.recordProgress(p[:n], now)
		timedOut := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
		if !timedOut || !l.bodyStarted || now.Sub(l.lastProgress) >= l.progressTimeout {
			return n, err
		}
		if l.connectReplacement() { // from here on only this connection's events are missed
			return 0, errReplaced
		}
		l.lastEvent = now.Add(initialLineTimeout - eventTimeout) // tried again a while later: this one is better than none
	}
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

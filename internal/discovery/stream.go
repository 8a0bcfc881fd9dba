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
	// silenceTimeout is the time without a complete line after which a stream counts as dead. The feed sends a comment every second.
	silenceTimeout = 2500 * time.Millisecond
	// progressBytes is how many bytes of an incomplete line also count as progress, since an event may be long.
	progressBytes = 4 << 10
	// lineEndBytes are the bytes that end a line of server-sent events.
	lineEndBytes = "\r\n"
	// lateReadTimeout limits a read after the deadline of bytes that have already arrived.
	lateReadTimeout = 20 * time.Millisecond
	// eventTimeout is the time without an event, even if comments arrive, after which another connection is opened, in case this one has
	// lost events.
	eventTimeout = 4 * time.Second
)

// errReplaced is returned by Read when another stream replaces the connection.
var errReplaced = errors.New("connection was replaced by another one")

// monitoredConn is a connection whose reads fail after a time without progress. Not every byte counts as progress: a line that arrives one
// byte at a time yields no event, nor does a response header without a body.
type monitoredConn struct {
	net.Conn
	lastProgress       time.Time
	bytesSinceProgress int
	progressTimeout    time.Duration
	headerRead         bool      // the response header was read
	bodyStarted        bool      // lines of the response's body have arrived
	lastEvent          time.Time // when the last event was received, or the connection began to be read
	reading            *atomic.Bool
	interrupted        *atomic.Bool // a replacement was opened
	connectReplacement func() bool  // opens a connection that may replace this one, and returns whether one has delivered a line
}

// Read reads from the connection. It fails with os.ErrDeadlineExceeded after a time without progress, and with errReplaced if there is
// progress but another connection, opened since there was no event, has delivered its first line.
func (l *monitoredConn) Read(p []byte) (int, error) {
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
		l.lastEvent = now.Add(initialLineTimeout - eventTimeout) // retried after initialLineTimeout; this connection stays in use until then
	}
}

// readBefore reads once, before a deadline. If the process was suspended, input that arrived before the deadline is read after it.
func (l *monitoredConn) readBefore(p []byte, deadline time.Time) (int, error) {
	l.reading.Store(true)
	defer l.reading.Store(false)
	l.SetReadDeadline(deadline)
	if l.interrupted.Load() { // the deadline set above may have replaced the one that ends the read
		l.SetReadDeadline(time.Now())
	}
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

// deadline returns the time by which progress or an event must have been received.
func (l *monitoredConn) deadline() time.Time {
	progressDue := l.lastProgress.Add(l.progressTimeout)
	eventDue := l.lastEvent.Add(eventTimeout)
	if l.bodyStarted && eventDue.Before(progressDue) {
		return eventDue
	}
	return progressDue
}

func (l *monitoredConn) recordProgress(received []byte, now time.Time) {
	l.bytesSinceProgress += len(received)
	if !bytes.ContainsAny(received, lineEndBytes) && l.bytesSinceProgress < progressBytes {
		return
	}
	l.lastProgress = now
	l.bytesSinceProgress = 0
	if l.headerRead {
		l.bodyStarted = true
		l.progressTimeout = silenceTimeout
	}
}

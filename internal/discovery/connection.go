package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"bankledge/internal/http1"
	"bankledge/internal/sse"
	"bankledge/internal/tcpsocket"
)

const (
	connectTimeout = 500 * time.Millisecond
	maxEventBytes  = 1 << 20 // an event may list thousands of engines
	statusOK       = 200     // HTTP status
)

// statusError reports a response of the control feed with a status other than 200.
type statusError struct{ status int }

func (e *statusError) Error() string {
	return fmt.Sprintf("control feed responded with HTTP status %d, not 200", e.status)
}

// openedStream is a response of the control feed whose first line has arrived.
type openedStream struct {
	conn *monitoredConn
	body *bufio.Reader
}

// close closes the stream's connection. It does nothing for nil.
func (s *openedStream) close() {
	if s != nil {
		s.conn.Close()
	}
}

// openStream requests the events after the last handled one on a new connection, and returns when the first line of the response has
// arrived. When ctx is done, it closes the connection.
func openStream(ctx context.Context, request streamRequest) (*openedStream, error) {
	conn, err := connect(ctx, request)
	if err != nil {
		return nil, err
	}
	stopClose := context.AfterFunc(ctx, func() { conn.Close() })
	monitored := &monitoredConn{
		Conn:               conn,
		lastProgress:       time.Now(),
		progressTimeout:    2 * maxOldestWait, // pendingStreams closes it sooner
		lastEvent:          time.Now(),
		reading:            new(atomic.Bool),
		interrupted:        new(atomic.Bool),
		connectReplacement: func() bool { return false },
	}
	body, err := awaitFirstLine(monitored)
	if !stopClose() {
		err = errors.Join(err, ctx.Err())
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &openedStream{conn: monitored, body: body}, nil
}

// connect opens a connection and sends the request.
func connect(ctx context.Context, request streamRequest) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(dialCtx, "tcp", request.address)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(initialLineTimeout))
	text := "GET /v1/events HTTP/1.1\r\n" +
		"Host: " + request.address + "\r\n" +
		"Accept: text/event-stream\r\n" +
		"Last-Event-ID: " + strconv.FormatInt(request.lastEventID, 10) + "\r\n\r\n"
	if _, err := io.WriteString(conn, text); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// awaitFirstLine reads the header of the response, and waits for the first line of its body or a large part of it. It returns the body.
func awaitFirstLine(conn *monitoredConn) (*bufio.Reader, error) {
	reader := http1.NewReader(conn)
	header, err := reader.ReadHeader()
	if err != nil {
		return nil, err
	}
	if header.Status != statusOK {
		return nil, &statusError{header.Status}
	}
	conn.headerRead = true
	body := bufio.NewReaderSize(reader.BodyReader(header), progressBytes)
	for {
		buffered, _ := body.Peek(body.Buffered())
		if bytes.ContainsAny(buffered, lineEndBytes) || len(buffered) >= progressBytes {
			return body, nil
		}
		if _, err := body.Peek(len(buffered) + 1); err != nil {
			return nil, err
		}
	}
}

// follow reads the events of a stream until ctx is done. It returns why the stream ended; errReplaced means that c.replacement replaces it.
// A replacement lives until watchCtx is done.
func (c *Client) follow(watchCtx, ctx context.Context, opened *openedStream) error {
	conn := opened.conn
	defer conn.Close()
	stopClose := context.AfterFunc(ctx, func() { conn.Close() })
	defer stopClose()
	tcp, _ := conn.Conn.(*net.TCPConn)
	c.conn.Store(tcp)
	defer c.conn.Store(nil)
	now := time.Now()
	conn.lastProgress = now
	conn.progressTimeout = silenceTimeout
	conn.bodyStarted = true
	conn.lastEvent = now
	conn.reading = &c.reading
	conn.interrupted = &c.replacementOpened
	conn.connectReplacement = func() bool { return c.connectReplacement(watchCtx) }
	c.stream = conn
	return c.readEvents(opened.body)
}

// connectReplacement opens a stream that may replace the current one, if it is time for one. It returns whether a stream that was opened
// now or before has delivered its first line.
func (c *Client) connectReplacement(ctx context.Context) bool {
	now := time.Now()
	c.pending.openIfDue(ctx, now, c.nextRequest())
	c.replacement, _, _ = c.takeOpened(now)
	return c.replacement != nil
}

// nextRequest returns the request for the events that have not been handled.
func (c *Client) nextRequest() streamRequest {
	return streamRequest{address: c.address, lastEventID: c.LastEventID}
}

// takeOpened returns the result of a pending stream, as pendingStreams.takeOpened does.
func (c *Client) takeOpened(now time.Time) (opened *openedStream, retryDelay time.Duration, err error) {
	c.replacementOpened.Store(false)
	opened, retryDelay, err = c.pending.takeOpened(now)
	if opened != nil { // the others were closed
		c.replacementOpened.Store(false)
	}
	return opened, retryDelay, err
}

// interruptRead ends a read of the current stream, since a replacement was opened.
func (c *Client) interruptRead() {
	c.replacementOpened.Store(true)
	if conn := c.conn.Load(); conn != nil {
		conn.SetReadDeadline(time.Now())
	}
}

// readEvents reads server-sent events until the stream ends or an event requires a new connection. A comment means that the feed has sent
// all events up to that time.
func (c *Client) readEvents(body io.Reader) error {
	return sse.Read(body, maxEventBytes, sse.Handler{
		OnEvent: func(event sse.Event) error {
			if c.stream != nil {
				c.stream.lastEvent = time.Now()
			}
			err := c.handleEvent(event.ID, event.Data)
			if err == nil {
				c.syncedAt = time.Now()
			}
			return err
		},
		OnComment: func() { c.syncedAt = time.Now() },
	})
}

// HasUnreadEvents reports whether the control feed may have sent events that were not read or not handled yet. Without an open connection
// this is unknown and the result is true: the next connection requests the events. It is safe for concurrent use.
func (c *Client) HasUnreadEvents() bool {
	conn := c.conn.Load()
	if conn == nil || !c.reading.Load() || c.replacementOpened.Load() {
		return true
	}
	unread, err := tcpsocket.UnreadBytes(conn)
	return err != nil || unread > 0
}

package discovery

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
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

// watchOnce follows the feed on one connection: the spare connection or a new one. It returns why the connection ended; errReplaced means
// that the spare connection replaces it.
func (c *Client) watchOnce(ctx context.Context) error {
	conn, err := c.takeConnection(ctx)
	if err != nil {
		return err
	}
	defer conn.Close()
	stopClose := context.AfterFunc(ctx, func() { conn.Close() })
	defer stopClose()
	tcp, _ := conn.(*net.TCPConn)
	c.conn.Store(tcp)
	defer c.conn.Store(nil)
	c.stream = &monitoredConn{
		Conn:               conn,
		lastProgress:       time.Now(),
		progressTimeout:    c.firstLineTimeout(),
		lastEvent:          time.Now(),
		reading:            &c.reading,
		connectReplacement: func() bool { return c.connectSpare(ctx) },
	}
	defer c.updateEmptyConnections(c.stream)
	return c.readResponse(c.stream)
}

// takeConnection returns the spare connection, or dials a new one if there is none.
func (c *Client) takeConnection(ctx context.Context) (net.Conn, error) {
	spare := c.spare
	c.spare = nil
	if spare != nil {
		return spare, nil
	}
	return c.connect(ctx)
}

// connectSpare opens a spare connection, which may replace the current one, and reports whether it succeeded.
func (c *Client) connectSpare(ctx context.Context) bool {
	var err error
	c.spare, err = c.connect(ctx)
	return err == nil
}

func (c *Client) closeSpare() {
	if c.spare != nil {
		c.spare.Close()
		c.spare = nil
	}
}

// connect opens a connection and requests the events after the last handled one.
func (c *Client) connect(ctx context.Context) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(dialCtx, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(initialLineTimeout))
	request := "GET /v1/events HTTP/1.1\r\n" +
		"Host: " + c.address + "\r\n" +
		"Accept: text/event-stream\r\n" +
		"Last-Event-ID: " + strconv.FormatInt(c.LastEventID, 10) + "\r\n\r\n"
	if _, err := io.WriteString(conn, request); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// firstLineTimeout returns the timeout for the first line on a new connection. It is short at first, so that several connections can fail
// one after another within maxNotificationDelay, and increases, so that a feed that is slow to respond is eventually read.
func (c *Client) firstLineTimeout() time.Duration {
	timeout := initialLineTimeout
	for range c.emptyConnections {
		timeout = min(silenceTimeout, timeout*3/2)
	}
	return timeout
}

// updateEmptyConnections counts consecutive connections that delivered no line.
func (c *Client) updateEmptyConnections(stream *monitoredConn) {
	if stream.bodyStarted {
		c.emptyConnections = 0
		return
	}
	c.emptyConnections++
}

// readResponse reads the header and then the events of the response.
func (c *Client) readResponse(stream *monitoredConn) error {
	reader := http1.NewReader(stream)
	header, err := reader.ReadHeader()
	if err != nil {
		return err
	}
	if header.Status != statusOK {
		return &statusError{header.Status}
	}
	stream.headerRead = true
	return c.readEvents(reader.BodyReader(header))
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
	if conn == nil || !c.reading.Load() {
		return true
	}
	unread, err := tcpsocket.UnreadBytes(conn)
	return err != nil || unread > 0
}

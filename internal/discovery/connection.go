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
	statusOK       = 200     // of HTTP
)

// statusError is a response of the control feed with another status than 200.
type statusError struct{ status int }

func (e *statusError) Error() string { return fmt.Sprintf("control feed answered %d", e.status) }

// watchOnce follows the feed on one connection: the spare one or a new one. It returns why the connection ended, errReplaced if
// the spare connection replaces it.
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
	c.stream = &liveConn{
		Conn:               conn,
		lastProgress:       time.Now(),
		progressTimeout:    c.firstLineTimeout(),
		lastEvent:          time.Now(),
		reading:            &c.reading,
		connectReplacement: func() bool { return c.connectSpare(ctx) },
	}
	defer c.countEmptyConnection(c.stream)
	return c.readResponse(c.stream)
}

// takeConnection returns the spare connection, or a new one.
func (c *Client) takeConnection(ctx context.Context) (net.Conn, error) {
	spare := c.spare
	c.spare = nil
	if spare != nil {
		return spare, nil
	}
	return c.connect(ctx)
}

// connectSpare opens a connection that may replace the present one.
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

// connect makes a connection and requests what follows the last event that was handled.
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

// firstLineTimeout returns the time limit for a new connection's first line. It starts short, so that several connections can fail one
// after another within maxNotificationDelay, and increases, so that a feed that is slow to begin is read in the end.
func (c *Client) firstLineTimeout() time.Duration {
	timeout := initialLineTimeout
	for range c.emptyConnections {
		timeout = min(silenceTimeout, timeout*3/2)
	}
	return timeout
}

// countEmptyConnection counts connections in a row that brought no line.
func (c *Client) countEmptyConnection(stream *liveConn) {
	if stream.bodyStarted {
		c.emptyConnections = 0
		return
	}
	c.emptyConnections++
}

// readResponse reads the response's header and then its events.
func (c *Client) readResponse(stream *liveConn) error {
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

// readEvents reads server-sent events until the stream ends or one requires a new connection. A comment means that the feed has no
// other event by then.
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

// HasUnreadEvents returns whether the control feed may have sent something that was not read, or not handled, yet. Without a connection,
// or on one that this process has closed, that is not known: it is requested again on the next one. It is safe for concurrent use.
func (c *Client) HasUnreadEvents() bool {
	conn := c.conn.Load()
	if conn == nil || !c.reading.Load() {
		return true
	}
	unread, err := tcpsocket.UnreadBytes(conn)
	return err != nil || unread > 0
}

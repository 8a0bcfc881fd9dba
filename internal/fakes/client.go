package fakes

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"bankledge/internal/downstream"
)

// readyPollInterval is the time between two readiness queries of AwaitReady.
const readyPollInterval = 5 * time.Millisecond

// Answer is the final answer of a statement.
type Answer struct {
	Code downstream.Code
	Body string
	Took time.Duration // since the statement was sent; 0 if it was not sent
	Err  error         // the connection ended before the answer, or the statement could not be sent; Code is not set then
}

// Client is a connection of a client to a router. Many statements can be in flight on it concurrently.
type Client struct {
	OnDuplicate func(stream uint32) // called for each answer after the first one of a stream, unless it is nil
	// UseWhileDraining makes Ended ignore that the router accepts no new statements. It has to be set before the first statement.
	UseWhileDraining bool

	conn  net.Conn
	ended chan struct{}

	mu        sync.Mutex
	stream    uint32 // last stream id used
	open      map[uint32]*request
	cancelled map[uint32]bool // streams whose answer may still be in flight
	err       error
	goingAway bool // the router accepts no new statements on the connection
}

// request is a frame that has no answer yet.
type request struct {
	sentAt time.Time
	answer chan Answer
}

// Dial connects to a router. Close closes the connection.
func Dial(address string) (*Client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Client{
		conn:      conn,
		ended:     make(chan struct{}),
		open:      map[uint32]*request{},
		cancelled: map[uint32]bool{},
	}
	go c.read()
	return c, nil
}

// Close closes the connection and waits until its reader has returned.
func (c *Client) Close() {
	c.conn.Close()
	<-c.ended
}

// Ended reports whether the connection has ended, or the router accepts no new statements on it.
func (c *Client) Ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err != nil || c.goingAway && !c.UseWhileDraining
}

func (c *Client) read() {
	defer close(c.ended)
	r := bufio.NewReader(c.conn)
	for {
		frame, err := ReadFrame(r)
		if err != nil {
			c.fail(err)
			return
		}
		c.receive(frame)
	}
}

// fail answers all open requests with an error.
func (c *Client) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.open {
		r.answer <- Answer{Err: err, Took: time.Since(r.sentAt)}
	}
	c.open = nil
	c.err = err
}

func (c *Client) receive(f ReceivedFrame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f.Kind == frameGoAway {
		c.goingAway = true
	}
	isAnswer := f.Kind == frameAnswer
	r := c.open[f.Stream]
	switch {
	case r != nil && (isAnswer || f.Kind == frameReadyAnswer):
		delete(c.open, f.Stream)
		r.answer <- Answer{Code: downstream.Code(f.Code), Body: f.Body, Took: time.Since(r.sentAt)}
	case isAnswer && c.cancelled[f.Stream]:
		delete(c.cancelled, f.Stream)
	case isAnswer && f.Stream > 0 && c.OnDuplicate != nil:
		c.OnDuplicate(f.Stream)
	}
}

// Send sends a statement. The channel receives its answer.
func (c *Client) Send(fields map[string]string, text string) <-chan Answer {
	_, answer := c.Open(fields, text)
	return answer
}

// Open sends a statement and returns its stream. The channel receives its answer.
func (c *Client) Open(fields map[string]string, text string) (stream uint32, answer <-chan Answer) {
	return c.send(frameStatement, Payload(fields, text))
}

// Cancel cancels the statement on a stream. Its channel receives no answer afterwards.
func (c *Client) Cancel(stream uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, open := c.open[stream]; !open {
		return
	}
	delete(c.open, stream)
	c.cancelled[stream] = true
	c.conn.Write(Frame(frameCancel, stream, "")) // the error is ignored: the router treats a broken connection as a cancellation, too
}

func (c *Client) send(kind byte, payload string) (stream uint32, answer <-chan Answer) {
	r := &request{sentAt: time.Now(), answer: make(chan Answer, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		r.answer <- Answer{Err: c.err}
		return 0, r.answer
	}
	c.stream++
	c.open[c.stream] = r
	if _, err := c.conn.Write(Frame(kind, c.stream, payload)); err != nil {
		delete(c.open, c.stream)
		r.answer <- Answer{Err: err}
	}
	return c.stream, r.answer
}

// ReadinessQuery returns the frame that asks the router whether it is ready.
func ReadinessQuery() []byte { return Frame(frameReady, 1, "\x00") }

// AwaitReady polls the router until it is ready. It returns an error if the connection fails or the timeout expires.
func (c *Client) AwaitReady(timeout time.Duration) error {
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(readyPollInterval) {
		_, answer := c.send(frameReady, "\x00")
		a := <-answer
		if a.Err != nil {
			return a.Err
		}
		if a.Code == downstream.CodeCompleted {
			return nil
		}
	}
	return fmt.Errorf("the router is not ready after %v", timeout)
}

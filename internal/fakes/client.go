package fakes

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"bankledge/internal/downstream"
)

// readyPoll is the time between two questions of AwaitReady.
const readyPoll = 5 * time.Millisecond

// Answer is the final answer of a statement.
type Answer struct {
	Code downstream.Code
	Body string
	Took time.Duration // since the statement was sent; 0: it was not
	Err  error         // the connection ended first, or the statement could not be sent; the code is not set
}

// Client is a connection that has many statements open at once.
type Client struct {
	OnDuplicate func(stream uint32) // called for a second answer; nil: nobody listens
	// UseWhileDraining has the connection not count as ended when the router takes no new statements. It is set before the first one.
	UseWhileDraining bool

	conn  net.Conn
	ended chan struct{}

	mu        sync.Mutex
	stream    uint32 // the last one used
	open      map[uint32]*request
	cancelled map[uint32]bool // streams whose answer may still be in flight
	err       error
	goingAway bool // the router takes no new statements
}

// request is what waits for an answer.
type request struct {
	sentAt time.Time
	answer chan Answer
}

// Dial connects to a router. Close ends the connection.
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

// Close ends the connection and waits until nothing of it is left.
func (c *Client) Close() {
	c.conn.Close()
	<-c.ended
}

// Ended reports whether the connection has ended, or the router takes no new statements on it.
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

// fail answers all that is open with an error.
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

// Send sends a statement; its answer comes through the channel.
func (c *Client) Send(fields map[string]string, text string) <-chan Answer {
	_, answer := c.Open(fields, text)
	return answer
}

// Open is Send, and returns the statement's stream as well.
func (c *Client) Open(fields map[string]string, text string) (stream uint32, answer <-chan Answer) {
	return c.send(frameStatement, Payload(fields, text))
}

// Cancel tells the router that nobody waits for a stream any more. No answer comes through its channel.
func (c *Client) Cancel(stream uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, open := c.open[stream]; !open {
		return
	}
	delete(c.open, stream)
	c.cancelled[stream] = true
	c.conn.Write(Frame(frameCancel, stream, "")) // a broken connection says as much to the router
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

// ReadinessQuery returns the frame that asks whether the router is ready.
func ReadinessQuery() []byte { return Frame(frameReady, 1, "\x00") }

// AwaitReady asks the router until it is ready. The error is that of the connection, or that the patience is over.
func (c *Client) AwaitReady(patience time.Duration) error {
	for began := time.Now(); time.Since(began) < patience; time.Sleep(readyPoll) {
		_, answer := c.send(frameReady, "\x00")
		a := <-answer
		if a.Err != nil {
			return a.Err
		}
		if a.Code == downstream.CodeCompleted {
			return nil
		}
	}
	return fmt.Errorf("not ready after %v", patience)
}

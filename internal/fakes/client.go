package fakes

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"bankledge/internal/downstream"
)

// Frame is a frame of the clients' protocol.
func Frame(kind byte, stream uint32, payload string) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(5+len(payload)))
	return append(binary.BigEndian.AppendUint32(append(b, kind), stream), payload...)
}

// Payload is a statement's: fields, then the text.
func Payload(fields map[string]string, text string) string {
	b := []byte{byte(len(fields))}
	for name, value := range fields {
		b = append(append(b, byte(len(name))), name...)
		b = append(binary.BigEndian.AppendUint16(b, uint16(len(value))), value...)
	}
	return string(b) + text
}

// ReadFrame reads a frame; the code and the body are those of an answer.
func ReadFrame(r *bufio.Reader) (kind byte, stream uint32, code byte, body string, err error) {
	head := make([]byte, 9)
	if _, err = io.ReadFull(r, head); err != nil {
		return
	}
	payload := make([]byte, binary.BigEndian.Uint32(head)-5)
	if _, err = io.ReadFull(r, payload); err != nil {
		return
	}
	if len(payload) > 1 {
		code, body = payload[0], string(payload[2:])
	}
	return head[4], binary.BigEndian.Uint32(head[5:]), code, body, nil
}

// Answer is one final answer.
type Answer struct {
	Code downstream.Code
	Body string
	Took time.Duration
	Err  error // the connection ended first
}

// Client is a connection that has many statements open at once.
type Client struct {
	OnDuplicate func(stream uint32) // hears of a second answer; nil: nobody does

	conn   net.Conn
	mu     sync.Mutex
	stream uint32
	open   map[uint32]*sent
	left   map[uint32]bool // streams that nobody waits for: an answer may still be on its way
	err    error
	going  bool // the router has said that it ends
	ended  chan struct{}
}

type sent struct {
	at     time.Time
	answer chan Answer
}

// Dial connects to a router. Close ends the connection.
func Dial(address string) (*Client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, open: map[uint32]*sent{}, left: map[uint32]bool{}, ended: make(chan struct{})}
	go c.read()
	return c, nil
}

// Close ends the connection and waits until nothing of it is left.
func (c *Client) Close() {
	c.conn.Close()
	<-c.ended
}

// Ended tells whether the connection has ended, or the router wants nothing new on it.
func (c *Client) Ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err != nil || c.going
}

func (c *Client) read() {
	defer close(c.ended)
	r := bufio.NewReader(c.conn)
	for {
		kind, stream, code, body, err := ReadFrame(r)
		c.mu.Lock()
		if err != nil {
			for _, s := range c.open {
				s.answer <- Answer{Err: err, Took: time.Since(s.at)}
			}
			c.open, c.err = nil, err
			c.mu.Unlock()
			return
		}
		c.going = c.going || kind == typeNoMore
		if s := c.open[stream]; s != nil && (kind == typeAnswer || kind == typeReadyTold) {
			delete(c.open, stream)
			s.answer <- Answer{Code: downstream.Code(code), Body: body, Took: time.Since(s.at)}
		} else if kind == typeAnswer && c.left[stream] {
			delete(c.left, stream)
		} else if kind == typeAnswer && stream > 0 && c.OnDuplicate != nil {
			c.OnDuplicate(stream)
		}
		c.mu.Unlock()
	}
}

// Send sends a statement; its answer comes through the channel.
func (c *Client) Send(fields map[string]string, text string) <-chan Answer {
	_, answer := c.Open(fields, text)
	return answer
}

// Open sends a statement, and tells its stream beside.
func (c *Client) Open(fields map[string]string, text string) (stream uint32, answer <-chan Answer) {
	return c.ask(typeStatement, Payload(fields, text))
}

// Cancel says that nobody waits for a stream any more. No answer comes through its channel.
func (c *Client) Cancel(stream uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, open := c.open[stream]; open {
		delete(c.open, stream)
		c.left[stream] = true
		c.conn.Write(Frame(typeLeft, stream, "")) // one that is broken tells the router as much
	}
}

// The kinds of frames.
const (
	typeReady     = 1
	typeReadyTold = 2
	typeNoMore    = 3
	typeStatement = 7
	typeAnswer    = 8
	typeLeft      = 9
)

func (c *Client) ask(kind byte, payload string) (stream uint32, answer <-chan Answer) {
	s := &sent{at: time.Now(), answer: make(chan Answer, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		s.answer <- Answer{Err: c.err}
		return 0, s.answer
	}
	c.stream++
	c.open[c.stream] = s
	if _, err := c.conn.Write(Frame(kind, c.stream, payload)); err != nil {
		delete(c.open, c.stream)
		s.answer <- Answer{Err: err}
	}
	return c.stream, s.answer
}

// AwaitReady asks the router until it is ready.
func (c *Client) AwaitReady(patience time.Duration) error {
	for began := time.Now(); time.Since(began) < patience; time.Sleep(5 * time.Millisecond) {
		_, answer := c.ask(typeReady, "\x00")
		switch a := <-answer; {
		case a.Err != nil:
			return a.Err
		case a.Code == downstream.CodeCompleted:
			return nil
		}
	}
	return fmt.Errorf("not ready after %v", patience)
}

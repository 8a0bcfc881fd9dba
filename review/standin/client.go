//go:build review

package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	frameReady   = 1
	frameIsReady = 2
	frameRequest = 7
	frameAnswer  = 8
	frameCancel  = 9
	codeServed   = 20
	codeRefused  = 50
	codeFailed   = 51
)

// answer is a router's answer to a request.
type answer struct {
	code byte
	at   time.Time
}

// client is a client's connection.
type client struct {
	conn net.Conn
	log  *record

	mu      sync.Mutex
	last    uint32
	ids     map[uint32]string
	answers map[string]answer
	ready   chan bool
}

func dial(log *record, address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, log: log, ids: map[uint32]string{}, answers: map[string]answer{}, ready: make(chan bool, 8)}
	go c.read()
	return c, nil
}

func (c *client) read() {
	reader := bufio.NewReader(c.conn)
	for {
		var head [9]byte
		if _, err := io.ReadFull(reader, head[:]); err != nil {
			return
		}
		payload := make([]byte, binary.BigEndian.Uint32(head[:])-5)
		if _, err := io.ReadFull(reader, payload); err != nil {
			return
		}
		stream := binary.BigEndian.Uint32(head[5:])
		switch head[4] {
		case frameIsReady:
			c.ready <- payload[0] == codeServed
		case frameAnswer:
			c.mu.Lock()
			id := c.ids[stream]
			_, twice := c.answers[id]
			c.answers[id] = answer{payload[0], time.Now()}
			c.mu.Unlock()
			c.log.line("client: answer %d to %s: %q", payload[0], id, payload[2:])
			if twice {
				c.log.line("client: a second answer to %s", id)
			}
		}
	}
}

func frame(kind byte, stream uint32, payload []byte) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(5+len(payload)))
	out = append(out, kind)
	out = binary.BigEndian.AppendUint32(out, stream)
	return append(out, payload...)
}

func fields(pairs ...string) []byte {
	out := []byte{byte(len(pairs) / 2)}
	for i := 0; i < len(pairs); i += 2 {
		out = append(out, byte(len(pairs[i])))
		out = append(out, pairs[i]...)
		out = binary.BigEndian.AppendUint16(out, uint16(len(pairs[i+1])))
		out = append(out, pairs[i+1]...)
	}
	return out
}

// send sends a request.
func (c *client) send(id, class string, wait time.Duration, work time.Duration, text string) {
	c.mu.Lock()
	c.last++
	stream := c.last
	c.ids[stream] = id
	c.mu.Unlock()
	payload := fields("i", id, "c", class, "d", fmt.Sprint(wait.Milliseconds()), "h", fmt.Sprint(float64(work.Milliseconds())))
	c.log.line("client: request %s (%s), waits %v", id, class, wait)
	if _, err := c.conn.Write(frame(frameRequest, stream, append(payload, text...))); err != nil {
		c.log.line("client: request %s was not written: %v", id, err)
	}
}

func (c *client) answerTo(id string) (answer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.answers[id]
	return a, ok
}

// awaitReady waits until the router answers that it is ready.
func awaitReady(log *record, address string) {
	await("ready router", 20*time.Second, func() bool {
		c, err := dial(log, address)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			return false
		}
		defer c.conn.Close()
		c.conn.Write(frame(frameReady, 1, fields()))
		select {
		case ready := <-c.ready:
			return ready
		case <-time.After(time.Second):
			return false
		}
	})
	log.line("router at %s is ready", address)
}

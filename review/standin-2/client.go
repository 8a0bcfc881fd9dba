//go:build review

package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"
)

// Types and codes of frames.
const (
	frameReady      = 1
	frameReadyReply = 2
	frameDraining   = 3
	frameStatement  = 7
	frameAnswer     = 8
	frameCancel     = 9

	codeServed  = 20
	codeRefused = 50
	codeFailed  = 51
)

// answer is the final answer of a statement. err is set if the connection ended before it.
type answer struct {
	code byte
	body string
	at   time.Time
	err  error
}

// client is a connection of a sound client.
type client struct {
	conn net.Conn

	mu        sync.Mutex
	writeMu   sync.Mutex
	stream    uint32
	waiting   map[uint32]chan answer
	connError string // text of an error on stream 0
	err       error
	draining  bool
}

func dialRouter(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, waiting: map[uint32]chan answer{}}
	go c.read()
	return c, nil
}

func (c *client) close() { c.conn.Close() }

func (c *client) read() {
	r := bufio.NewReader(c.conn)
	for {
		var head [9]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			c.fail(err)
			return
		}
		payload := make([]byte, binary.BigEndian.Uint32(head[:])-5)
		if _, err := io.ReadFull(r, payload); err != nil {
			c.fail(err)
			return
		}
		c.receive(head[4], binary.BigEndian.Uint32(head[5:]), payload)
	}
}

func (c *client) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
	for stream, channel := range c.waiting {
		channel <- answer{err: err, at: time.Now()}
		delete(c.waiting, stream)
	}
}

func (c *client) receive(kind byte, stream uint32, payload []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case kind == frameDraining:
		c.draining = true
	case kind == frameAnswer && stream == 0:
		c.connError = string(payload[2:])
	case (kind == frameAnswer || kind == frameReadyReply) && c.waiting[stream] != nil:
		c.waiting[stream] <- answer{code: payload[0], body: string(payload[2:]), at: time.Now()}
		delete(c.waiting, stream)
	}
}

// errorOfConnection returns the text of an error that the router sent on stream 0, if any.
func (c *client) errorOfConnection() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connError
}

// open registers a new stream.
func (c *client) open() (uint32, chan answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stream++
	channel := make(chan answer, 1)
	if c.err != nil {
		channel <- answer{err: c.err, at: time.Now()}
		return c.stream, channel
	}
	c.waiting[c.stream] = channel
	return c.stream, channel
}

func (c *client) write(raw []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, err := c.conn.Write(raw)
	return err
}

func (c *client) ready(timeout time.Duration) bool {
	stream, channel := c.open()
	if c.write(frame(frameReady, stream, []byte{0})) != nil {
		return false
	}
	select {
	case a := <-channel:
		return a.err == nil && a.code == codeServed
	case <-time.After(timeout):
		return false
	}
}

// send sends a statement and returns its id and a channel with its answer.
func (c *client) send(class string, limit time.Duration, text string) (id string, channel chan answer, err error) {
	stream, channel := c.open()
	id, raw := statementFrame(stream, class, limit, text)
	return id, channel, c.write(raw)
}

// statementFrame returns a statement's id and frame.
func statementFrame(stream uint32, class string, limit time.Duration, text string) (id string, raw []byte) {
	id = fmt.Sprintf("%016x", rand.Uint64())
	fields := [][2]string{{"c", class}, {"i", id}, {"d", strconv.FormatInt(limit.Milliseconds(), 10)}, {"h", "100.0"}, {"heap_mb", "64"}}
	payload := []byte{byte(len(fields))}
	for _, field := range fields {
		payload = append(payload, byte(len(field[0])))
		payload = append(payload, field[0]...)
		payload = binary.BigEndian.AppendUint16(payload, uint16(len(field[1])))
		payload = append(payload, field[1]...)
	}
	return id, frame(frameStatement, stream, append(payload, text...))
}

func frame(kind byte, stream uint32, payload []byte) []byte {
	raw := binary.BigEndian.AppendUint32(nil, uint32(5+len(payload)))
	raw = append(raw, kind)
	raw = binary.BigEndian.AppendUint32(raw, stream)
	return append(raw, payload...)
}

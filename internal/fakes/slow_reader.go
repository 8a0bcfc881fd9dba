package fakes

import (
	"bytes"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	smallReceiveBuffer = 4 << 10 // bytes; limits the data that the kernel receives before the client reads it
	slowReadBuffer     = 64 << 10
	slowReadsPerSecond = 20
)

// SlowReader is a client that sends its statements immediately and reads its answers at a limited rate.
type SlowReader struct {
	conn  net.Conn
	rate  atomic.Int64 // bytes per second
	ended chan struct{}
	read  bytes.Buffer
	took  time.Duration
}

// DialSlow connects to a router and reads answers at a rate in bytes per second. With a rate of 0 it reads nothing until SetRate is called.
func DialSlow(address string, rate int64) (*SlowReader, error) {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceiveBuffer)
		})
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &SlowReader{conn: conn, ended: make(chan struct{})}
	s.rate.Store(rate)
	go s.run()
	return s, nil
}

// SetRate changes the rate, in bytes per second.
func (s *SlowReader) SetRate(rate int64) { s.rate.Store(rate) }

// Send sends a statement on a stream.
func (s *SlowReader) Send(stream uint32, fields map[string]string, text string) error {
	return s.Write(Frame(frameStatement, stream, Payload(fields, text)))
}

// Write sends bytes unchanged.
func (s *SlowReader) Write(b []byte) error {
	_, err := s.conn.Write(b)
	return err
}

// Ended returns a channel that is closed when the router has closed the connection and all data received before is read.
func (s *SlowReader) Ended() <-chan struct{} { return s.ended }

// Close closes the connection and waits until its reader has returned.
func (s *SlowReader) Close() {
	s.conn.Close()
	<-s.ended
}

func (s *SlowReader) run() {
	defer close(s.ended)
	began := time.Now()
	defer func() { s.took = time.Since(began) }()
	const interval = time.Second / slowReadsPerSecond
	buffer := make([]byte, slowReadBuffer)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	due := 0.0 // bytes
	for range ticker.C {
		rate := float64(s.rate.Load())
		due += rate / slowReadsPerSecond
		if due < 1 {
			continue
		}
		s.conn.SetReadDeadline(time.Now().Add(interval))
		n, err := s.conn.Read(buffer[:min(len(buffer), int(due))])
		s.read.Write(buffer[:n])
		due = min(due-float64(n), float64(s.rate.Load()))
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
}

// SlowAnswers summarises the complete answers that a slow reader has read on streams above 0.
type SlowAnswers struct {
	ByCode   map[byte]int
	ByStream map[uint32]int
	Bytes    int           // without the length fields of the frames
	Took     time.Duration // duration of the connection
}

// Answers returns a summary of the answers. It may be called only after the channel of Ended is closed.
func (s *SlowReader) Answers() SlowAnswers {
	answers := SlowAnswers{ByCode: map[byte]int{}, ByStream: map[uint32]int{}, Took: s.took}
	b := s.read.Bytes()
	for len(b) >= headerBytes {
		length := int(binary.BigEndian.Uint32(b))
		if len(b) < lengthBytes+length {
			break // incomplete
		}
		kind := b[lengthBytes]
		stream := binary.BigEndian.Uint32(b[lengthBytes+1:])
		if kind == frameAnswer && stream > 0 {
			answers.ByCode[b[headerBytes]]++
			answers.ByStream[stream]++
			answers.Bytes += length
		}
		b = b[lengthBytes+length:]
	}
	return answers
}

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
	smallReceiveBuffer = 4 << 10 // bytes of a slow peer's socket, so that its kernel does not take in what it has not read
	slowReadBuffer     = 64 << 10
	slowReadsPerSecond = 20
)

// SlowReader is a client that sends its statements at once and reads its answers at a rate.
type SlowReader struct {
	conn  net.Conn
	rate  atomic.Int64 // bytes a second
	ended chan struct{}
	read  bytes.Buffer
	took  time.Duration
}

// DialSlow connects a reader of so many bytes a second; 0: it reads nothing until SetRate says so.
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

// SetRate sets the bytes a second from now on.
func (s *SlowReader) SetRate(rate int64) { s.rate.Store(rate) }

// Send sends a statement on a stream.
func (s *SlowReader) Send(stream uint32, fields map[string]string, text string) error {
	return s.Write(Frame(frameStatement, stream, Payload(fields, text)))
}

// Write sends bytes as they are.
func (s *SlowReader) Write(b []byte) error {
	_, err := s.conn.Write(b)
	return err
}

// Ended is closed when the router has ended the connection; what had come by then is read to the end first.
func (s *SlowReader) Ended() <-chan struct{} { return s.ended }

// Close ends the connection.
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

// SlowAnswers is what a slow reader has read: answers on streams above 0 that came whole.
type SlowAnswers struct {
	ByCode   map[byte]int
	ByStream map[uint32]int
	Bytes    int           // without the lengths of the frames
	Took     time.Duration // how long the connection lasted
}

// Answers returns what was read. It may be called only after Ended is closed.
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

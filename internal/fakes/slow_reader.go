package fakes

import (
	"bytes"
	"encoding/binary"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const smallBuffer = 4 << 10 // of a slow peer's socket, so that what it has not read is not taken in by its kernel either

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
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer) })
	}}
	conn, err := d.Dial("tcp", address)
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
	return s.Write(Frame(7, stream, Payload(fields, text)))
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
	const steps = 20 // a second
	buf, tick := make([]byte, 64<<10), time.NewTicker(time.Second/steps)
	defer tick.Stop()
	owed := 0.0
	for range tick.C {
		owed += float64(s.rate.Load()) / steps
		if owed < 1 {
			continue
		}
		s.conn.SetReadDeadline(time.Now().Add(time.Second / steps))
		n, err := s.conn.Read(buf[:min(len(buf), int(owed))])
		s.read.Write(buf[:n])
		owed = min(owed-float64(n), float64(s.rate.Load()))
		if err != nil {
			if t, ok := err.(net.Error); ok && t.Timeout() {
				continue
			}
			return
		}
	}
}

// Answers is what came, by code, on streams above 0, each stream's once; whole tells of each whether it is; and how long the
// connection lasted. Only after Ended.
func (s *SlowReader) Answers() (codes map[byte]int, streams map[uint32]int, bytesWhole int, took time.Duration) {
	codes, streams = map[byte]int{}, map[uint32]int{}
	b := s.read.Bytes()
	for len(b) >= 9 {
		n := int(binary.BigEndian.Uint32(b))
		if len(b) < 4+n {
			break // not whole, as its client can tell
		}
		if stream := binary.BigEndian.Uint32(b[5:]); b[4] == 8 && stream > 0 {
			codes[b[9]]++
			streams[stream]++
			bytesWhole += n
		}
		b = b[4+n:]
	}
	return codes, streams, bytesWhole, s.took
}

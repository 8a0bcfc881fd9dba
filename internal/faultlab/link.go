package faultlab

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Way is what befalls one direction of a link.
type Impairment struct {
	Blocked   bool          // nothing passes; what was on its way comes when the link is whole again, as with a retransmission
	Delay     time.Duration // of every piece
	Throttled bool          // a byte a tick
}

const (
	slowTick  = 20 * time.Millisecond
	piece     = 16 << 10
	pieces    = 64 // on their way in one direction of a connection
	dialLimit = time.Second
)

// Link is a relay of TCP connections from an address of its own to a target. Whatever fails between two processes fails here.
type Link struct {
	OnDelivered func(back []byte)   // hears what has passed from the target to who connected; nil: nobody does
	OnConnect   func(source string) // hears the address from which the target sees a connection, before anything passes; nil: nobody does

	mu       sync.Mutex
	address  string
	listener net.Listener
	target   string
	there    Impairment // from who connected to the target
	back     Impairment
	changed  chan struct{} // closed at a change of the ways
	conns    map[net.Conn]net.Conn
	dialled  int
	closed   bool
	held     atomic.Int64
	resets   atomic.Int64
}

// NewLink starts one to a target. Close ends it.
func NewLink(target string) (*Link, error) {
	l := &Link{target: target, changed: make(chan struct{}), conns: map[net.Conn]net.Conn{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.address, l.listener = listener.Addr().String(), listener
	go l.accept(listener)
	return l, nil
}

// Address is where the link listens.
func (l *Link) Address() string { return l.address }

// Dialled is how many connections were made through the link.
func (l *Link) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialled
}

// Held is how many pieces have been read and neither passed nor dropped.
func (l *Link) InFlight() int { return int(l.held.Load()) }

// Resets is how often a sender has reset a connection.
func (l *Link) Resets() int { return int(l.resets.Load()) }

// Set has both directions behave so from now on.
func (l *Link) Impair(there, back Impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.there, l.back = there, back
	close(l.changed)
	l.changed = make(chan struct{})
}

// Target names another target for connections to come.
func (l *Link) SetTarget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = address
}

// Reset breaks all connections with a reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
}

func (l *Link) reset() {
	for from, to := range l.conns {
		for _, c := range []net.Conn{from, to} {
			if t, ok := c.(*net.TCPConn); ok {
				t.SetLinger(0)
				t.Close()
			}
		}
	}
}

// Refuse has new connections refused, or taken again at the same address; those that stand go on.
func (l *Link) RefuseConnections(on bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || on == (l.listener == nil) {
		return nil
	}
	if on {
		l.listener.Close()
		l.listener = nil
		return nil
	}
	listener, err := net.Listen("tcp", l.address)
	if err == nil {
		l.listener = listener
		go l.accept(listener)
	}
	return err
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.listener != nil {
		l.listener.Close()
	}
	l.reset()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *Link) accept(listener net.Listener) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		go l.relay(from)
	}
}

// relay joins a connection to the target's, until both directions have ended.
func (l *Link) relay(from net.Conn) {
	defer from.Close()
	l.mu.Lock()
	target := l.target
	l.dialled++
	l.mu.Unlock()
	to, err := net.DialTimeout("tcp", target, dialLimit)
	if err != nil {
		return
	}
	defer to.Close()
	if l.OnConnect != nil {
		l.OnConnect(to.LocalAddr().String())
	}
	l.mu.Lock()
	l.conns[from] = to
	if l.closed {
		l.reset()
	}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pass(from, to, func() Impairment { return l.there }, nil) })
	both.Go(func() { l.pass(to, from, func() Impairment { return l.back }, l.OnDelivered) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, from)
	l.mu.Unlock()
}

type onItsWay struct {
	bytes []byte
	read  time.Time
}

// pass carries one direction; way is called with the lock held.
func (l *Link) pass(from, to net.Conn, way func() Impairment, heard func([]byte)) {
	queue, gone := make(chan onItsWay, pieces), make(chan struct{})
	var broken atomic.Bool // the sender has reset the connection: what it sent and has not passed never will
	go func() {
		defer close(queue)
		for {
			b := make([]byte, piece)
			n, err := from.Read(b)
			if n > 0 {
				l.held.Add(1)
				select {
				case queue <- onItsWay{b[:n], time.Now()}:
				case <-gone:
					l.held.Add(-1)
					return
				}
			}
			if errors.Is(err, syscall.ECONNRESET) {
				broken.Store(true)
				l.resets.Add(1)
			}
			if err != nil {
				return
			}
		}
	}()
	defer func() { // what has not passed never will
		close(gone)
		for range queue {
			l.held.Add(-1)
		}
	}()
	for p := range queue {
		passed := l.await(p.read, way) && !broken.Load() && l.write(from, to, p.bytes, way, heard)
		l.held.Add(-1)
		if broken.Load() {
			to.(*net.TCPConn).SetLinger(0)
			to.Close()
			return
		}
		if !passed {
			break
		}
	}
	if t, ok := to.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}

// write passes a piece on, whole or a byte a tick. false: nothing more passes.
func (l *Link) write(from, to net.Conn, piece []byte, way func() Impairment, heard func([]byte)) bool {
	for step := len(piece); len(piece) > 0; piece = piece[step:] {
		l.mu.Lock()
		if step = len(piece); way().Throttled {
			step = 1
		}
		l.mu.Unlock()
		if step == 1 && len(piece) > 1 {
			time.Sleep(slowTick)
		}
		if _, err := to.Write(piece[:step]); err != nil {
			from.Close()
			return false
		}
		if heard != nil {
			heard(piece[:step])
		}
	}
	return true
}

// await waits until a piece may pass; false: the link is closed.
func (l *Link) await(read time.Time, way func() Impairment) bool {
	for {
		l.mu.Lock()
		w, changed, closed := way(), l.changed, l.closed
		l.mu.Unlock()
		due := time.Until(read.Add(w.Delay))
		switch {
		case closed:
			return false
		case !w.Blocked && due <= 0:
			return true
		case w.Blocked:
			<-changed
		default:
			select {
			case <-changed:
			case <-time.After(due):
			}
		}
	}
}

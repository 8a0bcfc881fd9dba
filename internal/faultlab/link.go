package faultlab

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Impairment is what happens to one direction of a link. The zero value passes everything at once.
type Impairment struct {
	Blocked   bool          // nothing passes; what was in flight passes when the link is restored, as with a retransmission
	Delay     time.Duration // of every chunk
	Throttled bool          // a byte each throttleInterval
}

const (
	throttleInterval = 20 * time.Millisecond
	targetDialLimit  = time.Second
)

// Link is a relay of TCP connections from an address of its own to a target. Faults between two processes are injected here.
type Link struct {
	OnDelivered func(reverse []byte) // called with what has passed from the target to who connected; nil: nobody listens
	OnConnect   func(source string)  // called with the address from which the target sees a connection, before anything passes; nil: nobody listens

	inFlight atomic.Int64 // chunks
	resets   atomic.Int64

	mu          sync.Mutex
	address     string
	listener    net.Listener // nil: connections are refused
	target      string
	forward     Impairment // from who connected to the target
	reverse     Impairment
	changed     chan struct{} // closed when an impairment changes, or the link is closed
	connections map[net.Conn]net.Conn
	dialled     int
	closed      bool
}

// NewLink starts a link to a target. Close ends it.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{
		target:      target,
		address:     listener.Addr().String(),
		listener:    listener,
		changed:     make(chan struct{}),
		connections: map[net.Conn]net.Conn{},
	}
	go l.accept(listener)
	return l, nil
}

// Address is where the link listens.
func (l *Link) Address() string { return l.address }

// Connections is how many connections were made through the link.
func (l *Link) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialled
}

// InFlight is how many chunks have been read and neither passed nor dropped.
func (l *Link) InFlight() int { return int(l.inFlight.Load()) }

// Resets is how often a sender has reset a connection.
func (l *Link) Resets() int { return int(l.resets.Load()) }

// Impair sets what happens to the two directions from now on: forward is from who connects to the target.
func (l *Link) Impair(forward, reverse Impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forward = forward
	l.reverse = reverse
	l.notifyChange()
}

// Restore ends all impairments.
func (l *Link) Restore() { l.Impair(Impairment{}, Impairment{}) }

// notifyChange wakes what waits to pass. The lock is held.
func (l *Link) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetTarget names another target for connections to come.
func (l *Link) SetTarget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = address
}

// Reset breaks all connections with a TCP reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetConnections()
}

// resetConnections is Reset with the lock held.
func (l *Link) resetConnections() {
	for from, to := range l.connections {
		resetConnection(from)
		resetConnection(to)
	}
}

// resetConnection closes a connection with a TCP reset.
func resetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
		t.Close()
	}
}

// RefuseConnections has new connections refused, or accepted again at the same address; connections that stand go on. The
// error is that of listening again.
func (l *Link) RefuseConnections(refuse bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	refusing := l.listener == nil
	if l.closed || refuse == refusing {
		return nil
	}
	if refuse {
		l.listener.Close()
		l.listener = nil
		return nil
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

// Close ends the link and its connections.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.listener != nil {
		l.listener.Close()
	}
	l.resetConnections()
	l.notifyChange()
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

// relay joins a connection to one to the target, until both directions have ended.
func (l *Link) relay(from net.Conn) {
	defer from.Close()
	l.mu.Lock()
	target := l.target
	l.dialled++
	l.mu.Unlock()
	to, err := net.DialTimeout("tcp", target, targetDialLimit)
	if err != nil {
		return
	}
	defer to.Close()
	if l.OnConnect != nil {
		l.OnConnect(to.LocalAddr().String())
	}
	l.mu.Lock()
	l.connections[from] = to
	if l.closed {
		l.resetConnections()
	}
	l.mu.Unlock()
	forward := &direction{link: l, from: from, to: to, impairment: &l.forward}
	reverse := &direction{link: l, from: to, to: from, impairment: &l.reverse, onDelivered: l.OnDelivered}
	var both sync.WaitGroup
	both.Go(forward.run)
	both.Go(reverse.run)
	both.Wait()
	l.mu.Lock()
	delete(l.connections, from)
	l.mu.Unlock()
}

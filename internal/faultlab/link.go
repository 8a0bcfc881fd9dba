package faultlab

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Impairment defines how one direction of a link delays or blocks data. The zero value passes all data immediately.
type Impairment struct {
	Blocked   bool          // no data passes; data in flight passes when the link is restored, as after a retransmission
	Delay     time.Duration // of every chunk
	Throttled bool          // one byte passes per throttleInterval
}

const (
	throttleInterval = 20 * time.Millisecond
	targetDialLimit  = time.Second
)

// Link relays TCP connections from its own listen address to a target, and injects faults between two processes.
type Link struct {
	OnDelivered func(reverse []byte) // called with the data that was delivered from the target to the connecting side; may be nil
	OnConnect   func(source string)  // called with the source address that the target sees, before any data passes; may be nil

	inFlight atomic.Int64 // chunks
	resets   atomic.Int64

	mu          sync.Mutex
	address     string
	listener    net.Listener // nil while connections are refused
	target      string
	forward     Impairment // from the connecting side to the target
	reverse     Impairment
	changed     chan struct{} // closed when an impairment changes, or the link is closed
	connections map[net.Conn]net.Conn
	dialled     int
	closed      bool
}

// NewLink starts a link to a target. Close stops it.
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

// Address returns the listen address of the link.
func (l *Link) Address() string { return l.address }

// Connections returns the number of connections that the link has accepted so far.
func (l *Link) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dialled
}

// InFlight returns the number of chunks that have been read and neither delivered nor dropped.
func (l *Link) InFlight() int { return int(l.inFlight.Load()) }

// Resets returns the number of connection resets received from senders.
func (l *Link) Resets() int { return int(l.resets.Load()) }

// Impair sets the impairments of both directions. forward applies from the connecting side to the target.
func (l *Link) Impair(forward, reverse Impairment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forward = forward
	l.reverse = reverse
	l.notifyChange()
}

// Restore removes all impairments.
func (l *Link) Restore() { l.Impair(Impairment{}, Impairment{}) }

// notifyChange wakes the goroutines that wait to pass data. The caller holds the lock.
func (l *Link) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// SetTarget sets the target of new connections.
func (l *Link) SetTarget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = address
}

// Reset closes all connections with a TCP reset.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetConnections()
}

// resetConnections closes all connections with a TCP reset. The caller holds the lock.
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

// RefuseConnections makes the link refuse new connections, or accept them again at the same address. Open connections are not
// affected. It fails if the link cannot listen at its address again.
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

// Close stops the link and resets its connections.
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

// relay connects to the target and relays a connection until both directions have ended.
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

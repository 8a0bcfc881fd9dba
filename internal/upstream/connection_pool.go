package upstream

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"bankledge/decision"
	"bankledge/internal/http1"
)

const (
	// minRestTime is how long a connection stays unused after a response: a late duplicate of that response shows by
	// then, and is not taken for the response to the next request.
	minRestTime = 10 * time.Millisecond

	// Idle connections are looked through this many times in the time that they may be idle, but not more often than
	// each minMaintenanceInterval.
	maintenancesPerIdleTime = 8
	minMaintenanceInterval  = 10 * time.Millisecond
)

var (
	errUnknownEngine    = errors.New("the engine is not listed at this address")
	errNoConnectionSlot = errors.New("all descriptors for engines are in use")
)

// connectionPool owns all connections to engines, by engine, and the descriptors that they may use.
type connectionPool struct {
	slots          chan struct{} // one element for each connection that exists or is being dialled
	maxIdleTime    time.Duration
	connectTimeout time.Duration

	mu               sync.Mutex
	addresses        map[decision.EngineID]string        // of the listed engines
	engineAt         map[string]decision.EngineID        // the inverse of addresses
	idle             map[decision.EngineID][]*connection // the latest used last
	attemptsInFlight map[decision.EngineID]int
	draining         map[decision.EngineID]bool // of the listed engines
	open             map[*connection]struct{}   // all that exist, idle or in use
	slotWaiters      int
	stats            ConnectionStats
	closed           bool
}

func newConnectionPool(maxConnections int, maxIdleTime, connectTimeout time.Duration) *connectionPool {
	return &connectionPool{
		slots:            make(chan struct{}, maxConnections),
		maxIdleTime:      maxIdleTime,
		connectTimeout:   connectTimeout,
		addresses:        map[decision.EngineID]string{},
		engineAt:         map[string]decision.EngineID{},
		idle:             map[decision.EngineID][]*connection{},
		attemptsInFlight: map[decision.EngineID]int{},
		draining:         map[decision.EngineID]bool{},
		open:             map[*connection]struct{}{},
	}
}

// acquire takes an idle connection or dials one, within the connect timeout. With forceNew it always dials. It fails
// with errUnknownEngine where the address belongs to another engine by now, and with errNoConnectionSlot where no
// descriptor became free in time.
func (p *connectionPool) acquire(ctx context.Context, engine decision.EngineID, address string, forceNew bool) (*connection, error) {
	if address == "" || p.isOfOtherEngine(address, engine) {
		return nil, errUnknownEngine
	}
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	if !forceNew {
		if conn := p.takeUsable(engine, address); conn != nil {
			return conn, nil
		}
	}
	return p.dial(ctx, engine, address)
}

// takeUsable takes an idle connection that may be used, and closes those that it finds unusable; nil if there is none.
func (p *connectionPool) takeUsable(engine decision.EngineID, address string) *connection {
	for {
		conn := p.takeRestedIdle(engine)
		if conn == nil {
			return nil
		}
		state := conn.inspect()
		if state == stateQuiet && conn.address == address && time.Since(conn.idleSince) < p.maxIdleTime {
			return conn
		}
		p.updateStats(func(stats *ConnectionStats) {
			stats.Stale++
			if state == stateUnexpectedData {
				stats.UnexpectedData++
			}
		})
		p.close(conn)
	}
}

// takeRestedIdle removes the latest used idle connection that has rested for long enough; nil if there is none.
func (p *connectionPool) takeRestedIdle(engine decision.EngineID) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[engine]
	for i := len(idle) - 1; i >= 0; i-- {
		conn := idle[i]
		if time.Since(conn.idleSince) >= minRestTime {
			p.idle[engine] = slices.Delete(idle, i, i+1)
			return conn
		}
	}
	return nil
}

func (p *connectionPool) dial(ctx context.Context, engine decision.EngineID, address string) (*connection, error) {
	if err := p.acquireSlot(ctx); err != nil {
		return nil, err
	}
	began := time.Now()
	socket, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	p.updateStats(func(stats *ConnectionStats) {
		stats.SlowestDial = max(stats.SlowestDial, time.Since(began))
		stats.Dialled++
		if err != nil {
			stats.Failed++
		}
	})
	if err != nil {
		<-p.slots
		return nil, err
	}
	conn := &connection{socket: socket, reader: http1.NewReader(socket), engine: engine, address: address}
	p.mu.Lock()
	p.open[conn] = struct{}{}
	closed := p.closed
	p.mu.Unlock()
	if closed { // shutdown has closed those that were open by then, and missed this one
		p.close(conn)
		return nil, context.Canceled
	}
	return conn, nil
}

// acquireSlot takes a slot. When there is none, the connection that has been idle longest is closed for it.
func (p *connectionPool) acquireSlot(ctx context.Context) error {
	select {
	case p.slots <- struct{}{}:
		return nil
	default:
	}
	p.mu.Lock()
	p.slotWaiters++
	oldest := p.removeOldestIdle()
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.slotWaiters--
		p.mu.Unlock()
	}()
	if oldest != nil {
		p.close(oldest)
	}
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errNoConnectionSlot
	}
}

// removeOldestIdle removes the connection that has been idle longest; nil if none is idle. The caller holds mu.
func (p *connectionPool) removeOldestIdle() *connection {
	var oldest *connection
	for _, idle := range p.idle {
		if len(idle) > 0 && (oldest == nil || idle[0].idleSince.Before(oldest.idleSince)) {
			oldest = idle[0]
		}
	}
	if oldest != nil {
		p.idle[oldest.engine] = slices.Delete(p.idle[oldest.engine], 0, 1)
	}
	return oldest
}

// release returns a connection to the pool after a response that keeps it usable, or closes it where it is not reusable.
func (p *connectionPool) release(conn *connection) {
	p.mu.Lock()
	reusable := p.isReusable(conn)
	if reusable {
		conn.idleSince = time.Now()
		p.idle[conn.engine] = append(p.idle[conn.engine], conn)
	} else {
		p.stats.Surplus++
	}
	p.mu.Unlock()
	if !reusable {
		p.close(conn)
	}
}

// isReusable reports whether a connection may be used again. One to an engine removed from the endpoint list is kept
// while attempts are in flight there, since the engine may accept no new connections. The caller holds mu.
func (p *connectionPool) isReusable(conn *connection) bool {
	if p.closed || p.slotWaiters > 0 {
		return false
	}
	address, listed := p.addresses[conn.engine]
	if address == conn.address {
		return true
	}
	return !listed && p.attemptsInFlight[conn.engine] > 0 && p.engineAt[conn.address] == ""
}

// releaseOrClose returns a connection to the pool after a response, unless the response or data behind it makes it unusable.
func (p *connectionPool) releaseOrClose(conn *connection, header http1.Header) {
	if header.Close || conn.inspect() != stateQuiet {
		p.close(conn)
		return
	}
	p.release(conn)
}

// abort closes a connection whose request has no response. The connection is reset, so that the kernel does not go on
// delivering the request: one that the network has delayed for seconds would otherwise start an attempt that counts as
// ended, or keep it alive.
func (p *connectionPool) abort(conn *connection) {
	conn.resetOnClose()
	p.close(conn)
}

// close closes a connection. It is the only place where the slot of an open connection is released.
func (p *connectionPool) close(conn *connection) {
	conn.socket.Close()
	p.mu.Lock()
	delete(p.open, conn)
	p.mu.Unlock()
	<-p.slots
}

func (p *connectionPool) closeAll(connections []*connection) {
	for _, conn := range connections {
		p.close(conn)
	}
}

func (p *connectionPool) closeIdle(engine decision.EngineID) {
	p.mu.Lock()
	idle := p.idle[engine]
	delete(p.idle, engine)
	p.mu.Unlock()
	p.closeAll(idle)
}

// closeIdleFor closes the connections that have been idle for a duration or longer.
func (p *connectionPool) closeIdleFor(duration time.Duration) {
	p.mu.Lock()
	var expired []*connection
	for engine, idle := range p.idle {
		count := 0
		for count < len(idle) && time.Since(idle[count].idleSince) >= duration {
			count++
		}
		expired = append(expired, idle[:count]...) // copied, since Delete overwrites these elements
		p.idle[engine] = slices.Delete(idle, 0, count)
		if len(p.idle[engine]) == 0 {
			delete(p.idle, engine)
		}
	}
	p.mu.Unlock()
	p.closeAll(expired)
}

// inUse returns the number of descriptors in use.
func (p *connectionPool) inUse() int { return len(p.slots) }

// run closes connections that have been idle for too long, until ctx ends; then it shuts the pool down.
func (p *connectionPool) run(ctx context.Context) {
	ticker := time.NewTicker(max(p.maxIdleTime/maintenancesPerIdleTime, minMaintenanceInterval))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.closeIdleFor(p.maxIdleTime)
		case <-ctx.Done():
			p.shutDown()
			return
		}
	}
}

// shutDown closes all sockets, also those in use: a request to an engine that hangs would hold up the program's end. A
// connection with the start of an attempt on its way is reset, so that the start does not arrive after this program has
// ended and cannot cancel it any more.
func (p *connectionPool) shutDown() {
	p.mu.Lock()
	p.closed = true
	for conn := range p.open {
		if conn.startUnanswered.Load() {
			conn.resetOnClose()
		}
		conn.socket.Close()
	}
	p.mu.Unlock()
	p.closeIdleFor(0)
}

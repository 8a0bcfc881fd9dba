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
	// minIdleBeforeReuse is how long a connection stays unused after a response. A late duplicate of that response arrives
	// within this time and is detected, so that it is not mistaken for the response to the next request.
	minIdleBeforeReuse = 10 * time.Millisecond

	// maintenanceRunsPerIdleTime is how many times the pool checks idle connections within the maximum idle time, but at
	// most once per minMaintenanceInterval.
	maintenanceRunsPerIdleTime = 8
	minMaintenanceInterval     = 10 * time.Millisecond
)

var (
	errUnknownEngine    = errors.New("engine is not listed, or its address belongs to another engine")
	errNoConnectionSlot = errors.New("no connection slot is free: the limit on connections to engines is reached")
)

// connectionPool owns all connections to engines and limits their number.
type connectionPool struct {
	slots          chan struct{} // one element for each connection that is open or being dialled
	maxIdleTime    time.Duration
	connectTimeout time.Duration

	mu               sync.Mutex
	addresses        map[decision.EngineID]string        // addresses of the listed engines
	engineByAddress  map[string]decision.EngineID        // the inverse of addresses
	idle             map[decision.EngineID][]*connection // in order of last use, the most recent last
	attemptsInFlight map[decision.EngineID]int
	draining         map[decision.EngineID]bool // listed engines that are draining
	open             map[*connection]struct{}   // all open connections, idle or in use
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
		engineByAddress:  map[string]decision.EngineID{},
		idle:             map[decision.EngineID][]*connection{},
		attemptsInFlight: map[decision.EngineID]int{},
		draining:         map[decision.EngineID]bool{},
		open:             map[*connection]struct{}{},
	}
}

// acquire returns an idle connection or dials a new one, within the connect timeout. With forceNew it always dials. It
// fails with errUnknownEngine if the address is empty or now belongs to another engine, and with errNoConnectionSlot if no
// slot became free in time.
func (p *connectionPool) acquire(ctx context.Context, engine decision.EngineID, address string, forceNew bool) (*connection, error) {
	if address == "" || p.belongsToOtherEngine(address, engine) {
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

// takeUsable removes a usable idle connection from the pool and returns it, or nil if there is none. It closes unusable
// connections that it finds.
func (p *connectionPool) takeUsable(engine decision.EngineID, address string) *connection {
	for {
		conn := p.takeIdleForReuse(engine)
		if conn == nil {
			return nil
		}
		state := conn.inspect()
		if state == stateOpen && conn.address == address && time.Since(conn.idleSince) < p.maxIdleTime {
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

// takeIdleForReuse removes and returns the most recently used connection that has been idle for minIdleBeforeReuse or
// longer, or nil if there is none.
func (p *connectionPool) takeIdleForReuse(engine decision.EngineID) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[engine]
	for i := len(idle) - 1; i >= 0; i-- {
		conn := idle[i]
		if time.Since(conn.idleSince) >= minIdleBeforeReuse {
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
	if closed { // shutDown ran before this connection was added to open, so it did not close it
		p.close(conn)
		return nil, context.Canceled
	}
	return conn, nil
}

// acquireSlot takes a slot. If none is free, it closes the connection that has been idle longest to free one.
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

// removeOldestIdle removes and returns the connection that has been idle longest, or nil if none is idle. The caller holds mu.
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

// release returns a connection to the pool after a response that leaves it usable, or closes it if it is not reusable.
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

// isReusable reports whether a connection may be used again. A connection to an engine that was removed from the endpoint
// list is kept while attempts are in flight there, since the engine may accept no new connections. The caller holds mu.
func (p *connectionPool) isReusable(conn *connection) bool {
	if p.closed || p.slotWaiters > 0 {
		return false
	}
	address, listed := p.addresses[conn.engine]
	if address == conn.address {
		return true
	}
	return !listed && p.attemptsInFlight[conn.engine] > 0 && p.engineByAddress[conn.address] == ""
}

// releaseOrClose returns a connection to the pool after a response, or closes it if the response or data after it makes it unusable.
func (p *connectionPool) releaseOrClose(conn *connection, header http1.Header) {
	if header.Close || conn.inspect() != stateOpen {
		p.close(conn)
		return
	}
	p.release(conn)
}

// abort closes a connection whose request has no response. It resets the connection, so that the kernel does not continue
// to deliver the request: a request that the network has delayed for seconds could otherwise start an attempt that counts
// as ended, or keep it alive.
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

// closeIdleFor closes the connections that have been idle for the given duration or longer.
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

// inUse returns the number of slots in use.
func (p *connectionPool) inUse() int { return len(p.slots) }

// run periodically closes connections that have been idle for too long. When ctx is done, it shuts the pool down.
func (p *connectionPool) run(ctx context.Context) {
	ticker := time.NewTicker(max(p.maxIdleTime/maintenanceRunsPerIdleTime, minMaintenanceInterval))
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

// shutDown closes all sockets, including those in use: a request to an engine that hangs would otherwise delay the exit of
// the process. A connection with an unanswered start is reset, so that the start does not arrive after the process has
// exited and can no longer cancel the attempt.
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

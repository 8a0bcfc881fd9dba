package upstream

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bankledge/decision"
	"bankledge/internal/http1"
)

const minRestTime = 10 * time.Millisecond // for a connection before another call takes it

// conn is one connection to an engine, used by one call at a time.
type connection struct {
	socket    net.Conn
	reader    *http1.Reader
	engine    decision.EngineID
	address   string
	idleSince time.Time // since when it lies in the pool

	startUnanswered atomic.Bool // a start was written, or is about to be, and has no answer
}

// do writes one call and reads its answer. whole tells whether the call may have come whole to the engine.
func (c *connection) roundTrip(until time.Time, call []byte) (head http1.Header, body []byte, whole bool, err error) {
	c.socket.SetDeadline(until)
	if n, err := c.socket.Write(call); err != nil {
		return head, nil, n == len(call), err
	}
	head, body, err = c.reader.ReadResponse(maxPageBytes)
	return head, body, true, err
}

// willReset has the connection be reset when it is closed.
func (c *connection) resetOnClose() {
	if tcp, ok := c.socket.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// state is what lies on a connection between two calls.
type connectionState int

const (
	stateQuiet          connectionState = iota // nothing: it may be used
	stateEnded                                 // the engine has closed it, or it broke
	stateUnexpectedData                        // more than was asked for has come: what follows cannot be told apart
)

// look finds out the state without waiting. The time that the last call was given may be over by now, and a connection past its
// time can't be looked at: every one that had rested for longer than a call's time was taken for ended and made anew.
func (c *connection) inspect() connectionState {
	if c.reader.Buffered() {
		return stateUnexpectedData
	}
	c.socket.SetReadDeadline(time.Time{})
	sys, ok := c.socket.(syscall.Conn)
	if !ok {
		return stateEnded
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return stateEnded
	}
	found := stateEnded
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			found = stateUnexpectedData
		case errors.Is(err, syscall.EAGAIN):
			found = stateQuiet
		}
		return true
	})
	if err != nil {
		return stateEnded
	}
	return found
}

// pool owns all connections to engines, by engine id, and the descriptors that they may use.
type connectionPool struct {
	slots          chan struct{} // one for each connection that exists or is being made
	maxIdleTime    time.Duration
	connectTimeout time.Duration

	mu               sync.Mutex
	addresses        map[decision.EngineID]string        // of the engines that are listed
	engineAt         map[string]decision.EngineID        // the same the other way round
	idle             map[decision.EngineID][]*connection // the latest used last
	attemptsInFlight map[decision.EngineID]int           // executions without an end
	draining         map[decision.EngineID]bool          // of those listed: nothing new is sent there
	open             map[*connection]struct{}            // all there are
	slotWaiters      int                                 // for a slot
	stats            ConnectionStats
	closed           bool
}

// Dials counts connections made since the last look, and why others were dropped.
type ConnectionStats struct {
	Dialled        int           `json:"Made"` // the keys of a log line
	Failed         int           `json:"NotUp"`
	Stale          int           `json:"Stale"`
	Surplus        int           `json:"Crowded"`
	UnexpectedData int           `json:"Noisy"`
	SlowestDial    time.Duration `json:"Longest"` // that one took to come up
}

// counted looks at the counts and begins anew.
func (p *connectionPool) takeStats() ConnectionStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.stats
	p.stats = ConnectionStats{}
	return d
}

func (p *connectionPool) updateStats(f func(*ConnectionStats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.stats)
}

var (
	errUnknownEngine    = errors.New("no such engine")
	errNoConnectionSlot = errors.New("all descriptors for engines are in use")
)

func newConnectionPool(most int, idleMost, connectIn time.Duration) *connectionPool {
	return &connectionPool{slots: make(chan struct{}, most), maxIdleTime: idleMost, connectTimeout: connectIn,
		addresses: map[decision.EngineID]string{}, engineAt: map[string]decision.EngineID{}, idle: map[decision.EngineID][]*connection{}, attemptsInFlight: map[decision.EngineID]int{},
		draining: map[decision.EngineID]bool{}, open: map[*connection]struct{}{}}
}

// know sets an engine's address. Connections to an earlier one, or to an earlier engine there, are not used again.
func (p *connectionPool) updateEngine(engine decision.EngineID, address string, ready bool) {
	p.mu.Lock()
	if ready {
		delete(p.draining, engine)
	}
	if p.addresses[engine] == address {
		p.mu.Unlock()
		return
	}
	before, other := p.addresses[engine], p.engineAt[address]
	delete(p.addresses, other)
	delete(p.draining, other)
	if p.engineAt[before] == engine {
		delete(p.engineAt, before)
	}
	p.addresses[engine], p.engineAt[address] = address, engine
	p.mu.Unlock()
	p.closeIdle(engine)
	p.closeIdle(other)
}

// forget drops all that is kept of an engine that is gone. What is out there goes on at the address that it
// has, until another engine takes that; connections are kept so long, since it may take no new ones.
func (p *connectionPool) removeEngine(engine decision.EngineID) {
	p.mu.Lock()
	address, out := p.addresses[engine], p.attemptsInFlight[engine]
	delete(p.addresses, engine)
	delete(p.draining, engine)
	if p.engineAt[address] == engine {
		delete(p.engineAt, address)
	}
	p.mu.Unlock()
	if out == 0 {
		p.closeIdle(engine)
	}
}

// drain notes that nothing new is sent to an engine. One that is not listed takes nothing new anyway.
func (p *connectionPool) drainEngine(engine decision.EngineID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addresses[engine] != "" {
		p.draining[engine] = true
	}
}

// mayBegin tells whether an execution may be sent now that was decided when the engine was listed with this address.
func (p *connectionPool) mayStartAttempt(engine decision.EngineID, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[engine] == address && !p.draining[engine]
}

func (p *connectionPool) engines() []decision.EngineID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.addresses))
}

// hold and letGo count the executions that are out at an engine.
func (p *connectionPool) attemptStarted(engine decision.EngineID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attemptsInFlight[engine]++
}

func (p *connectionPool) attemptFinished(engine decision.EngineID) {
	p.mu.Lock()
	p.attemptsInFlight[engine]--
	last := p.attemptsInFlight[engine] == 0
	if last {
		delete(p.attemptsInFlight, engine)
	}
	_, listed := p.addresses[engine]
	p.mu.Unlock()
	if last && !listed {
		p.closeIdle(engine)
	}
}

// keep forgets all engines but these.
func (p *connectionPool) retainEngines(listed map[decision.EngineID]bool) {
	p.mu.Lock()
	var gone []decision.EngineID
	for engine := range p.addresses {
		if !listed[engine] {
			gone = append(gone, engine)
		}
	}
	p.mu.Unlock()
	for _, engine := range gone {
		p.removeEngine(engine)
	}
}

// of is the address of a listed engine, or "".
func (p *connectionPool) addressOf(engine decision.EngineID) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addresses[engine]
}

// get takes a connection from the pool, or makes one, in a time that is bounded by the connect timeout.
func (p *connectionPool) acquire(ctx context.Context, engine decision.EngineID, address string, fresh bool) (*connection, error) {
	p.mu.Lock()
	owner := p.engineAt[address]
	p.mu.Unlock()
	if address == "" || owner != "" && owner != engine { // the address is another's by now
		return nil, errUnknownEngine
	}
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	for !fresh {
		c := p.takeRestedIdle(engine)
		if c == nil {
			break
		}
		state := c.inspect()
		if state == stateQuiet && c.address == address && time.Since(c.idleSince) < p.maxIdleTime {
			return c, nil
		}
		p.updateStats(func(d *ConnectionStats) {
			if d.Stale++; state == stateUnexpectedData {
				d.UnexpectedData++
			}
		})
		p.close(c)
	}
	if err := p.acquireSlot(ctx); err != nil {
		return nil, err
	}
	began := time.Now()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	p.updateStats(func(d *ConnectionStats) {
		d.SlowestDial = max(d.SlowestDial, time.Since(began))
		if d.Dialled++; err != nil {
			d.Failed++
		}
	})
	if err != nil {
		<-p.slots
		return nil, err
	}
	c := &connection{socket: raw, reader: http1.NewReader(raw), engine: engine, address: address}
	p.mu.Lock()
	p.open[c] = struct{}{}
	closed := p.closed
	p.mu.Unlock()
	if closed { // it came up after the end
		p.close(c)
		return nil, context.Canceled
	}
	return c, nil
}

// slot takes a slot; when there is none, the longest idle connection goes first.
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

func (p *connectionPool) removeOldestIdle() *connection {
	var of decision.EngineID
	var oldest *connection
	for engine, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			of, oldest = engine, list[0]
		}
	}
	if oldest != nil {
		p.idle[of] = slices.Delete(p.idle[of], 0, 1)
	}
	return oldest
}

func (p *connectionPool) takeRestedIdle(engine decision.EngineID) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[engine]
	for i := len(list) - 1; i >= 0; i-- { // the latest used that has rested: what came late shows by then
		if c := list[i]; time.Since(c.idleSince) >= minRestTime {
			p.idle[engine] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put gives a connection back after an answer that left it usable.
func (p *connectionPool) release(c *connection) {
	p.mu.Lock()
	address, listed := p.addresses[c.engine]
	keep := !p.closed && p.slotWaiters == 0 && (address == c.address || !listed && p.attemptsInFlight[c.engine] > 0 && p.engineAt[c.address] == "")
	if keep {
		c.idleSince = time.Now()
		p.idle[c.engine] = append(p.idle[c.engine], c)
	}
	if !keep {
		p.stats.Surplus++
	}
	p.mu.Unlock()
	if !keep {
		p.close(c)
	}
}

// abort closes a connection with a call that was not answered. It is reset, so that the kernel does not go on delivering the call: one that
// is held up by the network for seconds would otherwise start or prolong an execution that counts as over.
func (p *connectionPool) abort(c *connection) {
	c.resetOnClose()
	p.close(c)
}

// drop closes a connection: the one place where its descriptor is given back.
func (p *connectionPool) close(c *connection) {
	c.socket.Close()
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
	<-p.slots
}

func (p *connectionPool) closeIdle(engine decision.EngineID) {
	p.mu.Lock()
	list := p.idle[engine]
	delete(p.idle, engine)
	p.mu.Unlock()
	for _, c := range list {
		p.close(c)
	}
}

// tend closes connections that have been idle for long, until ctx ends; then all that are idle.
func (p *connectionPool) run(ctx context.Context) {
	tick := time.NewTicker(max(p.maxIdleTime/8, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.closeIdleFor(p.maxIdleTime)
		case <-ctx.Done():
			p.mu.Lock()
			p.closed = true
			for c := range p.open { // a call that waits for an engine that hangs would hold up the end of the program
				if c.startUnanswered.Load() {
					c.resetOnClose()
				}
				c.socket.Close()
			}
			p.mu.Unlock()
			p.closeIdleFor(0)
			return
		}
	}
}

func (p *connectionPool) closeIdleFor(than time.Duration) {
	p.mu.Lock()
	var old []*connection
	for engine, list := range p.idle {
		n := 0
		for n < len(list) && time.Since(list[n].idleSince) >= than {
			n++
		}
		old = append(old, list[:n]...) // copied: what is left moves up
		if p.idle[engine] = slices.Delete(list, 0, n); n == len(list) {
			delete(p.idle, engine)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		p.close(c)
	}
}

// held is the number of descriptors in use.
func (p *connectionPool) inUse() int { return len(p.slots) }

func isTimeout(err error) bool {
	t := (net.Error)(nil)
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &t) && t.Timeout()
}

// message writes a call; fields are pairs of name and value.
func formatRequest(method, path, host string, body []byte, fields ...string) []byte {
	var b bytes.Buffer
	b.Grow(256 + len(body))
	b.WriteString(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n")
	for i := 0; i+1 < len(fields); i += 2 {
		b.WriteString(fields[i] + ": " + fields[i+1] + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

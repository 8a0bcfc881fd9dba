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

const restTime = 10 * time.Millisecond // for a connection before another call takes it

// conn is one connection to an engine, used by one call at a time.
type conn struct {
	raw     net.Conn
	reader  *http1.Reader
	engine  decision.EngineID
	address string
	idle    time.Time // since when it lies in the pool

	starting atomic.Bool // a start was written, or is about to be, and has no answer
}

// do writes one call and reads its answer. whole tells whether the call may have come whole to the engine.
func (c *conn) do(until time.Time, call []byte) (head http1.Header, body []byte, whole bool, err error) {
	c.raw.SetDeadline(until)
	if n, err := c.raw.Write(call); err != nil {
		return head, nil, n == len(call), err
	}
	head, body, err = c.reader.ReadResponse(mostBody)
	return head, body, true, err
}

// willReset has the connection be reset when it is closed.
func (c *conn) willReset() {
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// state is what lies on a connection between two calls.
type state int

const (
	quiet state = iota // nothing: it may be used
	ended              // the engine has closed it, or it broke
	noisy              // more than was asked for has come: what follows cannot be told apart
)

// look finds out the state without waiting. The time that the last call was given may be over by now, and a connection past its
// time can't be looked at: every one that had rested for longer than a call's time was taken for ended and made anew.
func (c *conn) look() state {
	if c.reader.Buffered() {
		return noisy
	}
	c.raw.SetReadDeadline(time.Time{})
	sys, ok := c.raw.(syscall.Conn)
	if !ok {
		return ended
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return ended
	}
	found := ended
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			found = noisy
		case errors.Is(err, syscall.EAGAIN):
			found = quiet
		}
		return true
	})
	if err != nil {
		return ended
	}
	return found
}

// pool owns all connections to engines, by engine id, and the descriptors that they may use.
type pool struct {
	slots     chan struct{} // one for each connection that exists or is being made
	idleMost  time.Duration
	connectIn time.Duration

	mu      sync.Mutex
	address map[decision.EngineID]string  // of the engines that are listed
	owner   map[string]decision.EngineID  // the same the other way round
	idle    map[decision.EngineID][]*conn // the latest used last
	out     map[decision.EngineID]int     // executions without an end
	drains  map[decision.EngineID]bool    // of those listed: nothing new is sent there
	made    map[*conn]struct{}            // all there are
	waiting int                           // for a slot
	dials   ConnectionStats
	closed  bool
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
func (p *pool) counted() ConnectionStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.dials
	p.dials = ConnectionStats{}
	return d
}

func (p *pool) count(f func(*ConnectionStats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(&p.dials)
}

var (
	errNoEngine = errors.New("no such engine")
	errNoSlot   = errors.New("all descriptors for engines are in use")
)

func newPool(most int, idleMost, connectIn time.Duration) *pool {
	return &pool{slots: make(chan struct{}, most), idleMost: idleMost, connectIn: connectIn,
		address: map[decision.EngineID]string{}, owner: map[string]decision.EngineID{}, idle: map[decision.EngineID][]*conn{}, out: map[decision.EngineID]int{},
		drains: map[decision.EngineID]bool{}, made: map[*conn]struct{}{}}
}

// know sets an engine's address. Connections to an earlier one, or to an earlier engine there, are not used again.
func (p *pool) know(engine decision.EngineID, address string, ready bool) {
	p.mu.Lock()
	if ready {
		delete(p.drains, engine)
	}
	if p.address[engine] == address {
		p.mu.Unlock()
		return
	}
	before, other := p.address[engine], p.owner[address]
	delete(p.address, other)
	delete(p.drains, other)
	if p.owner[before] == engine {
		delete(p.owner, before)
	}
	p.address[engine], p.owner[address] = address, engine
	p.mu.Unlock()
	p.closeIdle(engine)
	p.closeIdle(other)
}

// forget drops all that is kept of an engine that is gone. What is out there goes on at the address that it
// has, until another engine takes that; connections are kept so long, since it may take no new ones.
func (p *pool) forget(engine decision.EngineID) {
	p.mu.Lock()
	address, out := p.address[engine], p.out[engine]
	delete(p.address, engine)
	delete(p.drains, engine)
	if p.owner[address] == engine {
		delete(p.owner, address)
	}
	p.mu.Unlock()
	if out == 0 {
		p.closeIdle(engine)
	}
}

// drain notes that nothing new is sent to an engine. One that is not listed takes nothing new anyway.
func (p *pool) drain(engine decision.EngineID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address[engine] != "" {
		p.drains[engine] = true
	}
}

// mayBegin tells whether an execution may be sent now that was decided when the engine was listed with this address.
func (p *pool) mayBegin(engine decision.EngineID, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address[engine] == address && !p.drains[engine]
}

func (p *pool) engines() []decision.EngineID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.address))
}

// hold and letGo count the executions that are out at an engine.
func (p *pool) hold(engine decision.EngineID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out[engine]++
}

func (p *pool) letGo(engine decision.EngineID) {
	p.mu.Lock()
	p.out[engine]--
	last := p.out[engine] == 0
	if last {
		delete(p.out, engine)
	}
	_, listed := p.address[engine]
	p.mu.Unlock()
	if last && !listed {
		p.closeIdle(engine)
	}
}

// keep forgets all engines but these.
func (p *pool) keep(listed map[decision.EngineID]bool) {
	p.mu.Lock()
	var gone []decision.EngineID
	for engine := range p.address {
		if !listed[engine] {
			gone = append(gone, engine)
		}
	}
	p.mu.Unlock()
	for _, engine := range gone {
		p.forget(engine)
	}
}

// of is the address of a listed engine, or "".
func (p *pool) of(engine decision.EngineID) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address[engine]
}

// get takes a connection from the pool, or makes one, in a time that is bounded by the connect timeout.
func (p *pool) get(ctx context.Context, engine decision.EngineID, address string, fresh bool) (*conn, error) {
	p.mu.Lock()
	owner := p.owner[address]
	p.mu.Unlock()
	if address == "" || owner != "" && owner != engine { // the address is another's by now
		return nil, errNoEngine
	}
	ctx, cancel := context.WithTimeout(ctx, p.connectIn)
	defer cancel()
	for !fresh {
		c := p.pop(engine)
		if c == nil {
			break
		}
		state := c.look()
		if state == quiet && c.address == address && time.Since(c.idle) < p.idleMost {
			return c, nil
		}
		p.count(func(d *ConnectionStats) {
			if d.Stale++; state == noisy {
				d.UnexpectedData++
			}
		})
		p.drop(c)
	}
	if err := p.slot(ctx); err != nil {
		return nil, err
	}
	began := time.Now()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	p.count(func(d *ConnectionStats) {
		d.SlowestDial = max(d.SlowestDial, time.Since(began))
		if d.Dialled++; err != nil {
			d.Failed++
		}
	})
	if err != nil {
		<-p.slots
		return nil, err
	}
	c := &conn{raw: raw, reader: http1.NewReader(raw), engine: engine, address: address}
	p.mu.Lock()
	p.made[c] = struct{}{}
	closed := p.closed
	p.mu.Unlock()
	if closed { // it came up after the end
		p.drop(c)
		return nil, context.Canceled
	}
	return c, nil
}

// slot takes a slot; when there is none, the longest idle connection goes first.
func (p *pool) slot(ctx context.Context) error {
	select {
	case p.slots <- struct{}{}:
		return nil
	default:
	}
	p.mu.Lock()
	p.waiting++
	oldest := p.oldest()
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.waiting--
		p.mu.Unlock()
	}()
	if oldest != nil {
		p.drop(oldest)
	}
	select {
	case p.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errNoSlot
	}
}

func (p *pool) oldest() *conn {
	var of decision.EngineID
	var oldest *conn
	for engine, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idle.Before(oldest.idle)) {
			of, oldest = engine, list[0]
		}
	}
	if oldest != nil {
		p.idle[of] = slices.Delete(p.idle[of], 0, 1)
	}
	return oldest
}

func (p *pool) pop(engine decision.EngineID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[engine]
	for i := len(list) - 1; i >= 0; i-- { // the latest used that has rested: what came late shows by then
		if c := list[i]; time.Since(c.idle) >= restTime {
			p.idle[engine] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put gives a connection back after an answer that left it usable.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	address, listed := p.address[c.engine]
	keep := !p.closed && p.waiting == 0 && (address == c.address || !listed && p.out[c.engine] > 0 && p.owner[c.address] == "")
	if keep {
		c.idle = time.Now()
		p.idle[c.engine] = append(p.idle[c.engine], c)
	}
	if !keep {
		p.dials.Surplus++
	}
	p.mu.Unlock()
	if !keep {
		p.drop(c)
	}
}

// abort closes a connection with a call that was not answered. It is reset, so that the kernel does not go on delivering the call: one that
// is held up by the network for seconds would otherwise start or prolong an execution that counts as over.
func (p *pool) abort(c *conn) {
	c.willReset()
	p.drop(c)
}

// drop closes a connection: the one place where its descriptor is given back.
func (p *pool) drop(c *conn) {
	c.raw.Close()
	p.mu.Lock()
	delete(p.made, c)
	p.mu.Unlock()
	<-p.slots
}

func (p *pool) closeIdle(engine decision.EngineID) {
	p.mu.Lock()
	list := p.idle[engine]
	delete(p.idle, engine)
	p.mu.Unlock()
	for _, c := range list {
		p.drop(c)
	}
}

// tend closes connections that have been idle for long, until ctx ends; then all that are idle.
func (p *pool) tend(ctx context.Context) {
	tick := time.NewTicker(max(p.idleMost/8, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.closeOlder(p.idleMost)
		case <-ctx.Done():
			p.mu.Lock()
			p.closed = true
			for c := range p.made { // a call that waits for an engine that hangs would hold up the end of the program
				if c.starting.Load() {
					c.willReset()
				}
				c.raw.Close()
			}
			p.mu.Unlock()
			p.closeOlder(0)
			return
		}
	}
}

func (p *pool) closeOlder(than time.Duration) {
	p.mu.Lock()
	var old []*conn
	for engine, list := range p.idle {
		n := 0
		for n < len(list) && time.Since(list[n].idle) >= than {
			n++
		}
		old = append(old, list[:n]...) // copied: what is left moves up
		if p.idle[engine] = slices.Delete(list, 0, n); n == len(list) {
			delete(p.idle, engine)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		p.drop(c)
	}
}

// held is the number of descriptors in use.
func (p *pool) held() int { return len(p.slots) }

func isTimeout(err error) bool {
	t := (net.Error)(nil)
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &t) && t.Timeout()
}

// message writes a call; fields are pairs of name and value.
func message(method, path, host string, body []byte, fields ...string) []byte {
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

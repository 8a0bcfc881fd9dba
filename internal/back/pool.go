package back

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"bankledge/decision"
	"bankledge/internal/http1"
)

// conn is one connection to an engine, used by one call at a time.
type conn struct {
	raw     net.Conn
	reader  *http1.Reader
	engine  decision.EngineID
	address string
	idle    time.Time // since when it lies in the pool
}

// do writes one call and reads its answer. whole tells whether the call may have come whole to the engine.
func (c *conn) do(until time.Time, call []byte) (head http1.Head, body []byte, whole bool, err error) {
	c.raw.SetDeadline(until)
	if n, err := c.raw.Write(call); err != nil {
		return head, nil, n == len(call), err
	}
	head, body, err = c.reader.Answer(mostBody)
	return head, body, true, err
}

// alive looks, without waiting, whether the engine has closed the connection or written out of turn.
func (c *conn) alive() bool {
	sys, ok := c.raw.(syscall.Conn)
	if !ok || c.reader.Buffered() {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	fine := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		fine = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && fine
}

// pool owns all connections to engines, by engine id, and the descriptors that they may use.
type pool struct {
	slots     chan struct{} // one for each connection that exists or is being made
	idleMost  time.Duration
	connectIn time.Duration

	mu      sync.Mutex
	address map[decision.EngineID]string
	idle    map[decision.EngineID][]*conn // the latest used last
	waiting int                           // for a slot
	dials   Dials
	closed  bool
}

// Dials counts connections made since the last look, and why others were dropped.
type Dials struct {
	Made, NotUp, Stale, Crowded int
	Longest                     time.Duration // that one took to come up
}

// counted looks at the counts and begins anew.
func (p *pool) counted() Dials {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.dials
	p.dials = Dials{}
	return d
}

func (p *pool) count(f func(*Dials)) {
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
		address: map[decision.EngineID]string{}, idle: map[decision.EngineID][]*conn{}}
}

// know sets an engine's address; connections to an earlier one are not used again.
func (p *pool) know(engine decision.EngineID, address string) {
	p.mu.Lock()
	old := p.address[engine]
	p.address[engine] = address
	p.mu.Unlock()
	if old != "" && old != address {
		p.closeIdle(engine)
	}
}

// get takes a connection from the pool, or makes one, in a time that is bounded by the connect timeout.
func (p *pool) get(ctx context.Context, engine decision.EngineID, fresh bool) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.connectIn)
	defer cancel()
	for !fresh {
		c := p.pop(engine)
		if c == nil {
			break
		}
		if time.Since(c.idle) < p.idleMost && c.alive() {
			return c, nil
		}
		p.count(func(d *Dials) { d.Stale++ })
		p.drop(c)
	}
	if err := p.slot(ctx); err != nil {
		return nil, err
	}
	p.mu.Lock()
	address := p.address[engine]
	p.mu.Unlock()
	if address == "" {
		<-p.slots
		return nil, errNoEngine
	}
	began := time.Now()
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	p.count(func(d *Dials) {
		d.Longest = max(d.Longest, time.Since(began))
		if d.Made++; err != nil {
			d.NotUp++
		}
	})
	if err != nil {
		<-p.slots
		return nil, err
	}
	return &conn{raw: raw, reader: http1.NewReader(raw), engine: engine, address: address}, nil
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
		p.idle[of] = p.idle[of][1:]
	}
	return oldest
}

func (p *pool) pop(engine decision.EngineID) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[engine]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[engine] = list[:len(list)-1]
	return c
}

// put gives a connection back after an answer that left it usable.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	keep := !p.closed && p.waiting == 0 && p.address[c.engine] == c.address
	if keep {
		c.idle = time.Now()
		p.idle[c.engine] = append(p.idle[c.engine], c)
	}
	if !keep {
		p.dials.Crowded++
	}
	p.mu.Unlock()
	if !keep {
		p.drop(c)
	}
}

// drop closes a connection: the one place where its descriptor is given back.
func (p *pool) drop(c *conn) {
	c.raw.Close()
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
		old = append(old, list[:n]...)
		if p.idle[engine] = list[n:]; n == len(list) {
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

package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/faultlab"
	"bankledge/internal/invariant"
)

// lingering is an engine that goes on running what it has, whatever becomes of its listener and its connections.
type lingering struct {
	listener net.Listener
	answer   func(e *lingering, call string, conn int) string // what is written for a call on the conn-th connection
	calls    chan string
	read     chan struct{} // for a case: its start was read
	told     chan struct{} // closed when it was first told to give up
	wait     sync.WaitGroup

	mu      sync.Mutex
	conns   []net.Conn
	running bool
	asked   time.Time
	once    sync.Once
}

func linger(t *testing.T, answer func(*lingering, string, int) string) *lingering {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &lingering{listener: listener, answer: answer, calls: make(chan string, 1000), read: make(chan struct{}), told: make(chan struct{})}
	e.wait.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns = append(e.conns, c)
			n := len(e.conns)
			e.mu.Unlock()
			e.wait.Go(func() { e.serve(c, n) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		e.breakAll()
		e.wait.Wait()
	})
	return e
}

func (e *lingering) serve(c net.Conn, n int) {
	for r := bufio.NewReader(c); ; {
		call, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		io.Copy(io.Discard, call.Body)
		said := e.answer(e, call.Method, n)
		e.mu.Lock()
		switch call.Method {
		case "POST":
			e.running, e.asked = true, time.Now()
		case "GET":
			e.asked = time.Now()
		case "DELETE":
			e.running = e.running && said != dropped
			e.once.Do(func() { close(e.told) })
		}
		e.mu.Unlock()
		e.calls <- call.Method
		if said == "" {
			c.Close()
			return
		}
		io.WriteString(c, said)
	}
}

func (e *lingering) breakAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		c.Close()
	}
}

func (e *lingering) hasBegun() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.asked.IsZero()
}

// isOut tells whether it runs the execution still: neither given up nor unasked for so long that it was dropped.
func (e *lingering) isOut() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running && time.Since(e.asked) < forgets
}

func (e *lingering) await(t *testing.T, call string) {
	t.Helper()
	for late := time.After(10 * time.Second); ; {
		select {
		case heard := <-e.calls:
			if heard == call {
				return
			}
		case <-late:
			t.Fatalf("no %s came", call)
		}
	}
}

// leaves takes no new connections, once it has been asked for the execution.
func (e *lingering) leaves(t *testing.T) {
	e.await(t, "GET")
	e.listener.Close()
}

const (
	noNews  = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	dropped = "HTTP/1.1 204 No Content\r\n\r\n"
)

// held answers like an engine that has no news: a poll after a while.
func held(_ *lingering, call string, _ int) string {
	switch call {
	case "DELETE":
		return dropped
	case "GET":
		time.Sleep(pollHeld / 5)
	}
	return noNews
}

// A statement's next execution goes out when one is told to have ended: so whatever end is told, the engine runs it no
// longer. Each case is one way by which an execution comes to be out no longer, at an engine that would run on.
func TestWhatHasEndedRunsNoLonger(t *testing.T) {
	for name, c := range map[string]struct {
		answer  func(*lingering, string, int) string
		then    func(t *testing.T, e *lingering, b *Client, x *Attempt)
		outcome decision.Outcome
	}{
		"given up at an engine that listens no more": {held, func(t *testing.T, e *lingering, _ *Client, x *Attempt) {
			e.leaves(t)
			x.Cancel()
		}, decision.Cancelled},
		"given up at an engine that listens no more and has left the list": {held, func(t *testing.T, e *lingering, b *Client, x *Attempt) {
			e.leaves(t)
			b.RemoveEngine("e")
			x.Cancel()
		}, decision.Cancelled},
		"connections break at an engine that listens no more": {held, func(t *testing.T, e *lingering, _ *Client, _ *Attempt) {
			e.leaves(t)
			e.breakAll()
		}, decision.ConnectionReset},
		"the address is another's, the connections are gone": {held, func(t *testing.T, e *lingering, b *Client, _ *Attempt) {
			e.await(t, "GET")
			b.UpdateEngine("other", e.listener.Addr().String(), true)
			e.breakAll()
		}, decision.ConnectionReset},
		"the start comes behind its own end": {func(e *lingering, call string, n int) string {
			if call == "POST" {
				close(e.read)
				<-e.told // it comes to run what it was told of only when it was told to give that up
			}
			return held(e, call, n)
		}, func(_ *testing.T, e *lingering, _ *Client, x *Attempt) {
			<-e.read
			x.Cancel()
		}, decision.Cancelled},
		"an end that the protocol does not have": {func(e *lingering, call string, n int) string {
			if call == "GET" {
				return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
			}
			return held(e, call, n)
		}, nil, decision.Errored},
		"giving up is answered by somebody who knows nothing of it": {func(e *lingering, call string, n int) string {
			if call == "DELETE" && n < 4 {
				return "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
			}
			return held(e, call, n)
		}, func(t *testing.T, e *lingering, _ *Client, x *Attempt) {
			e.await(t, "GET")
			x.Cancel()
		}, decision.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := linger(t, c.answer)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(ends, 10)
			b := New(ctx, ended, 20, time.Minute, time.Second, zap.NewNop())
			b.UpdateEngine("e", e.listener.Addr().String(), true)
			x := b.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Text: []byte("select"), Deadline: time.Now().Add(time.Minute)})
			if c.then != nil {
				c.then(t, e, b, x)
			}
			select {
			case end := <-ended:
				require.Eventually(t, e.hasBegun, 10*time.Second, time.Millisecond) // what was on its way has come
				assert.False(t, e.isOut(), "the engine still runs it")
				assert.Equal(t, c.outcome, end.Outcome)
			case <-time.After(10 * time.Second):
				t.Fatal("no end was told")
			}
			cancel()
			require.NoError(t, b.Run(ctx))
			assert.Zero(t, b.ConnectionsInUse(), "all given back")
			assert.Empty(t, ended, "one end")
		})
	}
}

// An end whose proof does not hold is counted and not told before there is one that does, whoever came to it.
func TestAnEndWithoutAProofIsNotTold(t *testing.T) {
	for name, c := range map[string]struct {
		proof     EndProof
		counts    int64
		calledOff bool // first
	}{
		"it is said to be dropped, and was asked for just now": {ProofExpiredAtEngine, 1, true},
		"it is said not to be sent, and was":                   {ProofNotSent, 1, true},
		"the router is said to end, and does not":              {ProofShutdown, 1, true},
		"the engine has told its end":                          {ProofReportedByEngine, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := linger(t, held)
			ended := make(ends, 1)
			b := New(t.Context(), ended, 4, time.Minute, time.Second, zap.NewNop())
			b.UpdateEngine("e", e.listener.Addr().String(), true)
			x := &Attempt{back: b, AttemptRequest: AttemptRequest{Statement: "1", Engine: "e"}, path: "/x/1", address: b.pool.of("e"), ctx: t.Context(),
				heard: make(chan struct{}), over: make(chan struct{})}
			close(x.heard)
			x.written.Store(true)
			x.asked.set(b.origin, time.Now())
			b.pool.hold("e")
			x.end(ending{outcome: decision.Cancelled, proof: c.proof})
			assert.Equal(t, decision.Cancelled, await(t, ended).Outcome)
			assert.Equal(t, c.counts, b.Violations.Recorded(invariant.ProvenAttemptEnd))
			select {
			case <-e.told:
				assert.True(t, c.calledOff)
			default:
				assert.False(t, c.calledOff, "the engine was not told to give it up")
			}
		})
	}
}

// A poll comes to the engine late, and its answer not at all: the engine keeps the execution from when the poll came and was held. Nothing
// confirms that it was given up, and it has ended once the engine has dropped it.
func TestAPollThatComesLate(t *testing.T) {
	const late = 450 * time.Millisecond // shorter than the router waits for the answer
	started, polls := make(chan struct{}), make(chan struct{})
	e := linger(t, func(_ *lingering, call string, _ int) string {
		switch call {
		case "POST":
			close(started)
			<-polls
		case "GET":
			time.Sleep(pollHeld)
		}
		return noNews
	})
	link, err := faultlab.NewLink(e.listener.Addr().String())
	require.NoError(t, err)
	defer link.Close()
	ended := make(ends, 1)
	b := New(t.Context(), ended, 4, time.Minute, time.Second, zap.NewNop())
	b.UpdateEngine("e", link.Address(), true)
	x := b.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Text: []byte("select"), Deadline: time.Now().Add(time.Minute)})
	await(t, started)
	link.Impair(faultlab.Impairment{Delay: late}, faultlab.Impairment{})
	close(polls)
	e.await(t, "POST")
	polled := func() bool { return link.Connections() == 2 && link.InFlight() > 0 } // the start's answer came sooner than one may, so the poll has a connection of its own
	require.Eventually(t, polled, patience, time.Millisecond)
	link.Impair(faultlab.Impairment{Delay: late}, faultlab.Impairment{Blocked: true})
	require.NoError(t, link.RefuseConnections(true))
	x.Cancel()
	e.await(t, "GET")
	assert.Equal(t, decision.Cancelled, await(t, ended).Outcome)
	assert.False(t, e.isOut(), "the engine still runs it")
}

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
type persistentEngine struct {
	listener       net.Listener
	answer         func(e *persistentEngine, call string, conn int) string // what is written for a call on the conn-th connection
	calls          chan string
	startReceived  chan struct{} // for a case: its start was read
	cancelReceived chan struct{} // closed when it was first told to give up
	serving        sync.WaitGroup

	mu          sync.Mutex
	conns       []net.Conn
	running     bool
	lastRequest time.Time
	cancelOnce  sync.Once
}

func startPersistentEngine(t *testing.T, answer func(*persistentEngine, string, int) string) *persistentEngine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &persistentEngine{listener: listener, answer: answer, calls: make(chan string, 1000), startReceived: make(chan struct{}), cancelReceived: make(chan struct{})}
	e.serving.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns = append(e.conns, c)
			n := len(e.conns)
			e.mu.Unlock()
			e.serving.Go(func() { e.serve(c, n) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		e.closeConnections()
		e.serving.Wait()
	})
	return e
}

func (e *persistentEngine) serve(c net.Conn, n int) {
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
			e.running, e.lastRequest = true, time.Now()
		case "GET":
			e.lastRequest = time.Now()
		case "DELETE":
			e.running = e.running && said != cancelledAnswer
			e.cancelOnce.Do(func() { close(e.cancelReceived) })
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

func (e *persistentEngine) closeConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		c.Close()
	}
}

func (e *persistentEngine) hasStarted() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.lastRequest.IsZero()
}

// isOut tells whether it runs the execution still: neither given up nor unasked for so long that it was dropped.
func (e *persistentEngine) stillRuns() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running && time.Since(e.lastRequest) < engineRetention
}

func (e *persistentEngine) await(t *testing.T, call string) {
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
func (e *persistentEngine) stopListening(t *testing.T) {
	e.await(t, "GET")
	e.listener.Close()
}

const (
	noProgressAnswer = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	cancelledAnswer  = "HTTP/1.1 204 No Content\r\n\r\n"
)

// held answers like an engine that has no news: a poll after a while.
func holdPolls(_ *persistentEngine, call string, _ int) string {
	switch call {
	case "DELETE":
		return cancelledAnswer
	case "GET":
		time.Sleep(pollHoldTime / 5)
	}
	return noProgressAnswer
}

// A statement's next execution goes out when one is told to have ended: so whatever end is told, the engine runs it no
// longer. Each case is one way by which an execution comes to be out no longer, at an engine that would run on.
func TestWhatHasEndedRunsNoLonger(t *testing.T) {
	for name, c := range map[string]struct {
		answer  func(*persistentEngine, string, int) string
		then    func(t *testing.T, e *persistentEngine, b *Client, x *Attempt)
		outcome decision.Outcome
	}{
		"given up at an engine that listens no more": {holdPolls, func(t *testing.T, e *persistentEngine, _ *Client, x *Attempt) {
			e.stopListening(t)
			x.Cancel()
		}, decision.Cancelled},
		"given up at an engine that listens no more and has left the list": {holdPolls, func(t *testing.T, e *persistentEngine, b *Client, x *Attempt) {
			e.stopListening(t)
			b.RemoveEngine("e")
			x.Cancel()
		}, decision.Cancelled},
		"connections break at an engine that listens no more": {holdPolls, func(t *testing.T, e *persistentEngine, _ *Client, _ *Attempt) {
			e.stopListening(t)
			e.closeConnections()
		}, decision.ConnectionReset},
		"the address is another's, the connections are gone": {holdPolls, func(t *testing.T, e *persistentEngine, b *Client, _ *Attempt) {
			e.await(t, "GET")
			b.UpdateEngine("other", e.listener.Addr().String(), true)
			e.closeConnections()
		}, decision.ConnectionReset},
		"the start comes behind its own end": {func(e *persistentEngine, call string, n int) string {
			if call == "POST" {
				close(e.startReceived)
				<-e.cancelReceived // it comes to run what it was told of only when it was told to give that up
			}
			return holdPolls(e, call, n)
		}, func(_ *testing.T, e *persistentEngine, _ *Client, x *Attempt) {
			<-e.startReceived
			x.Cancel()
		}, decision.Cancelled},
		"an end that the protocol does not have": {func(e *persistentEngine, call string, n int) string {
			if call == "GET" {
				return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
			}
			return holdPolls(e, call, n)
		}, nil, decision.Errored},
		"giving up is answered by somebody who knows nothing of it": {func(e *persistentEngine, call string, n int) string {
			if call == "DELETE" && n < 4 {
				return "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
			}
			return holdPolls(e, call, n)
		}, func(t *testing.T, e *persistentEngine, _ *Client, x *Attempt) {
			e.await(t, "GET")
			x.Cancel()
		}, decision.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := startPersistentEngine(t, c.answer)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(endRecorder, 10)
			b := New(ctx, ended, 20, time.Minute, time.Second, zap.NewNop())
			b.UpdateEngine("e", e.listener.Addr().String(), true)
			x := b.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Text: []byte("select"), Deadline: time.Now().Add(time.Minute)})
			if c.then != nil {
				c.then(t, e, b, x)
			}
			select {
			case end := <-ended:
				require.Eventually(t, e.hasStarted, 10*time.Second, time.Millisecond) // what was on its way has come
				assert.False(t, e.stillRuns(), "the engine still runs it")
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
			e := startPersistentEngine(t, holdPolls)
			ended := make(endRecorder, 1)
			b := New(t.Context(), ended, 4, time.Minute, time.Second, zap.NewNop())
			b.UpdateEngine("e", e.listener.Addr().String(), true)
			x := &Attempt{client: b, AttemptRequest: AttemptRequest{Statement: "1", Engine: "e"}, resourcePath: "/x/1", address: b.pool.addressOf("e"), ctx: t.Context(),
				startResolved: make(chan struct{}), endConfirmed: make(chan struct{})}
			close(x.startResolved)
			x.startWritten.Store(true)
			x.lastRequest.store(b.clockOrigin, time.Now())
			b.pool.attemptStarted("e")
			x.reportEnd(attemptEnd{outcome: decision.Cancelled, proof: c.proof})
			assert.Equal(t, decision.Cancelled, await(t, ended).Outcome)
			assert.Equal(t, c.counts, b.Violations.Recorded(invariant.ProvenAttemptEnd))
			select {
			case <-e.cancelReceived:
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
	e := startPersistentEngine(t, func(_ *persistentEngine, call string, _ int) string {
		switch call {
		case "POST":
			close(started)
			<-polls
		case "GET":
			time.Sleep(pollHoldTime)
		}
		return noProgressAnswer
	})
	link, err := faultlab.NewLink(e.listener.Addr().String())
	require.NoError(t, err)
	defer link.Close()
	ended := make(endRecorder, 1)
	b := New(t.Context(), ended, 4, time.Minute, time.Second, zap.NewNop())
	b.UpdateEngine("e", link.Address(), true)
	x := b.StartAttempt(AttemptRequest{Statement: "1", Engine: "e", Text: []byte("select"), Deadline: time.Now().Add(time.Minute)})
	await(t, started)
	link.Set(faultlab.Way{Delay: late}, faultlab.Way{})
	close(polls)
	e.await(t, "POST")
	polled := func() bool { return link.Dialled() == 2 && link.Held() > 0 } // the start's answer came sooner than one may, so the poll has a connection of its own
	require.Eventually(t, polled, patience, time.Millisecond)
	link.Set(faultlab.Way{Delay: late}, faultlab.Way{Cut: true})
	require.NoError(t, link.Refuse(true))
	x.Cancel()
	e.await(t, "GET")
	assert.Equal(t, decision.Cancelled, await(t, ended).Outcome)
	assert.False(t, e.stillRuns(), "the engine still runs it")
}

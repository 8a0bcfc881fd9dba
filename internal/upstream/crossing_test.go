package upstream

import (
	"context"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/fakes"
	"bankledge/internal/faultlab"
)

const patience = 10 * time.Second // for what must happen

func await[T any](t *testing.T, c <-chan T) (got T) {
	t.Helper()
	select {
	case got = <-c:
	case <-time.After(patience):
		t.Fatal("it did not happen")
	}
	return got
}

// calls is an engine that tells each call and answers it at once.
func calls(t *testing.T, listener net.Listener) chan string {
	heard := make(chan string, 1000)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 4096)
				for {
					n, err := c.Read(buf)
					if err != nil {
						return
					}
					call := string(buf[:n])
					heard <- call[:4]
					status := "202 -"
					if call[0] == 'D' {
						status = "204 -"
					}
					io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	t.Cleanup(func() { listener.Close() })
	return heard
}

// An engine is told to take nothing new, is gone, or its address has passed to another, while an execution waits for a descriptor or
// its connection is coming up: nothing of it is sent, and it is told as never sent.
func TestNothingIsSentToAnEngineThatDrainsMeanwhile(t *testing.T) {
	told := map[string]func(b *Client, address string){
		"drains":               func(b *Client, _ string) { b.DrainEngine("e") },
		"is gone":              func(b *Client, _ string) { b.RemoveEngine("e") },
		"is off a whole list":  func(b *Client, _ string) { b.RetainEngines(map[decision.EngineID]bool{}) },
		"another's address":    func(b *Client, address string) { b.UpdateEngine("other", address, true) },
		"gone and back":        func(b *Client, _ string) { b.RemoveEngine("e"); b.UpdateEngine("e", "127.0.0.1:1", true) },
		"drains and was known": func(b *Client, address string) { b.DrainEngine("e"); b.UpdateEngine("e", address, false) },
	}
	for name, tell := range told {
		t.Run("waits for a descriptor, "+name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			heard, ended := calls(t, listener), make(ends, 1)
			b := New(t.Context(), ended, 1, time.Minute, patience, zap.NewNop())
			b.UpdateEngine("e", listener.Addr().String(), true)
			require.NoError(t, b.pool.slot(t.Context()))
			b.StartAttempt(AttemptRequest{Statement: "s", Engine: "e", Deadline: time.Now().Add(time.Minute)})
			require.Eventually(t, func() bool { b.pool.mu.Lock(); defer b.pool.mu.Unlock(); return b.pool.waiting == 1 }, patience, time.Millisecond)
			tell(b, listener.Addr().String())
			<-b.pool.slots
			assert.Equal(t, decision.NotSent, await(t, ended).Outcome)
			assert.Empty(t, heard)
		})
		t.Run("its connection is coming up, "+name, func(t *testing.T) {
			t.Parallel()
			listener, accept, err := fakes.ListenWithFullBacklog()
			require.NoError(t, err)
			ended := make(ends, 1)
			b := New(t.Context(), ended, 4, time.Minute, patience, zap.NewNop())
			b.UpdateEngine("e", listener.Addr().String(), true)
			b.StartAttempt(AttemptRequest{Statement: "s", Engine: "e", Deadline: time.Now().Add(time.Minute)})
			require.Eventually(t, func() bool { return b.ConnectionsInUse() == 1 }, patience, time.Millisecond)
			tell(b, listener.Addr().String())
			accept()
			heard := calls(t, listener)
			assert.Equal(t, decision.NotSent, await(t, ended).Outcome)
			assert.Empty(t, heard)
		})
	}
}

// An engine that drained and is ready again is sent to.
func TestAnEngineThatIsReadyAgain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	heard := calls(t, listener)
	b := New(t.Context(), make(ends, 1), 4, time.Minute, patience, zap.NewNop())
	b.UpdateEngine("e", listener.Addr().String(), true)
	b.DrainEngine("e")
	assert.False(t, b.pool.mayBegin("e", listener.Addr().String()))
	b.UpdateEngine("e", listener.Addr().String(), true)
	b.StartAttempt(AttemptRequest{Statement: "s", Engine: "e", Deadline: time.Now().Add(time.Minute)})
	assert.Equal(t, "POST", await(t, heard))
	for i := range 1000 { // nothing is kept of what drained and is gone
		id := decision.EngineID(strconv.Itoa(i))
		b.DrainEngine(id)
		b.UpdateEngine(id, "127.0.0.1:"+strconv.Itoa(1000+i), true)
		b.DrainEngine(id)
		b.RemoveEngine(id)
	}
	assert.Empty(t, b.pool.drains)
}

// An execution is given up in the moment between its start is marked and the first byte of it is written: it has no end before the
// engine has answered its start and, after that, that it was given up. Else its statement would run twice at once.
func TestGivenUpBetweenTheMarkAndTheFirstByte(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	heard, ended := calls(t, listener), make(ends, 1)
	b := New(t.Context(), ended, 4, time.Minute, patience, zap.NewNop())
	b.UpdateEngine("e", listener.Addr().String(), true)
	ctx, cancel := context.WithCancel(t.Context())
	x := &Attempt{back: b, AttemptRequest: AttemptRequest{Statement: "s", Engine: "e", Deadline: time.Now().Add(time.Minute)}, path: "/x/s", address: b.pool.of("e"),
		sent: time.Now(), ctx: ctx, cancel: cancel, heard: make(chan struct{}), over: make(chan struct{})}
	b.pool.hold("e")
	x.conn, err = b.pool.get(ctx, "e", x.address, false)
	require.NoError(t, err)
	require.True(t, x.begin())
	context.AfterFunc(ctx, x.lapsed)
	x.Cancel() // here
	assert.Equal(t, "DELE", await(t, heard), "it may be on its way already")
	assert.Empty(t, ended)
	_, whole, err := x.ask(patience, message("POST", "/x", x.address, nil, "Content-Length", "0"))
	require.True(t, whole && err == nil)
	assert.Equal(t, "POST", await(t, heard))
	assert.Empty(t, ended, "its start was answered after the DELETE")
	close(x.heard)
	assert.Equal(t, "DELE", await(t, heard), "once more, behind the start")
	assert.Equal(t, decision.Cancelled, await(t, ended).Outcome)
	x.release(true)
}

// The end of the program waits for no engine: a call to one that hangs is broken off.
func TestTheEndWaitsForNoEngine(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithCancel(t.Context())
	b := New(ctx, make(ends, 1), 4, time.Minute, patience, zap.NewNop())
	b.UpdateEngine("e", listener.Addr().String(), true)
	tended := make(chan error, 1)
	go func() { tended <- b.Run(ctx) }()
	c, err := b.pool.get(ctx, "e", b.pool.of("e"), false)
	require.NoError(t, err)
	b.running.Go(func() {
		c.do(time.Now().Add(time.Hour), message("GET", "/x/s/0", c.address, nil))
		b.pool.drop(c)
	})
	engine, err := listener.Accept()
	require.NoError(t, err)
	defer engine.Close()
	_, err = engine.Read(make([]byte, 1)) // the call is out
	require.NoError(t, err)
	cancel()
	require.NoError(t, await(t, tended))
	assert.Zero(t, b.ConnectionsInUse())
	_, err = b.pool.get(t.Context(), "e", b.pool.of("e"), true) // nothing comes up after it
	require.Error(t, err)
	assert.Zero(t, b.ConnectionsInUse())
}

// An execution that repeats what may have run has to begin while that is remembered: one that has waited for longer, for a descriptor or
// for its connection, or that comes to begin just then, is never sent.
func TestNothingIsSentTooLate(t *testing.T) {
	const soon = 20 * time.Millisecond
	run := func(t *testing.T, wait func(b *Client), listener net.Listener) ends {
		ended := make(ends, 1)
		b := New(t.Context(), ended, 1, time.Minute, patience, zap.NewNop())
		b.UpdateEngine("e", listener.Addr().String(), true)
		wait(b)
		b.StartAttempt(AttemptRequest{Statement: "s", Engine: "e", Deadline: time.Now().Add(time.Minute), StartBefore: time.Now().Add(soon)})
		return ended
	}
	t.Run("waits for a descriptor", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		heard := calls(t, listener)
		ended := run(t, func(b *Client) { require.NoError(t, b.pool.slot(t.Context())) }, listener)
		assert.Equal(t, decision.NotSent, await(t, ended).Outcome)
		assert.Empty(t, heard)
	})
	t.Run("its connection is coming up", func(t *testing.T) {
		listener, accept, err := fakes.ListenWithFullBacklog()
		require.NoError(t, err)
		ended := run(t, func(*Client) {}, listener)
		assert.Equal(t, decision.NotSent, await(t, ended).Outcome, "which says nothing of its engine")
		accept()
		assert.Empty(t, calls(t, listener))
	})
	t.Run("begins", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		heard, ended := calls(t, listener), make(ends, 1)
		b := New(t.Context(), ended, 4, time.Minute, patience, zap.NewNop())
		b.UpdateEngine("e", listener.Addr().String(), true)
		x := &Attempt{back: b, ctx: t.Context(), address: b.pool.of("e"), AttemptRequest: AttemptRequest{Statement: "s", Engine: "e", Deadline: time.Now().Add(time.Minute), StartBefore: time.Now()}}
		assert.False(t, x.begin())
		x.StartBefore = time.Now().Add(time.Minute)
		assert.True(t, x.begin())
		b.StartAttempt(AttemptRequest{Statement: "s", Engine: "e", Deadline: time.Now().Add(time.Minute), StartBefore: time.Now().Add(time.Minute)})
		assert.Equal(t, "POST", await(t, heard))
	})
}

// A poll that goes out while its execution is being called off keeps it alive at the engine: it has ended once the engine has dropped
// it after that poll, where nothing confirms that it was given up.
func TestAPollGoesOutWhileItIsCalledOff(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	heard := calls(t, listener)
	b := New(t.Context(), make(ends, 1), 4, time.Minute, patience, zap.NewNop())
	b.UpdateEngine("e", listener.Addr().String(), true)
	x := &Attempt{back: b, AttemptRequest: AttemptRequest{Statement: "s", Engine: "e", Deadline: time.Now().Add(time.Minute)}, path: "/x/s", address: b.pool.of("e"),
		sent: time.Now(), ctx: t.Context(), heard: make(chan struct{}), over: make(chan struct{})}
	x.conn, err = b.pool.get(t.Context(), "e", x.address, false)
	require.NoError(t, err)
	poll := func() {
		t.Helper()
		_, _, err := x.ask(patience, message("GET", "/x/s/0", x.address, nil))
		require.NoError(t, err)
		assert.Equal(t, "GET ", await(t, heard))
	}
	close(x.heard)
	poll()                                          // its connection has been accepted
	x.asked.set(b.origin, time.Now().Add(-forgets)) // soon it would be held to be dropped
	listener.Close()                                // nothing is confirmed
	proof := make(chan EndProof, 1)
	go func() { proof <- x.callOff() }()
	require.Eventually(t, func() bool { b.pool.mu.Lock(); defer b.pool.mu.Unlock(); return b.pool.dials.Failed > 0 }, patience, time.Millisecond) // it has begun
	poll()
	asked := time.Now()
	assert.Equal(t, ProofExpiredAtEngine, await(t, proof))
	assert.GreaterOrEqual(t, time.Since(asked), forgets, "the engine still ran it")
	x.release(true)
}

// The router ends while a start is held up on its way to an engine: it must not come there any more, since nobody is left to call it off.
func TestAStartOnItsWayWhenTheRouterEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	heard := calls(t, listener)
	link, err := faultlab.NewLink(listener.Addr().String())
	require.NoError(t, err)
	defer link.Close()
	link.Impair(faultlab.Impairment{Blocked: true}, faultlab.Impairment{Blocked: true})
	ctx, end := context.WithCancel(t.Context())
	b := New(ctx, make(ends, 1), 4, time.Minute, patience, zap.NewNop())
	b.UpdateEngine("e", link.Address(), true)
	b.StartAttempt(AttemptRequest{Statement: "s", Engine: "e", Text: []byte("update"), Deadline: time.Now().Add(time.Minute)})
	require.Eventually(t, func() bool { return link.InFlight() > 0 }, patience, time.Millisecond)
	end()
	require.NoError(t, b.Run(ctx))
	require.Eventually(t, func() bool { return link.Resets() > 0 }, patience, time.Millisecond)
	link.Impair(faultlab.Impairment{}, faultlab.Impairment{})
	require.Eventually(t, func() bool { return link.InFlight() == 0 }, patience, time.Millisecond)
	assert.Never(t, func() bool { return len(heard) > 0 }, 200*time.Millisecond, time.Millisecond)
}

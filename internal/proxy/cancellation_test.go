package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
	"bankledge/internal/downstream"
	"bankledge/internal/fakes"
	"bankledge/internal/faultlab"
)

// waitingRequests are requests that wait in one state of the router when their clients leave.
type waitingRequests struct {
	router      *runningRouter
	awaitQueued func()               // waits until all clients' requests are in that state
	openEngine  func() *fakes.Engine // makes an engine usable and returns it
}

// waitingStates prepare the requests of a number of clients, for each state in which requests may wait.
var waitingStates = map[string]func(t *testing.T, clients int) waitingRequests{
	"queued without a ready engine":       queueWithoutEngine,
	"waiting for a connection":            queueForConnection,
	"queued again after a failed attempt": queueAfterFailure,
}

func newEngineAndFeed(t *testing.T) (*fakes.Engine, *fakes.ControlFeed) {
	t.Helper()
	engine := fakes.NewEngine("e", map[string][]fakes.Step{"POST": {fakes.RespondResult("fine\n")}})
	feed := fakes.NewControlFeed()
	t.Cleanup(func() {
		feed.Close()
		engine.Close()
	})
	return engine, feed
}

func feedAddress(feed *fakes.ControlFeed) string { return feed.Server.Listener.Addr().String() }

// publish sends a watch event and ends the connection. It waits until the router has received the event, which the last event id of the
// router's next connection confirms.
func publish(t *testing.T, feed *fakes.ControlFeed, n int, members ...string) {
	t.Helper()
	<-feed.LastEventIDs
	feed.Events <- watchEvent(n, members...)
	feed.Events <- ""
	require.Equal(t, fmt.Sprint(n), <-feed.LastEventIDs)
}

func queueWithoutEngine(t *testing.T, clients int) waitingRequests {
	engine, feed := newEngineAndFeed(t)
	r := startRouter(t, fakes.Config(feedAddress(feed), fakes.Settings, 64, 256, member(engine, "leaving")))
	return waitingRequests{
		router: r,
		awaitQueued: func() {
			r.await(t, "all requests are open", func() bool { return r.metrics.open.Load() == int64(clients) })
		},
		openEngine: func() *fakes.Engine {
			feed.Events <- watchEvent(2, member(engine, "active"))
			return engine
		},
	}
}

func queueForConnection(t *testing.T, clients int) waitingRequests {
	listener, accept, err := fakes.ListenWithFullBacklog()
	require.NoError(t, err)
	engine, feed := newEngineAndFeed(t)
	t.Cleanup(func() { listener.Close() })
	slow := strings.Replace(fakes.Settings, `"connectTimeout":250000`, `"connectTimeout":20000000`, 1)
	r := startRouter(t, fakes.Config(feedAddress(feed), slow, 64, 256, fakes.Member("slow", listener.Addr().String(), "active")))
	return waitingRequests{
		router: r,
		awaitQueued: func() {
			r.await(t, "attempts are started", func() bool { return r.metrics.attempts.Load() >= min(int64(clients), 8) })
		},
		openEngine: func() *fakes.Engine {
			accept()
			go rejectBytes(t, listener, "a byte was sent on the connection that the request waited for")
			publish(t, feed, 2, fakes.Member("slow", listener.Addr().String(), "leaving"), member(engine, "active"))
			return engine
		},
	}
}

// rejectBytes accepts connections until the listener is closed, and fails the test if a byte arrives on one of them.
func rejectBytes(t *testing.T, listener net.Listener, message string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			if n, _ := conn.Read(make([]byte, 4)); n > 0 {
				t.Error(message)
			}
		}()
	}
}

func queueAfterFailure(t *testing.T, clients int) waitingRequests {
	fail := make(chan struct{})
	failing := fakes.NewEngine("bad", map[string][]fakes.Step{
		"POST":  {fakes.Respond(202, "")},
		"GET 0": {fakes.RespondAfter(fail, fakes.Respond(500, ""))},
	})
	engine, feed := newEngineAndFeed(t)
	t.Cleanup(failing.Close)
	r := startRouter(t, fakes.Config(feedAddress(feed), fakes.Settings, 64, 256, member(failing, "active")))
	return waitingRequests{
		router: r,
		awaitQueued: func() {
			expected := min(clients, 4)
			r.await(t, "attempts are in flight", func() bool { return failing.CallCount("POST") >= expected })
			publish(t, feed, 2, member(failing, "leaving"))
			close(fail)
			r.await(t, "the attempts failed", func() bool { return r.metrics.outcomes.count(decision.Errored) >= int64(expected) })
		},
		openEngine: func() *fakes.Engine {
			feed.Events <- watchEvent(3, member(engine, "active"))
			return engine
		},
	}
}

// departures are the ways in which a client cancels its request or disconnects.
var departures = map[string]func(net.Conn){
	"cancel frame": func(c net.Conn) { c.Write(fakes.Frame(9, 1, "")) },
	"close":        func(c net.Conn) { c.Close() },
	"half-close":   func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
	"reset": func(c net.Conn) {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	},
}

// A request whose client leaves while the request waits is not forwarded, in whichever state it waits, alone or with others whose clients
// leave at the same time; the next request is forwarded. Its queue slot, its text and its memory reservations are released.
func TestCancelledRequestIsNotForwarded(t *testing.T) {
	for state, prepare := range waitingStates {
		for departure, cancel := range departures {
			for _, clients := range []int{1, 20} {
				t.Run(fmt.Sprintf("%s, %s, %d", state, departure, clients), func(t *testing.T) {
					t.Parallel()
					waiting := prepare(t, clients)
					testCancelWhileWaiting(t, waiting, clients, cancel)
				})
			}
		}
	}
}

func testCancelWhileWaiting(t *testing.T, waiting waitingRequests, clients int, cancel func(net.Conn)) {
	t.Helper()
	r := waiting.router
	var conns []net.Conn
	for i := range clients {
		conns = append(conns, r.send(t, "lookup", fmt.Sprint(100+i)))
	}
	waiting.awaitQueued()
	for _, conn := range conns {
		cancel(conn)
	}
	r.await(t, "all requests are cancelled", func() bool { return r.metrics.cancelled.Load() == int64(clients) })
	engine := waiting.openEngine()
	conn := r.send(t, "lookup", "999")
	_, err := io.ReadFull(conn, make([]byte, 9))
	require.NoError(t, err)
	select {
	case call := <-engine.Calls():
		require.Contains(t, call, "id = 999")
	case <-time.After(testTimeout):
		t.Fatal("the next request is not forwarded")
	}
	assert.Equal(t, 1, engine.CallCount("POST"), "no other request is forwarded")
	conn.Close()
	r.await(t, "all memory is released", func() bool {
		_, usage := r.downstream.FlowControlStats()
		return r.metrics.open.Load() == 0 && usage.AnswerBytes == 0 && usage.TextBytes == 0
	})
}

// Guards against a statement that runs twice: its id was forgotten when its client had left and its attempt had ended, so that it was started
// again when it came again.
func TestIDOfCancelledRequestIsNotUsedAgain(t *testing.T) {
	for departure, leave := range departures {
		for _, workload := range []string{"price-load", "lookup"} {
			t.Run(departure+", "+workload, func(t *testing.T) {
				t.Parallel()
				cancelled := make(chan struct{})
				engine := fakes.NewEngine("e", map[string][]fakes.Step{
					"POST":   {fakes.RespondAfter(cancelled, fakes.Respond(202, "")), fakes.RespondResult("second run\n")},
					"DELETE": {fakes.Respond(204, "")},
				})
				t.Cleanup(engine.Close)
				feed := fakes.NewControlFeed()
				t.Cleanup(feed.Close)
				r := startRouter(t, fakes.Config(feedAddress(feed), fakes.Settings, 64, 256, member(engine, "active")))
				first := r.send(t, workload, "1")
				r.await(t, "the first attempt has started", func() bool { return engine.CallCount("POST") == 1 })
				leave(first)
				r.await(t, "the engine receives the cancellation", func() bool { return engine.CallCount("DELETE") > 0 })
				expectRejection(t, r.send(t, workload, "1"), "while the attempt is in flight")
				close(cancelled)
				r.await(t, "the attempt has ended", func() bool { return r.metrics.outcomes.count(decision.Cancelled) == 1 })
				expectRejection(t, r.send(t, workload, "1"), "after the attempt has ended")
				assert.Equal(t, 1, engine.CallCount("POST"))
			})
		}
	}
}

// expectRejection reads one answer, which must be a rejection.
func expectRejection(t *testing.T, conn net.Conn, when string) {
	t.Helper()
	answer, err := fakes.ReadFrame(bufio.NewReader(conn))
	require.NoError(t, err, when)
	assert.Equal(t, byte(downstream.CodeRejected), answer.Code, when)
	assert.Equal(t, "id is in use", answer.Body, when)
}

// A deduplicated request that may have run is retried on another engine only within the deduplication window of its first attempt. If the
// connection to that engine is established only after the window, nothing is sent, and the request is rejected when the window ends.
func TestRetryIsNotSentAfterDeduplicationWindow(t *testing.T) {
	listener, accept, err := fakes.ListenWithFullBacklog()
	require.NoError(t, err)
	defer listener.Close()
	fail := make(chan struct{})
	first := fakes.NewEngine("first", map[string][]fakes.Step{
		"POST":  {fakes.Respond(202, "")},
		"GET 0": {fakes.RespondAfter(fail, fakes.Respond(500, ""))},
	})
	feed := fakes.NewControlFeed()
	t.Cleanup(func() {
		feed.Close()
		first.Close()
	})
	deduplicated := strings.NewReplacer(`"connectTimeout":250000`, `"connectTimeout":20000000`,
		`"name":"lookup","idempotency":"idempotent"`, `"name":"lookup","idempotency":"deduplicated","group":"all","window":700000`).Replace(fakes.Settings)
	require.Contains(t, deduplicated, "700000")
	r := startRouter(t, fakes.Config(feedAddress(feed), deduplicated, 64, 256, member(first, "active")))
	conn := r.send(t, "lookup", "1")
	r.await(t, "the first attempt is in flight", func() bool { return first.CallCount("POST") == 1 })
	publish(t, feed, 2, member(first, "leaving"), fakes.Member("slow", listener.Addr().String(), "active"))
	close(fail)
	r.await(t, "the second attempt is started", func() bool { return r.metrics.attempts.Load() == 2 })
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout/3))) // well before its client's deadline
	frame, err := fakes.ReadFrame(bufio.NewReader(conn))
	require.NoError(t, err)
	assert.Equal(t, []byte{8, 50}, []byte{frame.Kind, frame.Code}, "rejected: the engines drop repeats, so a retry is safe")
	accept()
	go rejectBytes(t, listener, "a byte was sent after the deduplication window")
	r.await(t, "the second attempt has ended and no request is open", func() bool {
		return r.metrics.outcomes.count(decision.NotSent) == 1 && r.metrics.open.Load() == 0
	})
}

// The network delays a start while its client leaves. The engine does not receive that start when the network delivers again 0.3 s later.
func TestStartHeldUpIsNotDeliveredAfterDeparture(t *testing.T) {
	for departure, leave := range departures {
		t.Run(departure, func(t *testing.T) {
			t.Parallel()
			engine, feed := newEngineAndFeed(t)
			link, err := faultlab.NewLink(engine.Server.Listener.Addr().String())
			require.NoError(t, err)
			t.Cleanup(link.Close)
			link.Impair(faultlab.Impairment{Blocked: true}, faultlab.Impairment{})
			r := startRouter(t, fakes.Config(feedAddress(feed), fakes.Settings, 64, 256, fakes.Member("e", link.Address(), "active")))
			conn := r.send(t, "lookup", "1")
			r.await(t, "the start is in flight", func() bool { return link.InFlight() > 0 })
			leave(conn)
			r.await(t, "the request is cancelled", func() bool { return r.metrics.cancelled.Load() == 1 })
			time.Sleep(300 * time.Millisecond)
			link.Restore()
			r.await(t, "the link has delivered its data", func() bool { return link.InFlight() == 0 })
			assert.Never(t, func() bool { return engine.CallCount("POST") > 0 }, 100*time.Millisecond, 10*time.Millisecond)
		})
	}
}

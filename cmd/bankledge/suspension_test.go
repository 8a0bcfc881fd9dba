package main

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
	"bankledge/internal/logevent"
)

// A request that was unread during a suspension longer than its deadline is not forwarded afterwards, since its client no longer waits.
func TestExpiredRequestIsNotForwardedAfterASuspension(t *testing.T) {
	e := newEngine(t, "one", map[string][]step{"POST": {respondResult("fine\n")}})
	r := startRouter(t, smallConfig(newControl(t), fakes.Settings, member(e, "active")))
	c := dial(t, r)
	c.send(frameStatement, 1, statement("lookup", 1, "t", "-"))
	c.expect(answer(1, codeCompleted, "fine\n"))
	r.suspend(t)
	c.send(frameStatement, 2, statement("lookup", 2, "d", "500", "t", "-"))
	c.send(frameStatement, 3, statement("lookup", 3, "d", "20000", "t", "-"))
	<-time.After(time.Second) // longer than the deadline of statement 2 and shorter than that of statement 3
	r.resume(t)
	codes := map[uint32]byte{}
	for range 2 {
		f := c.read()
		codes[f.stream] = f.code
	}
	assert.Equal(t, map[uint32]byte{2: codeRejected, 3: codeCompleted}, codes)
	assert.Equal(t, 2, e.CallCount("POST"))
	r.stop(t)
	r.awaitExit(t)
}

// An engine begins to drain during a suspension. Requests that were unread meanwhile, and are decided at the same instant as the endpoint
// list, are not forwarded to it.
func TestEndpointListReceivedDuringASuspension(t *testing.T) {
	receiveListDuringSuspension(t, 400*time.Millisecond)
}

// The same, with a suspension after which the control feed's stream counts as silent. Guards against this failure: the read deadline had
// passed, so the router closed the connection with the list unread on it ("control feed connection lost", i/o timeout, in the same millisecond
// as the attempts began). It treated the missing connection as one without unread events, and sent 30 of 30 statements to the draining engine.
func TestEndpointListReceivedDuringALongSuspension(t *testing.T) {
	receiveListDuringSuspension(t, 3*time.Second)
}

func receiveListDuringSuspension(t *testing.T, suspended time.Duration) {
	t.Helper()
	f, script := newControl(t), map[string][]step{"POST": {respondResult("fine\n")}}
	draining, healthy := newEngine(t, "drains", script), newEngine(t, "well", script)
	r := startRouter(t, longDeadlineConfig(f, draining))
	c := dial(t, r)
	c.send(frameStatement, 1, statement("lookup", 1))
	c.expect(answer(1, codeCompleted, "fine\n"))
	awaitValue(t, f.LastEventIDs) // the router has opened the stream, so it can receive during the suspension
	const n = 30
	for round := range uint32(3) {
		r.suspend(t)
		phases, before := []string{"leaving", "active"}, draining.CallCount("POST")
		if round == 1 {
			phases, before = []string{"active", "leaving"}, healthy.CallCount("POST")
		}
		members := []string{member(draining, phases[0]), member(healthy, phases[1])}
		for i := range 500 { // the router needs time to read these
			members = append(members, fakes.Member(fmt.Sprint("other ", i), fmt.Sprint("127.0.0.1:", 1+i), "leaving"))
		}
		f.Events <- watchEvent(int(round)+2, members...)
		f.Events <- ":\n" // once the feed has taken this, it has written the event before
		require.Eventually(t, func() bool { return len(f.Events) == 0 }, testTimeout, time.Millisecond)
		for i := range uint32(n) {
			c.send(frameStatement, round*n+i+2, statement("lookup", int(round*n+i+2)))
		}
		<-time.After(suspended)
		r.resume(t)
		for range n {
			got := c.read()
			require.Equal(t, answer(got.stream, codeCompleted, "fine\n"), got)
		}
		after := draining.CallCount("POST")
		if round == 1 {
			after = healthy.CallCount("POST")
		}
		assert.Equal(t, before, after, "no new request is sent to the draining engine")
	}
}

// A connection is established during a suspension, and its engine begins to drain. Requests that waited for the connection are not sent on it.
func TestConnectionEstablishedDuringASuspension(t *testing.T) {
	listener, accept, err := fakes.ListenWithFullBacklog()
	require.NoError(t, err)
	defer listener.Close()
	f, healthy := newControl(t), newEngine(t, "well", map[string][]step{"POST": {respondResult("fine\n")}})
	settings := strings.Replace(fakes.Settings, `"connectTimeout":250000`, `"connectTimeout":6000000`, 1) // some connections are established only at their third try
	r := startRouter(t, smallConfig(f, settings, member(healthy, "active")))
	f.Events <- watchEvent(2, member(healthy, "leaving"), fakes.Member("drains", listener.Addr().String(), "active"))
	require.Eventually(t, func() bool { return r.log.hasEvent(logevent.EndpointListChanged) }, testTimeout, time.Millisecond)
	c := dial(t, r)
	const n = 20
	for i := range uint32(n) {
		c.send(frameStatement, i+1, statement("report", int(i), "d", "15000"))
	}
	awaitConnecting(t, listener)
	r.suspend(t)
	accept()
	members := []string{fakes.Member("drains", listener.Addr().String(), "leaving"), member(healthy, "active")}
	for i := range 500 { // the router needs time to read these
		members = append(members, fakes.Member(fmt.Sprint("other ", i), fmt.Sprint("127.0.0.1:", 1+i), "leaving"))
	}
	f.Events <- watchEvent(3, members...)
	f.Events <- ":\n" // once the feed has taken this, it has written the event before
	require.Eventually(t, func() bool { return len(f.Events) == 0 }, testTimeout, time.Millisecond)
	up, err := listener.Accept() // one connection is established
	require.NoError(t, err)
	defer up.Close()
	r.resume(t)
	var sent atomic.Int64
	go func() { // others may be established, too
		for {
			up, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				if n, _ := up.Read(make([]byte, 1)); n > 0 {
					sent.Add(1)
				}
				up.Close()
			}()
		}
	}()
	for range n {
		got := c.read()
		require.Equal(t, answer(got.stream, codeCompleted, "fine\n"), got)
	}
	require.NoError(t, up.SetReadDeadline(time.Now().Add(testTimeout)))
	bytesRead, _ := up.Read(make([]byte, 1))
	assert.Zero(t, bytesRead, "the connection is closed, and nothing was sent on it")
	r.stop(t)
	r.awaitExit(t)
	assert.Zero(t, sent.Load(), "connections on which the draining engine received data")
}

// awaitConnecting waits until some requests wait for their connections to a listener with a full backlog.
func awaitConnecting(t *testing.T, listener net.Listener) {
	t.Helper()
	connecting := regexp.MustCompile(fmt.Sprintf(` 0100007F:%04X 02 `, listener.Addr().(*net.TCPAddr).Port)) // state 02 is SYN_SENT: not established yet
	require.Eventually(t, func() bool {
		listed, err := os.ReadFile("/proc/net/tcp")
		require.NoError(t, err)
		return len(connecting.FindAll(listed, -1)) > 4
	}, testTimeout, time.Millisecond)
}

// Guards against statements that are sent for clients that left during a suspension: connections to their engine were established meanwhile,
// and attempts began before the router had read that the clients were gone.
func TestClientsLeaveDuringASuspension(t *testing.T) {
	for departure, leave := range map[string]func(*client){
		"close":             func(c *client) { c.Close() },
		"close with unread": func(c *client) { c.send(frameReadinessQuery, 0, "\x00"); c.Close() },
		"cancel": func(c *client) {
			for stream := range uint32(20) {
				c.send(frameCancel, stream+1, "")
			}
		},
	} {
		t.Run(departure, func(t *testing.T) {
			t.Parallel()
			leaveDuringSuspension(t, leave)
		})
	}
}

func leaveDuringSuspension(t *testing.T, leave func(*client)) {
	t.Helper()
	listener, accept, err := fakes.ListenWithFullBacklog()
	require.NoError(t, err)
	defer listener.Close()
	settings := strings.Replace(fakes.Settings, `"connectTimeout":250000`, `"connectTimeout":6000000`, 1) // some connections are established only at their third try
	healthy := newEngine(t, "well", map[string][]step{"POST": {respondResult("fine\n")}})
	f := newControl(t)
	r := startRouter(t, smallConfig(f, settings, member(healthy, "active")))
	f.Events <- watchEvent(2, member(healthy, "leaving"), fakes.Member("slow", listener.Addr().String(), "active"))
	require.Eventually(t, func() bool { return r.log.hasEvent(logevent.EndpointListChanged) }, testTimeout, time.Millisecond)
	c := dial(t, r)
	for stream := range uint32(20) {
		c.send(frameStatement, stream+1, statement("price-load", int(stream), "d", "15000"))
	}
	awaitConnecting(t, listener)
	r.suspend(t)
	leave(c)
	accept()
	var used, connections atomic.Int64
	var readers sync.WaitGroup
	readers.Go(func() {
		for {
			up, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			readers.Go(func() {
				defer up.Close()
				if n, _ := up.Read(make([]byte, 1)); n > 0 {
					used.Add(1)
				}
			})
		}
	})
	<-time.After(4 * time.Second) // longer than the kernel takes to try a connection again
	r.resume(t)
	r.stop(t)
	r.awaitExit(t)
	listener.Close()
	readers.Wait()
	assert.Positive(t, connections.Load())
	assert.Zero(t, used.Load(), "connections on which something was sent for clients that had left")
}

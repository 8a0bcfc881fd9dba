package main

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
	"bankledge/internal/logevent"
)

// What lay unread during a suspension longer than its client's deadline is not forwarded afterwards: nobody waits for it.
func TestExpiredRequestIsNotForwardedAfterASuspension(t *testing.T) {
	e := newEngine(t, "one", map[string][]step{"POST": {done("fine\n")}})
	r := startRouter(t, smallConfig(newControl(t), fakes.Settings, member(e, "active")))
	c := dial(t, r)
	c.send(frameStatement, 1, statement("lookup", 1, "t", "-"))
	c.expect(answer(1, codeCompleted, "fine\n"))
	r.suspend(t)
	c.send(frameStatement, 2, statement("lookup", 2, "d", "500", "t", "-"))
	c.send(frameStatement, 3, statement("lookup", 3, "d", "20000", "t", "-"))
	<-time.After(time.Second) // which the router stands: longer than the one client waits, and not the other
	r.resume(t)
	codes := map[uint32]byte{}
	for range 2 {
		f := c.read()
		codes[f.stream] = f.code
	}
	assert.Equal(t, map[uint32]byte{2: codeRejected, 3: codeCompleted}, codes)
	assert.Equal(t, 2, e.CallCount("POST"))
	r.stop(t)
	r.awaitEnd(t)
}

// An engine begins to drain during a suspension: what lay unread meanwhile, and is decided at the same instant as the endpoint list,
// is not forwarded there.
func TestEndpointListThatCameDuringASuspension(t *testing.T) {
	receiveListDuringSuspension(t, 400*time.Millisecond)
}

// The same, with a suspension after which the stream counts as silent. The deadline of its read had passed, so the connection was closed
// with the list unread on it ("control feed connection lost", i/o timeout, in the same millisecond as the attempts began), a connection
// that is not there read as one without news, and 30 of 30 statements went to the engine that drained.
func TestEndpointListThatCameDuringALongSuspension(t *testing.T) {
	receiveListDuringSuspension(t, 3*time.Second)
}

func receiveListDuringSuspension(t *testing.T, suspended time.Duration) {
	t.Helper()
	f, done := newControl(t), map[string][]step{"POST": {done("fine\n")}}
	drains, well := newEngine(t, "drains", done), newEngine(t, "well", done)
	r := startRouter(t, patientConfig(f, drains))
	c := dial(t, r)
	c.send(frameStatement, 1, statement("lookup", 1))
	c.expect(answer(1, codeCompleted, "fine\n"))
	const n = 30
	for round := range uint32(3) {
		r.suspend(t)
		phases, before := []string{"leaving", "active"}, drains.CallCount("POST")
		if round == 1 {
			phases, before = []string{"active", "leaving"}, well.CallCount("POST")
		}
		members := []string{member(drains, phases[0]), member(well, phases[1])}
		for i := range 500 { // which takes its time to read
			members = append(members, fakes.Member(fmt.Sprint("other ", i), fmt.Sprint("127.0.0.1:", 1+i), "leaving"))
		}
		f.Events <- watchEvent(int(round)+2, members...)
		f.Events <- ":\n" // once this is taken the one before is written
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
		after := drains.CallCount("POST")
		if round == 1 {
			after = well.CallCount("POST")
		}
		assert.Equal(t, before, after, "nothing new goes to the one that drains")
	}
}

// A connection comes up during a suspension, and its engine begins to drain: what waited for it is not sent there.
func TestConnectionThatCameUpDuringASuspension(t *testing.T) {
	listener, accept, err := fakes.ListenWithFullBacklog()
	require.NoError(t, err)
	defer listener.Close()
	f, well := newControl(t), newEngine(t, "well", map[string][]step{"POST": {done("fine\n")}})
	settings := strings.Replace(fakes.Settings, `"connectTimeout":250000`, `"connectTimeout":6000000`, 1) // some come up at their third try only
	r := startRouter(t, smallConfig(f, settings, member(well, "active")))
	f.Events <- watchEvent(2, member(well, "leaving"), fakes.Member("drains", listener.Addr().String(), "active"))
	require.Eventually(t, func() bool { return r.log.hasEvent(logevent.EndpointListChanged) }, testTimeout, time.Millisecond)
	c := dial(t, r)
	const n = 20
	for i := range uint32(n) {
		c.send(frameStatement, i+1, statement("report", int(i), "d", "15000"))
	}
	coming := regexp.MustCompile(fmt.Sprintf(` 0100007F:%04X 02 `, listener.Addr().(*net.TCPAddr).Port)) // as the kernel lists what has not come up
	require.Eventually(t, func() bool {                                                                  // some wait for their connections
		listed, err := os.ReadFile("/proc/net/tcp")
		require.NoError(t, err)
		return len(coming.FindAll(listed, -1)) > 4
	}, testTimeout, time.Millisecond)
	r.suspend(t)
	accept()
	members := []string{fakes.Member("drains", listener.Addr().String(), "leaving"), member(well, "active")}
	for i := range 500 { // which takes its time to read
		members = append(members, fakes.Member(fmt.Sprint("other ", i), fmt.Sprint("127.0.0.1:", 1+i), "leaving"))
	}
	f.Events <- watchEvent(3, members...)
	f.Events <- ":\n" // once this is taken the one before is written
	require.Eventually(t, func() bool { return len(f.Events) == 0 }, testTimeout, time.Millisecond)
	up, err := listener.Accept() // one has come up
	require.NoError(t, err)
	defer up.Close()
	r.resume(t)
	var sent atomic.Int64
	go func() { // and so may the others
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
	n0, _ := up.Read(make([]byte, 1))
	assert.Zero(t, n0, "it was closed, and nothing came before")
	r.stop(t)
	r.awaitEnd(t)
	assert.Zero(t, sent.Load(), "connections on which something came to the one that drains")
}

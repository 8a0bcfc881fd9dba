package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/logevent"
)

// What the control feed lists is used from the next request on, and a connection that ends is made again from the last event.
func TestControlFeed(t *testing.T) {
	one := newEngine(t, "one", map[string][]step{"POST": {done("one\n")}})
	two := newEngine(t, "two", map[string][]step{"POST": {done("two\n")}})
	three := newEngine(t, "three", map[string][]step{"POST": {done("three\n")}})
	f := newControl(t)
	c := dial(t, startRouter(t, patientConfig(f, one, two)))
	assert.Equal(t, "1", <-f.LastEventIDs)
	f.Events <- "id: 2\ndata: {\"n\":2,\ndata: \"members\":{\"members\":[" + member(one, "leaving") + "]}}\n\n"
	f.Events <- ""
	assert.Equal(t, "2", <-f.LastEventIDs, "asks on from the last")
	f.Events <- watchEvent(3, member(two, "left"), member(three, "active"))
	f.Events <- ""
	assert.Equal(t, "3", <-f.LastEventIDs)
	before := one.CallCount("POST") + two.CallCount("POST")
	for n := range uint32(20) {
		c.send(frameStatement, n+1, statement("lookup", int(n)))
		c.expect(answer(n+1, codeCompleted, "three\n"))
	}
	assert.Equal(t, before, one.CallCount("POST")+two.CallCount("POST"), "nothing new goes to what drains or is gone")
}

// SIGHUP: the feed is followed at its new place from the number last taken, and nothing else is touched; a file
// that is not valid changes nothing.
func TestReload(t *testing.T) {
	finish := make(chan struct{})
	one := newEngine(t, "one", map[string][]step{"POST": {says(202, "")}, "GET 0": {after(finish, done("one\n"))}})
	two := newEngine(t, "two", map[string][]step{"POST": {done("two\n")}})
	before, now := newControl(t), newControl(t)
	r := startRouter(t, patientConfig(before, one))
	assert.Equal(t, "1", <-before.LastEventIDs)
	c := dial(t, r)
	c.send(frameStatement, 1, statement("load", 1))
	one.await(t, "GET 0")
	before.Events <- watchEvent(2, member(one, "leaving"))
	before.Events <- ""
	assert.Equal(t, "2", <-before.LastEventIDs)

	reload := func(path string, edit ...string) {
		raw, err := os.ReadFile(path)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(r.configFile, []byte(strings.NewReplacer(edit...).Replace(string(raw))), 0o600))
		r.signal(t, syscall.SIGHUP)
	}
	moved := patientConfig(now, one).write(t)
	reload(moved)
	assert.Equal(t, "2", <-now.LastEventIDs, "goes on where it was")
	reload(moved, `"seed":"`, `"seed":"x`)
	require.Eventually(t, func() bool { return r.log.hasEvent(logevent.ConfigurationRejected) }, testTimeout, time.Millisecond)
	assert.Contains(t, r.log.String(), "seed: ")
	now.Events <- watchEvent(3, member(two, "active"))
	c.send(frameStatement, 2, statement("lookup", 2))
	c.expect(answer(2, codeCompleted, "two\n")) // queued until the engine was known
	close(finish)
	c.expect(answer(1, codeCompleted, "one\n")) // it was open all the while
}

// An engine that accepts no connection is passed over, since nothing ran there.
func TestUnreachableEngine(t *testing.T) {
	one := newEngine(t, "one", map[string][]step{"POST": {done("one\n")}})
	two := newEngine(t, "two", map[string][]step{"POST": {done("two\n")}})
	c := dial(t, startRouter(t, patientConfig(newControl(t), one, two)))
	one.Server.CloseClientConnections()
	one.Server.Close()
	for n := range uint32(20) { // also what must not run twice goes elsewhere, since it never ran
		c.send(frameStatement, n+1, statement("load", int(n)))
		c.expect(answer(n+1, codeCompleted, "two\n"))
	}
}

// A router that starts makes one connection to see that engines can be reached, not one to each: hundreds that start at once
// would be a storm of handshakes.
func TestStartMakesOneConnection(t *testing.T) {
	var engines []*engine
	for i := range 6 {
		engines = append(engines, newEngine(t, fmt.Sprintf("e%d", i), nil))
	}
	r := startRouter(t, patientConfig(newControl(t), engines...))
	r.stop(t)
	r.awaitEnd(t)
	assert.Contains(t, r.log.String(), `"connections":{"dialled":1,`)
}

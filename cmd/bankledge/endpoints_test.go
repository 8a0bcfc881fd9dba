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

// The router uses an endpoint list of the control feed from the next request on. When the feed's connection ends, the router reconnects and
// resumes after the last event.
func TestControlFeed(t *testing.T) {
	one := newEngine(t, "one", map[string][]step{"POST": {respondResult("one\n")}})
	two := newEngine(t, "two", map[string][]step{"POST": {respondResult("two\n")}})
	three := newEngine(t, "three", map[string][]step{"POST": {respondResult("three\n")}})
	f := newControl(t)
	c := dial(t, startRouter(t, longDeadlineConfig(f, one, two)))
	assert.Equal(t, "1", <-f.LastEventIDs)
	f.Events <- "id: 2\ndata: {\"n\":2,\ndata: \"members\":{\"members\":[" + member(one, "leaving") + "]}}\n\n"
	f.Events <- ""
	assert.Equal(t, "2", <-f.LastEventIDs, "the router resumes after the last event")
	f.Events <- watchEvent(3, member(two, "left"), member(three, "active"))
	f.Events <- ""
	assert.Equal(t, "3", <-f.LastEventIDs)
	before := one.CallCount("POST") + two.CallCount("POST")
	for n := range uint32(20) {
		c.send(frameStatement, n+1, statement("lookup", int(n)))
		c.expect(answer(n+1, codeCompleted, "three\n"))
	}
	assert.Equal(t, before, one.CallCount("POST")+two.CallCount("POST"), "no new request is sent to a draining or removed engine")
}

// On SIGHUP the router follows the control feed at its new address, resumes after the last event and changes nothing
// else. An invalid file changes nothing.
func TestReload(t *testing.T) {
	finish := make(chan struct{})
	one := newEngine(t, "one", map[string][]step{"POST": {respond(202, "")}, "GET 0": {respondAfter(finish, respondResult("one\n"))}})
	two := newEngine(t, "two", map[string][]step{"POST": {respondResult("two\n")}})
	oldFeed, newFeed := newControl(t), newControl(t)
	r := startRouter(t, longDeadlineConfig(oldFeed, one))
	assert.Equal(t, "1", <-oldFeed.LastEventIDs)
	c := dial(t, r)
	c.send(frameStatement, 1, statement("load", 1))
	one.await(t, "GET 0")
	oldFeed.Events <- watchEvent(2, member(one, "leaving"))
	oldFeed.Events <- ""
	assert.Equal(t, "2", <-oldFeed.LastEventIDs)

	reload := func(path string, edit ...string) {
		raw, err := os.ReadFile(path)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(r.configFile, []byte(strings.NewReplacer(edit...).Replace(string(raw))), 0o600))
		r.signal(t, syscall.SIGHUP)
	}
	moved := longDeadlineConfig(newFeed, one).write(t)
	reload(moved)
	assert.Equal(t, "2", <-newFeed.LastEventIDs, "the router resumes after the last event")
	reload(moved, `"seed":"`, `"seed":"x`)
	require.Eventually(t, func() bool { return r.log.hasEvent(logevent.ConfigurationRejected) }, testTimeout, time.Millisecond)
	assert.Contains(t, r.log.String(), "seed: ")
	newFeed.Events <- watchEvent(3, member(two, "active"))
	c.send(frameStatement, 2, statement("lookup", 2))
	c.expect(answer(2, codeCompleted, "two\n")) // queued until the engine was known
	close(finish)
	c.expect(answer(1, codeCompleted, "one\n")) // it was open during both reloads
}

// A request whose engine refuses connections is sent to another engine, since it did not run.
func TestUnreachableEngine(t *testing.T) {
	one := newEngine(t, "one", map[string][]step{"POST": {respondResult("one\n")}})
	two := newEngine(t, "two", map[string][]step{"POST": {respondResult("two\n")}})
	c := dial(t, startRouter(t, longDeadlineConfig(newControl(t), one, two)))
	one.Server.CloseClientConnections()
	one.Server.Close()
	for n := range uint32(20) { // a non-idempotent request, too, is sent to the other engine, since it never ran
		c.send(frameStatement, n+1, statement("load", int(n)))
		c.expect(answer(n+1, codeCompleted, "two\n"))
	}
}

// A starting router makes one connection to check that engines are reachable, not one to each engine: hundreds of routers that
// start at once would cause too many handshakes.
func TestStartMakesOneConnection(t *testing.T) {
	var engines []*engine
	for i := range 6 {
		engines = append(engines, newEngine(t, fmt.Sprintf("e%d", i), nil))
	}
	r := startRouter(t, longDeadlineConfig(newControl(t), engines...))
	r.stop(t)
	r.awaitExit(t)
	assert.Contains(t, r.log.String(), `"connections":{"dialled":1,`)
}

package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
	"bankledge/internal/faultlab"
)

// A blocked link to an engine holds the data that is sent, as a partitioned network does, and delivers it when the link is restored.
// Meanwhile the router has sent the request to another engine, since no engine keeps an attempt that is not polled for so long. The
// first start must not reach its engine any more.
func TestDelayedStartIsNotDelivered(t *testing.T) {
	blocked := faultlab.Impairment{Blocked: true}
	var engines []*engine
	var links []*faultlab.Link
	var members []string
	for _, id := range []string{"a", "b"} {
		e := newEngine(t, id, map[string][]step{"POST": {respondResult("one\n")}})
		link, err := faultlab.NewLink(e.Server.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(link.Close)
		link.Impair(blocked, blocked)
		engines = append(engines, e)
		links = append(links, link)
		members = append(members, fakes.Member(id, link.Address(), "active"))
	}
	r := startRouter(t, smallConfig(newControl(t), longDeadlineSettings, members...))
	c := dial(t, r)
	c.send(frameStatement, 1, statement("lookup", 1))
	holds := func(i int) bool { return links[i].InFlight() > 0 }
	require.Eventually(t, func() bool { return holds(0) || holds(1) }, testTimeout, time.Millisecond)
	first, second := 0, 1
	if holds(1) {
		first, second = 1, 0
	}
	links[second].Impair(faultlab.Impairment{}, faultlab.Impairment{})
	c.expect(answer(1, codeCompleted, "one\n"))
	links[first].Impair(faultlab.Impairment{}, faultlab.Impairment{})
	require.Eventually(t, func() bool { return !holds(first) }, testTimeout, time.Millisecond)
	assert.Never(t, func() bool { return engines[first].hasStarted() }, time.Second, 10*time.Millisecond, "the first start was delivered after the link was restored")
	assert.True(t, engines[second].hasStarted())
}

package main

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
	"bankledge/internal/faultlab"
)

// A link to an engine holds what is sent, as a network that is cut off does, and passes it when it is whole again. The statement was sent
// elsewhere meanwhile, since no engine keeps what nobody asks for so long: its first start must not come to the engine any more.
func TestAStartThatIsHeldUpOnItsWay(t *testing.T) {
	cut := faultlab.Impairment{Blocked: true}
	var engines []*engine
	var links []*faultlab.Link
	var members []string
	for _, id := range []string{"a", "b"} {
		e := newEngine(t, id, map[string][]step{"POST": {done("one\n")}})
		link, err := faultlab.NewLink(e.Server.Listener.Addr().String())
		require.NoError(t, err)
		t.Cleanup(link.Close)
		link.Impair(cut, cut)
		engines, links, members = append(engines, e), append(links, link), append(members, fakes.Member(id, link.Address(), "active"))
	}
	r := startOn(t, newControl(t), patientSettings, members...)
	c := dial(t, r)
	c.send(7, 1, statement("lookup", 1))
	holds := func(i int) bool { return links[i].InFlight() > 0 }
	require.Eventually(t, func() bool { return holds(0) || holds(1) }, patience, time.Millisecond)
	first, second := 0, 1
	if holds(1) {
		first, second = 1, 0
	}
	links[second].Impair(faultlab.Impairment{}, faultlab.Impairment{})
	c.answer(1, 20, "one\n")
	links[first].Impair(faultlab.Impairment{}, faultlab.Impairment{})
	require.Eventually(t, func() bool { return !holds(first) }, patience, time.Millisecond)
	assert.Never(t, func() bool { return hasStarted(engines[first]) }, time.Second, 10*time.Millisecond, "the first start came after all")
	assert.True(t, hasStarted(engines[second]))
}

// hasStarted tells whether an engine was sent a statement.
func hasStarted(e *engine) bool {
	for {
		select {
		case call := <-e.Calls():
			if strings.HasPrefix(call, "POST") {
				return true
			}
		default:
			return false
		}
	}
}

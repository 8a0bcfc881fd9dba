package main

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
	"bankledge/internal/logevent"
)

// Guards against a new engine that is taken for the one that had its address before: a statement that may have run on the old engine is not
// started on the new one unless it may run twice, and nothing of the old engine's attempts is sent to the new one.
func TestStatementsWhoseEngineIsReplaced(t *testing.T) {
	for _, c := range []struct {
		workload string
		want     frame
		starts   int
	}{
		{"load", answer(1, codeAborted, ""), 1},
		{"lookup", answer(1, codeCompleted, "new\n"), 2},
	} {
		t.Run(c.workload, func(t *testing.T) {
			oldEnds := make(chan struct{})
			// One server plays the old engine, whose connections are reset, and then the new one, which knows no earlier statement.
			server := newEngine(t, "old", map[string][]step{
				"POST":   {respondAfter(oldEnds, resetConnection), respondResult("new\n")},
				"GET 0":  {respond(500, "")},
				"DELETE": {respond(500, "")},
			})
			address := server.Server.Listener.Addr().String()
			feed := newControl(t)
			r := startRouter(t, longDeadlineConfig(feed, server))
			awaitValue(t, feed.LastEventIDs)
			client := dial(t, r)
			client.send(frameStatement, 1, statement(c.workload, 1))
			server.await(t, "POST")
			feed.Events <- watchEvent(2, fakes.Member("old", address, "left"), fakes.Member("new", address, "active"))
			require.Eventually(t, func() bool { return r.log.hasEvent(logevent.EndpointListChanged) }, testTimeout, time.Millisecond)
			close(oldEnds)
			client.expect(c.want)
			assert.Equal(t, c.starts, server.CallCount("POST"))
			assert.Zero(t, server.CallCount("DELETE"))
			assert.Zero(t, server.CallCount("GET 0"))
			client.send(frameStatement, 2, strings.Replace(statement(c.workload, 2), "sales_2", "sales_9", 1))
			client.expect(answer(2, codeCompleted, "new\n"))
		})
	}
}

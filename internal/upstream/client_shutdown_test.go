package upstream

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

// The event loop decides on until it learns that the router ends, so an attempt may be started while Client.Run waits for the last tasks,
// or after that. WaitGroup.Go beside WaitGroup.Wait was reported by the race detector (write in Run, read in StartAttempt), and what
// began after Run had returned outlived the client.
func TestStartAttemptDuringShutdown(t *testing.T) {
	listener := listenOnLoopback(t)
	for range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		ends := make(endRecorder, 1000)
		client := newTestClient(ctx, ends, 20, time.Second, listener.Addr().String())
		finished := make(chan error, 1)
		go func() { finished <- client.Run(ctx) }()
		cancel()
		for i := range 20 { // nothing orders these and Run
			client.StartAttempt(AttemptRequest{Statement: decision.StatementID(strconv.Itoa(i)), Engine: "e", Deadline: inAMinute()})
			client.CheckHealth("e")
		}
		require.NoError(t, receive(t, finished))

		reported := len(ends)
		late := client.StartAttempt(AttemptRequest{Statement: "late", Engine: "e", Deadline: inAMinute()})
		client.CheckHealth("e")
		late.Cancel()
		time.Sleep(time.Millisecond) // what must not happen has time to happen
		assert.Len(t, ends, reported, "nothing begins once Run has returned")
		assert.Zero(t, client.ConnectionsInUse())
	}
}

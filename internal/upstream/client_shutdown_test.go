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

// The event loop continues to make decisions until it is notified of the shutdown, so an attempt may be started while Client.Run waits for
// the last tasks, or after that. The race detector reported WaitGroup.Go concurrent with WaitGroup.Wait (write in Run, read in
// StartAttempt), and tasks that began after Run had returned outlived the client.
func TestStartAttemptDuringShutdown(t *testing.T) {
	listener := listenOnLoopback(t)
	for range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		ends := make(endRecorder, 1000)
		client := newTestClient(ctx, ends, 20, time.Second, listener.Addr().String())
		finished := make(chan error, 1)
		go func() { finished <- client.Run(ctx) }()
		cancel()
		for i := range 20 { // not synchronized with Run
			client.StartAttempt(AttemptRequest{Statement: decision.StatementID(strconv.Itoa(i)), Engine: "e", Deadline: oneMinuteFromNow()})
			client.CheckHealth("e")
		}
		require.NoError(t, receive(t, finished))

		reported := len(ends)
		late := client.StartAttempt(AttemptRequest{Statement: "late", Engine: "e", Deadline: oneMinuteFromNow()})
		client.CheckHealth("e")
		late.Cancel()
		time.Sleep(time.Millisecond) // time for an unwanted end to be reported
		assert.Len(t, ends, reported, "nothing begins once Run has returned")
		assert.Zero(t, client.ConnectionsInUse())
	}
}

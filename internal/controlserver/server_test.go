package controlserver

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"bankledge/internal/adminclient"
	"bankledge/internal/consensus/store"
)

// A group of one process: proposals, a version stream that resumes after the last known version, a restart that restores the state, and no
// leaked goroutines.
func TestSingleProcess(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	dir := t.TempDir()
	server := startServer(t, singleSettings(t, dir))
	client := server.adminClient()
	outcome, err := client.Propose(t.Context(), proposal(t, "a", 2))
	require.NoError(t, err)
	require.NoError(t, client.AwaitActivated(t.Context(), outcome.Number))
	outcome, err = client.Propose(t.Context(), proposal(t, "a", 2))
	require.NoError(t, err)
	assert.Equal(t, uint64(1), outcome.Number, "a repeated proposal creates no second version")
	_, err = client.Propose(t.Context(), proposal(t, "b", 1))
	var rejected *adminclient.RejectedError
	require.ErrorAs(t, err, &rejected)
	assert.ErrorContains(t, err, "floor")

	events := followVersions(t, server, 0)
	first := <-events
	require.NotNil(t, first.Version)
	_, err = client.Propose(t.Context(), proposal(t, "c", 3))
	require.NoError(t, err)
	second := <-events
	assert.Equal(t, uint64(2), second.Version.Number)
	for event := second; event.Activated < 2; { // needs no wait, since no router holds a lease
		event = <-events
	}
	status, err := client.Status(t.Context())
	require.NoError(t, err)
	assert.True(t, status.IsLeader)
	require.NoError(t, server.stop())

	server = startServer(t, singleSettings(t, dir))
	server.awaitLeader(t)
	list, err := server.adminClient().Versions(t.Context())
	require.NoError(t, err)
	assert.Len(t, list.Versions, 2)
	assert.Equal(t, status.Lineage, list.Lineage)
	last := <-followVersions(t, server, 1)
	assert.Equal(t, uint64(2), last.Version.Number, "a follower that knows the first version gets the second")
	require.NoError(t, server.stop())
}

// A process whose storage fails stops with the storage's error and does not acknowledge a proposal that was not stored.
func TestStorageFails(t *testing.T) {
	settings := singleSettings(t, t.TempDir())
	disk, err := store.Open(settings.DataDir, settings.ID)
	require.NoError(t, err)
	storage := &failingStorage{Storage: disk}
	server := startServerWith(t, settings, storage)
	_, err = server.adminClient().Propose(t.Context(), proposal(t, "a", 2))
	require.NoError(t, err)
	storage.fails.Store(true)
	shortTimeoutClient := adminclient.New([]string{server.clientAddress()}, 300*time.Millisecond)
	_, err = shortTimeoutClient.Propose(t.Context(), proposal(t, "b", 3))
	var unavailable *adminclient.UnavailableError
	assert.ErrorAs(t, err, &unavailable)
	assert.ErrorIs(t, server.wait(), errNoSpace)
}

// While the storage of a process blocks, the process responds to routers and operators that it is busy.
func TestStorageStalls(t *testing.T) {
	settings := singleSettings(t, t.TempDir())
	disk, err := store.Open(settings.DataDir, settings.ID)
	require.NoError(t, err)
	storage := &stallingStorage{Storage: disk, reached: make(chan struct{}), released: make(chan struct{})}
	server := startServerWith(t, settings, storage)
	defer close(storage.released)
	server.awaitLeader(t)
	url := "http://" + server.clientAddress()
	storage.stalls.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() {
		_, _, err := send(ctx, "POST", url+"/v1/proposals", `{"kind":"propose","id":"a","rules":{"routers":2}}`, nil)
		ended <- err
	}()
	<-storage.reached
	status, body, err := send(t.Context(), "POST", url+"/v1/term", `{"incarnation":"i","seq":1}`, nil)
	require.NoError(t, err)
	assert.Equal(t, 503, status)
	assert.Equal(t, "this process is busy, or ends\n", body)
	status, body, err = send(t.Context(), "GET", url+"/v1/status", "", nil)
	require.NoError(t, err)
	assert.Equal(t, 200, status)
	assert.Contains(t, body, `"sessions":null,"error":"it can't prove that it leads: this process is busy, or ends"}`)
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
}

package adminclient

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/configregister"
	"bankledge/internal/controlapi"
)

const testTimeout = 10 * time.Second

// serve starts a server that sends the responses in turn, repeats the last one, and counts the requests.
func serve(t *testing.T, responses ...response) (address string, requests *atomic.Int64) {
	t.Helper()
	requests = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := int(requests.Add(1))
		r := responses[min(n, len(responses))-1]
		w.WriteHeader(r.status)
		w.Write([]byte(r.body))
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), requests
}

type response struct {
	status int
	body   string
}

// closedAddress returns an address without a listener.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

func TestPropose(t *testing.T) {
	for _, c := range []struct {
		name      string
		responses []response
		number    uint64
		requests  int64
		message   string // of a RejectedError
	}{
		{name: "committed", responses: []response{{200, `{"id":"a","number":7}`}}, number: 7, requests: 1},
		{name: "not the leader yet", responses: []response{{421, `{"id":"a","number":0,"error":"this process does not lead the group"}`}, {200, `{"id":"a","number":7}`}}, number: 7, requests: 2},
		{name: "busy", responses: []response{{503, "this process is busy, or ends\n"}, {200, `{"id":"a","number":7}`}}, number: 7, requests: 2},
		{name: "rollout in progress", responses: []response{{409, `{"id":"a","number":0,"error":"version 6 is still spreading"}`}, {200, `{"id":"a","number":7}`}}, number: 7, requests: 2},
		{name: "truncated response", responses: []response{{200, `{"id":`}, {200, `{"id":"a","number":7}`}}, number: 7, requests: 2},
		{name: "rollout in progress, reported by code", responses: []response{{409, `{"id":"a","number":0,"error":"wait","code":"rollout_in_progress"}`}, {200, `{"id":"a","number":7}`}}, number: 7, requests: 2},
		{name: "rejection whose text contains the words of a rollout in progress", responses: []response{{409, `{"id":"a","number":0,"error":"rules: json: unknown field \"still spreading\""}`}}, requests: 1, message: `rules: json: unknown field "still spreading"`},
		{name: "guard", responses: []response{{409, `{"id":"a","number":0,"error":"no engine is active"}`}}, requests: 1, message: "no engine is active"},
		{name: "bad request", responses: []response{{400, "unexpected EOF\n"}}, requests: 1, message: "unexpected EOF"},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, requests := serve(t, c.responses...)
			outcome, err := New([]string{address}, testTimeout).Propose(t.Context(), configregister.Entry{ID: "a"})
			assert.Equal(t, c.requests, requests.Load())
			if c.message != "" {
				var rejected *RejectedError
				require.ErrorAs(t, err, &rejected)
				assert.Equal(t, c.message, err.Error())
				return
			}
			require.NoError(t, err)
			assert.Equal(t, configregister.Outcome{ID: "a", Number: c.number}, outcome)
		})
	}
}

// The client tries each address in turn, and starts the next call with the one that succeeded last.
func TestFindsLeader(t *testing.T) {
	follower, followerRequests := serve(t, response{421, "{}"})
	leader, leaderRequests := serve(t, response{200, `{"id":"a","number":7}`})
	client := New([]string{closedAddress(t), follower, leader}, testTimeout)
	for range 2 {
		_, err := client.Propose(t.Context(), configregister.Entry{ID: "a"})
		require.NoError(t, err)
	}
	assert.Equal(t, int64(1), followerRequests.Load())
	assert.Equal(t, int64(2), leaderRequests.Load())
}

// If no process serves the request before the timeout, the error holds the last error of each address.
func TestUnavailable(t *testing.T) {
	follower, _ := serve(t, response{421, "{}"})
	rollout, _ := serve(t, response{409, `{"error":"version 6 is still spreading"}`})
	closed := closedAddress(t)
	_, err := New([]string{closed, follower, rollout}, 0).Propose(t.Context(), configregister.Entry{ID: "a"})
	var unavailable *UnavailableError
	require.ErrorAs(t, err, &unavailable)
	require.Len(t, unavailable.Addresses, 3)
	assert.Equal(t, closed, unavailable.Addresses[0].Address)
	assert.ErrorIs(t, err, errNotLeader)
	assert.ErrorIs(t, err, configregister.ErrRolloutInProgress)
	assert.True(t, strings.HasPrefix(err.Error(), "the group does not answer: "+closed+": "), err.Error())
	assert.True(t, strings.HasSuffix(err.Error(), follower+": not the leader, or not available; "+rollout+": version 6 is still spreading"), err.Error())
}

func TestCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	address, _ := serve(t, response{421, "{}"})
	cancel()
	_, err := New([]string{address}, testTimeout).Propose(ctx, configregister.Entry{ID: "a"})
	assert.ErrorIs(t, err, context.Canceled)
}

func encode(t *testing.T, value any) string {
	t.Helper()
	raw, err := json.Marshal(value)
	require.NoError(t, err)
	return string(raw)
}

// Status returns the leader's status, or a follower's if there is no leader.
func TestStatus(t *testing.T) {
	follower, _ := serve(t, response{200, encode(t, controlapi.Status{ID: 1, Error: "this process does not lead the group"})})
	leader, _ := serve(t, response{200, encode(t, controlapi.Status{ID: 2, IsLeader: true})})
	status, err := New([]string{follower, leader}, testTimeout).Status(t.Context())
	require.NoError(t, err)
	assert.Equal(t, uint64(2), status.ID)
	status, err = New([]string{closedAddress(t), follower}, 0).Status(t.Context())
	require.NoError(t, err)
	assert.Equal(t, uint64(1), status.ID)
	assert.False(t, status.IsLeader)
	_, err = New([]string{closedAddress(t)}, 0).Status(t.Context())
	var unavailable *UnavailableError
	assert.ErrorAs(t, err, &unavailable)
}

func TestVersionRules(t *testing.T) {
	address, _ := serve(t, response{200, `{"lineage":"l","settled":1,"versions":[{"number":1,"rules":{"routers":3}}]}`})
	client := New([]string{address}, testTimeout)
	rules, err := client.VersionRules(t.Context(), 1)
	require.NoError(t, err)
	assert.Equal(t, 3, rules.Routers)
	_, err = client.VersionRules(t.Context(), 2)
	assert.ErrorIs(t, err, ErrVersionNotFound)
	assert.EqualError(t, err, "version 2 is unknown or no longer stored")
}

func TestAwaitActivated(t *testing.T) {
	activated := func(number uint64) response {
		return response{200, encode(t, controlapi.Status{IsLeader: true, Activated: number})}
	}
	address, requests := serve(t, activated(0), activated(1), activated(2))
	require.NoError(t, New([]string{address}, testTimeout).AwaitActivated(t.Context(), 2))
	assert.Equal(t, int64(3), requests.Load())
	err := New([]string{address}, 0).AwaitActivated(t.Context(), 9)
	assert.ErrorIs(t, err, ErrVersionNotActive)
	assert.EqualError(t, err, "version 9 is not in force yet: see status")
}

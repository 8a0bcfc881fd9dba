package upstream

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A connection that rests in the pool for longer than its last call was given is as good as before: one that its engine has
// closed meanwhile is not, nor one that has rested for too long.
func TestAConnectionOutlivesTheTimeOfACall(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(204) }))
	defer engine.Close()
	p := newConnectionPool(4, time.Minute, time.Second)
	p.updateEngine("e", engine.Listener.Addr().String(), true)
	first, err := p.acquire(t.Context(), "e", p.addressOf("e"), false)
	require.NoError(t, err)
	_, _, _, err = first.roundTrip(time.Now().Add(time.Minute), formatRequest("DELETE", "/x/s", first.address, nil))
	require.NoError(t, err)
	rest := func() {
		first.socket.SetDeadline(time.Now().Add(-time.Second)) // the call's time is over
		p.release(first)
		first.idleSince = first.idleSince.Add(-minRestTime)
	}
	rest()
	again, err := p.acquire(t.Context(), "e", p.addressOf("e"), false)
	require.NoError(t, err)
	assert.Same(t, first, again)
	_, _, _, err = again.roundTrip(time.Now().Add(time.Minute), formatRequest("DELETE", "/x/s", first.address, nil))
	assert.NoError(t, err)
	rest()
	engine.CloseClientConnections()
	require.Eventually(t, func() bool { return first.inspect() == stateEnded }, 10*time.Second, time.Millisecond)
	other, err := p.acquire(t.Context(), "e", p.addressOf("e"), false)
	require.NoError(t, err)
	assert.NotSame(t, first, other)
	assert.Equal(t, ConnectionStats{Dialled: 2, Stale: 1}, ConnectionStats{Dialled: p.stats.Dialled, Stale: p.stats.Stale})
	p.close(other)
	assert.Zero(t, p.inUse())
}

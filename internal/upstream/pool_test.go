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
	p := newPool(4, time.Minute, time.Second)
	p.know("e", engine.Listener.Addr().String(), true)
	first, err := p.get(t.Context(), "e", p.of("e"), false)
	require.NoError(t, err)
	_, _, _, err = first.do(time.Now().Add(time.Minute), message("DELETE", "/x/s", first.address, nil))
	require.NoError(t, err)
	rest := func() {
		first.raw.SetDeadline(time.Now().Add(-time.Second)) // the call's time is over
		p.put(first)
		first.idle = first.idle.Add(-restTime)
	}
	rest()
	again, err := p.get(t.Context(), "e", p.of("e"), false)
	require.NoError(t, err)
	assert.Same(t, first, again)
	_, _, _, err = again.do(time.Now().Add(time.Minute), message("DELETE", "/x/s", first.address, nil))
	assert.NoError(t, err)
	rest()
	engine.CloseClientConnections()
	require.Eventually(t, func() bool { return first.look() == ended }, 10*time.Second, time.Millisecond)
	other, err := p.get(t.Context(), "e", p.of("e"), false)
	require.NoError(t, err)
	assert.NotSame(t, first, other)
	assert.Equal(t, ConnectionStats{Dialled: 2, Stale: 1}, ConnectionStats{Dialled: p.dials.Dialled, Stale: p.dials.Stale})
	p.drop(other)
	assert.Zero(t, p.held())
}

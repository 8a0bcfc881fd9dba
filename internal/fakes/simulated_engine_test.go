package fakes

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const timeout = 10 * time.Second

// recordedEngine is a simulated engine of one core whose statements cost what their text says.
type recordedEngine struct {
	*SimulatedEngine
	t      *testing.T
	mu     sync.Mutex
	events []EngineEventKind
}

func startRecordedEngine(t *testing.T, slowStart SlowStart) *recordedEngine {
	t.Helper()
	r := &recordedEngine{t: t}
	r.SimulatedEngine = NewSimulatedEngine(1, func(_, text string) (time.Duration, int) {
		work, err := time.ParseDuration(text)
		assert.NoError(t, err)
		return work, 1
	})
	r.SlowStart = slowStart
	r.OnEvent = func(e EngineEvent) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.events = append(r.events, e.Kind)
	}
	t.Cleanup(r.Close)
	return r
}

func (r *recordedEngine) call(method, path, id, text string) *http.Response {
	r.t.Helper()
	request, err := http.NewRequest(method, r.Server.URL+path, strings.NewReader(text))
	require.NoError(r.t, err)
	request.Header.Set("X-Txn", id)
	response, err := r.Server.Client().Do(request)
	require.NoError(r.t, err)
	require.NoError(r.t, response.Body.Close())
	return response
}

func (r *recordedEngine) recorded() []EngineEventKind {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]EngineEventKind{}, r.events...)
}

func TestSimulatedEngineRunsStatements(t *testing.T) {
	e := startRecordedEngine(t, SlowStart{})
	began := time.Now()
	response := e.call(http.MethodPost, "/x", "a", "50ms")
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "1", response.Header.Get("X-Batches"))
	assert.GreaterOrEqual(t, time.Since(began), 49*time.Millisecond)
	assert.Equal(t, []EngineEventKind{AttemptStarted, AttemptEnded}, e.recorded())
	assert.Equal(t, 1, e.PeakConcurrency())
}

func TestSimulatedEngineFails(t *testing.T) {
	e := startRecordedEngine(t, SlowStart{})
	e.SetSlowdown(1, true)
	assert.Equal(t, http.StatusInternalServerError, e.call(http.MethodPost, "/x", "a", "1h").StatusCode)
	assert.Equal(t, http.StatusInternalServerError, e.call(http.MethodGet, "/x/unknown/0", "", "").StatusCode)
}

func TestSimulatedEngineCancels(t *testing.T) {
	e := startRecordedEngine(t, SlowStart{})
	assert.Equal(t, http.StatusAccepted, e.call(http.MethodPost, "/x", "a", "1h").StatusCode, "no result yet")
	assert.Equal(t, http.StatusNoContent, e.call(http.MethodDelete, "/x/a", "", "").StatusCode)
	assert.Equal(t, http.StatusNoContent, e.call(http.MethodDelete, "/x/a", "", "").StatusCode, "again")
	assert.Equal(t, []EngineEventKind{AttemptStarted, AttemptCancelled}, e.recorded())
}

func TestSimulatedEngineAbandonsUnpolled(t *testing.T) {
	e := startRecordedEngine(t, SlowStart{})
	e.AbandonAfter = 20 * time.Millisecond
	e.call(http.MethodPost, "/x", "a", "1h")
	require.Eventually(t, func() bool { return len(e.recorded()) == 2 }, timeout, time.Millisecond)
	assert.Equal(t, []EngineEventKind{AttemptStarted, AttemptAbandoned}, e.recorded())
}

func TestSimulatedEngineCollapsesWhenCold(t *testing.T) {
	cold := SlowStart{InitialShare: 0.5, MaxLoadFactor: 1, WarmUpTime: time.Hour, Window: time.Second}
	for name, c := range map[string]struct {
		work      string
		collapses bool
	}{
		"tolerated work": {work: "1ms", collapses: false},
		"too much work":  {work: "1h", collapses: true},
	} {
		t.Run(name, func(t *testing.T) {
			e := startRecordedEngine(t, cold)
			request, err := http.NewRequest(http.MethodPost, e.Server.URL+"/x", strings.NewReader(c.work))
			require.NoError(t, err)
			response, err := e.Server.Client().Do(request) // fails where the engine goes down
			if err == nil {
				response.Body.Close()
			}
			require.Eventually(t, func() bool { return len(e.recorded()) > 0 }, timeout, time.Millisecond)
			if c.collapses {
				assert.Contains(t, e.recorded(), ColdEngineOverloaded)
			} else {
				assert.NotContains(t, e.recorded(), ColdEngineOverloaded)
			}
		})
	}
}

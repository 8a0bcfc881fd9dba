package main

import (
	"net/http"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/faultinject"
)

// engineRetention is how long an engine runs on with an attempt that nobody polls.
const engineRetention = 2 * time.Second

// startOnHost starts the program on a host of its own, whose wall clock can be stepped.
func startOnHost(t *testing.T, engines ...*engine) (*routerProcess, *faultinject.Host) {
	t.Helper()
	dir := t.TempDir()
	library, err := faultinject.Build(dir)
	require.NoError(t, err)
	host, err := faultinject.NewHost(library, dir, "router")
	require.NoError(t, err)
	environment := append([]string{"LB_LOG_LEVEL=debug"}, host.Environment(false)...)
	r := startProcess(t, exec.Command(builtProgram, "serve"), patientConfig(newControl(t), engines...), environment...)
	t.Cleanup(func() { host.Close() }) // before the program is killed: it has its own mapping
	r.awaitReady(t)
	return r, host
}

// firstRunsOn is two engines of which the first one that is sent a request runs it and does not answer its start. The other answers.
type firstRunsOn struct {
	mu      sync.Mutex
	first   *engine
	began   chan *engine // the first one, when it has the request
	second  chan *engine // the other one, likewise
	engines []*engine
}

func newFirstRunsOn(t *testing.T) *firstRunsOn {
	t.Helper()
	f := &firstRunsOn{began: make(chan *engine, 1), second: make(chan *engine, 10)}
	for _, id := range []string{"a", "b"} {
		var e *engine
		e = newEngine(t, id, map[string][]step{"GET 0": {says(202, "")}, "POST": {func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			if f.first == nil {
				f.first = e
			}
			first := f.first
			f.mu.Unlock()
			if first == e {
				f.began <- e
				silent(w, r)
				return
			}
			f.second <- e
			done("one\n")(w, r)
		}}})
		f.engines = append(f.engines, e)
	}
	return f
}

var wallClockSteps = map[string]time.Duration{"an hour on": time.Hour, "three seconds on": 3 * time.Second, "not at all": 0,
	"three seconds back": -3 * time.Second, "an hour back": -time.Hour}

// The wall clock steps while an attempt is in flight and its engine does not answer. The attempt is cancelled, and the engine is notified
// before the request goes to another one: else it would run on both.
func TestWallClockStepsBeforeAnAttemptIsCancelled(t *testing.T) {
	for name, by := range wallClockSteps {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFirstRunsOn(t)
			r, host := startOnHost(t, f.engines...)
			c := dial(t, r)
			c.send(frameStatement, 1, statement("lookup", 1))
			first := await(t, f.began)
			host.StepWallClock(by)
			await(t, f.second)
			assert.Positive(t, first.CallCount("DELETE"), "the first engine was not asked to cancel it")
			c.expect(answer(1, codeCompleted, "one\n"))
		})
	}
}

// The wall clock steps while an attempt is in flight; then its engine takes no connections any more and runs on. The request goes to another
// engine once the first has dropped what nobody polls, and soon after that.
func TestWallClockStepsBeforeAnEngineIsOutOfReach(t *testing.T) {
	for name, by := range wallClockSteps {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFirstRunsOn(t)
			r, host := startOnHost(t, f.engines...)
			c := dial(t, r)
			c.send(frameStatement, 1, statement("lookup", 1))
			first := await(t, f.began)
			polled := time.Now() // at the latest: it may be polled again until it is out of reach
			host.StepWallClock(by)
			first.Server.Listener.Close()
			first.Server.CloseClientConnections()
			await(t, f.second)
			unpolled := time.Since(polled)
			assert.GreaterOrEqual(t, unpolled, engineRetention, "the first engine still ran it")
			assert.Less(t, unpolled, 2*engineRetention)
			c.expect(answer(1, codeCompleted, "one\n"))
		})
	}
}

func await[T any](t *testing.T, c <-chan T) (got T) {
	t.Helper()
	select {
	case got = <-c:
	case <-time.After(testTimeout):
		t.Fatal("it did not happen")
	}
	return got
}

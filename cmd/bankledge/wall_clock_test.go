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

// engineRetention is how long an engine continues an attempt that is not polled.
const engineRetention = 2 * time.Second

// startOnSimulatedHost starts the program on a simulated host of its own, whose wall clock can be stepped.
func startOnSimulatedHost(t *testing.T, engines ...*engine) (*routerProcess, *faultinject.Host) {
	t.Helper()
	dir := t.TempDir()
	library, err := faultinject.Build(dir)
	require.NoError(t, err)
	host, err := faultinject.NewHost(library, dir, "router")
	require.NoError(t, err)
	environment := append([]string{"LB_LOG_LEVEL=debug"}, host.Environment(false)...)
	r := startProcess(t, exec.Command(builtProgram, "serve"), longDeadlineConfig(newControl(t), engines...), environment...)
	t.Cleanup(func() { host.Close() }) // before the program is killed, which has its own mapping
	r.awaitReady(t)
	return r, host
}

// hangingFirstEngine is a pair of engines. The first one that receives a request runs it and does not respond to its start. The other one
// responds.
type hangingFirstEngine struct {
	mu            sync.Mutex
	first         *engine
	firstStarted  chan *engine // receives the first engine when it has the request
	secondStarted chan *engine // receives the other engine, likewise
	engines       []*engine
}

func newHangingFirstEngine(t *testing.T) *hangingFirstEngine {
	t.Helper()
	f := &hangingFirstEngine{firstStarted: make(chan *engine, 1), secondStarted: make(chan *engine, 10)}
	for _, id := range []string{"a", "b"} {
		var e *engine
		e = newEngine(t, id, map[string][]step{"GET 0": {respond(202, "")}, "POST": {func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			if f.first == nil {
				f.first = e
			}
			first := f.first
			f.mu.Unlock()
			if first == e {
				f.firstStarted <- e
				hang(w, r)
				return
			}
			f.secondStarted <- e
			respondResult("one\n")(w, r)
		}}})
		f.engines = append(f.engines, e)
	}
	return f
}

var wallClockSteps = map[string]time.Duration{"an hour forward": time.Hour, "three seconds forward": 3 * time.Second, "not at all": 0,
	"three seconds back": -3 * time.Second, "an hour back": -time.Hour}

// The wall clock steps while an attempt is in flight and its engine does not respond. The router cancels the attempt at the engine before it
// sends the request to another one: otherwise the request would run on both.
func TestWallClockStepsBeforeAnAttemptIsCancelled(t *testing.T) {
	for name, by := range wallClockSteps {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newHangingFirstEngine(t)
			r, host := startOnSimulatedHost(t, f.engines...)
			c := dial(t, r)
			c.send(frameStatement, 1, statement("lookup", 1))
			first := awaitValue(t, f.firstStarted)
			host.StepWallClock(by)
			awaitValue(t, f.secondStarted)
			assert.Positive(t, first.CallCount("DELETE"), "the first engine was not asked to cancel it")
			c.expect(answer(1, codeCompleted, "one\n"))
		})
	}
}

// The wall clock steps while an attempt is in flight. Then its engine accepts no more connections and continues the attempt. The router sends
// the request to another engine only after the first has dropped the attempt, which is no longer polled, and soon after that.
func TestWallClockStepsBeforeAnEngineIsOutOfReach(t *testing.T) {
	for name, by := range wallClockSteps {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newHangingFirstEngine(t)
			r, host := startOnSimulatedHost(t, f.engines...)
			c := dial(t, r)
			c.send(frameStatement, 1, statement("lookup", 1))
			first := awaitValue(t, f.firstStarted)
			lastPolled := time.Now() // the last poll may be later, until the engine is unreachable
			host.StepWallClock(by)
			first.Server.Listener.Close()
			first.Server.CloseClientConnections()
			awaitValue(t, f.secondStarted)
			unpolledFor := time.Since(lastPolled)
			assert.GreaterOrEqual(t, unpolledFor, engineRetention, "the first engine still ran it")
			assert.Less(t, unpolledFor, 2*engineRetention)
			c.expect(answer(1, codeCompleted, "one\n"))
		})
	}
}

func awaitValue[T any](t *testing.T, c <-chan T) (got T) {
	t.Helper()
	select {
	case got = <-c:
	case <-time.After(testTimeout):
		t.Fatal("no value was received in time")
	}
	return got
}

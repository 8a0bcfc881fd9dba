package main

import (
	"net/http"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/fakes"
	"bankledge/internal/faultinject"
)

// forgets is how long an engine runs on with an execution that nobody asks for.
const forgets = 2 * time.Second

// startOnHost starts the program on a host of its own, whose wall clock can be stepped.
func startOnHost(t *testing.T, engines ...*engine) (*router, *faultinject.Host) {
	dir := t.TempDir()
	library, err := faultinject.Build(dir)
	require.NoError(t, err)
	host, err := faultinject.NewHost(library, dir, "router")
	require.NoError(t, err)
	r := &router{cmd: exec.Command(program, "serve"), config: writeConfig(t, newControl(t), 256, engines...), log: &lockedLog{}, ended: make(chan error, 1)}
	r.cmd.Env = append(append(os.Environ(), "LB_CONFIG="+r.config, "LB_LOG_LEVEL=debug"), host.Environment(false)...)
	r.run(t)
	t.Cleanup(func() { host.Close() }) // before the program is killed: it has its own mapping
	c, err := fakes.Dial(r.listen)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.AwaitReady(patience))
	return r, host
}

// firstRunsOn is two engines of which the first one that is sent a statement runs it and says nothing to its start. The other answers.
type firstRunsOn struct {
	mu      sync.Mutex
	first   *engine
	began   chan *engine // the first one, when it has the statement
	second  chan *engine // the other one, likewise
	engines []*engine
}

func newFirstRunsOn(t *testing.T) *firstRunsOn {
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

// The wall clock steps while an execution is out and its engine says nothing. The execution is called off, and the engine is told so
// before the statement goes to another one: else it would run on both.
func TestWallClockStepsBeforeAnExecutionIsCalledOff(t *testing.T) {
	for name, by := range wallClockSteps {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFirstRunsOn(t)
			r, host := startOnHost(t, f.engines...)
			c := dial(t, r)
			c.send(7, 1, statement("lookup", 1))
			first := await(t, f.began)
			host.StepWallClock(by)
			await(t, f.second)
			assert.Positive(t, first.CallCount("DELETE"), "the first engine was not told to give it up")
			c.answer(1, 20, "one\n")
		})
	}
}

// The wall clock steps while an execution is out; then its engine takes no connections any more and runs on. The statement goes to another
// engine once the first has dropped what nobody asks for, and soon after that.
func TestWallClockStepsBeforeAnEngineIsOutOfReach(t *testing.T) {
	for name, by := range wallClockSteps {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFirstRunsOn(t)
			r, host := startOnHost(t, f.engines...)
			c := dial(t, r)
			c.send(7, 1, statement("lookup", 1))
			first := await(t, f.began)
			asked := time.Now() // at the latest: it may be asked for again until it is out of reach
			host.StepWallClock(by)
			first.Server.Listener.Close()
			first.Server.CloseClientConnections()
			await(t, f.second)
			unasked := time.Since(asked)
			assert.GreaterOrEqual(t, unasked, forgets, "the first engine still ran it")
			assert.Less(t, unasked, 2*forgets)
			c.answer(1, 20, "one\n")
		})
	}
}

func await[T any](t *testing.T, c <-chan T) (got T) {
	t.Helper()
	select {
	case got = <-c:
	case <-time.After(patience):
		t.Fatal("it did not happen")
	}
	return got
}

package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"bankledge/decision"
	"bankledge/internal/downstream"
	"bankledge/internal/fakes"
	"bankledge/internal/settings"
)

// arm is a router with engines of its own, whose run times follow the true workload.
type arm struct {
	gateway *Router
	clients []*fakes.Client
	engines []*fakes.SimulatedEngine
	mu      sync.Mutex
	took    [3][]time.Duration // by true workload, of what completed
	answers map[downstream.Code]int
	lost    int
}

const faster = 10 // times, than the mix's work

func startArm(t *testing.T, asDeclared bool) *arm {
	a := &arm{answers: map[downstream.Code]int{}}
	var members []string
	for i := range 2 {
		e := fakes.NewSimulatedEngine(8, func(_, text string) (time.Duration, int) { // the text tells the true work
			var us int64
			threads := 1
			if i := strings.Index(text, "/*w"); i >= 0 {
				fmt.Sscanf(text[i:], "/*w %d %d*/", &us, &threads)
			}
			return time.Duration(us) * time.Microsecond, threads
		})
		t.Cleanup(e.Close)
		a.engines = append(a.engines, e)
		members = append(members, fakes.Member(fmt.Sprint("e", i), e.Server.Listener.Addr().String(), "active"))
	}
	feed := fakes.NewControlFeed()
	t.Cleanup(feed.Close)
	cfg, err := settings.ParseConfig(fakes.Config(feed.Server.Listener.Addr().String(), fakes.Settings, 192, 1024, members...))
	require.NoError(t, err)
	cfg.ClassificationDisabled, cfg.Limits.Cores = asDeclared, 8
	a.gateway = New(cfg, zap.NewNop())
	stop, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.gateway.Run(stop, nil, nil) }()
	t.Cleanup(func() { cancel(); assert.NoError(t, <-ended) })
	address := (<-a.gateway.Serving()).String()
	for range 16 { // 32 statements each
		c, err := fakes.Dial(address)
		require.NoError(t, err)
		t.Cleanup(c.Close)
		a.clients = append(a.clients, c)
	}
	require.NoError(t, a.clients[0].AwaitReady(10*time.Second))
	return a
}

func (a *arm) ask(n int, item fakes.Item, wait *sync.WaitGroup) {
	w := fakes.Workloads()[item.Actual]
	text := fmt.Sprintf("%s /*w %d %d*/", item.Text, (item.Work / faster).Microseconds(), w.Threads)
	answer := a.clients[n%len(a.clients)].Send(map[string]string{"c": fakes.Workloads()[item.Declared].Name, "i": fmt.Sprintf("%016x", n),
		"d": strconv.Itoa(int(fakes.Workloads()[item.Declared].StatementTimeout.Milliseconds())), "t": "x",
		"h": strconv.FormatFloat((item.Estimate/faster).Seconds()*1000, 'f', 3, 64), "heap_mb": "50"}, text)
	wait.Go(func() {
		got := <-answer
		a.mu.Lock()
		defer a.mu.Unlock()
		if got.Err != nil {
			a.lost++
			return
		}
		if a.answers[got.Code]++; got.Code == downstream.CodeCompleted {
			a.took[item.Actual] = append(a.took[item.Actual], got.Took)
		}
	})
}

// A tenth and more of the reports is labelled lookup, with estimates to match: the same statements at the same times,
// open loop, past routers with the looks off and on, and past both without a wrong label. BANKLEDGE_LONG=RATE runs it for
// a minute at so many statements a second; in CI it shows that every statement has one answer and that wrong
// labels are found.
func TestMislabelledReports(t *testing.T) {
	length, rate := 4*time.Second, 110.0
	if perSec, err := strconv.ParseFloat(os.Getenv("BANKLEDGE_LONG"), 64); err == nil {
		length, rate = 60*time.Second, perSec
	}
	off, on, plain, honest := startArm(t, true), startArm(t, false), startArm(t, true), startArm(t, false)
	mix, r := fakes.NewMix(3, fakes.MixOptions{Shapes: 40, EstimateOff: 1, Lies: true}), rand.New(rand.NewPCG(1, 1))
	var wait sync.WaitGroup
	n, at := 0, time.Duration(0)
	ticks := time.NewTicker(time.Millisecond)
	defer ticks.Stop()
	began := time.Now()
	for range ticks.C { // what is due is sent, however late the answers of others are
		past := time.Since(began)
		for at < past && at < length {
			item := mix.Next()
			n++
			off.ask(n, item, &wait)
			on.ask(n, item, &wait)
			item.Declared, item.Estimate = item.Actual, item.Work
			plain.ask(n, item, &wait)
			honest.ask(n, item, &wait)
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		}
		if past >= length {
			break
		}
	}
	wait.Wait()
	for name, a := range map[string]*arm{"off": off, "on": on, "off, all honest": plain, "on, all honest": honest} {
		for _, took := range a.took {
			slices.Sort(took)
		}
		at := func(w decision.WorkloadID, q float64) time.Duration {
			return a.took[w][int(q*float64(len(a.took[w])-1))].Round(10 * time.Microsecond)
		}
		t.Logf("%-20s lookups p50 %v p99 %v (%d), reports p50 %v p99 %v (%d), answers %v", name, at(0, 0.5), at(0, 0.99), len(a.took[0]),
			at(1, 0.5), at(1, 0.99), len(a.took[1]), a.answers)
		assert.Zero(t, a.lost, name)
		sum := 0
		for _, count := range a.answers {
			sum += count
		}
		assert.Equal(t, n, sum, "%s: one answer each", name)
	}
	require.Eventually(t, func() bool { c := on.gateway.looks.Load(); return c != nil && c.ByReason[0] > 0 }, 5*time.Second, time.Millisecond)
	t.Logf("on: %+v", *on.gateway.looks.Load())
}

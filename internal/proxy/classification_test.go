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

// comparedRouter is a router with its own engines, whose run times depend on the actual workload of a request.
type comparedRouter struct {
	router  *Router
	clients []*fakes.Client

	mu        sync.Mutex
	durations [3][]time.Duration // durations of completed requests, by actual workload
	answers   map[downstream.Code]int
	lost      int
}

const speedUp = 10 // the engines' work is the mix's work divided by this

// actualCost returns the work and the threads that a comment in a request's text states.
func actualCost(_, text string) (work time.Duration, threads int) {
	var microseconds int64
	threads = 1
	if i := strings.Index(text, "/*w"); i >= 0 {
		fmt.Sscanf(text[i:], "/*w %d %d*/", &microseconds, &threads)
	}
	return time.Duration(microseconds) * time.Microsecond, threads
}

func startComparedRouter(t *testing.T, classificationDisabled bool) *comparedRouter {
	t.Helper()
	r := &comparedRouter{answers: map[downstream.Code]int{}}
	var members []string
	for i := range 2 {
		engine := fakes.NewSimulatedEngine(8, actualCost)
		t.Cleanup(engine.Close)
		members = append(members, fakes.Member(fmt.Sprint("e", i), engine.Server.Listener.Addr().String(), "active"))
	}
	feed := fakes.NewControlFeed()
	t.Cleanup(feed.Close)
	cfg, err := settings.ParseConfig(fakes.Config(feedAddress(feed), fakes.Settings, 192, 1024, members...))
	require.NoError(t, err)
	cfg.ClassificationDisabled = classificationDisabled
	cfg.Limits.Cores = 8
	r.router = New(cfg, zap.NewNop())
	stop, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.router.Run(stop, nil, nil) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-ended)
	})
	address := (<-r.router.Serving()).String()
	for range 16 { // 32 requests for each
		c, err := fakes.Dial(address)
		require.NoError(t, err)
		t.Cleanup(c.Close)
		r.clients = append(r.clients, c)
	}
	require.NoError(t, r.clients[0].AwaitReady(10*time.Second))
	return r
}

// send sends one item of the mix; wait is done when the item is answered.
func (r *comparedRouter) send(n int, item fakes.Item, wait *sync.WaitGroup) {
	declared := fakes.Workloads()[item.Declared]
	text := fmt.Sprintf("%s /*w %d %d*/", item.Text, (item.Work / speedUp).Microseconds(), fakes.Workloads()[item.Actual].Threads)
	answer := r.clients[n%len(r.clients)].Send(map[string]string{"c": declared.Name, "i": fmt.Sprintf("%016x", n),
		"d": strconv.Itoa(int(declared.StatementTimeout.Milliseconds())), "t": "x",
		"h": strconv.FormatFloat((item.Estimate/speedUp).Seconds()*1000, 'f', 3, 64), "heap_mb": "50"}, text)
	wait.Go(func() { r.record(item, <-answer) })
}

func (r *comparedRouter) record(item fakes.Item, got fakes.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if got.Err != nil {
		r.lost++
		return
	}
	r.answers[got.Code]++
	if got.Code == downstream.CodeCompleted {
		r.durations[item.Actual] = append(r.durations[item.Actual], got.Took)
	}
}

func (r *comparedRouter) quantile(workload decision.WorkloadID, q float64) time.Duration {
	durations := r.durations[workload]
	return durations[int(q*float64(len(durations)-1))].Round(10 * time.Microsecond)
}

// At least a tenth of the reports are declared as lookups, with matching estimates. Four routers receive the same requests at the same
// times, open loop: with classification off and on, each with these wrong labels and with correct ones. BANKLEDGE_LONG=RATE runs the test
// for a minute at that many requests per second. In CI it checks that every request has one answer and that counts of the
// classification are published.
func TestMislabelledReports(t *testing.T) {
	length := 4 * time.Second
	rate := 110.0
	if perSec, err := strconv.ParseFloat(os.Getenv("BANKLEDGE_LONG"), 64); err == nil {
		length = 60 * time.Second
		rate = perSec
	}
	off := startComparedRouter(t, true)
	on := startComparedRouter(t, false)
	offCorrect := startComparedRouter(t, true)
	onCorrect := startComparedRouter(t, false)
	mix := fakes.NewMix(3, fakes.MixOptions{RecurringFingerprints: 40, EstimateErrorFactor: 1, EstimatesMatchLabels: true})
	random := rand.New(rand.NewPCG(1, 1))
	var wait sync.WaitGroup
	n := 0
	at := time.Duration(0)
	ticks := time.NewTicker(time.Millisecond)
	defer ticks.Stop()
	began := time.Now()
	for range ticks.C { // sends what is due without waiting for earlier answers
		elapsed := time.Since(began)
		for at < elapsed && at < length {
			item := mix.Next()
			n++
			off.send(n, item, &wait)
			on.send(n, item, &wait)
			item.Declared = item.Actual
			item.Estimate = item.Work
			offCorrect.send(n, item, &wait)
			onCorrect.send(n, item, &wait)
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		}
		if elapsed >= length {
			break
		}
	}
	wait.Wait()
	for name, r := range map[string]*comparedRouter{"off": off, "on": on, "off, correct labels": offCorrect, "on, correct labels": onCorrect} {
		for _, durations := range r.durations {
			slices.Sort(durations)
		}
		t.Logf("%-20s lookups p50 %v p99 %v (%d), reports p50 %v p99 %v (%d), answers %v", name,
			r.quantile(fakes.Lookup, 0.5), r.quantile(fakes.Lookup, 0.99), len(r.durations[fakes.Lookup]),
			r.quantile(fakes.Report, 0.5), r.quantile(fakes.Report, 0.99), len(r.durations[fakes.Report]), r.answers)
		assert.Zero(t, r.lost, name)
		answered := 0
		for _, count := range r.answers {
			answered += count
		}
		assert.Equal(t, n, answered, "%s: one answer each", name)
	}
	counts := &on.router.classificationCounts
	require.Eventually(t, func() bool {
		published := counts.Load()
		return published != nil && published.ByReason[0] > 0
	}, 5*time.Second, time.Millisecond)
	t.Logf("on: %+v", *counts.Load())
}

package faultlab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"bankledge/internal/downstream"
)

const (
	maxSurge       = 3.0                    // largest factor of a surge over the normal traffic
	retryPause     = 150 * time.Millisecond // before a client retries a rejected statement
	lateAnswerWait = 600 * time.Millisecond // how long a client waits beyond its timeout, so that late answers are recorded
	tableCount     = 40

	// Streams of random numbers of a seed, one for each purpose.
	trafficStream = 2
	cancelStream  = 3

	// Work of a statement relative to the mean of its workload: lognormal with mean one.
	workMu    = -0.18
	workSigma = 0.6
)

// arrivals draws statements of a Poisson process. A seed gives the same statements only if the order of the draws stays the same.
type arrivals struct {
	random    *rand.Rand
	gap       distuv.Exponential // seconds at the normal rate
	workload  distuv.Categorical
	router    distuv.Categorical
	work      distuv.LogNormal
	thinning  distuv.Uniform
	workScale float64 // WorkFactor of the scenario
}

// arrival is one drawn statement.
type arrival struct {
	workload *workload
	router   int
	work     float64 // seconds on one thread
	thinning float64 // the statement is skipped if this exceeds the surge factor at its time
	table    int
}

func newArrivals(s *Scenario) *arrivals {
	random := rand.New(rand.NewPCG(s.Seed, trafficStream))
	mean := 0.0
	weights := make([]float64, len(workloads))
	for i, w := range workloads {
		mean += w.share * w.meanWork
		weights[i] = w.share
	}
	routers := make([]float64, s.Routers)
	for i := range routers {
		routers[i] = 1
	}
	routers[0] = max(1, s.BusiestFactor)
	workScale := cmp.Or(s.WorkFactor, 1)
	return &arrivals{
		random:    random,
		gap:       distuv.Exponential{Rate: s.Load * engineCores * float64(s.Engines) / (mean * workScale), Src: random},
		workload:  distuv.NewCategorical(weights, random),
		router:    distuv.NewCategorical(routers, random),
		work:      distuv.LogNormal{Mu: workMu, Sigma: workSigma, Src: random},
		thinning:  distuv.Uniform{Min: 0, Max: maxSurge, Src: random},
		workScale: workScale,
	}
}

// nextGap draws the seconds until the next statement at the rate of the largest surge. Statements are thinned out when the traffic is
// lower, so that a surge does not change the other statements.
func (a *arrivals) nextGap() float64 { return a.gap.Rand() / maxSurge }

func (a *arrivals) next() arrival {
	var x arrival
	x.workload = &workloads[int(a.workload.Rand())]
	x.router = int(a.router.Rand())
	spread := a.work.Rand()
	x.thinning = a.thinning.Rand()
	x.table = a.random.IntN(tableCount)
	x.work = spread * (x.workload.meanWork * a.workScale)
	return x
}

// generateTraffic sends statements at the times of a Poisson process, independent of the results of earlier statements. The clients use
// clientCtx and may continue after it has returned.
func (f *fleet) generateTraffic(ctx, clientCtx context.Context) error {
	statements := newArrivals(f.scenario)
	cancelDraws := rand.New(rand.NewPCG(f.scenario.Seed, cancelStream))
	now := 0.0
	for n := 0; ; n++ {
		now += statements.nextGap()
		if now > f.scenario.Seconds {
			return nil
		}
		drawn := statements.next()
		if drawn.thinning > f.surgeAt(now) {
			continue
		}
		if err := f.waitUntil(ctx, now); err != nil {
			return err
		}
		c := &client{
			fleet:   f,
			arrival: drawn,
			id:      fmt.Sprintf("%08x%07x", uint32(f.scenario.Seed), n),
			timeout: f.scenario.scaledTimeout(drawn.workload.timeout),
		}
		if cancelDraws.Float64() < f.scenario.CancelShare {
			c.cancelAfter = time.Duration(cancelDraws.Int64N(int64(c.timeout)))
		}
		due := seconds(now)
		f.clients.Go(func() { c.run(clientCtx, due) })
	}
}

// surgeAt returns the factor over the normal traffic at a time in seconds from the start.
func (f *fleet) surgeAt(now float64) float64 {
	factor := 1.0
	for _, fault := range f.scenario.Faults {
		if fault.Kind == faultSurge && now >= fault.At && now < fault.At+fault.For {
			factor = max(factor, min(maxSurge, fault.Amount))
		}
	}
	return factor
}

// client sends one statement, and sends it again with a new id when it is rejected.
type client struct {
	fleet *fleet
	arrival
	id          string // of the statement, without the last digit, which counts the retries
	timeout     time.Duration
	cancelAfter time.Duration // time after which the client cancels; 0: it does not cancel
}

// run sends the statement and its retries. due is the time of the run at which the statement is due.
func (c *client) run(ctx context.Context, due time.Duration) {
	f := c.fleet
	for retry := 0; ; retry++ {
		id := fmt.Sprintf("%s%x", c.id, retry)
		f.record(Event{
			At:        due,
			Kind:      StatementSent,
			Statement: id,
			Workload:  c.workload.name,
			Router:    c.router,
			Budget:    c.timeout,
			Retry:     retry,
			Work:      c.work,
		})
		fields, text := c.request(id, retry, due)
		answer := f.routers[c.router].send(ctx, c.timeout+lateAnswerWait, c.cancelAfter, fields, text)
		outcome := Event{
			Kind:      StatementAnswered,
			Statement: id,
			Workload:  c.workload.name,
			Router:    c.router,
			Code:      byte(answer.Code),
			Took:      answer.Took,
		}
		if errors.Is(answer.Err, errClientCancelled) {
			outcome.Kind = ClientCancelled
		} else if answer.Err != nil {
			outcome.Kind = ClientConnectionLost
			outcome.Text = answer.Err.Error()
		}
		f.record(outcome)
		rejected := answer.Err == nil && answer.Code == downstream.CodeRejected
		if !rejected || retry >= f.scenario.Retries || ctx.Err() != nil {
			return
		}
		time.Sleep(retryPause)
		due = time.Since(f.began)
	}
}

// request returns the fields and the text of the statement as they are sent to the router.
func (c *client) request(id string, retry int, due time.Duration) (fields map[string]string, text string) {
	late := time.Since(c.fleet.began) - due
	estimate := fmt.Sprint(max(1, int(c.work*1000))) // milliseconds
	fields = map[string]string{
		"i":       id,
		"c":       c.workload.name,
		"d":       fmt.Sprint(max(1, (c.timeout - late).Milliseconds())),
		"h":       estimate,
		"heap_mb": "8",
	}
	if retry > 0 {
		fields["r"] = "1"
	}
	format := "select total from sales_%d.orders where " + costTag + "%s.%d"
	if c.workload.nonIdempotent {
		format = "update sales_%d.orders set total = 0 where " + costTag + "%s.%d"
	}
	return fields, fmt.Sprintf(format, c.table, estimate, c.workload.threads)
}

// originalID returns the id of the first sending of a statement. The last digit of an id counts the retries.
func originalID(id string) string { return id[:len(id)-1] + "0" }

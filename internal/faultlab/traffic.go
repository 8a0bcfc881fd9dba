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
	maxSurge       = 3.0                    // times the usual traffic, at most
	retryPause     = 150 * time.Millisecond // of a client whose statement was rejected
	answerPatience = 600 * time.Millisecond // how long after its timeout a client still waits, to see a late answer
	tableCount     = 40

	// Streams of random numbers that a seed gives, one for each purpose.
	trafficStream = 2
	leavingStream = 3

	// Work of a statement over the mean of its workload: lognormal with mean one.
	workMu    = -0.18
	workSigma = 0.6
)

// arrivals draws statements of a Poisson process. The order of the draws is part of what a seed means.
type arrivals struct {
	random    *rand.Rand
	gap       distuv.Exponential // seconds at the usual rate
	workload  distuv.Categorical
	router    distuv.Categorical
	work      distuv.LogNormal
	thinning  distuv.Uniform
	workScale float64 // of the schedule
}

// arrival is one drawn statement.
type arrival struct {
	workload *workload
	router   int
	work     float64 // seconds on one thread
	thinning float64 // it is left out if this is above the surge at its time
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

// nextGap draws the seconds until the next statement, at the fastest rate: statements are thinned out where the traffic is less,
// so that a surge leaves the other statements as they are.
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

// generateTraffic sends statements at the times of a Poisson process, whatever became of those before. Their clients go on, under a
// context of their own, when it has returned.
func (f *fleet) generateTraffic(ctx, clientCtx context.Context) error {
	statements := newArrivals(f.schedule)
	leaving := rand.New(rand.NewPCG(f.schedule.Seed, leavingStream))
	now := 0.0
	for n := 0; ; n++ {
		now += statements.nextGap()
		if now > f.schedule.Seconds {
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
			id:      fmt.Sprintf("%08x%07x", uint32(f.schedule.Seed), n),
			timeout: f.schedule.scaledTimeout(drawn.workload.timeout),
		}
		if leaving.Float64() < f.schedule.CancelShare {
			c.leaveAfter = time.Duration(leaving.Int64N(int64(c.timeout)))
		}
		due := seconds(now)
		f.clients.Go(func() { c.run(clientCtx, due) })
	}
}

// surgeAt returns how many times the usual traffic there is, some seconds after the start.
func (f *fleet) surgeAt(now float64) float64 {
	factor := 1.0
	for _, fault := range f.schedule.Faults {
		if fault.Kind == faultSurge && now >= fault.At && now < fault.At+fault.For {
			factor = max(factor, min(maxSurge, fault.Amount))
		}
	}
	return factor
}

// client sends one statement, and sends it again under a new id when it is rejected.
type client struct {
	fleet *fleet
	arrival
	id         string // of the statement, without the digit of the retry
	timeout    time.Duration
	leaveAfter time.Duration // then it cancels; 0: it does not
}

// run sends the statement, which was due at a time of the play, and its retries.
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
		answer := f.routers[c.router].send(ctx, c.timeout+answerPatience, c.leaveAfter, fields, text)
		outcome := Event{
			Kind:      StatementAnswered,
			Statement: id,
			Workload:  c.workload.name,
			Router:    c.router,
			Code:      byte(answer.Code),
			Took:      answer.Took,
		}
		if errors.Is(answer.Err, errClientLeft) {
			outcome.Kind = ClientLeft
		} else if answer.Err != nil {
			outcome.Kind = ClientConnectionLost
			outcome.Text = answer.Err.Error()
		}
		f.record(outcome)
		rejected := answer.Err == nil && answer.Code == downstream.CodeRejected
		if !rejected || retry >= f.schedule.Retries || ctx.Err() != nil {
			return
		}
		time.Sleep(retryPause)
		due = time.Since(f.began)
	}
}

// request returns the fields and the text of the statement, as the wire has them.
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

// originalID returns the id under which a statement was first sent: the last digit counts the retries.
func originalID(id string) string { return id[:len(id)-1] + "0" }

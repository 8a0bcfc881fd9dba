package faultlab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat/distuv"

	"bankledge/internal/configversion"
	"bankledge/internal/downstream"
	"bankledge/internal/fakes"
	"bankledge/internal/faultinject"
)

// Options say with what a schedule is played.
type Options struct {
	RouterProgram  string             // the router's, built
	ControlProgram string             // the control service's, built; nothing: schedules with a group can't be played
	Dir            string             // for the processes' logs; nothing: a folder of the system's that is removed
	Progress       func(part float64) // of the play; nil: nobody looks
	Env            map[string]string  // of the routers, beside what the platform gives
}

const (
	engineCores = 4.0
	memoryMB    = 192
	sockets     = 1024
	readyIn     = 15 * time.Second
	tail        = 600 * time.Millisecond // after the last answer is due
)

// fleetSettings are a router's: the rules are those of the users' fleet with its spans a third as long.
func fleetSettings(s *Schedule, me int) string {
	says := s.ConfiguredRouters
	if says == 0 {
		says = s.Routers
	}
	times := []any{}
	for _, w := range workloads {
		times = append(times, s.patient(w.slo).Microseconds(), s.patient(w.budget).Microseconds())
	}
	return fmt.Sprintf(`{"bounds":{"mayCancel":true,"mayProbe":true,"maxAttempts":5,"maxOpen":5000,"connectTimeout":250000,"idleClose":15000000},
	"classes":[{"name":"lookup","idempotency":"idempotent","objective":%d,"aimStretch":2,"deadline":%d,"gain":1},
		{"name":"report","idempotency":"idempotent","objective":%d,"aimStretch":2,"deadline":%d,"gain":7.5,"lateShare":0.3},
		{"name":"price-load","idempotency":"at_most_once","objective":%d,"aimStretch":2,"deadline":%d,"gain":10,"lateShare":0.6}],
	"discovery":"pushed","extra":{"cpuOfKind":[%v],"ramOfKindMb":[32000],"threadsByClass":[1,2,2],"waitsForLoads":[false,false,false],
		"writesTables":[false,false,false],"tellsEvery":300000,"onShortage":"page"},
	"feedback":{"fields":["concurrent","load_share"],"via":"inline"},
	"guarantees":{"drainGrace":1000000,"coldShare":%v,"warmAfter":%d,"overloadFactor":%v,"fall":%d},
	"machineTypes":["k"],"tick":1000,"zone":"z","me":%d,"replicasOfMe":%d}`, append(times, engineCores, coldness.InitialShare, coldness.WarmUpTime.Microseconds(),
		coldness.MaxLoadFactor, coldness.Window.Microseconds(), me, says)...)
}

var coldness = fakes.SlowStart{InitialShare: 0.31, MaxLoadFactor: 4, WarmUpTime: 5 * time.Second, Window: time.Second}

// field is one play: the processes, the links between them, and the history that they leave.
type field struct {
	s        *Schedule
	o        Options
	dir      string
	began    time.Time
	mu       sync.Mutex
	history  []Event
	routers  []*router
	engines  []*engine                         // by place; one that is replaced keeps its place
	members  []*member                         // of the control group
	versions map[uint64]*configversion.Version // that it has written
	born     int
	library  string   // that gives routers a host whose faults can be chosen; nothing: the schedule has none
	sources  sync.Map // address of a connection's near end, as an engine sees it: the router
	tries    sync.WaitGroup
}

// Play plays a schedule and returns its history, in order of time. Everything that it starts has ended when it returns.
func Play(ctx context.Context, s *Schedule, o Options) (*History, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	f := &field{s: s, o: o, dir: o.Dir, versions: map[uint64]*configversion.Version{}}
	if f.dir == "" {
		dir, err := os.MkdirTemp("", "bankledge-faultlab")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		f.dir = dir
	} else if err := os.MkdirAll(f.dir, 0o755); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer f.close()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	g, all := errgroup.WithContext(ctx)
	g.Go(func() error { return f.traffic(all, ctx) })
	g.Go(func() error { return f.operate(all) })
	for _, x := range s.Faults {
		g.Go(func() error { return f.befall(all, x) })
	}
	if o.Progress != nil {
		shown, stop := make(chan struct{}), make(chan struct{})
		go f.progress(stop, shown)
		defer func() { close(stop); <-shown }()
	}
	watching, enough := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		f.watch(watching)
	}()
	err := g.Wait()
	enough()
	<-watched
	if err != nil {
		return nil, err
	}
	f.tries.Wait()
	h := &History{Schedule: s}
	if err := f.keepVersions(h); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	h.Events = f.history
	h.Sort()
	return h, nil
}

func (f *field) progress(stop, shown chan struct{}) {
	defer close(shown)
	for tick := time.NewTicker(100 * time.Millisecond); ; {
		select {
		case <-stop:
			tick.Stop()
			return
		case <-tick.C:
			f.o.Progress(min(1, time.Since(f.began).Seconds()/f.s.Seconds))
		}
	}
}

func (f *field) note(e Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.At == 0 {
		e.At = time.Since(f.began)
	}
	f.history = append(f.history, e)
}

// start starts engines, feeds and routers, and waits until all routers are ready.
func (f *field) start(ctx context.Context) error {
	f.began = time.Now()
	if f.s.needsHosts() {
		library, err := faultinject.Build(f.dir)
		if err != nil {
			return err
		}
		f.library = library
	}
	for i := range f.s.Engines {
		f.engines = append(f.engines, f.newEngine(i, fakes.SlowStart{}))
	}
	if err := f.startGroup(ctx); err != nil {
		return err
	}
	var g errgroup.Group
	for i := range f.s.Routers {
		r, err := f.newRouter(i)
		if err != nil {
			return err
		}
		f.routers = append(f.routers, r)
		g.Go(func() error { return r.start(ctx) })
	}
	if err := g.Wait(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.began, f.history = time.Now(), nil
	return nil
}

func (f *field) close() {
	for _, r := range f.routers {
		r.close()
	}
	for _, e := range f.engines {
		e.model.Close()
	}
	for _, m := range f.members {
		m.close()
	}
}

// ---- Engines ----

// engine is a modelled engine and its links, one from each router.
type engine struct {
	id    string
	place int
	model *fakes.SimulatedEngine
	gone  bool
}

func (f *field) newEngine(place int, cold fakes.SlowStart) *engine {
	f.mu.Lock()
	f.born++
	e := &engine{id: fmt.Sprintf("e%02d", f.born), place: place}
	f.mu.Unlock()
	m := fakes.NewSimulatedEngine(engineCores, func(_, text string) (time.Duration, int) { return costs(text) })
	m.SlowStart, m.ReportProgress, m.AbandonAfter = cold, true, 2*time.Second
	m.OnEvent = func(x fakes.EngineEvent) {
		from := -1
		if r, ok := f.sources.Load(x.Peer); ok {
			from = r.(int)
		}
		f.note(Event{Kind: modelEvents[x.Kind], Statement: x.ID, Workload: x.Workload, Router: from, Engine: e.id, Work: x.Work.Seconds(), ColdLoad: x.ColdLoad})
	}
	e.model = m
	return e
}

var modelEvents = map[string]EventKind{"start": AttemptStarted, "end": AttemptEnded, "cancel": AttemptCancelled, "drop": AttemptDropped, "probe": HealthChecked, "fell": EngineCollapsed}

// costs reads what a statement takes from its text, where the lab wrote it.
func costs(text string) (time.Duration, int) {
	_, tag, _ := strings.Cut(text, "cost = ")
	ms, threads, _ := strings.Cut(strings.Fields(tag + " 1")[0], ".")
	work, err := strconv.Atoi(ms)
	n, err2 := strconv.Atoi(threads)
	if err != nil || err2 != nil {
		return time.Millisecond, 1
	}
	return time.Duration(work) * time.Millisecond, n
}

// ---- Traffic ----

// traffic sends statements at the times of a Poisson process, whatever became of those before; their clients wait on when it has ended.
func (f *field) traffic(ctx, clients context.Context) error {
	r := rand.New(rand.NewPCG(f.s.Seed, 2))
	leaving := rand.New(rand.NewPCG(f.s.Seed, 3))
	mean, weights := 0.0, make([]float64, len(workloads))
	for i, w := range workloads {
		mean, weights[i] = mean+w.share*w.mean, w.share
	}
	times := cmp.Or(f.s.WorkFactor, 1)
	rate := f.s.Load * engineCores * float64(f.s.Engines) / (mean * times)
	gap, kind := distuv.Exponential{Rate: rate, Src: r}, distuv.NewCategorical(weights, r)
	spread := distuv.LogNormal{Mu: -0.18, Sigma: 0.6, Src: r} // of mean one
	at := make([]float64, f.s.Routers)
	for i := range at {
		at[i] = 1
	}
	at[0] = max(1, f.s.BusiestFactor)
	where := distuv.NewCategorical(at, r)
	thin := distuv.Uniform{Min: 0, Max: mostRush, Src: r}
	for now, n := 0.0, 0; ; n++ {
		// Drawn at the fastest rate and thinned, so that a rush leaves the statements besides as they are.
		if now += gap.Rand() / mostRush; now > f.s.Seconds {
			return nil
		}
		w, router, work, keep, table := &workloads[int(kind.Rand())], int(where.Rand()), spread.Rand(), thin.Rand(), r.IntN(40)
		if keep > f.rushAt(now) {
			continue
		}
		work *= w.mean * times
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(f.began.Add(seconds(now)))):
		}
		leave := time.Duration(0)
		if leaving.Float64() < f.s.CancelShare {
			leave = time.Duration(leaving.Int64N(int64(f.s.patient(w.budget))))
		}
		f.tries.Add(1)
		go f.ask(clients, fmt.Sprintf("%08x%07x", uint32(f.s.Seed), n), w, router, work, table, seconds(now), leave)
	}
}

const mostRush = 3.0

// rushAt is how many times the traffic there is.
func (f *field) rushAt(now float64) float64 {
	times := 1.0
	for _, x := range f.s.Faults {
		if x.Kind == "rush" && now >= x.At && now < x.At+x.For {
			times = max(times, min(mostRush, x.Amount))
		}
	}
	return times
}

// firstTry is the id of a statement's first try; the last digit counts the tries.
func firstTry(id string) string { return id[:len(id)-1] + "0" }

// ask is a client with one statement: it waits for the answer, and comes again with a new id when it is rejected.
// leave: after so long it waits no more and says so; 0: it does not.
func (f *field) ask(ctx context.Context, id string, w *workload, router int, work float64, table int, due, leave time.Duration) {
	defer f.tries.Done()
	budget := f.s.patient(w.budget)
	for try := 0; ; try++ {
		id := fmt.Sprintf("%s%x", id, try)
		f.note(Event{At: due, Kind: StatementSent, Statement: id, Workload: w.name, Router: router, Budget: budget, Retry: try, Work: work})
		estimate := fmt.Sprint(max(1, int(work*1000)))
		fields := map[string]string{"i": id, "c": w.name, "d": fmt.Sprint(max(1, (budget - (time.Since(f.began) - due)).Milliseconds())), "h": estimate, "heap_mb": "8"}
		if try > 0 {
			fields["r"] = "1"
		}
		verb := "select total from sales_%d.orders where cost = %s.%d"
		if w.once {
			verb = "update sales_%d.orders set total = 0 where cost = %s.%d"
		}
		a := f.routers[router].send(ctx, budget+tail, leave, fields, fmt.Sprintf(verb, table, estimate, w.threads))
		e := Event{Kind: StatementAnswered, Statement: id, Workload: w.name, Router: router, Code: byte(a.Code)}
		if errors.Is(a.Err, errLeft) {
			e.Kind = ClientLeft
		} else if a.Err != nil {
			e.Kind, e.Text = ClientConnectionLost, a.Err.Error()
		}
		f.note(e)
		if a.Err != nil || a.Code != downstream.CodeRejected || try >= f.s.Retries || ctx.Err() != nil {
			return
		}
		time.Sleep(clientPause)
		due = time.Since(f.began)
	}
}

const clientPause = 150 * time.Millisecond

// ---- Faults ----

// befall has a fault begin and end at its times.
func (f *field) befall(ctx context.Context, x Fault) error {
	await := func(at float64) {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(f.began.Add(seconds(at)))):
		}
	}
	await(x.At)
	f.note(Event{Kind: FaultStarted, Router: -1, Text: x.Kind})
	mend, err := f.begin(ctx, x)
	if err == nil && mend != nil {
		await(x.At + x.For)
		err = mend()
	}
	f.note(Event{Kind: FaultEnded, Router: -1, Text: x.Kind})
	return err
}

// begin has a fault begin; what it returns ends it.
func (f *field) begin(ctx context.Context, x Fault) (mend func() error, err error) {
	cut, late, slow := Impairment{Blocked: true}, Impairment{Delay: seconds(x.Amount)}, Impairment{Throttled: true}
	ways := map[string][2]Impairment{"cut": {cut, cut}, "cut-there": {cut, {}}, "cut-back": {{}, cut}, "delay": {{}, late}, "slow": {{}, slow}}
	if w, ok := ways[x.Kind]; ok {
		f.links(x, func(l *Link) { l.Impair(w[0], w[1]) })
		return func() error { f.links(x, func(l *Link) { l.Impair(Impairment{}, Impairment{}) }); return nil }, nil
	}
	each := func(do func(*router) error) error {
		var g errgroup.Group
		for _, i := range x.Routers {
			g.Go(func() error { return do(f.routers[i]) })
		}
		return g.Wait()
	}
	if faultKinds[x.Kind].members {
		return f.beginGroup(ctx, x)
	}
	if _, ok := hostFaults[x.Kind]; ok {
		return f.beginHostFault(x), nil
	}
	switch x.Kind {
	case "reset":
		f.links(x, (*Link).Reset)
	case "deaf":
		f.links(Fault{Routers: f.all(), Engines: x.Engines}, func(l *Link) { l.RefuseConnections(true) })
		return func() error {
			f.links(Fault{Routers: f.all(), Engines: x.Engines}, func(l *Link) { l.RefuseConnections(false) })
			return nil
		}, nil
	case "feed":
		each(func(r *router) error { r.feedLink.Impair(cut, cut); return nil })
		return func() error {
			return each(func(r *router) error { r.feedLink.Impair(Impairment{}, Impairment{}); return nil })
		}, nil
	case "kill", "term":
		return func() error { return each(func(r *router) error { return r.start(ctx) }) },
			each(func(r *router) error { return r.end(x.Kind == "kill") })
	case "reload":
		return nil, each(func(r *router) error { return r.signal(syscall.SIGHUP) })
	case "stop":
		return func() error { return each((*router).wake) }, each((*router).stop)
	case "replace", "lose":
		return f.replace(x)
	case "crawl", "err":
		for _, e := range f.at(x.Engines) {
			e.model.Slow(x.Amount, x.Kind == "err")
		}
		return func() error {
			for _, e := range f.at(x.Engines) {
				e.model.Slow(1, false)
			}
			return nil
		}, nil
	}
	return nil, nil
}

func (f *field) all() (list []int) {
	for i := range f.s.Routers {
		list = append(list, i)
	}
	return list
}

func (f *field) at(places []int) (list []*engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range places {
		list = append(list, f.engines[p])
	}
	return list
}

func (f *field) links(x Fault, do func(*Link)) {
	for _, i := range x.Routers {
		for _, e := range f.at(x.Engines) {
			if l := f.routers[i].linkTo(e.id); l != nil {
				do(l)
			}
		}
	}
}

// replace has engines drain and go, or die at once, and new cold ones take their places.
func (f *field) replace(x Fault) (func() error, error) {
	old := f.at(x.Engines)
	if x.Kind == "replace" {
		f.tell(old, "leaving")
	} else {
		f.die(old)
		f.tell(old, "left")
	}
	return func() error {
		var fresh []*engine
		for _, e := range old {
			fresh = append(fresh, f.newEngine(e.place, coldness))
		}
		if x.Kind == "replace" {
			f.tell(old, "left")
			defer f.die(old)
		}
		for _, r := range f.routers {
			for _, e := range fresh {
				if err := r.join(e); err != nil {
					return err
				}
			}
		}
		f.mu.Lock()
		for _, e := range fresh {
			f.engines[e.place] = e
		}
		f.mu.Unlock()
		f.tell(fresh, "active")
		return nil
	}, nil
}

func (f *field) die(list []*engine) {
	for _, e := range list {
		for _, r := range f.routers {
			if l := r.linkTo(e.id); l != nil {
				l.RefuseConnections(true)
				l.Reset()
			}
		}
		e.model.Close()
		f.note(Event{Kind: EngineGone, Router: -1, Engine: e.id})
	}
}

func (f *field) tell(list []*engine, phase string) {
	for _, r := range f.routers {
		r.tell(list, phase)
	}
}

func (f *field) logFile(router, start int) string {
	return filepath.Join(f.dir, fmt.Sprintf("router-%d-%d.log", router, start))
}

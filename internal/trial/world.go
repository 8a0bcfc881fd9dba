// Package trial plays the very state machines of the control service and of the routers (seat, agree) under a simulated clock, with
// faults between them drawn from a seed, and audits what came of it. A seed gives the same history each time.
package trial

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"bankledge/internal/agree"
	"bankledge/internal/consensus"
	"bankledge/internal/rules"
	"bankledge/internal/seat"
	"bankledge/internal/version"
)

// Options of a play.
type Options struct {
	Seed      uint64
	Routers   int
	Processes int
	Span      time.Duration
	Spans     agree.Spans
	Push      bool // the baseline: routers act on what they hear, with no terms and no cautious side
	Calm      bool // no faults
}

// world is one play.
type world struct {
	Options
	now    time.Duration // true time
	queue  events
	seq    int
	chance *rand.Rand
	procs  []*process
	routes []*router
	cut    map[[2]int]bool // from, to; routers are numbered from routerBase
	slow   time.Duration   // of each message, at the most
	held   map[[2]int][]func()
	audit  audit
	trace  io.Writer
	digest interface{ io.Writer }
}

const routerBase = 1000

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (w *world) at(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{max(t, w.now), w.seq, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// note goes into the history's digest: two plays of a seed have to have the same.
func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.digest, "%d ", w.now)
	fmt.Fprintf(w.digest, format, args...)
	if w.trace != nil {
		fmt.Fprintf(w.trace, "%8.3f ", w.now.Seconds())
		fmt.Fprintf(w.trace, format+"\n", args...)
	}
}

func (w *world) uniform(least, most time.Duration) time.Duration {
	return least + time.Duration(w.chance.Float64()*float64(most-least))
}

// send passes a message on, unless the link is cut: then it is lost, or held until the link is whole again, as by a network that
// sends again. Now and then one comes twice.
func (w *world) send(from, to int, do func()) {
	w.after(w.uniform(200*time.Microsecond, time.Millisecond+w.slow), func() {
		if w.cut[[2]int{from, to}] {
			if w.chance.IntN(2) == 0 {
				w.held[[2]int{from, to}] = append(w.held[[2]int{from, to}], do)
			}
			return
		}
		do()
		if !w.Calm && w.chance.IntN(200) == 0 {
			w.after(w.uniform(0, 300*time.Millisecond), do)
		}
	})
}

func (w *world) sever(from, to int, cut bool) {
	link := [2]int{from, to}
	if w.cut[link] = cut; !cut {
		held := w.held[link]
		delete(w.held, link)
		for _, do := range held {
			w.after(w.uniform(0, 2*time.Millisecond), do)
		}
	}
}

// clock is a process's own: it runs a little fast or slow, and began some time ago.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) of(t time.Duration) time.Duration { return c.offset + time.Duration(float64(t)*c.rate) }

// when is the true time at which the clock shows one.
func (c clock) when(own time.Duration) time.Duration {
	return time.Duration(float64(own-c.offset)/c.rate) + 1
}

func (w *world) clock() clock {
	d := w.Spans.Drift
	return clock{rate: 1 + d*float64(w.chance.IntN(3)-1), offset: w.uniform(0, time.Hour)}
}

// host is what processes and routers have in common: they are stopped, woken, killed and started again.
type host struct {
	w       *world
	id      int
	clock   clock
	up      bool
	stopped bool
	life    int // starts
	waits   []func()
	timer   int
}

// handle runs something in the host's present life, when it is not stopped.
func (h *host) handle(life int, do func()) {
	switch {
	case !h.up || life != h.life:
	case h.stopped:
		h.waits = append(h.waits, do)
	default:
		do()
	}
}

func (h *host) stop() { h.stopped = true }

func (h *host) wake() {
	h.stopped = false
	waits := h.waits
	h.waits = nil
	for _, do := range waits {
		if h.up {
			do()
		}
	}
}

func (h *host) kill() { h.up, h.stopped, h.waits = false, false, nil }

// arm has do run when the host's clock shows a time, unless it is armed anew before.
func (h *host) arm(own time.Duration, do func()) {
	h.timer++
	timer, life := h.timer, h.life
	h.w.at(max(h.clock.when(own), h.w.now+100*time.Microsecond), func() {
		if h.timer == timer {
			h.handle(life, do)
		}
	})
}

// process is one of the group.
type process struct {
	host
	seat    *seat.Seat
	disk    consensus.State
	crash   int // saves until the process is killed: 0: none is planned
	calls   map[uint64]call
	call    uint64
	streams map[int]*stream // of routers, by their life
}

type call struct {
	router *router
	life   int
	told   func(agree.Outcome)
}

type stream struct {
	router *router
	life   int
	sent   uint64 // newest version
	told   uint64 // newest that is settled
	begun  bool
}

func (p *process) settings() seat.Settings {
	founded := map[uint64]seat.Member{}
	for i := range p.w.Processes {
		founded[uint64(i+1)] = seat.Member{Peer: fmt.Sprint(i), Client: fmt.Sprint(i), Votes: true}
	}
	return seat.Settings{Spans: p.w.Spans, Founded: founded, Lineage: "lineage", Compact: 40, Guards: version.Guards{MostGone: 1},
		Node: consensus.Settings{ID: uint64(p.id + 1), Heartbeat: 50 * time.Millisecond, Election: 300 * time.Millisecond, Seed: p.w.Seed*64 + uint64(p.id*8+p.life), Log: silent}}
}

var silent = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

func (p *process) start() {
	p.life++
	p.up, p.calls, p.streams = true, map[uint64]call{}, map[int]*stream{}
	s, do, err := seat.New(p.settings(), copied(p.disk), p.own())
	if err != nil {
		p.w.audit.find("start", p.w.now, "process %d: %v", p.id, err)
		p.up = false
		return
	}
	p.seat = s
	p.carryOut(do)
	p.rearm()
}

func (p *process) own() time.Duration { return p.clock.of(p.w.now) }

func (p *process) rearm() {
	if p.up && p.seat != nil {
		p.arm(p.seat.Wake(p.own()), func() { p.step(seat.Tick{}) })
	}
}

func (p *process) step(ev seat.Event) {
	p.carryOut(p.seat.Step(p.own(), ev))
	p.rearm()
}

// carryOut does what the seat asks for, in order; a crash may come after any save.
func (p *process) carryOut(list []seat.Action) {
	for _, a := range list {
		if !p.up {
			return
		}
		switch a := a.(type) {
		case seat.Save:
			p.save(a.Change)
			if p.crash > 0 {
				if p.crash--; p.crash == 0 {
					p.w.note("crash %d", p.id)
					p.kill()
					p.w.after(p.w.uniform(0, time.Second), p.start)
					return
				}
			}
		case seat.Send:
			m, life := proto.Clone(a.Message).(*pb.Message), p.life
			to := p.w.procs[m.GetTo()-1]
			p.w.send(p.id, to.id, func() {
				_ = life
				to.handle(to.life, func() { to.step(seat.Received{Message: m}) })
			})
		case seat.Group:
			p.answer(a.Action)
		case seat.Publish:
			p.publish()
		case seat.Moved:
			p.w.note("process %d leads %t, leader %d, term %d", p.id, a.Role.Leads, a.Role.Leader, a.Role.Term)
		}
	}
}

// save is a disk that keeps what was synced.
func (p *process) save(c consensus.State) {
	d := &p.disk
	if c.Hard != nil {
		d.Hard = c.Hard
	}
	if c.Snapshot != nil {
		at := c.Snapshot.GetMetadata().GetIndex()
		d.Snapshot = c.Snapshot
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e *pb.Entry) bool { return e.GetIndex() <= at })
	}
	if len(c.Entries) > 0 {
		from := c.Entries[0].GetIndex()
		d.Entries = slices.DeleteFunc(slices.Clone(d.Entries), func(e *pb.Entry) bool { return e.GetIndex() >= from })
		d.Entries = append(d.Entries, c.Entries...)
	}
}

func copied(s consensus.State) consensus.State {
	c := consensus.State{Hard: s.Hard, Snapshot: s.Snapshot, Entries: slices.Clone(s.Entries)}
	return c
}

func (p *process) answer(a agree.GroupAction) {
	switch a := a.(type) {
	case agree.Answer:
		c := p.calls[a.Call]
		delete(p.calls, a.Call)
		if c.router != nil {
			reply := a.Reply
			p.w.audit.read(p.w, c.router, reply)
			p.w.send(p.id, c.router.id, func() {
				c.router.handle(c.life, func() { c.router.step(agree.Told{Reply: reply}) })
			})
		}
	case agree.Tell:
		c := p.calls[a.Call]
		delete(p.calls, a.Call)
		if c.told != nil {
			c.told(a.Outcome)
		}
	}
}

// publish sends what is new to who follows the versions here.
func (p *process) publish() {
	for _, id := range slices.Sorted(mapsKeys(p.streams)) {
		p.push(p.streams[id])
	}
}

func mapsKeys[V any](m map[int]V) func(func(int) bool) {
	return func(yield func(int) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func (p *process) push(s *stream) {
	reg := p.seat.Register()
	for _, v := range reg.After(s.sent) {
		raw, settled := v.Encode(), reg.Settled
		s.sent = v.Number
		p.w.audit.published(p.w, v)
		if !p.w.Calm && p.w.now < p.w.quiet() && p.w.chance.IntN(40) == 0 { // one is lost: the next one comes behind a gap
			continue
		}
		p.w.send(p.id, s.router.id, func() {
			s.router.handle(s.life, func() { s.router.came(raw, settled) })
		})
	}
	if s.told < reg.Settled {
		n := reg.Settled
		s.told = n
		p.w.send(p.id, s.router.id, func() {
			s.router.handle(s.life, func() { s.router.step(agree.Settled{Lineage: reg.Lineage, Number: n}) })
		})
	}
}

// router is one router's side.
type router struct {
	host
	core   *agree.Router
	acting *rules.Rules
	ground agree.Ground
	key    actKey
	known  *version.Version // newest that it has
	at     *process         // that it follows
}

func (r *router) own() time.Duration { return r.clock.of(r.w.now) }

func ownRules(routers int) *rules.Rules {
	r := &rules.Rules{Routers: routers, ColdMultiple: 1, ColdShare: 0.1, Probes: 0.5, FurtherShare: 0.1, WarmAfter: 30000, KeyRest: 10000, FurtherWindow: 10000}
	if err := r.Check(); err != nil {
		panic(err)
	}
	return r
}

func (r *router) start() {
	r.life++
	r.up = true
	// Two routers share each name, as by mistake.
	r.core = agree.NewRouter(agree.Setup{Spans: r.w.Spans, Name: fmt.Sprint("r", (r.id-routerBase)/2), Incarnation: fmt.Sprintf("%d.%d", r.id, r.life),
		Own: ownRules(r.w.Routers), Guards: version.Guards{MostGone: 1}, Addresses: r.w.Processes, Seed: r.w.Seed*4096 + uint64(r.id*8+r.life)})
	r.acting, r.ground, r.known, r.at = ownRules(r.w.Routers), agree.Ground{}, nil, nil
	r.key = actKey{life: -1}
	r.step(agree.Look{})
}

func (r *router) came(raw []byte, settled uint64) {
	v, err := version.Decode(raw)
	if err != nil {
		r.step(agree.Unfit{Err: err})
		return
	}
	if r.w.Push { // the baseline acts on it at once
		if r.known == nil || v.Number > r.known.Number {
			r.known, r.acting = v, v.Rules
			r.ground, r.key = agree.Ground{Term: true, Settled: v.Number}, actKey{settled: v.Number, term: true}
			r.w.audit.heard(r.w, v.Number)
		}
		return
	}
	r.step(agree.Came{Version: v, Settled: settled})
}

func (r *router) step(ev agree.RouterEvent) {
	if r.w.Push {
		if _, lost := ev.(agree.Lost); lost || r.at == nil {
			r.follow(r.w.chance.IntN(r.w.Processes), 0)
		}
		return
	}
	for _, a := range r.core.Step(r.own(), ev) {
		switch a := a.(type) {
		case agree.Ask:
			p, renewal, life := r.w.procs[a.Address], a.Renewal, r.life
			r.w.audit.asked(r.w, r, renewal)
			r.w.send(r.id, p.id, func() {
				p.handle(p.life, func() {
					p.call++
					p.calls[p.call] = call{router: r, life: life}
					p.step(seat.Router{Event: agree.Heard{Call: p.call, Renewal: renewal}})
				})
			})
		case agree.Use:
			r.acting, r.ground = a.Rules, a.On
			r.key = actKey{settled: a.On.Settled, pending: a.On.Pending, term: a.On.Term}
			r.w.audit.heard(r.w, max(a.On.Settled, a.On.Pending))
			r.w.note("router %d acts on settled %d, pending %d, term %t", r.id, a.On.Settled, a.On.Pending, a.On.Term)
		case agree.Refollow:
			r.follow(a.Address, a.After)
		case agree.Say:
			r.w.note("router %d: %s", r.id, a.Text)
		}
	}
	r.arm(r.core.Wake(), func() { r.step(agree.Look{}) })
}

// follow has the router follow the versions at a process: a connection that the process pushes on until either ends.
func (r *router) follow(address int, after uint64) {
	p, life := r.w.procs[address], r.life
	if r.at != nil {
		delete(r.at.streams, r.id)
	}
	r.at = p
	lost := func() { r.handle(life, func() { r.step(agree.Lost{}) }) }
	if !p.up || r.w.cut[[2]int{r.id, p.id}] {
		r.w.after(300*time.Millisecond, lost)
		return
	}
	r.w.send(r.id, p.id, func() {
		serving := p.life
		p.handle(p.life, func() {
			s := &stream{router: r, life: life, sent: after}
			p.streams[r.id] = s
			p.push(s)
			r.w.watch(p, serving, r, life)
		})
	})
}

// watch ends a connection whose process has died, or which is cut for long.
func (w *world) watch(p *process, serving int, r *router, life int) {
	const look = 250 * time.Millisecond
	silent := 0
	var again func()
	again = func() {
		if r.at != p || r.life != life || !r.up {
			return
		}
		if silent++; p.up && p.life == serving && !w.cut[[2]int{p.id, r.id}] && !p.stopped {
			silent = 0
		}
		if silent >= 4 || !p.up || p.life != serving {
			delete(p.streams, r.id)
			r.handle(life, func() { r.step(agree.Lost{}) })
			return
		}
		w.after(look, again)
	}
	w.after(look, again)
}

// Draw makes the options of a seed's play: a group of one, three or five, spans with clocks that drift by 5 %.
func Draw(seed uint64, routers int) Options {
	spans := agree.Defaults()
	spans.Drift = 0.05
	return Options{Seed: seed, Routers: routers, Processes: []int{1, 3, 5}[seed%3], Span: 16 * time.Second, Spans: spans}
}

// Play plays one.
func Play(o Options, trace io.Writer) Result {
	w := &world{Options: o, chance: rand.New(rand.NewPCG(o.Seed, 29)), cut: map[[2]int]bool{}, held: map[[2]int][]func(){}, trace: trace, digest: fnv.New64a()}
	w.audit.init()
	for i := range o.Processes {
		w.procs = append(w.procs, &process{host: host{w: w, id: i, clock: w.clock()}})
	}
	for i := range o.Routers {
		w.routes = append(w.routes, &router{host: host{w: w, id: routerBase + i, clock: w.clock()}})
	}
	for _, p := range w.procs {
		w.at(w.uniform(0, 100*time.Millisecond), p.start)
	}
	for _, r := range w.routes {
		w.at(w.uniform(0, 500*time.Millisecond), r.start)
	}
	w.operators()
	if !o.Calm {
		w.faults()
	}
	w.at(lookEvery, w.look)
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > o.Span {
			break
		}
		w.now = e.at
		e.do()
	}
	return w.audit.result(w)
}

const lookEvery = 10 * time.Millisecond

// look is each router's look at the clock before a batch, and what it does then, seen by the auditor.
func (w *world) look() {
	for _, r := range w.routes {
		if r.up && !r.stopped && !w.Push {
			if now := r.own(); r.core.Until() > 0 && now >= r.core.Until() {
				r.step(agree.Look{})
			}
		}
	}
	w.audit.acts(w)
	w.after(lookEvery, w.look)
}

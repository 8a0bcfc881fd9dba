// Package trial plays the very state machines of the control service and of the routers (seat, agree) under a simulated clock, with
// faults between them drawn from a seed, and audits what came of it. A seed gives the same history each time.
package simulation

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

	"bankledge/internal/configregister"
	"bankledge/internal/configversion"
	"bankledge/internal/consensus"
	"bankledge/internal/lease"
	"bankledge/internal/replica"
	"bankledge/internal/rules"
)

// Options of a play.
type Options struct {
	Seed           uint64
	Routers        int
	Processes      int
	SimulatedTime  time.Duration
	LeaseDurations lease.Durations
	PlainPush      bool // the baseline: routers act on what they hear, with no terms and no cautious side
	NoFaults       bool // no faults
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
		if !w.NoFaults && w.chance.IntN(200) == 0 {
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
	d := w.LeaseDurations.MaxClockDrift
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
	seat    *replica.Replica
	disk    consensus.PersistentState
	crash   int // saves until the process is killed: 0: none is planned
	calls   map[uint64]call
	call    uint64
	streams map[int]*stream // of routers, by their life
}

type call struct {
	router *router
	life   int
	told   func(configregister.Outcome)
}

type stream struct {
	router *router
	life   int
	sent   uint64 // newest version
	told   uint64 // newest that is settled
	begun  bool
}

func (p *process) settings() replica.Settings {
	founded := map[uint64]replica.Member{}
	for i := range p.w.Processes {
		founded[uint64(i+1)] = replica.Member{Peer: fmt.Sprint(i), Client: fmt.Sprint(i), Voter: true}
	}
	return replica.Settings{LeaseDurations: p.w.LeaseDurations, InitialMembers: founded, Lineage: "lineage", CompactionInterval: 40, Guards: configversion.Guards{MaxRemovedShare: 1},
		Consensus: consensus.Settings{ID: uint64(p.id + 1), HeartbeatInterval: 50 * time.Millisecond, ElectionTimeout: 300 * time.Millisecond, Seed: p.w.Seed*64 + uint64(p.id*8+p.life), Logger: silent}}
}

var silent = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

func (p *process) start() {
	p.life++
	p.up, p.calls, p.streams = true, map[uint64]call{}, map[int]*stream{}
	s, do, err := replica.New(p.settings(), copied(p.disk), p.own())
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
		p.arm(p.seat.NextDeadline(p.own()), func() { p.step(replica.Tick{}) })
	}
}

func (p *process) step(ev replica.Event) {
	p.carryOut(p.seat.Step(p.own(), ev))
	p.rearm()
}

// carryOut does what the seat asks for, in order; a crash may come after any save.
func (p *process) carryOut(list []replica.Action) {
	for _, a := range list {
		if !p.up {
			return
		}
		switch a := a.(type) {
		case replica.Persist:
			p.save(a.State)
			if p.crash > 0 {
				if p.crash--; p.crash == 0 {
					p.w.note("crash %d", p.id)
					p.kill()
					p.w.after(p.w.uniform(0, time.Second), p.start)
					return
				}
			}
		case replica.SendMessage:
			m, life := proto.Clone(a.Message).(*pb.Message), p.life
			to := p.w.procs[m.GetTo()-1]
			p.w.send(p.id, to.id, func() {
				_ = life
				to.handle(to.life, func() { to.step(replica.MessageReceived{Message: m}) })
			})
		case replica.LeaseResponse:
			p.answer(a.Action)
		case replica.PublishState:
			p.publish()
		case replica.RoleChanged:
			p.w.note("process %d leads %t, leader %d, term %d", p.id, a.Role.IsLeader, a.Role.Leader, a.Role.Term)
		}
	}
}

// save is a disk that keeps what was synced.
func (p *process) save(c consensus.PersistentState) {
	d := &p.disk
	if c.HardState != nil {
		d.HardState = c.HardState
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

func copied(s consensus.PersistentState) consensus.PersistentState {
	c := consensus.PersistentState{HardState: s.HardState, Snapshot: s.Snapshot, Entries: slices.Clone(s.Entries)}
	return c
}

func (p *process) answer(a lease.CoordinatorAction) {
	switch a := a.(type) {
	case lease.SendReply:
		c := p.calls[a.CallID]
		delete(p.calls, a.CallID)
		if c.router != nil {
			reply := a.Reply
			p.w.audit.read(p.w, c.router, reply)
			p.w.send(p.id, c.router.id, func() {
				c.router.handle(c.life, func() { c.router.step(lease.ReplyReceived{Reply: reply}) })
			})
		}
	case lease.SendOutcome:
		c := p.calls[a.CallID]
		delete(p.calls, a.CallID)
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
	for _, v := range reg.UpdatesAfter(s.sent) {
		raw, settled := v.Encode(), reg.Activated
		s.sent = v.Number
		p.w.audit.published(p.w, v)
		if !p.w.NoFaults && p.w.now < p.w.quiet() && p.w.chance.IntN(40) == 0 { // one is lost: the next one comes behind a gap
			continue
		}
		p.w.send(p.id, s.router.id, func() {
			s.router.handle(s.life, func() { s.router.came(raw, settled) })
		})
	}
	if s.told < reg.Activated {
		n := reg.Activated
		s.told = n
		p.w.send(p.id, s.router.id, func() {
			s.router.handle(s.life, func() { s.router.step(lease.VersionActivated{Lineage: reg.Lineage, Number: n}) })
		})
	}
}

// router is one router's side.
type router struct {
	host
	core   *lease.Client
	acting *rules.Rules
	ground lease.ActiveConfiguration
	key    actKey
	known  *configversion.Version // newest that it has
	at     *process               // that it follows
}

func (r *router) own() time.Duration { return r.clock.of(r.w.now) }

func ownRules(routers int) *rules.Rules {
	r := &rules.Rules{Routers: routers, SlowStartMultiple: 1, SlowStartShare: 0.1, HealthChecksPerStatement: 0.5, RetryBudgetShare: 0.1, WarmAfterMillis: 30000, KeyQuietPeriodMillis: 10000, RetryBudgetWindowMillis: 10000}
	if err := r.Validate(); err != nil {
		panic(err)
	}
	return r
}

func (r *router) start() {
	r.life++
	r.up = true
	// Two routers share each name, as by mistake.
	r.core = lease.NewClient(lease.ClientSettings{Durations: r.w.LeaseDurations, Name: fmt.Sprint("r", (r.id-routerBase)/2), Incarnation: fmt.Sprintf("%d.%d", r.id, r.life),
		LocalRules: ownRules(r.w.Routers), Guards: configversion.Guards{MaxRemovedShare: 1}, AddressCount: r.w.Processes, Seed: r.w.Seed*4096 + uint64(r.id*8+r.life)})
	r.acting, r.ground, r.known, r.at = ownRules(r.w.Routers), lease.ActiveConfiguration{}, nil, nil
	r.key = actKey{life: -1}
	r.step(lease.ClientTick{})
}

func (r *router) came(raw []byte, settled uint64) {
	v, err := configversion.Decode(raw)
	if err != nil {
		r.step(lease.InvalidVersionReceived{Err: err})
		return
	}
	if r.w.PlainPush { // the baseline acts on it at once
		if r.known == nil || v.Number > r.known.Number {
			r.known, r.acting = v, v.Rules
			r.ground, r.key = lease.ActiveConfiguration{Leased: true, Activated: v.Number}, actKey{settled: v.Number, term: true}
			r.w.audit.heard(r.w, v.Number)
		}
		return
	}
	r.step(lease.VersionReceived{Version: v, Activated: settled})
}

func (r *router) step(ev lease.ClientEvent) {
	if r.w.PlainPush {
		if _, lost := ev.(lease.StreamLost); lost || r.at == nil {
			r.follow(r.w.chance.IntN(r.w.Processes), 0)
		}
		return
	}
	for _, a := range r.core.Step(r.own(), ev) {
		switch a := a.(type) {
		case lease.SendRenewal:
			p, renewal, life := r.w.procs[a.AddressIndex], a.Renewal, r.life
			r.w.audit.asked(r.w, r, renewal)
			r.w.send(r.id, p.id, func() {
				p.handle(p.life, func() {
					p.call++
					p.calls[p.call] = call{router: r, life: life}
					p.step(replica.LeaseRequest{Event: lease.RenewalReceived{CallID: p.call, Renewal: renewal}})
				})
			})
		case lease.ApplyRules:
			r.acting, r.ground = a.Rules, a.Configuration
			r.key = actKey{settled: a.Configuration.Activated, pending: a.Configuration.Pending, term: a.Configuration.Leased}
			r.w.audit.heard(r.w, max(a.Configuration.Activated, a.Configuration.Pending))
			r.w.note("router %d acts on settled %d, pending %d, term %t", r.id, a.Configuration.Activated, a.Configuration.Pending, a.Configuration.Leased)
		case lease.ReopenStream:
			r.follow(a.AddressIndex, a.AfterVersion)
		case lease.LogMessage:
			r.w.note("router %d: %s", r.id, a.Text)
		}
	}
	r.arm(r.core.NextDeadline(), func() { r.step(lease.ClientTick{}) })
}

// follow has the router follow the versions at a process: a connection that the process pushes on until either ends.
func (r *router) follow(address int, after uint64) {
	p, life := r.w.procs[address], r.life
	if r.at != nil {
		delete(r.at.streams, r.id)
	}
	r.at = p
	lost := func() { r.handle(life, func() { r.step(lease.StreamLost{}) }) }
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
			r.handle(life, func() { r.step(lease.StreamLost{}) })
			return
		}
		w.after(look, again)
	}
	w.after(look, again)
}

// Draw makes the options of a seed's play: a group of one, three or five, spans with clocks that drift by 5 %.
func OptionsForSeed(seed uint64, routers int) Options {
	spans := lease.DefaultDurations()
	spans.MaxClockDrift = 0.05
	return Options{Seed: seed, Routers: routers, Processes: []int{1, 3, 5}[seed%3], SimulatedTime: 16 * time.Second, LeaseDurations: spans}
}

// Play plays one.
func Run(o Options, trace io.Writer) Result {
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
	if !o.NoFaults {
		w.faults()
	}
	w.at(lookEvery, w.look)
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > o.SimulatedTime {
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
		if r.up && !r.stopped && !w.PlainPush {
			if now := r.own(); r.core.LeaseExpiry() > 0 && now >= r.core.LeaseExpiry() {
				r.step(lease.ClientTick{})
			}
		}
	}
	w.audit.acts(w)
	w.after(lookEvery, w.look)
}

package simulation

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"bankledge/internal/configregister"
	"bankledge/internal/configversion"
	"bankledge/internal/lease"
	"bankledge/internal/rules"
)

// Finding is a rule that was broken.
type Violation struct {
	Auditor string
	At      time.Duration
	Detail  string
}

// Result is what came of a play.
type Result struct {
	Seed                 uint64
	Violations           []Violation
	Digest               uint64        // of the history
	Versions             uint64        // that were written
	Activated            uint64        // of them, settled at the end
	LongestContradiction time.Duration // that two routers acted on contradicting rules
	OverBound            int           // pairs of versions for which that was longer than T
	Contradictions       int           // that contradicted each other at all
	LeaseShare           float64       // share of the routers that had a term, at the looks after the first two seconds
	ConvergenceDelay     time.Duration // from the first quiet moment until all act on the newest version; 0: at once
	Converged            bool          // all act on the newest version at the end
}

// actKey names what a router acts on: the versions, and whether a term runs. Own settings stand for none.
type actKey struct {
	settled, pending uint64
	term             bool
	life             int
}

type audit struct {
	findings  []Violation
	versions  map[uint64]*configversion.Version
	newest    uint64
	written   time.Duration            // the last one, first told of
	first     map[uint64]time.Duration // when a router first heard of a version
	offends   map[[3]uint64]string     // memory: what rules on two versions offend a third in, "" nothing
	began     map[pair]time.Duration
	worst     time.Duration
	over      int
	seen      map[pair]bool
	looks     int
	terms     float64
	accepts   map[string]configregister.Outcome
	began2    map[string]time.Duration
	ops       []porcupine.Operation
	asks      map[askKey]time.Duration
	converged time.Duration
}

type askKey struct {
	incarnation string
	seq         uint64
}

// pair is what one router acts on, and the version that another one with a term goes by, which forbids that.
type pair struct {
	acts actKey
	by   uint64
}

// Bound is T here, where a batch takes no time and nothing is paused between the look at the clock and the act: a term, and what
// the auditor's looks, which are so far apart, may add.
func ContradictionBound(s lease.Durations) time.Duration { return s.LeaseDuration + 2*lookEvery }

func (a *audit) init() {
	a.versions, a.first, a.offends = map[uint64]*configversion.Version{}, map[uint64]time.Duration{}, map[[3]uint64]string{}
	a.began, a.seen, a.accepts, a.began2, a.asks = map[pair]time.Duration{}, map[pair]bool{}, map[string]configregister.Outcome{}, map[string]time.Duration{}, map[askKey]time.Duration{}
}

func (a *audit) find(auditor string, at time.Duration, format string, args ...any) {
	if len(a.findings) < 20 {
		a.findings = append(a.findings, Violation{auditor, at, fmt.Sprintf(format, args...)})
	}
}

// published sees each version that leaves the group: one number, one version.
func (a *audit) published(w *world, v *configversion.Version) {
	old := a.versions[v.Number]
	if old != nil && old.Hash != v.Hash {
		a.find("versions", w.now, "two versions %d", v.Number)
	}
	if old == nil {
		a.versions[v.Number], a.newest, a.written = v, max(a.newest, v.Number), w.now
		if before := a.versions[v.Number-1]; before != nil && v.PreviousHash != before.Hash {
			a.find("versions", w.now, "version %d does not follow on %d", v.Number, v.Number-1)
		}
	}
}

func (a *audit) heard(w *world, number uint64) {
	if _, known := a.first[number]; !known && number > 0 {
		a.first[number] = w.now
	}
}

// acts compares, at one moment, what all routers that run act on with what those that have a term go by.
func (a *audit) acts(w *world) {
	var acting []actKey
	var grounds []uint64
	with := map[actKey]*rules.Rules{}
	running, terms := 0, 0
	for _, r := range w.routes {
		if !r.up || r.stopped {
			continue
		}
		running++
		if _, known := with[r.key]; !known {
			with[r.key] = r.acting
			acting = append(acting, r.key)
		}
		if r.ground.Leased {
			terms++
			if n := max(r.ground.Activated, r.ground.Pending); len(grounds) == 0 || !has(grounds, n) {
				grounds = append(grounds, n)
			}
		}
	}
	if w.now > 2*time.Second && running > 0 {
		a.looks++
		a.terms += float64(terms) / float64(running)
	}
	if len(acting) != 1 || acting[0] != (actKey{settled: a.newest, term: true}) {
		a.converged = w.now
	}
	now := map[pair]bool{}
	for _, key := range acting {
		for _, n := range grounds {
			p := pair{key, n}
			if a.offence(key, with[key], n) == "" {
				continue
			}
			a.seen[p] = true
			p.by = 0 // it goes on as long as somebody acts on the same, whichever versions that contradicts
			now[p] = true
			if key.settled >= n && !w.PlainPush { // what loosens waits for the last term on what came before: this never is
				a.find("loosened", w.now, "a router acts on %+v while another has a term on version %d: %s", key, n, a.offence(key, with[key], n))
			}
			if _, goes := a.began[p]; !goes {
				a.began[p] = w.now
			}
			// The contradiction begins when the later of the two versions is first heard of by a router.
			since := max(a.began[p]-lookEvery, 0)
			long := w.now - since
			a.worst = max(a.worst, long)
			if bound := ContradictionBound(w.LeaseDurations); long > bound && long-lookEvery <= bound {
				a.over++
				if !w.PlainPush {
					a.find("contradiction", w.now, "for over %v a router acts on %+v while another goes by version %d: %s", bound, key, n, a.offence(key, with[key], n))
				}
			}
		}
	}
	for p := range a.began {
		if !now[p] {
			delete(a.began, p)
		}
	}
}

func has(list []uint64, n uint64) bool {
	for _, x := range list {
		if x == n {
			return true
		}
	}
	return false
}

// offence is the first field in which who acts on these rules does what a version forbids. Lists of engines are promised only to
// and by those with a term (docs/control.md): who has none can't know who has left since.
func (a *audit) offence(key actKey, acting *rules.Rules, by uint64) string {
	v := a.versions[by]
	if v == nil || acting == nil || !key.term {
		return "" // who has no term is bound by the floor: see floor
	}
	memo := [3]uint64{key.settled, key.pending, by}
	if text, known := a.offends[memo]; known {
		return text
	}
	text := ""
	if list := rules.Conflicts(acting, v.Rules); len(list) > 0 {
		text = list[0].Name + ": " + list[0].Description
	}
	a.offends[memo] = text
	return text
}

func (a *audit) wanted(w *world, id string, began time.Duration) {
	if _, known := a.began2[id]; !known {
		a.began2[id] = began
	}
}

// accepted notes what was acknowledged: it must not be lost, and no two get one number.
func (a *audit) accepted(w *world, o configregister.Outcome) {
	if old, twice := a.accepts[o.ID]; twice && old.Number != o.Number {
		a.find("acknowledged", w.now, "proposal %s got %d and %d", o.ID, old.Number, o.Number)
	}
	if _, twice := a.accepts[o.ID]; !twice {
		a.ops = append(a.ops, porcupine.Operation{ClientId: len(a.ops), Input: o.Number, Output: o.Number, Call: int64(a.began2[o.ID]), Return: int64(w.now)})
	}
	a.accepts[o.ID] = o
}

func (a *audit) asked(w *world, r *router, ask lease.Renewal) {
	a.asks[askKey{ask.Incarnation, ask.Seq}] = w.now
}

// read notes what a renewal's answer says is newest: it is a read of the state, and has to be linearizable.
func (a *audit) read(w *world, r *router, p lease.Reply) {
	key := askKey{fmt.Sprintf("%d.%d", r.id, r.life), p.Seq}
	if call, known := a.asks[key]; known && p.RejectReason == "" && p.LeaderAddress == "" {
		delete(a.asks, key)
		if len(a.ops) < 6000 && w.chance.IntN(4) == 0 {
			a.ops = append(a.ops, porcupine.Operation{ClientId: len(a.ops), Input: uint64(0), Output: p.Newest, Call: int64(call), Return: int64(w.now)})
		}
	}
}

// register is the sequential specification: a write moves the number up by one, to its own; a read sees it.
var register = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		n, in, out := state.(uint64), input.(uint64), output.(uint64)
		if in > 0 {
			return in == n+1, in
		}
		return out == n, n
	},
	Equal: func(a, b any) bool { return a == b },
}

// result ends the audit.
func (a *audit) result(w *world) Result {
	r := Result{Seed: w.Seed, LongestContradiction: a.worst, OverBound: a.over, Contradictions: len(a.seen), Versions: uint64(len(a.versions))}
	if a.looks > 0 {
		r.LeaseShare = a.terms / float64(a.looks)
	}
	for _, p := range w.procs {
		if !p.up {
			continue
		}
		reg := p.seat.Register()
		r.Activated = max(r.Activated, reg.Activated)
		r.Versions = max(r.Versions, reg.NewestNumber())
		for _, v := range reg.Versions {
			a.published(w, v)
		}
	}
	for id, o := range a.accepts { // nothing acknowledged is lost
		kept := false
		for _, p := range w.procs {
			if p.up && p.seat.Register().NewestNumber() >= o.Number {
				kept = true
			}
		}
		if !kept {
			a.find("acknowledged", w.now, "proposal %s was acknowledged as version %d, and nobody has it", id, o.Number)
		}
	}
	// A version that was written but whose outcome nobody heard is a write of which only the call is known.
	named := map[uint64]bool{}
	for _, o := range a.accepts {
		named[o.Number] = true
	}
	for n := uint64(1); n <= r.Versions; n++ {
		if !named[n] {
			a.ops = append(a.ops, porcupine.Operation{ClientId: len(a.ops), Input: n, Output: n, Call: 0, Return: int64(w.SimulatedTime) + 1})
		}
	}
	if !w.PlainPush && porcupine.CheckOperationsTimeout(register, a.ops, 20*time.Second) == porcupine.Illegal {
		a.find("linearizable", w.now, "no order of %d reads and writes explains what was seen", len(a.ops))
	}
	r.Converged = a.converged < w.now-lookEvery || a.written >= w.now-2*time.Second
	if quiet := w.quiet(); a.converged > quiet {
		r.ConvergenceDelay = a.converged - quiet
	}
	if sum, ok := w.digest.(interface{ Sum64() uint64 }); ok {
		r.Digest = sum.Sum64()
	}
	if !r.Converged && !w.PlainPush && a.written < w.now-2*time.Second { // else what waited is still being written
		a.find("quiet", w.now, "all has been whole for %v, and not all act on version %d", w.SimulatedTime-w.quiet(), a.newest)
	}
	r.Violations = a.findings
	return r
}

package agree

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"bankledge/internal/draw"
	"bankledge/internal/rules"
	"bankledge/internal/version"
)

// Renewal is what a router sends for a term.
type Renewal struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"` // drawn at the router's start: two processes under one name have two terms
	Seq         uint64 `json:"seq"`
	Lineage     string `json:"lineage"` // that the router follows, "" as long as it knows none
	Known       uint64 `json:"known"`   // newest version that it has taken, 0: none
	Hash        string `json:"hash"`    // of that version
	Spans       string `json:"spans"`   // Spans.Key
	Term        int64  `json:"term"`    // left of the one it has, milliseconds, 0: none
	Word        string `json:"word"`    // what it last had to say, such as why it turned a version down
}

// Reply is the group's answer to a renewal.
type Reply struct {
	Seq     uint64 `json:"seq"`
	Granted bool   `json:"granted"` // the term runs, from when the renewal was sent
	Lineage string `json:"lineage"`
	Newest  uint64 `json:"newest"`
	Settled uint64 `json:"settled"`
	Refused string `json:"refused"` // why not, "" where the router only has to catch up
	Leader  string `json:"leader"`  // address of the process to ask, where it is another
}

// Setup is what a router is told at its start.
type Setup struct {
	Spans       Spans
	Name        string
	Incarnation string
	Lineage     string       // the only one that it follows; "": the first that it hears of
	Own         *rules.Rules // of its own settings
	Guards      version.Guards
	Addresses   int // of the group's processes
	Seed        uint64
}

// Router is one router's side.
type Router struct {
	Setup
	lineage   string
	settled   *version.Version // in force, as far as this router knows
	pending   *version.Version // the newest one, while it is not settled
	settledAt uint64           // the newest number heard to be settled
	until     time.Duration    // of the term; 0: none
	word      string

	seq      uint64
	sent     [remembered]sending // the last renewals
	out      bool                // one is out
	due      time.Duration       // of the next renewal
	at       int                 // address
	failures int                 // to renew, in a row
	chance   draw.Source
	acting   Ground        // what the last Use said, to say it once
	lost     int           // streams in a row
	follow   time.Duration // when the stream is to connect anew, 0: it stands
}

// sending is a renewal and when it was sent: its term is counted from there, however late the answer comes.
type sending struct {
	seq uint64
	at  time.Duration
}

const remembered = 8

// NewRouter returns a router's side that has heard of nothing: it acts on its own settings.
func NewRouter(s Setup) *Router {
	return &Router{Setup: s, lineage: s.Lineage, chance: draw.Source{Seed: s.Seed}, follow: 1}
}

// RouterEvent is something that happened to a router.
type RouterEvent interface{ routerEvent() }

// The router's events.
type (
	// Look is the look at the clock that comes before each batch of decisions, and at least once a Renew.
	Look struct{}
	// Told is the answer to a renewal.
	Told struct{ Reply Reply }
	// Unanswered tells that a renewal brought no answer.
	Unanswered struct{ Seq uint64 }
	// Came is a version from the stream, with the number of the newest one that was in force when it was sent.
	Came struct {
		Version *version.Version
		Settled uint64
	}
	// Lost tells that the stream has ended.
	Lost struct{}
	// Settled is news from the stream: all versions up to this are in force.
	Settled struct {
		Lineage string
		Number  uint64
	}
	// Unfit is something on the stream that is no version.
	Unfit struct{ Err error }
)

func (Look) routerEvent()       {}
func (Told) routerEvent()       {}
func (Unanswered) routerEvent() {}
func (Came) routerEvent()       {}
func (Settled) routerEvent()    {}
func (Lost) routerEvent()       {}
func (Unfit) routerEvent()      {}

// RouterAction is something that a router has to do.
type RouterAction interface{ routerAction() }

// The router's actions.
type (
	// Ask sends a renewal to an address of the group.
	Ask struct {
		Renewal Renewal
		Address int
	}
	// Use has the router act on these rules from the next decision on.
	Use struct {
		Rules *rules.Rules
		On    Ground
	}
	// Refollow has the stream connect anew, at this address, from the version after this one.
	Refollow struct {
		Address int
		After   uint64
	}
	// Say is a line for the operators.
	Say struct{ Text string }
)

func (Ask) routerAction()      {}
func (Use) routerAction()      {}
func (Refollow) routerAction() {}
func (Say) routerAction()      {}

// Ground tells what a router acts on.
type Ground struct {
	Term    bool   // a term runs; else the cautious side of all that is known
	Settled uint64 // version that is in force, 0: none is known
	Pending uint64 // newer one that is known and not settled, 0: none
}

// String says it for a log.
func (g Ground) String() string {
	var text string
	switch {
	case g.Settled == 0 && g.Pending == 0:
		return "own settings"
	case g.Pending > 0 && g.Settled > 0:
		text = fmt.Sprintf("versions %d and %d, cautious side", g.Settled, g.Pending)
	case g.Pending > 0:
		text = fmt.Sprintf("version %d and own settings, cautious side", g.Pending)
	default:
		text = fmt.Sprintf("version %d", g.Settled)
	}
	if !g.Term {
		text += ", no term: with own settings, cautious side"
	}
	return text
}

// Step takes what happened now and returns what to do, in order.
func (r *Router) Step(now time.Duration, event RouterEvent) (do []RouterAction) {
	switch ev := event.(type) {
	case Told:
		do = r.told(now, ev.Reply)
	case Unanswered:
		if r.out && ev.Seq == r.seq {
			r.failed(now)
		}
	case Came:
		do = r.came(now, ev.Version, ev.Settled)
	case Settled:
		r.settle(ev.Lineage, ev.Number)
	case Lost:
		r.lost++
		r.follow = now + r.pause(r.lost)
	case Unfit:
		do = r.say("not taken: " + ev.Err.Error())
	}
	if r.until > 0 && now >= r.until { // looked at before anything is decided: who was stopped acts on nothing old
		r.until = 0
		do = append(do, r.say("the term is over: on the cautious side of what is known")...)
	}
	if use, changed := r.use(); changed {
		do = append(do, use)
	}
	if r.out && now >= r.asked()+r.Spans.Answer {
		r.failed(now)
	}
	if r.follow > 0 && now >= r.follow {
		r.follow = 0
		do = append(do, Refollow{Address: (r.at + r.lost) % max(1, r.Addresses), After: r.number()})
	}
	if !r.out && now >= r.due {
		do = append(do, r.ask(now))
	}
	return do
}

// ask sends for a term. It counts from here, before anything is written.
func (r *Router) ask(now time.Duration) RouterAction {
	r.seq++
	r.out, r.sent[r.seq%remembered] = true, sending{r.seq, now}
	r.due = now + time.Duration(float64(r.Spans.Renew)*(0.8+0.4*r.chance.Float())) // not all at once
	renewal := Renewal{Name: r.Name, Incarnation: r.Incarnation, Seq: r.seq, Lineage: r.lineage, Word: r.word, Spans: r.Spans.Key(), Term: max(0, r.until-now).Milliseconds()}
	if newest := r.newest(); newest != nil {
		renewal.Known, renewal.Hash = newest.Number, newest.Hash
	}
	return Ask{Renewal: renewal, Address: r.at}
}

func (r *Router) asked() time.Duration { return r.sent[r.seq%remembered].at }

// pause is how long to wait after so many failures: each address once, soon, then in the usual rhythm, all at times of their own.
// A group that comes back is not overrun.
func (r *Router) pause(failures int) time.Duration {
	span := r.Spans.Renew / time.Duration(4>>min(failures/max(1, r.Addresses), 2))
	return time.Duration(float64(span) * (0.5 + r.chance.Float()))
}

// failed goes on at the next address.
func (r *Router) failed(now time.Duration) {
	r.out = false
	r.at = (r.at + 1) % max(1, r.Addresses)
	r.due = now + r.pause(r.failures)
	r.failures++
}

// told takes an answer. Its term is counted from when its renewal was sent, one that is not remembered counts for nothing.
func (r *Router) told(now time.Duration, p Reply) (do []RouterAction) {
	of := &r.sent[p.Seq%remembered]
	if p.Seq == 0 || of.seq != p.Seq {
		return nil
	}
	asked := of.at
	*of = sending{} // once
	if p.Seq == r.seq {
		r.sent[p.Seq%remembered].at, r.out = asked, false
	}
	if p.Leader != "" || p.Refused != "" {
		if p.Refused != "" {
			do = r.say("no term: " + p.Refused)
		}
		r.failed(now)
		return do
	}
	r.failures = 0
	newest := r.newest()
	switch {
	case p.Granted && newest != nil && p.Newest == newest.Number && p.Lineage == r.lineage:
		r.until = max(r.until, asked+r.Spans.Held())
		r.word = ""
	case p.Newest > r.number() && r.follow == 0: // the stream has not brought it: perhaps it is dead, or its process is behind
		r.follow = now + r.Spans.Renew/4
	}
	r.settle(p.Lineage, p.Settled)
	return do
}

func (r *Router) newest() *version.Version {
	if r.pending != nil {
		return r.pending
	}
	return r.settled
}

func (r *Router) number() uint64 {
	if v := r.newest(); v != nil {
		return v.Number
	}
	return 0
}

// came takes a version, or turns it down with a reason: then no term is granted any more, and this router says why.
func (r *Router) came(now time.Duration, v *version.Version, settled uint64) []RouterAction {
	r.lost = 0
	if err := r.fit(v, settled); err != nil {
		if errors.Is(err, errBetween) && r.follow == 0 {
			r.follow = now + r.Spans.Renew/4
		}
		return r.say(err.Error())
	}
	if v.Number <= r.number() {
		return nil // out of order, or once more
	}
	r.lineage = v.Lineage
	if r.pending != nil { // there are never three: it was in force before this one was written
		r.settled = r.pending
	}
	r.pending = v
	r.settle(v.Lineage, max(settled, v.Number-1))
	r.due = min(r.due, now) // it is acknowledged at once
	return nil
}

var errBetween = errors.New("the one before it, which is still in force beside it, is missing")

// fit tells why a version is not taken.
func (r *Router) fit(v *version.Version, settled uint64) error {
	newest := r.newest()
	if r.lineage != "" && v.Lineage != r.lineage {
		return fmt.Errorf("version %d turned down: it is of lineage %s, this router follows %s", v.Number, v.Lineage, r.lineage)
	}
	if newest == nil && (v.Number == 1 || v.Number <= settled) {
		return r.guarded(nil, v)
	}
	switch {
	case newest == nil:
		return fmt.Errorf("version %d: %w", v.Number, errBetween)
	case v.Number < newest.Number:
		return nil
	case v.Number > newest.Number+1 && v.Number > settled: // the cautious side would lack the one before
		return fmt.Errorf("version %d: %w", v.Number, errBetween)
	}
	if err := v.Follows(newest); err != nil {
		return fmt.Errorf("version %d turned down: %w", v.Number, err)
	}
	if v.Number == newest.Number {
		return nil
	}
	return r.guarded(newest.Rules, v)
}

func (r *Router) guarded(before *rules.Rules, v *version.Version) error {
	if err := version.Say(r.Guards.Broken(before, nil, v.Rules, v.Forced)); err != nil {
		return fmt.Errorf("version %d turned down: %w", v.Number, err)
	}
	return nil
}

// settle takes news of what is in force.
func (r *Router) settle(lineage string, number uint64) {
	if lineage == "" || lineage != r.lineage {
		return
	}
	r.settledAt = max(r.settledAt, number)
	if r.pending != nil && r.pending.Number <= r.settledAt {
		r.settled, r.pending = r.pending, nil
	}
}

// use is what this router acts on, where that has changed.
func (r *Router) use() (Use, bool) {
	ground := Ground{Term: r.until > 0 && r.newest() != nil}
	var acts *rules.Rules
	add := func(with *rules.Rules) {
		if acts == nil {
			acts = with
		} else if with != nil {
			acts = rules.Meet(acts, with)
		}
	}
	if r.settled != nil {
		ground.Settled = r.settled.Number
	}
	if r.pending != nil {
		ground.Pending = r.pending.Number
	}
	if ground == r.acting { // own settings, as at the start, are none
		return Use{}, false
	}
	r.acting = ground
	if r.settled != nil {
		add(r.settled.Rules)
	}
	if r.pending != nil {
		add(r.pending.Rules)
	}
	if !ground.Term || r.settled == nil { // before the first version all act on their own settings
		add(r.Own)
	}
	return Use{Rules: acts, On: ground}, true
}

// say notes a word, which goes to the group with the next renewal, and tells the operators.
func (r *Router) say(text string) []RouterAction {
	text = strings.ToValidUTF8(text, "?")
	if text = text[:min(len(text), mostWords)]; text == r.word {
		return nil
	}
	r.word = text
	return []RouterAction{Say{text}}
}

// Wake is when the router has to be stepped at the latest.
func (r *Router) Wake() time.Duration {
	at := r.due
	if r.out {
		at = r.asked() + r.Spans.Answer
	}
	if r.follow > 0 {
		at = min(at, r.follow)
	}
	if r.until > 0 {
		at = min(at, r.until)
	}
	return at
}

// Until is the end of the term, 0: there is none. An act that was decided before and comes after it is not carried out.
func (r *Router) Until() time.Duration { return r.until }

package lease

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"bankledge/internal/configversion"
	"bankledge/internal/detrand"
	"bankledge/internal/rules"
)

// Renewal is what a router sends for a term.
type Renewal struct {
	Name            string `json:"name"`
	Incarnation     string `json:"incarnation"` // drawn at the router's start: two processes under one name have two terms
	Seq             uint64 `json:"seq"`
	Lineage         string `json:"lineage"` // that the router follows, "" as long as it knows none
	KnownVersion    uint64 `json:"known"`   // newest version that it has taken, 0: none
	KnownHash       string `json:"hash"`    // of that version
	DurationsKey    string `json:"spans"`   // Spans.Key
	RemainingMillis int64  `json:"term"`    // left of the one it has, milliseconds, 0: none
	LastMessage     string `json:"word"`    // what it last had to say, such as why it turned a version down
}

// Reply is the group's answer to a renewal.
type Reply struct {
	Seq           uint64 `json:"seq"`
	Granted       bool   `json:"granted"` // the term runs, from when the renewal was sent
	Lineage       string `json:"lineage"`
	Newest        uint64 `json:"newest"`
	Activated     uint64 `json:"settled"`
	RejectReason  string `json:"refused"` // why not, "" where the router only has to catch up
	LeaderAddress string `json:"leader"`  // address of the process to ask, where it is another
}

// Setup is what a router is told at its start.
type ClientSettings struct {
	Durations    Durations
	Name         string
	Incarnation  string
	Lineage      string       // the only one that it follows; "": the first that it hears of
	LocalRules   *rules.Rules // of its own settings
	Guards       configversion.Guards
	AddressCount int // of the group's processes
	Seed         uint64
}

// Router is one router's side.
type Client struct {
	ClientSettings
	lineage   string
	settled   *configversion.Version // in force, as far as this router knows
	pending   *configversion.Version // the newest one, while it is not settled
	settledAt uint64                 // the newest number heard to be settled
	until     time.Duration          // of the term; 0: none
	word      string

	seq      uint64
	sent     [remembered]sending // the last renewals
	out      bool                // one is out
	due      time.Duration       // of the next renewal
	at       int                 // address
	failures int                 // to renew, in a row
	chance   detrand.Source
	acting   ActiveConfiguration // what the last Use said, to say it once
	lost     int                 // streams in a row
	follow   time.Duration       // when the stream is to connect anew, 0: it stands
}

// sending is a renewal and when it was sent: its term is counted from there, however late the answer comes.
type sending struct {
	seq uint64
	at  time.Duration
}

const remembered = 8

// NewRouter returns a router's side that has heard of nothing: it acts on its own settings.
func NewClient(s ClientSettings) *Client {
	return &Client{ClientSettings: s, lineage: s.Lineage, chance: detrand.Source{Seed: s.Seed}, follow: 1}
}

// RouterEvent is something that happened to a router.
type ClientEvent interface{ routerEvent() }

// The router's events.
type (
	// Look is the look at the clock that comes before each batch of decisions, and at least once a Renew.
	ClientTick struct{}
	// Told is the answer to a renewal.
	ReplyReceived struct{ Reply Reply }
	// Unanswered tells that a renewal brought no answer.
	RenewalFailed struct{ Seq uint64 }
	// Came is a version from the stream, with the number of the newest one that was in force when it was sent.
	VersionReceived struct {
		Version   *configversion.Version
		Activated uint64
	}
	// Lost tells that the stream has ended.
	StreamLost struct{}
	// Settled is news from the stream: all versions up to this are in force.
	VersionActivated struct {
		Lineage string
		Number  uint64
	}
	// Unfit is something on the stream that is no version.
	InvalidVersionReceived struct{ Err error }
)

func (ClientTick) routerEvent()             {}
func (ReplyReceived) routerEvent()          {}
func (RenewalFailed) routerEvent()          {}
func (VersionReceived) routerEvent()        {}
func (VersionActivated) routerEvent()       {}
func (StreamLost) routerEvent()             {}
func (InvalidVersionReceived) routerEvent() {}

// RouterAction is something that a router has to do.
type ClientAction interface{ routerAction() }

// The router's actions.
type (
	// Ask sends a renewal to an address of the group.
	SendRenewal struct {
		Renewal      Renewal
		AddressIndex int
	}
	// Use has the router act on these rules from the next decision on.
	ApplyRules struct {
		Rules         *rules.Rules
		Configuration ActiveConfiguration
	}
	// Refollow has the stream connect anew, at this address, from the version after this one.
	ReopenStream struct {
		AddressIndex int
		AfterVersion uint64
	}
	// Say is a line for the operators.
	LogMessage struct{ Text string }
)

func (SendRenewal) routerAction()  {}
func (ApplyRules) routerAction()   {}
func (ReopenStream) routerAction() {}
func (LogMessage) routerAction()   {}

// Ground tells what a router acts on.
type ActiveConfiguration struct {
	Leased    bool   // a term runs; else the cautious side of all that is known
	Activated uint64 // version that is in force, 0: none is known
	Pending   uint64 // newer one that is known and not settled, 0: none
}

// String says it for a log.
func (g ActiveConfiguration) String() string {
	var text string
	switch {
	case g.Activated == 0 && g.Pending == 0:
		return "own settings"
	case g.Pending > 0 && g.Activated > 0:
		text = fmt.Sprintf("versions %d and %d, cautious side", g.Activated, g.Pending)
	case g.Pending > 0:
		text = fmt.Sprintf("version %d and own settings, cautious side", g.Pending)
	default:
		text = fmt.Sprintf("version %d", g.Activated)
	}
	if !g.Leased {
		text += ", no term: with own settings, cautious side"
	}
	return text
}

// Step takes what happened now and returns what to do, in order.
func (r *Client) Step(now time.Duration, event ClientEvent) (do []ClientAction) {
	switch ev := event.(type) {
	case ReplyReceived:
		do = r.told(now, ev.Reply)
	case RenewalFailed:
		if r.out && ev.Seq == r.seq {
			r.failed(now)
		}
	case VersionReceived:
		do = r.came(now, ev.Version, ev.Activated)
	case VersionActivated:
		r.settle(ev.Lineage, ev.Number)
	case StreamLost:
		r.lost++
		r.follow = now + r.pause(r.lost)
	case InvalidVersionReceived:
		do = r.say("not taken: " + ev.Err.Error())
	}
	if r.until > 0 && now >= r.until { // looked at before anything is decided: who was stopped acts on nothing old
		r.until = 0
		do = append(do, r.say("the term is over: on the cautious side of what is known")...)
	}
	if use, changed := r.use(); changed {
		do = append(do, use)
	}
	if r.out && now >= r.asked()+r.Durations.ReplyTimeout {
		r.failed(now)
	}
	if r.follow > 0 && now >= r.follow {
		r.follow = 0
		do = append(do, ReopenStream{AddressIndex: (r.at + r.lost) % max(1, r.AddressCount), AfterVersion: r.number()})
	}
	if !r.out && now >= r.due {
		do = append(do, r.ask(now))
	}
	return do
}

// ask sends for a term. It counts from here, before anything is written.
func (r *Client) ask(now time.Duration) ClientAction {
	r.seq++
	r.out, r.sent[r.seq%remembered] = true, sending{r.seq, now}
	r.due = now + time.Duration(float64(r.Durations.RenewInterval)*(0.8+0.4*r.chance.Float64())) // not all at once
	renewal := Renewal{Name: r.Name, Incarnation: r.Incarnation, Seq: r.seq, Lineage: r.lineage, LastMessage: r.word, DurationsKey: r.Durations.CompatibilityKey(), RemainingMillis: max(0, r.until-now).Milliseconds()}
	if newest := r.newest(); newest != nil {
		renewal.KnownVersion, renewal.KnownHash = newest.Number, newest.Hash
	}
	return SendRenewal{Renewal: renewal, AddressIndex: r.at}
}

func (r *Client) asked() time.Duration { return r.sent[r.seq%remembered].at }

// pause is how long to wait after so many failures: each address once, soon, then in the usual rhythm, all at times of their own.
// A group that comes back is not overrun.
func (r *Client) pause(failures int) time.Duration {
	span := r.Durations.RenewInterval / time.Duration(4>>min(failures/max(1, r.AddressCount), 2))
	return time.Duration(float64(span) * (0.5 + r.chance.Float64()))
}

// failed goes on at the next address.
func (r *Client) failed(now time.Duration) {
	r.out = false
	r.at = (r.at + 1) % max(1, r.AddressCount)
	r.due = now + r.pause(r.failures)
	r.failures++
}

// told takes an answer. Its term is counted from when its renewal was sent, one that is not remembered counts for nothing.
func (r *Client) told(now time.Duration, p Reply) (do []ClientAction) {
	of := &r.sent[p.Seq%remembered]
	if p.Seq == 0 || of.seq != p.Seq {
		return nil
	}
	asked := of.at
	*of = sending{} // once
	if p.Seq == r.seq {
		r.sent[p.Seq%remembered].at, r.out = asked, false
	}
	if p.LeaderAddress != "" || p.RejectReason != "" {
		if p.RejectReason != "" {
			do = r.say("no term: " + p.RejectReason)
		}
		r.failed(now)
		return do
	}
	r.failures = 0
	newest := r.newest()
	switch {
	case p.Granted && newest != nil && p.Newest == newest.Number && p.Lineage == r.lineage:
		r.until = max(r.until, asked+r.Durations.ClientLease())
		r.word = ""
	case p.Newest > r.number() && r.follow == 0: // the stream has not brought it: perhaps it is dead, or its process is behind
		r.follow = now + r.Durations.RenewInterval/4
	}
	r.settle(p.Lineage, p.Activated)
	return do
}

func (r *Client) newest() *configversion.Version {
	if r.pending != nil {
		return r.pending
	}
	return r.settled
}

func (r *Client) number() uint64 {
	if v := r.newest(); v != nil {
		return v.Number
	}
	return 0
}

// came takes a version, or turns it down with a reason: then no term is granted any more, and this router says why.
func (r *Client) came(now time.Duration, v *configversion.Version, settled uint64) []ClientAction {
	r.lost = 0
	if err := r.fit(v, settled); err != nil {
		if errors.Is(err, errBetween) && r.follow == 0 {
			r.follow = now + r.Durations.RenewInterval/4
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
func (r *Client) fit(v *configversion.Version, settled uint64) error {
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
	if err := v.CheckFollows(newest); err != nil {
		return fmt.Errorf("version %d turned down: %w", v.Number, err)
	}
	if v.Number == newest.Number {
		return nil
	}
	return r.guarded(newest.Rules, v)
}

func (r *Client) guarded(before *rules.Rules, v *configversion.Version) error {
	if err := configversion.ViolationsError(r.Guards.Violations(before, nil, v.Rules, v.ForcedGuards)); err != nil {
		return fmt.Errorf("version %d turned down: %w", v.Number, err)
	}
	return nil
}

// settle takes news of what is in force.
func (r *Client) settle(lineage string, number uint64) {
	if lineage == "" || lineage != r.lineage {
		return
	}
	r.settledAt = max(r.settledAt, number)
	if r.pending != nil && r.pending.Number <= r.settledAt {
		r.settled, r.pending = r.pending, nil
	}
}

// use is what this router acts on, where that has changed.
func (r *Client) use() (ApplyRules, bool) {
	ground := ActiveConfiguration{Leased: r.until > 0 && r.newest() != nil}
	var acts *rules.Rules
	add := func(with *rules.Rules) {
		if acts == nil {
			acts = with
		} else if with != nil {
			acts = rules.Intersect(acts, with)
		}
	}
	if r.settled != nil {
		ground.Activated = r.settled.Number
	}
	if r.pending != nil {
		ground.Pending = r.pending.Number
	}
	if ground == r.acting { // own settings, as at the start, are none
		return ApplyRules{}, false
	}
	r.acting = ground
	if r.settled != nil {
		add(r.settled.Rules)
	}
	if r.pending != nil {
		add(r.pending.Rules)
	}
	if !ground.Leased || r.settled == nil { // before the first version all act on their own settings
		add(r.LocalRules)
	}
	return ApplyRules{Rules: acts, Configuration: ground}, true
}

// say notes a word, which goes to the group with the next renewal, and tells the operators.
func (r *Client) say(text string) []ClientAction {
	text = strings.ToValidUTF8(text, "?")
	if text = text[:min(len(text), mostWords)]; text == r.word {
		return nil
	}
	r.word = text
	return []ClientAction{LogMessage{text}}
}

// Wake is when the router has to be stepped at the latest.
func (r *Client) NextDeadline() time.Duration {
	at := r.due
	if r.out {
		at = r.asked() + r.Durations.ReplyTimeout
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
func (r *Client) LeaseExpiry() time.Duration { return r.until }

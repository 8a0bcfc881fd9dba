package agree

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Group is what the leading process of a control group decides beside the replicated state: who has a term, until when, and when a
// version is settled. It is not replicated: a new leader waits out whatever an old one may have granted.
type Group struct {
	Spans   Spans
	leads   bool
	free    time.Duration // from here on no term runs that this leader has not granted
	lineage string
	newest  uint64
	settled uint64
	hash    string // of the newest version
	asked   uint64 // the last settling that was proposed, and when
	askedAt time.Duration

	sessions  map[string]*Session // by incarnation
	fresh     []waiting           // renewals that have not been looked at yet
	confirm   []waiting           // renewals that wait until it is confirmed that this process leads
	token     uint64              // of that confirmation
	sentAt    time.Duration
	proposals []proposal // that wait until the version before them is in force
	appended  map[string]proposal
}

type waiting struct {
	call    uint64
	at      time.Duration // of its receipt: its term counts from here at the latest
	renewal Renewal
	check   bool // it is none: only the proof is wanted
}

type proposal struct {
	call  uint64
	at    time.Duration
	entry Entry
}

// Session is one process of a router, as the group knows it.
type Session struct {
	Name        string        `json:"name"`
	Incarnation string        `json:"incarnation"`
	Known       uint64        `json:"known"`
	Until       time.Duration `json:"-"`    // of its term, by the leader's clock
	Heard       time.Duration `json:"-"`    // last
	Left        int64         `json:"left"` // milliseconds of its term
	Ago         int64         `json:"ago"`  // milliseconds since it was heard
	Twins       bool          `json:"twins"`
	Word        string        `json:"word"`
}

// NewGroup returns the side of a process that does not lead.
func NewGroup(s Spans) *Group {
	return &Group{Spans: s, sessions: map[string]*Session{}, appended: map[string]proposal{}}
}

// GroupEvent is something that happened to a process of the group.
type GroupEvent interface{ groupEvent() }

// The group's events.
type (
	// Led tells that this process leads from now on and has applied all that leaders before it have committed.
	Led struct{}
	// Deposed tells that it leads no longer.
	Deposed struct{}
	// Applied tells what the replicated state is by now, and which proposals have their outcome.
	Applied struct {
		Lineage         string
		Newest, Settled uint64
		Hash            string
		Outcomes        []Outcome
	}
	// Heard is a renewal that has come; Call says whom to answer.
	Heard struct {
		Call    uint64
		Renewal Renewal
	}
	// Confirmed tells that this process still led after it had asked for it, and has applied all that was committed by then.
	Confirmed struct{ Token uint64 }
	// Wanted is a proposal that has come.
	Wanted struct {
		Call  uint64
		Entry Entry
	}
	// Dropped tells that a proposal could not be written to the log.
	Dropped struct {
		ID  string
		Err error
	}
	// Check asks for a proof that this process leads and knows the newest version: Tell brings its number.
	Check struct{ Call uint64 }
	// Gone tells that nobody waits for the answer to a call any more.
	Gone struct{ Call uint64 }
	// Tick lets time pass.
	Tick struct{}
)

func (Led) groupEvent()       {}
func (Deposed) groupEvent()   {}
func (Applied) groupEvent()   {}
func (Heard) groupEvent()     {}
func (Confirmed) groupEvent() {}
func (Wanted) groupEvent()    {}
func (Dropped) groupEvent()   {}
func (Check) groupEvent()     {}
func (Gone) groupEvent()      {}
func (Tick) groupEvent()      {}

// GroupAction is something that a process of the group has to do.
type GroupAction interface{ groupAction() }

// The group's actions.
type (
	// Confirm has it confirmed by most processes that this one leads.
	Confirm struct{ Token uint64 }
	// Answer answers a renewal.
	Answer struct {
		Call  uint64
		Reply Reply
	}
	// Append has an entry written to the log.
	Append struct{ Entry Entry }
	// Tell answers a proposal.
	Tell struct {
		Call    uint64
		Outcome Outcome
	}
)

func (Confirm) groupAction() {}
func (Answer) groupAction()  {}
func (Append) groupAction()  {}
func (Tell) groupAction()    {}

// ErrNotLeading is the answer of a process that does not lead.
var ErrNotLeading = errors.New("this process does not lead the group")

// Step takes what happened now and returns what to do, in order.
func (g *Group) Step(now time.Duration, event GroupEvent) (do []GroupAction) {
	switch ev := event.(type) {
	case Led:
		*g = Group{Spans: g.Spans, leads: true, lineage: g.lineage, newest: g.newest, settled: g.settled, hash: g.hash,
			free: now + g.Spans.Owed(), sessions: map[string]*Session{}, appended: map[string]proposal{}}
	case Deposed:
		do = g.depose()
	case Applied:
		do = g.applied(now, ev)
	case Heard:
		do = g.heard(now, ev)
	case Confirmed:
		if ev.Token == g.token {
			do = g.confirmed(now)
		}
	case Wanted:
		do = g.wanted(now, ev)
	case Dropped:
		if p, waits := g.appended[ev.ID]; waits {
			delete(g.appended, ev.ID)
			do = []GroupAction{Tell{p.call, Outcome{ID: ev.ID, Error: ev.Err.Error()}}}
		}
	case Check:
		if w := (waiting{call: ev.Call, at: now, check: true}); !g.leads || len(g.fresh) >= mostWaiting {
			do = []GroupAction{w.answer(Reply{Refused: ErrNotLeading.Error()})}
		} else {
			g.fresh = append(g.fresh, w)
		}
	case Gone:
		g.gone(ev.Call)
	}
	if !g.leads {
		return do
	}
	do = append(do, g.ask(now)...)
	do = append(do, g.settle(now)...)
	do = append(do, g.admit()...)
	g.forget(now)
	return do
}

// depose answers all that waits: a process that does not lead promises nothing.
func (g *Group) depose() (do []GroupAction) {
	for _, w := range slices.Concat(g.confirm, g.fresh) {
		do = append(do, w.answer(Reply{Seq: w.renewal.Seq, Refused: ErrNotLeading.Error()}))
	}
	for _, p := range g.proposals {
		do = append(do, Tell{p.call, Outcome{ID: p.entry.ID, Error: ErrNotLeading.Error()}})
	}
	for _, id := range slices.Sorted(maps.Keys(g.appended)) { // whether it was written is not known: it is asked for again under its id
		do = append(do, Tell{g.appended[id].call, Outcome{ID: id, Error: ErrNotLeading.Error()}})
	}
	g.leads, g.confirm, g.fresh, g.proposals = false, nil, nil, nil
	clear(g.appended)
	clear(g.sessions)
	return do
}

func (g *Group) applied(_ time.Duration, ev Applied) (do []GroupAction) {
	g.lineage, g.newest, g.settled, g.hash = ev.Lineage, ev.Newest, ev.Settled, ev.Hash
	for _, o := range ev.Outcomes {
		if p, waits := g.appended[o.ID]; waits {
			delete(g.appended, o.ID)
			do = append(do, Tell{p.call, o})
		}
	}
	return do
}

// heard takes a renewal. It is looked at once it is confirmed that this process led after its receipt.
func (g *Group) heard(now time.Duration, ev Heard) []GroupAction {
	reply := Reply{Seq: ev.Renewal.Seq, Lineage: g.lineage}
	switch r := ev.Renewal; {
	case !g.leads:
		reply.Refused = ErrNotLeading.Error()
	case len(r.Name) > mostWords || len(r.Word) > mostWords || len(r.Incarnation) > mostWords || len(r.Lineage) > mostWords || len(r.Hash) > mostWords || r.Incarnation == "":
		reply.Refused = "incarnation: missing, or a field is too long"
	case len(g.fresh) >= mostWaiting, g.sessions[r.Incarnation] == nil && len(g.sessions) >= mostSessions:
		reply.Refused = "too many routers"
	default:
		g.fresh = append(g.fresh, waiting{ev.Call, now, r, false})
		return nil
	}
	return []GroupAction{Answer{ev.Call, reply}}
}

// ask has it confirmed that this process leads, for all renewals that have come since the last time. One confirmation is out at a
// time; one that is not answered is asked for anew.
func (g *Group) ask(now time.Duration) []GroupAction {
	if len(g.confirm) > 0 && now < g.sentAt+g.Spans.Answer || len(g.confirm)+len(g.fresh) == 0 {
		return nil
	}
	g.confirm = slices.DeleteFunc(append(g.confirm, g.fresh...), func(w waiting) bool { return now >= w.at+g.Spans.Term }) // nobody waits
	g.fresh = nil
	g.token++
	g.sentAt = now
	return []GroupAction{Confirm{g.token}}
}

// answer is a reply, in the form that its call wants.
func (w waiting) answer(r Reply) GroupAction {
	if w.check {
		return Tell{w.call, Outcome{Number: r.Newest, Error: r.Refused}}
	}
	return Answer{w.call, r}
}

// confirmed grants terms: to who knows the newest version, counted from the receipt of the renewal.
func (g *Group) confirmed(now time.Duration) (do []GroupAction) {
	for _, w := range g.confirm {
		if w.check {
			do = append(do, w.answer(Reply{Newest: g.newest}))
			continue
		}
		do = append(do, w.answer(g.grant(now, w)))
	}
	g.confirm = nil
	return do
}

func (g *Group) grant(now time.Duration, w waiting) Reply {
	r := w.renewal
	reply := Reply{Seq: r.Seq, Lineage: g.lineage, Newest: g.newest, Settled: g.settled}
	s := g.sessions[r.Incarnation]
	if s == nil {
		if len(g.sessions) >= mostSessions {
			reply.Refused = "too many routers"
			return reply
		}
		s = &Session{Incarnation: r.Incarnation}
		g.sessions[r.Incarnation] = s
	}
	s.Name, s.Word, s.Heard = r.Name, r.Word, now
	switch {
	case r.Spans != g.Spans.Key():
		reply.Refused = fmt.Sprintf("the router counts on %q, this group on %q", r.Spans, g.Spans.Key())
	case r.Lineage != "" && r.Lineage != g.lineage:
		reply.Refused = fmt.Sprintf("this group is of lineage %s, the router follows %s", g.lineage, r.Lineage)
	case r.Known > g.newest:
		reply.Refused = fmt.Sprintf("this group's newest version is %d, the router knows %d: the group was restored from a backup", g.newest, r.Known)
	case r.Known == g.newest && r.Known > 0 && r.Hash != g.hash:
		reply.Refused = fmt.Sprintf("this group's version %d is another one than the router's", g.newest)
	case r.Known == g.newest && r.Known > 0:
		s.Known, s.Until = max(s.Known, r.Known), max(s.Until, w.at+g.Spans.Owed())
		reply.Granted = true
	default: // it has to catch up first; what it says it knows ends nothing: an older message may come late
	}
	return reply
}

// settle has the newest version settled once no term runs whose router does not know it.
func (g *Group) settle(now time.Duration) []GroupAction {
	if g.settled >= g.newest || now < g.free || g.asked == g.newest && now < g.askedAt+g.Spans.Term {
		return nil
	}
	for _, s := range g.sessions {
		if s.Until > now && s.Known < g.newest {
			return nil
		}
	}
	g.asked, g.askedAt = g.newest, now
	return []GroupAction{Append{Entry{Kind: Settle, Number: g.newest}}}
}

// wanted takes a proposal; it waits until the one before it is in force.
func (g *Group) wanted(now time.Duration, ev Wanted) []GroupAction {
	outcome := Outcome{ID: ev.Entry.ID}
	switch {
	case !g.leads:
		outcome.Error = ErrNotLeading.Error()
	case ev.Entry.ID == "" || len(ev.Entry.ID) > mostWords || ev.Entry.Kind != Propose && ev.Entry.Kind != Rollback:
		outcome.Error = "proposal: id: missing, or not a proposal"
	case len(g.proposals)+len(g.appended) >= mostWaiting/16:
		outcome.Error = "too many proposals wait"
	default:
		g.proposals = append(g.proposals, proposal{ev.Call, now, ev.Entry})
		return nil
	}
	return []GroupAction{Tell{ev.Call, outcome}}
}

// admit writes the next proposal, one at a time.
func (g *Group) admit() []GroupAction {
	if len(g.proposals) == 0 || len(g.appended) > 0 || g.newest > g.settled || g.lineage == "" {
		return nil
	}
	p := g.proposals[0]
	g.proposals = g.proposals[1:]
	g.appended[p.entry.ID] = p
	return []GroupAction{Append{p.entry}}
}

// gone forgets a proposal that nobody waits for; one that is written already stays so.
func (g *Group) gone(call uint64) {
	g.proposals = slices.DeleteFunc(g.proposals, func(p proposal) bool { return p.call == call })
	maps.DeleteFunc(g.appended, func(_ string, p proposal) bool { return p.call == call })
}

// forget drops sessions without a term that have been silent for long.
func (g *Group) forget(now time.Duration) {
	maps.DeleteFunc(g.sessions, func(_ string, s *Session) bool { return now >= max(s.Until, s.Heard)+keepsSessions })
}

// Sessions lists who is known, by name.
func (g *Group) Sessions(now time.Duration) []Session {
	list, twins := make([]Session, 0, len(g.sessions)), map[string]int{}
	for _, s := range g.sessions {
		if s.Until > now {
			twins[s.Name]++
		}
	}
	for _, s := range g.sessions {
		c := *s
		c.Left, c.Ago = max(0, s.Until-now).Milliseconds(), (now - s.Heard).Milliseconds()
		c.Twins = twins[s.Name] > 1
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b Session) int {
		if a.Name != b.Name {
			return strings.Compare(a.Name, b.Name)
		}
		return strings.Compare(a.Incarnation, b.Incarnation)
	})
	return list
}

// Wake is when the process has to be stepped at the latest, as long as it leads.
func (g *Group) Wake(now time.Duration) time.Duration {
	at := now + g.Spans.Renew
	if g.settled < g.newest {
		for _, s := range g.sessions {
			if s.Until > now && s.Known < g.newest {
				at = min(at, s.Until)
			}
		}
		if g.free > now {
			at = min(at, g.free)
		}
	}
	if len(g.confirm) > 0 {
		at = min(at, g.sentAt+g.Spans.Answer)
	}
	return max(at, now+time.Millisecond)
}

package lease

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
type Coordinator struct {
	Durations Durations
	leads     bool
	free      time.Duration // from here on no term runs that this leader has not granted
	lineage   string
	newest    uint64
	settled   uint64
	hash      string // of the newest version
	asked     uint64 // the last settling that was proposed, and when
	askedAt   time.Duration

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
	Name            string        `json:"name"`
	Incarnation     string        `json:"incarnation"`
	KnownVersion    uint64        `json:"known"`
	Expiry          time.Duration `json:"-"`    // of its term, by the leader's clock
	LastRenewal     time.Duration `json:"-"`    // last
	RemainingMillis int64         `json:"left"` // milliseconds of its term
	SilentMillis    int64         `json:"ago"`  // milliseconds since it was heard
	DuplicateName   bool          `json:"twins"`
	LastMessage     string        `json:"word"`
}

// NewGroup returns the side of a process that does not lead.
func NewCoordinator(s Durations) *Coordinator {
	return &Coordinator{Durations: s, sessions: map[string]*Session{}, appended: map[string]proposal{}}
}

// GroupEvent is something that happened to a process of the group.
type CoordinatorEvent interface{ groupEvent() }

// The group's events.
type (
	// Led tells that this process leads from now on and has applied all that leaders before it have committed.
	LeadershipGained struct{}
	// Deposed tells that it leads no longer.
	LeadershipLost struct{}
	// Applied tells what the replicated state is by now, and which proposals have their outcome.
	StateApplied struct {
		Lineage           string
		Newest, Activated uint64
		Hash              string
		Outcomes          []Outcome
	}
	// Heard is a renewal that has come; Call says whom to answer.
	RenewalReceived struct {
		CallID  uint64
		Renewal Renewal
	}
	// Confirmed tells that this process still led after it had asked for it, and has applied all that was committed by then.
	LeadershipConfirmed struct{ Token uint64 }
	// Wanted is a proposal that has come.
	ProposalReceived struct {
		CallID uint64
		Entry  Entry
	}
	// Dropped tells that a proposal could not be written to the log.
	AppendFailed struct {
		ProposalID string
		Err        error
	}
	// Check asks for a proof that this process leads and knows the newest version: Tell brings its number.
	LeadershipCheckRequested struct{ CallID uint64 }
	// Gone tells that nobody waits for the answer to a call any more.
	CallCancelled struct{ CallID uint64 }
	// Tick lets time pass.
	CoordinatorTick struct{}
)

func (LeadershipGained) groupEvent()         {}
func (LeadershipLost) groupEvent()           {}
func (StateApplied) groupEvent()             {}
func (RenewalReceived) groupEvent()          {}
func (LeadershipConfirmed) groupEvent()      {}
func (ProposalReceived) groupEvent()         {}
func (AppendFailed) groupEvent()             {}
func (LeadershipCheckRequested) groupEvent() {}
func (CallCancelled) groupEvent()            {}
func (CoordinatorTick) groupEvent()          {}

// GroupAction is something that a process of the group has to do.
type CoordinatorAction interface{ groupAction() }

// The group's actions.
type (
	// Confirm has it confirmed by most processes that this one leads.
	ConfirmLeadership struct{ Token uint64 }
	// Answer answers a renewal.
	SendReply struct {
		CallID uint64
		Reply  Reply
	}
	// Append has an entry written to the log.
	AppendEntry struct{ Entry Entry }
	// Tell answers a proposal.
	SendOutcome struct {
		CallID  uint64
		Outcome Outcome
	}
)

func (ConfirmLeadership) groupAction() {}
func (SendReply) groupAction()         {}
func (AppendEntry) groupAction()       {}
func (SendOutcome) groupAction()       {}

// ErrNotLeading is the answer of a process that does not lead.
var ErrNotLeader = errors.New("this process does not lead the group")

// Step takes what happened now and returns what to do, in order.
func (g *Coordinator) Step(now time.Duration, event CoordinatorEvent) (do []CoordinatorAction) {
	switch ev := event.(type) {
	case LeadershipGained:
		*g = Coordinator{Durations: g.Durations, leads: true, lineage: g.lineage, newest: g.newest, settled: g.settled, hash: g.hash,
			free: now + g.Durations.CoordinatorLease(), sessions: map[string]*Session{}, appended: map[string]proposal{}}
	case LeadershipLost:
		do = g.depose()
	case StateApplied:
		do = g.applied(now, ev)
	case RenewalReceived:
		do = g.heard(now, ev)
	case LeadershipConfirmed:
		if ev.Token == g.token {
			do = g.confirmed(now)
		}
	case ProposalReceived:
		do = g.wanted(now, ev)
	case AppendFailed:
		if p, waits := g.appended[ev.ProposalID]; waits {
			delete(g.appended, ev.ProposalID)
			do = []CoordinatorAction{SendOutcome{p.call, Outcome{ID: ev.ProposalID, Error: ev.Err.Error()}}}
		}
	case LeadershipCheckRequested:
		if w := (waiting{call: ev.CallID, at: now, check: true}); !g.leads || len(g.fresh) >= mostWaiting {
			do = []CoordinatorAction{w.answer(Reply{RejectReason: ErrNotLeader.Error()})}
		} else {
			g.fresh = append(g.fresh, w)
		}
	case CallCancelled:
		g.gone(ev.CallID)
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
func (g *Coordinator) depose() (do []CoordinatorAction) {
	for _, w := range slices.Concat(g.confirm, g.fresh) {
		do = append(do, w.answer(Reply{Seq: w.renewal.Seq, RejectReason: ErrNotLeader.Error()}))
	}
	for _, p := range g.proposals {
		do = append(do, SendOutcome{p.call, Outcome{ID: p.entry.ID, Error: ErrNotLeader.Error()}})
	}
	for _, id := range slices.Sorted(maps.Keys(g.appended)) { // whether it was written is not known: it is asked for again under its id
		do = append(do, SendOutcome{g.appended[id].call, Outcome{ID: id, Error: ErrNotLeader.Error()}})
	}
	g.leads, g.confirm, g.fresh, g.proposals = false, nil, nil, nil
	clear(g.appended)
	clear(g.sessions)
	return do
}

func (g *Coordinator) applied(_ time.Duration, ev StateApplied) (do []CoordinatorAction) {
	g.lineage, g.newest, g.settled, g.hash = ev.Lineage, ev.Newest, ev.Activated, ev.Hash
	for _, o := range ev.Outcomes {
		if p, waits := g.appended[o.ID]; waits {
			delete(g.appended, o.ID)
			do = append(do, SendOutcome{p.call, o})
		}
	}
	return do
}

// heard takes a renewal. It is looked at once it is confirmed that this process led after its receipt.
func (g *Coordinator) heard(now time.Duration, ev RenewalReceived) []CoordinatorAction {
	reply := Reply{Seq: ev.Renewal.Seq, Lineage: g.lineage}
	switch r := ev.Renewal; {
	case !g.leads:
		reply.RejectReason = ErrNotLeader.Error()
	case len(r.Name) > mostWords || len(r.LastMessage) > mostWords || len(r.Incarnation) > mostWords || len(r.Lineage) > mostWords || len(r.KnownHash) > mostWords || r.Incarnation == "":
		reply.RejectReason = "incarnation: missing, or a field is too long"
	case len(g.fresh) >= mostWaiting, g.sessions[r.Incarnation] == nil && len(g.sessions) >= mostSessions:
		reply.RejectReason = "too many routers"
	default:
		g.fresh = append(g.fresh, waiting{ev.CallID, now, r, false})
		return nil
	}
	return []CoordinatorAction{SendReply{ev.CallID, reply}}
}

// ask has it confirmed that this process leads, for all renewals that have come since the last time. One confirmation is out at a
// time; one that is not answered is asked for anew.
func (g *Coordinator) ask(now time.Duration) []CoordinatorAction {
	if len(g.confirm) > 0 && now < g.sentAt+g.Durations.ReplyTimeout || len(g.confirm)+len(g.fresh) == 0 {
		return nil
	}
	g.confirm = slices.DeleteFunc(append(g.confirm, g.fresh...), func(w waiting) bool { return now >= w.at+g.Durations.LeaseDuration }) // nobody waits
	g.fresh = nil
	g.token++
	g.sentAt = now
	return []CoordinatorAction{ConfirmLeadership{g.token}}
}

// answer is a reply, in the form that its call wants.
func (w waiting) answer(r Reply) CoordinatorAction {
	if w.check {
		return SendOutcome{w.call, Outcome{Number: r.Newest, Error: r.RejectReason}}
	}
	return SendReply{w.call, r}
}

// confirmed grants terms: to who knows the newest version, counted from the receipt of the renewal.
func (g *Coordinator) confirmed(now time.Duration) (do []CoordinatorAction) {
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

func (g *Coordinator) grant(now time.Duration, w waiting) Reply {
	r := w.renewal
	reply := Reply{Seq: r.Seq, Lineage: g.lineage, Newest: g.newest, Activated: g.settled}
	s := g.sessions[r.Incarnation]
	if s == nil {
		if len(g.sessions) >= mostSessions {
			reply.RejectReason = "too many routers"
			return reply
		}
		s = &Session{Incarnation: r.Incarnation}
		g.sessions[r.Incarnation] = s
	}
	s.Name, s.LastMessage, s.LastRenewal = r.Name, r.LastMessage, now
	switch {
	case r.DurationsKey != g.Durations.CompatibilityKey():
		reply.RejectReason = fmt.Sprintf("the router counts on %q, this group on %q", r.DurationsKey, g.Durations.CompatibilityKey())
	case r.Lineage != "" && r.Lineage != g.lineage:
		reply.RejectReason = fmt.Sprintf("this group is of lineage %s, the router follows %s", g.lineage, r.Lineage)
	case r.KnownVersion > g.newest:
		reply.RejectReason = fmt.Sprintf("this group's newest version is %d, the router knows %d: the group was restored from a backup", g.newest, r.KnownVersion)
	case r.KnownVersion == g.newest && r.KnownVersion > 0 && r.KnownHash != g.hash:
		reply.RejectReason = fmt.Sprintf("this group's version %d is another one than the router's", g.newest)
	case r.KnownVersion == g.newest && r.KnownVersion > 0:
		s.KnownVersion, s.Expiry = max(s.KnownVersion, r.KnownVersion), max(s.Expiry, w.at+g.Durations.CoordinatorLease())
		reply.Granted = true
	default: // it has to catch up first; what it says it knows ends nothing: an older message may come late
	}
	return reply
}

// settle has the newest version settled once no term runs whose router does not know it.
func (g *Coordinator) settle(now time.Duration) []CoordinatorAction {
	if g.settled >= g.newest || now < g.free || g.asked == g.newest && now < g.askedAt+g.Durations.LeaseDuration {
		return nil
	}
	for _, s := range g.sessions {
		if s.Expiry > now && s.KnownVersion < g.newest {
			return nil
		}
	}
	g.asked, g.askedAt = g.newest, now
	return []CoordinatorAction{AppendEntry{Entry{Kind: EntryActivate, Number: g.newest}}}
}

// wanted takes a proposal; it waits until the one before it is in force.
func (g *Coordinator) wanted(now time.Duration, ev ProposalReceived) []CoordinatorAction {
	outcome := Outcome{ID: ev.Entry.ID}
	switch {
	case !g.leads:
		outcome.Error = ErrNotLeader.Error()
	case ev.Entry.ID == "" || len(ev.Entry.ID) > mostWords || ev.Entry.Kind != EntryPropose && ev.Entry.Kind != EntryRollback:
		outcome.Error = "proposal: id: missing, or not a proposal"
	case len(g.proposals)+len(g.appended) >= mostWaiting/16:
		outcome.Error = "too many proposals wait"
	default:
		g.proposals = append(g.proposals, proposal{ev.CallID, now, ev.Entry})
		return nil
	}
	return []CoordinatorAction{SendOutcome{ev.CallID, outcome}}
}

// admit writes the next proposal, one at a time.
func (g *Coordinator) admit() []CoordinatorAction {
	if len(g.proposals) == 0 || len(g.appended) > 0 || g.newest > g.settled || g.lineage == "" {
		return nil
	}
	p := g.proposals[0]
	g.proposals = g.proposals[1:]
	g.appended[p.entry.ID] = p
	return []CoordinatorAction{AppendEntry{p.entry}}
}

// gone forgets a proposal that nobody waits for; one that is written already stays so.
func (g *Coordinator) gone(call uint64) {
	g.proposals = slices.DeleteFunc(g.proposals, func(p proposal) bool { return p.call == call })
	maps.DeleteFunc(g.appended, func(_ string, p proposal) bool { return p.call == call })
}

// forget drops sessions without a term that have been silent for long.
func (g *Coordinator) forget(now time.Duration) {
	maps.DeleteFunc(g.sessions, func(_ string, s *Session) bool { return now >= max(s.Expiry, s.LastRenewal)+keepsSessions })
}

// Sessions lists who is known, by name.
func (g *Coordinator) Sessions(now time.Duration) []Session {
	list, twins := make([]Session, 0, len(g.sessions)), map[string]int{}
	for _, s := range g.sessions {
		if s.Expiry > now {
			twins[s.Name]++
		}
	}
	for _, s := range g.sessions {
		c := *s
		c.RemainingMillis, c.SilentMillis = max(0, s.Expiry-now).Milliseconds(), (now - s.LastRenewal).Milliseconds()
		c.DuplicateName = twins[s.Name] > 1
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
func (g *Coordinator) NextDeadline(now time.Duration) time.Duration {
	at := now + g.Durations.RenewInterval
	if g.settled < g.newest {
		for _, s := range g.sessions {
			if s.Expiry > now && s.KnownVersion < g.newest {
				at = min(at, s.Expiry)
			}
		}
		if g.free > now {
			at = min(at, g.free)
		}
	}
	if len(g.confirm) > 0 {
		at = min(at, g.sentAt+g.Durations.ReplyTimeout)
	}
	return max(at, now+time.Millisecond)
}

// Package seat is one process of the control group as a state machine: the replicated log (consensus), the versions that it holds
// (agree.Register) and, while this process leads, the terms of the routers (agree.Group). Step takes what happened and returns what
// to do, in an order that has to be kept: what is saved is synced before anything behind it is done, and a process whose disk fails
// does nothing more. There is no I/O and no clock here, so the same code runs in the service and under a simulated clock.
package seat

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"bankledge/internal/agree"
	"bankledge/internal/consensus"
	"bankledge/internal/version"
)

// Member is where a process of the group is found.
type Member struct {
	Peer   string `json:"peer"`   // by the others
	Client string `json:"client"` // by routers and operators
	Votes  bool   `json:"votes"`  // else it listens, until it has caught up
}

// Settings of a process.
type Settings struct {
	Node    consensus.Settings
	Spans   agree.Spans
	Guards  version.Guards
	Founded map[uint64]Member // the processes that found the group, or those that there are, for who joins later
	Joins   bool              // the group is there already
	Lineage string            // that a group gets that is founded now
	Compact uint64            // entries after which the log is replaced by a snapshot
}

// Check tells what is wrong; an error names the field.
func (s *Settings) Check() error {
	if err := s.Spans.Check(); err != nil {
		return fmt.Errorf("spans: %w", err)
	}
	if err := s.Node.Check(); err != nil {
		return err
	}
	if !s.Joins && s.Founded[s.Node.ID] == (Member{}) {
		return fmt.Errorf("members: process %d is none of them", s.Node.ID)
	}
	if s.Lineage == "" {
		return errors.New("lineage: missing")
	}
	if !(s.Guards.MostGone > 0 && s.Guards.MostGone <= 1) {
		return fmt.Errorf("most_gone: %v is not above 0 and up to 1", s.Guards.MostGone)
	}
	return nil
}

// kept is what a snapshot holds.
type kept struct {
	Register json.RawMessage   `json:"register"`
	Members  map[uint64]Member `json:"members"`
}

// Seat is one process.
type Seat struct {
	Settings
	node     *consensus.Node
	register agree.Register
	group    *agree.Group
	members  map[uint64]Member
	now      time.Duration
	led      bool
	lastTerm uint64           // of the last entry that was applied
	reads    []consensus.Read // confirmed, once the log is applied so far
	adding   map[uint64]agree.Outcome
	snapped  uint64 // index of the last snapshot
	promoted map[uint64]time.Duration
}

// Event is something that happened.
type Event interface{ event() }

// The events.
type (
	// Received is a message from another process.
	Received struct{ Message *pb.Message }
	// Unreachable tells that another one was not reached; Snapshot: it was to get one.
	Unreachable struct {
		ID       uint64
		Snapshot bool
	}
	// Reached tells that a snapshot was passed on whole.
	Reached struct{ ID uint64 }
	// Router is a renewal or a proposal, or that nobody waits for its answer.
	Router struct{ Event agree.GroupEvent }
	// Join asks for a change of the members; Call says whom to answer.
	Join struct {
		Call   uint64
		ID     uint64
		Member Member
		Remove bool
	}
	// Tick lets time pass.
	Tick struct{}
)

func (Received) event()    {}
func (Unreachable) event() {}
func (Reached) event()     {}
func (Router) event()      {}
func (Join) event()        {}
func (Tick) event()        {}

// Action is something to be done.
type Action interface{ action() }

// The actions.
type (
	// Save keeps a change on disk; it is synced before the next action.
	Save struct{ Change consensus.State }
	// Send sends a message to another process.
	Send struct{ Message *pb.Message }
	// Group is an answer to a router or an operator: agree.Answer or agree.Tell.
	Group struct{ Action agree.GroupAction }
	// Publish tells that there is news for who follows the versions.
	Publish struct{}
	// Moved tells that this process leads now, or no longer.
	Moved struct{ Role consensus.Role }
	// Changed tells that members came or went.
	Changed struct{ Members map[uint64]Member }
)

func (Save) action()    {}
func (Send) action()    {}
func (Group) action()   {}
func (Publish) action() {}
func (Moved) action()   {}
func (Changed) action() {}

// New takes a seat up again, or founds it. The actions have to be done before anything else.
func New(s Settings, on consensus.State, now time.Duration) (*Seat, []Action, error) {
	if err := s.Check(); err != nil {
		return nil, nil, err
	}
	t := &Seat{Settings: s, register: agree.Register{Guards: s.Guards}, group: agree.NewGroup(s.Spans), members: maps.Clone(s.Founded),
		adding: map[uint64]agree.Outcome{}, promoted: map[uint64]time.Duration{}}
	if t.members == nil {
		t.members = map[uint64]Member{}
	}
	if !s.Joins {
		t.Node.Voters = slices.Sorted(maps.Keys(s.Founded))
	}
	founding := on.Hard == nil && on.Snapshot == nil && len(on.Entries) == 0 && !s.Joins
	applied := on.Snapshot.GetMetadata().GetIndex()
	if raw := on.Snapshot.GetData(); len(raw) > 0 {
		if err := t.restore(raw); err != nil {
			return nil, nil, err
		}
	}
	t.snapped, t.now = applied, now
	var err error
	if t.node, err = consensus.New(t.Node, on, applied, now); err != nil {
		return nil, nil, err
	}
	var do []Action
	if founding {
		do = append(do, Save{t.node.Founding()})
	}
	return t, last(append(do, t.after(now)...)), nil
}

func (t *Seat) restore(raw []byte) error {
	var k kept
	if err := json.Unmarshal(raw, &k); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := t.register.Restore(k.Register); err != nil {
		return err
	}
	t.members = k.Members
	for id, own := range t.Founded { // where a process finds those that its own settings name is its own matter
		if m, is := t.members[id]; is {
			m.Peer, m.Client = own.Peer, own.Client
			t.members[id] = m
		}
	}
	return nil
}

// Step takes what happened now and returns what to do, in order.
func (t *Seat) Step(now time.Duration, event Event) (do []Action) {
	t.now = now
	switch ev := event.(type) {
	case Received:
		if t.node.Receive(now, ev.Message) != nil {
			return nil // it makes no sense to this process: as if it had been lost
		}
	case Unreachable:
		if t.node.Unreachable(ev.ID); ev.Snapshot {
			t.node.SnapshotSent(ev.ID, false)
		}
	case Reached:
		t.node.SnapshotSent(ev.ID, true)
	case Router:
		do = t.act(t.group.Step(now, ev.Event))
	case Join:
		do = t.join(ev)
	case Tick:
		t.node.Tick(now)
		t.promote(now)
		do = t.act(t.group.Step(now, agree.Tick{}))
	}
	return last(append(do, t.after(now)...))
}

// last moves what tells of the state behind all that is saved: the state is the one at the end, and who hears of a version
// before it is synced could hear of two that have one number.
func last(do []Action) []Action {
	news := false
	do = slices.DeleteFunc(do, func(a Action) bool {
		_, is := a.(Publish)
		news = news || is
		return is
	})
	if news {
		do = append(do, Publish{})
	}
	return do
}

// after carries out what the log asks for, until it asks for nothing more.
func (t *Seat) after(now time.Duration) (do []Action) {
	for {
		e := t.node.Effects(now)
		if !e.Any() {
			t.node.Done()
			return do
		}
		if e.Sync {
			do = append(do, Save{e.Persist})
		}
		for _, m := range e.Send {
			do = append(do, Send{m})
		}
		if e.Snapshot != nil && len(e.Snapshot.GetData()) > 0 {
			if err := t.restore(e.Snapshot.GetData()); err != nil {
				panic(err) // checked before it was kept, and by its checksum since
			}
			t.snapped = e.Snapshot.GetMetadata().GetIndex()
			do = append(do, Publish{}, Changed{maps.Clone(t.members)})
		}
		if e.Role != nil {
			do = append(do, t.moved(now, *e.Role)...)
		}
		do = append(do, t.apply(now, e.Committed)...)
		t.node.Done()
		t.reads = append(t.reads, e.Reads...)
		t.reads = slices.DeleteFunc(t.reads, func(r consensus.Read) bool {
			if r.Index > t.node.Index() {
				return false
			}
			do = append(do, t.act(t.group.Step(now, agree.Confirmed{Token: r.Token}))...)
			return true
		})
		do = append(do, t.compact()...)
	}
}

// moved takes a change of role. To lead counts only once all that is committed is applied.
func (t *Seat) moved(now time.Duration, role consensus.Role) (do []Action) {
	if !role.Leads && t.led {
		t.led, t.reads = false, nil
		do = t.act(t.group.Step(now, agree.Deposed{}))
		for _, call := range slices.Sorted(maps.Keys(t.adding)) {
			do = append(do, Group{agree.Tell{Call: call, Outcome: agree.Outcome{Error: agree.ErrNotLeading.Error()}}})
		}
		clear(t.adding)
	}
	if role.Leads { // its own first entry may have been applied before it fell silent and was heard again
		do = append(do, t.lead(now, role.Term)...)
	}
	return append(do, Moved{role})
}

// lead begins to lead once an entry of this term is applied: then all that earlier leaders committed is.
func (t *Seat) lead(now time.Duration, term uint64) []Action {
	if t.led || t.lastTerm != term {
		return nil
	}
	t.led = true
	do := t.act(t.group.Step(now, agree.Led{}))
	if t.register.Lineage == "" {
		do = append(do, t.act([]agree.GroupAction{agree.Append{Entry: agree.Entry{Kind: agree.Found, Name: t.Lineage}}})...)
	}
	return do
}

// apply applies what is committed.
func (t *Seat) apply(now time.Duration, entries []*pb.Entry) (do []Action) {
	if len(entries) == 0 {
		return nil
	}
	var outcomes []agree.Outcome
	for _, e := range entries {
		t.lastTerm = e.GetTerm()
		switch {
		case e.GetType() != pb.EntryNormal:
			do = append(do, t.change(e)...)
		case len(e.GetData()) > 0:
			if o, is := t.register.Apply(e.GetData()); is {
				outcomes = append(outcomes, o)
			}
		}
	}
	news := agree.Applied{Lineage: t.register.Lineage, Newest: t.register.Number(), Settled: t.register.Settled, Outcomes: outcomes}
	if v := t.register.Newest(); v != nil {
		news.Hash = v.Hash
	}
	do = append(do, t.act(t.group.Step(now, news))...)
	if role := t.node.Role(); role.Leads {
		do = append(do, t.lead(now, role.Term)...)
	}
	return append(do, Publish{})
}

// act carries out what the group's side asks for.
func (t *Seat) act(list []agree.GroupAction) (do []Action) {
	for _, a := range list {
		switch a := a.(type) {
		case agree.Confirm:
			t.node.Confirm(a.Token)
		case agree.Append:
			raw, err := json.Marshal(a.Entry)
			if err == nil {
				err = t.node.Propose(raw)
			}
			if err != nil && a.Entry.ID != "" { // else it is asked for again by itself
				do = append(do, t.act(t.group.Step(t.now, agree.Dropped{ID: a.Entry.ID, Err: err}))...)
			}
		default:
			do = append(do, Group{a})
		}
	}
	return do
}

// ---- members ----

// context is what a change of members is kept with.
type context struct {
	Call   uint64 `json:"call"`
	By     uint64 `json:"by"`
	Member Member `json:"member"`
}

// join asks for a change: one at a time. Who is new listens first, and votes once it has caught up.
func (t *Seat) join(ev Join) []Action {
	fail := func(text string, args ...any) []Action {
		return []Action{Group{agree.Tell{Call: ev.Call, Outcome: agree.Outcome{Error: fmt.Sprintf(text, args...)}}}}
	}
	old, known := t.members[ev.ID]
	switch {
	case !t.led:
		return fail("%v", agree.ErrNotLeading)
	case ev.Remove && !known:
		return fail("process %d is no member", ev.ID)
	case ev.Remove && old.Votes && len(t.node.Members().GetVoters()) == 1:
		return fail("process %d is the only one that votes", ev.ID)
	case !ev.Remove && (ev.ID == 0 || ev.Member.Peer == "" || ev.Member.Client == ""):
		return fail("a member needs an id, and addresses for the others and for routers")
	case !ev.Remove && known:
		return fail("process %d is a member already: remove it first, and add it anew under another id", ev.ID)
	case len(t.adding) > 0:
		return fail("another change of members is under way")
	}
	raw, err := json.Marshal(context{ev.Call, t.Node.ID, ev.Member})
	if err == nil {
		err = t.node.ProposeChange(consensus.Change{ID: ev.ID, Remove: ev.Remove}, raw)
	}
	if err != nil {
		return fail("%v", err)
	}
	t.adding[ev.Call] = agree.Outcome{}
	return nil
}

// change applies a change of members.
func (t *Seat) change(e *pb.Entry) (do []Action) {
	cc, state, err := t.node.ApplyChange(e)
	if err != nil {
		return nil
	}
	var c context
	json.Unmarshal(cc.GetContext(), &c)
	id := cc.GetNodeId()
	switch cc.GetType() {
	case pb.ConfChangeRemoveNode:
		delete(t.members, id)
	case pb.ConfChangeAddLearnerNode:
		t.members[id] = Member{Peer: c.Member.Peer, Client: c.Member.Client}
	}
	for id, m := range t.members {
		m.Votes = slices.Contains(state.GetVoters(), id)
		t.members[id] = m
	}
	if _, waits := t.adding[c.Call]; waits && c.By == t.Node.ID {
		delete(t.adding, c.Call)
		do = append(do, Group{agree.Tell{Call: c.Call, Outcome: agree.Outcome{Number: id}}})
	}
	return append(do, Changed{maps.Clone(t.members)})
}

const closeBy = 16 // entries that a listener may lack when it gets its vote

// promote lets a listener vote once it has caught up.
func (t *Seat) promote(now time.Duration) {
	if !t.led {
		return
	}
	for _, id := range t.node.Members().GetLearners() {
		behind, known := t.node.Behind(id)
		if known && behind <= closeBy && now >= t.promoted[id]+t.Node.Election {
			t.promoted[id] = now
			t.node.ProposeChange(consensus.Change{ID: id, Votes: true}, nil)
		}
	}
}

// compact replaces the log by a snapshot now and then.
func (t *Seat) compact() []Action {
	if t.Compact == 0 || t.node.Index() < t.snapped+t.Compact {
		return nil
	}
	raw, err := json.Marshal(kept{t.register.Snapshot(), t.members})
	if err != nil {
		panic(err)
	}
	snap, err := t.node.Compact(raw, t.Compact)
	if err != nil {
		if !errors.Is(err, raft.ErrSnapOutOfDate) {
			panic(err)
		}
		return nil
	}
	t.snapped = t.node.Index()
	return []Action{Save{consensus.State{Snapshot: snap}}}
}

// ---- what others may see ----

// Register is the state that is replicated. It is not to be changed.
func (t *Seat) Register() *agree.Register { return &t.register }

// Members are the processes of the group.
func (t *Seat) Members() map[uint64]Member { return t.members }

// Leads tells whether this process leads and serves routers.
func (t *Seat) Leads() bool { return t.led }

// Role is what the log holds it to be.
func (t *Seat) Role() consensus.Role { return t.node.Role() }

// Sessions lists the routers that this leader knows.
func (t *Seat) Sessions(now time.Duration) []agree.Session { return t.group.Sessions(now) }

// Wake is when Step has to be called at the latest.
func (t *Seat) Wake(now time.Duration) time.Duration {
	at := t.node.Wake()
	if t.led {
		at = min(at, t.group.Wake(now))
	}
	return at
}

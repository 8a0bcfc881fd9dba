// Package seat is one process of the control group as a state machine: the replicated log (consensus), the versions that it holds
// (agree.Register) and, while this process leads, the terms of the routers (agree.Group). Step takes what happened and returns what
// to do, in an order that has to be kept: what is saved is synced before anything behind it is done, and a process whose disk fails
// does nothing more. There is no I/O and no clock here, so the same code runs in the service and under a simulated clock.
package replica

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"bankledge/internal/configregister"
	"bankledge/internal/configversion"
	"bankledge/internal/consensus"
	"bankledge/internal/lease"
)

// Member is where a process of the group is found.
type Member struct {
	Peer   string `json:"peer"`   // by the others
	Client string `json:"client"` // by routers and operators
	Voter  bool   `json:"votes"`  // else it listens, until it has caught up
}

// Settings of a process.
type Settings struct {
	Consensus          consensus.Settings
	LeaseDurations     lease.Durations
	Guards             configversion.Guards
	InitialMembers     map[uint64]Member // the processes that found the group, or those that there are, for who joins later
	Joining            bool              // the group is there already
	Lineage            string            // that a group gets that is founded now
	CompactionInterval uint64            // entries after which the log is replaced by a snapshot
}

// Check tells what is wrong; an error names the field.
func (s *Settings) Validate() error {
	if err := s.LeaseDurations.Validate(); err != nil {
		return fmt.Errorf("spans: %w", err)
	}
	if err := s.Consensus.Validate(); err != nil {
		return err
	}
	if !s.Joining && s.InitialMembers[s.Consensus.ID] == (Member{}) {
		return fmt.Errorf("members: process %d is none of them", s.Consensus.ID)
	}
	if s.Lineage == "" {
		return errors.New("lineage: missing")
	}
	if !(s.Guards.MaxRemovedShare > 0 && s.Guards.MaxRemovedShare <= 1) {
		return fmt.Errorf("most_gone: %v is not above 0 and up to 1", s.Guards.MaxRemovedShare)
	}
	return nil
}

// kept is what a snapshot holds.
type kept struct {
	Register json.RawMessage   `json:"register"`
	Members  map[uint64]Member `json:"members"`
}

// Seat is one process.
type Replica struct {
	Settings
	node     *consensus.Node
	register configregister.Register
	group    *lease.Coordinator
	members  map[uint64]Member
	now      time.Duration
	led      bool
	lastTerm uint64                    // of the last entry that was applied
	reads    []consensus.ConfirmedRead // confirmed, once the log is applied so far
	adding   map[uint64]configregister.Outcome
	snapped  uint64 // index of the last snapshot
	promoted map[uint64]time.Duration
}

// Event is something that happened.
type Event interface{ event() }

// The events.
type (
	// Received is a message from another process.
	MessageReceived struct{ Message *pb.Message }
	// Unreachable tells that another one was not reached; Snapshot: it was to get one.
	PeerUnreachable struct {
		PeerID       uint64
		SnapshotLost bool
	}
	// Reached tells that a snapshot was passed on whole.
	SnapshotDelivered struct{ PeerID uint64 }
	// Router is a renewal or a proposal, or that nobody waits for its answer.
	LeaseRequest struct{ Event lease.CoordinatorEvent }
	// Join asks for a change of the members; Call says whom to answer.
	MembershipRequest struct {
		CallID   uint64
		MemberID uint64
		Member   Member
		Remove   bool
	}
	// Tick lets time pass.
	Tick struct{}
)

func (MessageReceived) event()   {}
func (PeerUnreachable) event()   {}
func (SnapshotDelivered) event() {}
func (LeaseRequest) event()      {}
func (MembershipRequest) event() {}
func (Tick) event()              {}

// Action is something to be done.
type Action interface{ action() }

// The actions.
type (
	// Save keeps a change on disk; it is synced before the next action.
	Persist struct{ State consensus.PersistentState }
	// Send sends a message to another process.
	SendMessage struct{ Message *pb.Message }
	// Group is an answer to a router or an operator: agree.Answer or agree.Tell.
	LeaseResponse struct{ Action lease.CoordinatorAction }
	// Publish tells that there is news for who follows the versions.
	PublishState struct{}
	// Moved tells that this process leads now, or no longer.
	RoleChanged struct{ Role consensus.Role }
	// Changed tells that members came or went.
	MembershipChanged struct{ Members map[uint64]Member }
)

func (Persist) action()           {}
func (SendMessage) action()       {}
func (LeaseResponse) action()     {}
func (PublishState) action()      {}
func (RoleChanged) action()       {}
func (MembershipChanged) action() {}

// New takes a seat up again, or founds it. The actions have to be done before anything else.
func New(s Settings, on consensus.PersistentState, now time.Duration) (*Replica, []Action, error) {
	if err := s.Validate(); err != nil {
		return nil, nil, err
	}
	t := &Replica{Settings: s, register: configregister.Register{Guards: s.Guards}, group: lease.NewCoordinator(s.LeaseDurations), members: maps.Clone(s.InitialMembers),
		adding: map[uint64]configregister.Outcome{}, promoted: map[uint64]time.Duration{}}
	if t.members == nil {
		t.members = map[uint64]Member{}
	}
	if !s.Joining {
		t.Consensus.Voters = slices.Sorted(maps.Keys(s.InitialMembers))
	}
	founding := on.HardState == nil && on.Snapshot == nil && len(on.Entries) == 0 && !s.Joining
	applied := on.Snapshot.GetMetadata().GetIndex()
	if raw := on.Snapshot.GetData(); len(raw) > 0 {
		if err := t.restore(raw); err != nil {
			return nil, nil, err
		}
	}
	t.snapped, t.now = applied, now
	var err error
	if t.node, err = consensus.New(t.Consensus, on, applied, now); err != nil {
		return nil, nil, err
	}
	var do []Action
	if founding {
		do = append(do, Persist{t.node.InitialState()})
	}
	return t, last(append(do, t.after(now)...)), nil
}

func (t *Replica) restore(raw []byte) error {
	var k kept
	if err := json.Unmarshal(raw, &k); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := t.register.Restore(k.Register); err != nil {
		return err
	}
	t.members = k.Members
	for id, own := range t.InitialMembers { // where a process finds those that its own settings name is its own matter
		if m, is := t.members[id]; is {
			m.Peer, m.Client = own.Peer, own.Client
			t.members[id] = m
		}
	}
	return nil
}

// Step takes what happened now and returns what to do, in order.
func (t *Replica) Step(now time.Duration, event Event) (do []Action) {
	t.now = now
	switch ev := event.(type) {
	case MessageReceived:
		if t.node.Receive(now, ev.Message) != nil {
			return nil // it makes no sense to this process: as if it had been lost
		}
	case PeerUnreachable:
		if t.node.ReportUnreachable(ev.PeerID); ev.SnapshotLost {
			t.node.ReportSnapshot(ev.PeerID, false)
		}
	case SnapshotDelivered:
		t.node.ReportSnapshot(ev.PeerID, true)
	case LeaseRequest:
		do = t.act(t.group.Step(now, ev.Event))
	case MembershipRequest:
		do = t.join(ev)
	case Tick:
		t.node.Tick(now)
		t.promote(now)
		do = t.act(t.group.Step(now, lease.CoordinatorTick{}))
	}
	return last(append(do, t.after(now)...))
}

// last moves what tells of the state behind all that is saved: the state is the one at the end, and who hears of a version
// before it is synced could hear of two that have one number.
func last(do []Action) []Action {
	news := false
	do = slices.DeleteFunc(do, func(a Action) bool {
		_, is := a.(PublishState)
		news = news || is
		return is
	})
	if news {
		do = append(do, PublishState{})
	}
	return do
}

// after carries out what the log asks for, until it asks for nothing more.
func (t *Replica) after(now time.Duration) (do []Action) {
	for {
		e := t.node.Effects(now)
		if !e.HasWork() {
			t.node.Advance()
			return do
		}
		if e.MustSync {
			do = append(do, Persist{e.Persist})
		}
		for _, m := range e.Messages {
			do = append(do, SendMessage{m})
		}
		if e.Snapshot != nil && len(e.Snapshot.GetData()) > 0 {
			if err := t.restore(e.Snapshot.GetData()); err != nil {
				panic(err) // checked before it was kept, and by its checksum since
			}
			t.snapped = e.Snapshot.GetMetadata().GetIndex()
			do = append(do, PublishState{}, MembershipChanged{maps.Clone(t.members)})
		}
		if e.RoleChange != nil {
			do = append(do, t.moved(now, *e.RoleChange)...)
		}
		do = append(do, t.apply(now, e.CommittedEntries)...)
		t.node.Advance()
		t.reads = append(t.reads, e.ConfirmedReads...)
		t.reads = slices.DeleteFunc(t.reads, func(r consensus.ConfirmedRead) bool {
			if r.Index > t.node.AppliedIndex() {
				return false
			}
			do = append(do, t.act(t.group.Step(now, lease.LeadershipConfirmed{Token: r.Token}))...)
			return true
		})
		do = append(do, t.compact()...)
	}
}

// moved takes a change of role. To lead counts only once all that is committed is applied.
func (t *Replica) moved(now time.Duration, role consensus.Role) (do []Action) {
	if !role.IsLeader && t.led {
		t.led, t.reads = false, nil
		do = t.act(t.group.Step(now, lease.LeadershipLost{}))
		for _, call := range slices.Sorted(maps.Keys(t.adding)) {
			do = append(do, LeaseResponse{lease.SendOutcome{CallID: call, Outcome: configregister.Outcome{Error: lease.ErrNotLeader.Error()}}})
		}
		clear(t.adding)
	}
	if role.IsLeader { // its own first entry may have been applied before it fell silent and was heard again
		do = append(do, t.lead(now, role.Term)...)
	}
	return append(do, RoleChanged{role})
}

// lead begins to lead once an entry of this term is applied: then all that earlier leaders committed is.
func (t *Replica) lead(now time.Duration, term uint64) []Action {
	if t.led || t.lastTerm != term {
		return nil
	}
	t.led = true
	do := t.act(t.group.Step(now, lease.LeadershipGained{}))
	if t.register.Lineage == "" {
		do = append(do, t.act([]lease.CoordinatorAction{lease.AppendEntry{Entry: configregister.Entry{Kind: configregister.EntryFound, Lineage: t.Lineage}}})...)
	}
	return do
}

// apply applies what is committed.
func (t *Replica) apply(now time.Duration, entries []*pb.Entry) (do []Action) {
	if len(entries) == 0 {
		return nil
	}
	var outcomes []configregister.Outcome
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
	news := lease.StateApplied{Lineage: t.register.Lineage, Newest: t.register.NewestNumber(), Activated: t.register.Activated, Outcomes: outcomes}
	if v := t.register.Newest(); v != nil {
		news.Hash = v.Hash
	}
	do = append(do, t.act(t.group.Step(now, news))...)
	if role := t.node.Role(); role.IsLeader {
		do = append(do, t.lead(now, role.Term)...)
	}
	return append(do, PublishState{})
}

// act carries out what the group's side asks for.
func (t *Replica) act(list []lease.CoordinatorAction) (do []Action) {
	for _, a := range list {
		switch a := a.(type) {
		case lease.ConfirmLeadership:
			t.node.RequestReadConfirmation(a.Token)
		case lease.AppendEntry:
			raw, err := json.Marshal(a.Entry)
			if err == nil {
				err = t.node.Propose(raw)
			}
			if err != nil && a.Entry.ID != "" { // else it is asked for again by itself
				do = append(do, t.act(t.group.Step(t.now, lease.AppendFailed{ProposalID: a.Entry.ID, Err: err}))...)
			}
		default:
			do = append(do, LeaseResponse{a})
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
func (t *Replica) join(ev MembershipRequest) []Action {
	fail := func(text string, args ...any) []Action {
		return []Action{LeaseResponse{lease.SendOutcome{CallID: ev.CallID, Outcome: configregister.Outcome{Error: fmt.Sprintf(text, args...)}}}}
	}
	old, known := t.members[ev.MemberID]
	switch {
	case !t.led:
		return fail("%v", lease.ErrNotLeader)
	case ev.Remove && !known:
		return fail("process %d is no member", ev.MemberID)
	case ev.Remove && old.Voter && len(t.node.ConfState().GetVoters()) == 1:
		return fail("process %d is the only one that votes", ev.MemberID)
	case !ev.Remove && (ev.MemberID == 0 || ev.Member.Peer == "" || ev.Member.Client == ""):
		return fail("a member needs an id, and addresses for the others and for routers")
	case !ev.Remove && known:
		return fail("process %d is a member already: remove it first, and add it anew under another id", ev.MemberID)
	case len(t.adding) > 0:
		return fail("another change of members is under way")
	}
	raw, err := json.Marshal(context{ev.CallID, t.Consensus.ID, ev.Member})
	if err == nil {
		err = t.node.ProposeMembershipChange(consensus.MembershipChange{ID: ev.MemberID, Remove: ev.Remove}, raw)
	}
	if err != nil {
		return fail("%v", err)
	}
	t.adding[ev.CallID] = configregister.Outcome{}
	return nil
}

// change applies a change of members.
func (t *Replica) change(e *pb.Entry) (do []Action) {
	cc, state, err := t.node.ApplyMembershipChange(e)
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
		m.Voter = slices.Contains(state.GetVoters(), id)
		t.members[id] = m
	}
	if _, waits := t.adding[c.Call]; waits && c.By == t.Consensus.ID {
		delete(t.adding, c.Call)
		do = append(do, LeaseResponse{lease.SendOutcome{CallID: c.Call, Outcome: configregister.Outcome{Number: id}}})
	}
	return append(do, MembershipChanged{maps.Clone(t.members)})
}

const closeBy = 16 // entries that a listener may lack when it gets its vote

// promote lets a listener vote once it has caught up.
func (t *Replica) promote(now time.Duration) {
	if !t.led {
		return
	}
	for _, id := range t.node.ConfState().GetLearners() {
		behind, known := t.node.ReplicationLag(id)
		if known && behind <= closeBy && now >= t.promoted[id]+t.Consensus.ElectionTimeout {
			t.promoted[id] = now
			t.node.ProposeMembershipChange(consensus.MembershipChange{ID: id, Voter: true}, nil)
		}
	}
}

// compact replaces the log by a snapshot now and then.
func (t *Replica) compact() []Action {
	if t.CompactionInterval == 0 || t.node.AppliedIndex() < t.snapped+t.CompactionInterval {
		return nil
	}
	raw, err := json.Marshal(kept{t.register.Snapshot(), t.members})
	if err != nil {
		panic(err)
	}
	snap, err := t.node.Compact(raw, t.CompactionInterval)
	if err != nil {
		if !errors.Is(err, raft.ErrSnapOutOfDate) {
			panic(err)
		}
		return nil
	}
	t.snapped = t.node.AppliedIndex()
	return []Action{Persist{consensus.PersistentState{Snapshot: snap}}}
}

// ---- what others may see ----

// Register is the state that is replicated. It is not to be changed.
func (t *Replica) Register() *configregister.Register { return &t.register }

// Members are the processes of the group.
func (t *Replica) Members() map[uint64]Member { return t.members }

// Leads tells whether this process leads and serves routers.
func (t *Replica) IsLeader() bool { return t.led }

// Role is what the log holds it to be.
func (t *Replica) Role() consensus.Role { return t.node.Role() }

// Sessions lists the routers that this leader knows.
func (t *Replica) Sessions(now time.Duration) []lease.Session { return t.group.Sessions(now) }

// Wake is when Step has to be called at the latest.
func (t *Replica) NextDeadline(now time.Duration) time.Duration {
	at := t.node.NextDeadline()
	if t.led {
		at = min(at, t.group.NextDeadline(now))
	}
	return at
}

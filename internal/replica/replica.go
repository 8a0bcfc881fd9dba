// Package replica implements one process of the control group as a state machine. It combines the replicated log (package consensus), the
// register of configuration versions that results from the log, and, while the process leads, the lease coordinator.
//
// Step takes an event and returns actions, which have to be carried out in order. Persist has to be synced before any later action, and a
// process whose disk fails must not carry out further actions. The package does no I/O and reads no clock, so the same code runs in the service
// and in the simulation.
package replica

import (
	"maps"
	"slices"
	"time"

	"bankledge/internal/configregister"
	"bankledge/internal/consensus"
	"bankledge/internal/lease"
)

// Replica is one process of the group. It is not safe for concurrent use.
type Replica struct {
	settings    Settings
	node        *consensus.Node
	register    configregister.Register
	coordinator *lease.Coordinator
	members     map[uint64]Member

	now             time.Duration             // of the last Step
	isLeader        bool                      // leads, and has applied all entries that earlier leaders committed
	lastAppliedTerm uint64                    // term of the last applied entry
	confirmedReads  []consensus.ConfirmedRead // waiting until the log is applied up to their index
	snapshotIndex   uint64                    // of the last snapshot
	// appliedLegacyEntry is set when, after the last snapshot, an entry of an earlier version of this program was applied: one without
	// MaxRemovedShare.
	appliedLegacyEntry bool
	pendingChanges     map[uint64]struct{}      // ids of the calls that wait for their membership change
	lastPromotion      map[uint64]time.Duration // when the promotion of a learner was proposed last, by id
}

// New restores a process from its stored state. If that state is empty and the process is not joining a group, New makes it an initial member
// of a new group. now is the time of the caller's monotonic clock. The actions have to be carried out before the first Step.
func New(settings Settings, stored consensus.PersistentState, now time.Duration) (*Replica, []Action, error) {
	if err := settings.Validate(); err != nil {
		return nil, nil, err
	}
	r := &Replica{
		settings:       settings,
		register:       configregister.Register{Guards: settings.Guards},
		coordinator:    lease.NewCoordinator(settings.LeaseDurations),
		members:        map[uint64]Member{},
		now:            now,
		snapshotIndex:  stored.Snapshot.GetMetadata().GetIndex(),
		pendingChanges: map[uint64]struct{}{},
		lastPromotion:  map[uint64]time.Duration{},
	}
	maps.Copy(r.members, settings.InitialMembers)
	if data := stored.Snapshot.GetData(); len(data) > 0 {
		if err := r.restore(data); err != nil {
			return nil, nil, err
		}
	}
	nodeSettings := settings.Consensus
	if !settings.Joining {
		nodeSettings.Voters = slices.Sorted(maps.Keys(settings.InitialMembers))
	}
	var err error
	r.node, err = consensus.New(nodeSettings, stored, r.snapshotIndex, now)
	if err != nil {
		return nil, nil, err
	}
	var actions []Action
	isNewGroup := stored.HardState == nil && stored.Snapshot == nil && len(stored.Entries) == 0 && !settings.Joining
	if isNewGroup {
		actions = append(actions, Persist{r.node.InitialState()})
	}
	actions = append(actions, r.processLog(now)...)
	return r, publishLast(actions), nil
}

// Step handles an event at a time of the caller's monotonic clock, and returns the actions to carry out, in order.
func (r *Replica) Step(now time.Duration, event Event) []Action {
	r.now = now
	var actions []Action
	switch event := event.(type) {
	case MessageReceived:
		if err := r.node.Receive(now, event.Message); err != nil {
			return nil // as if the network had lost it
		}
	case PeerUnreachable:
		r.node.ReportUnreachable(event.PeerID)
		if event.SnapshotLost {
			r.node.ReportSnapshot(event.PeerID, false)
		}
	case SnapshotDelivered:
		r.node.ReportSnapshot(event.PeerID, true)
	case LeaseRequest:
		actions = r.stepCoordinator(event.Event)
	case MembershipRequest:
		actions = r.requestMembershipChange(event)
	case Tick:
		r.node.Tick(now)
		r.promoteLearners(now)
		actions = r.stepCoordinator(lease.CoordinatorTick{})
	}
	actions = append(actions, r.processLog(now)...)
	return publishLast(actions)
}

// publishLast replaces all PublishState actions by one at the end. The published state is the one after all actions, and it must not be
// visible before Persist: a version that is published before it is synced could be lost, and its number given to another version.
func publishLast(actions []Action) []Action {
	publish := false
	actions = slices.DeleteFunc(actions, func(action Action) bool {
		_, isPublish := action.(PublishState)
		publish = publish || isPublish
		return isPublish
	})
	if publish {
		actions = append(actions, PublishState{})
	}
	return actions
}

// stepCoordinator passes an event to the lease coordinator, and carries out or returns the resulting actions.
func (r *Replica) stepCoordinator(event lease.CoordinatorEvent) []Action {
	return r.handleCoordinatorActions(r.coordinator.Step(r.now, event))
}

func (r *Replica) handleCoordinatorActions(requested []lease.CoordinatorAction) []Action {
	var actions []Action
	for _, request := range requested {
		switch request := request.(type) {
		case lease.ConfirmLeadership:
			r.node.RequestReadConfirmation(request.Token)
		case lease.AppendEntry:
			actions = append(actions, r.appendEntry(request.Entry)...)
		default:
			actions = append(actions, LeaseResponse{request})
		}
	}
	return actions
}

// Register returns the replicated state. The caller must not change it.
func (r *Replica) Register() *configregister.Register { return &r.register }

// Members returns the processes of the group by id. The caller must not change the map.
func (r *Replica) Members() map[uint64]Member { return r.members }

// IsLeader reports whether this process acts as the leader, that is, grants leases and accepts proposals.
func (r *Replica) IsLeader() bool { return r.isLeader }

// Role returns this process's role in the consensus protocol. Role.IsLeader becomes true before Replica.IsLeader, since the replica first has
// to apply all entries that earlier leaders committed.
func (r *Replica) Role() consensus.Role { return r.node.Role() }

// Sessions returns the sessions of the routers that this process knows as the leader.
func (r *Replica) Sessions(now time.Duration) []lease.Session { return r.coordinator.Sessions(now) }

// NextDeadline returns the latest time at which Step has to be called with a Tick.
func (r *Replica) NextDeadline(now time.Duration) time.Duration {
	deadline := r.node.NextDeadline()
	if r.isLeader {
		deadline = min(deadline, r.coordinator.NextDeadline(now))
	}
	return deadline
}

// Package replica is one process of the control group as a state machine. It combines the replicated log (consensus), the register of
// configuration versions that the log holds, and, while the process leads, the lease coordinator.
//
// Step takes an event and returns actions, which have to be carried out in order: what is persisted is synced before any action
// after it, and a process whose disk fails carries out no more actions. There is no I/O and no clock here, so the same code runs in the
// service and in the simulation.
package replica

import (
	"maps"
	"slices"
	"time"

	"bankledge/internal/configregister"
	"bankledge/internal/consensus"
	"bankledge/internal/lease"
)

// Replica is one process of the group. It is used by one goroutine.
type Replica struct {
	settings    Settings
	node        *consensus.Node
	register    configregister.Register
	coordinator *lease.Coordinator
	members     map[uint64]Member

	now             time.Duration             // of the last Step
	isLeader        bool                      // leads, and has applied what earlier leaders committed
	lastAppliedTerm uint64                    // of the last entry that was applied
	confirmedReads  []consensus.ConfirmedRead // that wait until the log is applied up to their index
	snapshotIndex   uint64                    // of the last snapshot
	// appliedEarlierFormat: since the last snapshot an entry was applied that holds no share.
	appliedEarlierFormat bool
	pendingChanges       map[uint64]struct{}      // calls that wait for their membership change
	lastPromotion        map[uint64]time.Duration // of a learner, when it was proposed last
}

// New restores a process from its stored state, or makes it a founding member of a group if that state is empty. now is the caller's
// monotonic clock. The actions have to be carried out before the first Step.
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
	founding := stored.HardState == nil && stored.Snapshot == nil && len(stored.Entries) == 0 && !settings.Joining
	if founding {
		actions = append(actions, Persist{r.node.InitialState()})
	}
	actions = append(actions, r.processLog(now)...)
	return r, publishLast(actions), nil
}

// Step handles an event at a time of the caller's monotonic clock, and returns what has to be done, in order.
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

// publishLast moves PublishState after all other actions, at most once: the state that it publishes is the one after all of them,
// and a version that is published before it is synced could be lost, and its number given to another one.
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

// stepCoordinator hands the lease coordinator an event, and carries out or returns the actions that it requests.
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

// Register is the replicated state. The caller must not change it.
func (r *Replica) Register() *configregister.Register { return &r.register }

// Members are the processes of the group by id. The caller must not change them.
func (r *Replica) Members() map[uint64]Member { return r.members }

// IsLeader reports whether this process leads and grants leases.
func (r *Replica) IsLeader() bool { return r.isLeader }

// Role is this process's role in the consensus protocol. Its IsLeader precedes that of the replica, which has to apply what earlier
// leaders committed first.
func (r *Replica) Role() consensus.Role { return r.node.Role() }

// Sessions lists the routers that this process knows as the leader.
func (r *Replica) Sessions(now time.Duration) []lease.Session { return r.coordinator.Sessions(now) }

// NextDeadline is when Step has to be called at the latest.
func (r *Replica) NextDeadline(now time.Duration) time.Duration {
	deadline := r.node.NextDeadline()
	if r.isLeader {
		deadline = min(deadline, r.coordinator.NextDeadline(now))
	}
	return deadline
}

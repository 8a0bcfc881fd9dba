package controlserver

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"bankledge/internal/consensus/store"
	"bankledge/internal/lease"
	"bankledge/internal/logevent"
	"bankledge/internal/replica"
)

// driver runs the replica: it passes messages and the current time to the replica and executes the replica's actions in order. Only the
// driver's goroutine accesses the replica and the calls, and saves to the storage.
type driver struct {
	replica *replica.Replica
	storage Storage
	mailbox *mailbox
	peers   *peerTransport
	state   *publishedState
	clock   func() time.Duration
	log     *zap.Logger
	calls   map[uint64]chan<- lease.CoordinatorAction // reply channels of the pending calls, by call id
}

// run handles messages until ctx is cancelled or the storage fails. The raft library panics when the leader refers to entries that this
// process has acknowledged but no longer has: its disk has then lost synced data, and the process must not continue.
func (d *driver) run(ctx context.Context, actions []replica.Action) (err error) {
	defer func() {
		if value := recover(); value != nil {
			d.log.Error(eventReplicatedLogPanicked, logevent.Panic(value), logevent.Stack())
			err = fmt.Errorf("%w: %v", store.ErrCorrupted, value)
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if err := d.execute(actions); err != nil {
			d.log.Error(eventStorageFailed, zap.Error(err))
			return err
		}
		timer.Reset(max(0, d.replica.NextDeadline(d.clock())-d.clock()))
		select {
		case <-ctx.Done():
			return nil
		case msg := <-d.mailbox.messages:
			actions = d.handle(msg)
		case <-timer.C:
			actions = d.replica.Step(d.clock(), replica.Tick{})
		}
	}
}

// handle passes one message to the replica and returns the resulting actions.
func (d *driver) handle(msg message) []replica.Action {
	switch msg := msg.(type) {
	case eventMessage:
		return d.replica.Step(d.clock(), msg.event)
	case callMessage:
		d.calls[msg.callID] = msg.reply
		return d.replica.Step(d.clock(), msg.event)
	case cancelMessage:
		delete(d.calls, msg.callID)
		cancelled := lease.CallCancelled{CallID: msg.callID}
		return d.replica.Step(d.clock(), replica.LeaseRequest{Event: cancelled})
	case inspectMessage:
		msg.inspect(d.replica, d.clock())
	}
	return nil
}

// execute executes the replica's actions in order, so that no message or response is sent before the state changes that precede it are
// synced to disk. It returns the storage's error, if any.
func (d *driver) execute(actions []replica.Action) error {
	for _, action := range actions {
		switch action := action.(type) {
		case replica.Persist:
			if err := d.storage.Save(action.State); err != nil {
				return err
			}
		case replica.SendMessage:
			d.peers.send(action.Message)
		case replica.LeaseResponse:
			d.deliverReply(action.Action)
		case replica.PublishState:
			d.state.publish(d.replica)
		case replica.RoleChanged:
			role := action.Role
			d.log.Info(eventReplicaRoleChanged, zap.Bool("is_leader", role.IsLeader), zap.Uint64("leader", role.Leader), zap.Uint64("term", role.Term))
			d.state.publish(d.replica)
		case replica.MembershipChanged:
			d.log.Info(eventMembershipChanged, zap.Any("members", action.Members))
			d.state.publish(d.replica)
		}
	}
	return nil
}

// deliverReply delivers a reply or an outcome to the caller that waits for it, unless the call was cancelled.
func (d *driver) deliverReply(action lease.CoordinatorAction) {
	var callID uint64
	switch action := action.(type) {
	case lease.SendReply:
		callID = action.CallID
	case lease.SendOutcome:
		callID = action.CallID
	}
	reply := d.calls[callID]
	if reply == nil {
		return
	}
	delete(d.calls, callID)
	reply <- action
}

package simulation

import (
	"fmt"
	"io"
	"log"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"bankledge/internal/configregister"
	"bankledge/internal/configversion"
	"bankledge/internal/consensus"
	"bankledge/internal/lease"
	"bankledge/internal/replica"
)

const (
	heartbeatInterval  = 50 * time.Millisecond
	electionTimeout    = 300 * time.Millisecond
	compactionInterval = 40 // entries
	maxRestartDelay    = time.Second
	pushLossOdds       = 40 // one in this many pushes to a router is lost
)

var discardLogger = &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}

// processHost runs one process of the control group.
type processHost struct {
	host
	replica         *replica.Replica
	disk            consensus.PersistentState // data that survives a crash
	savesUntilCrash int                       // 0: no crash is scheduled
	lastCallID      uint64
	calls           map[uint64]call
	streams         map[int]*stream // by router id
}

// call is a request to the replica that has no answer yet.
type call struct {
	router      *routerHost // the router that renews its lease; nil for an operator
	incarnation int         // of the router
	onOutcome   func(configregister.Outcome)
}

// stream is the state of pushing versions to a router.
type stream struct {
	router        *routerHost
	incarnation   int    // of the router
	sentVersion   uint64 // newest version that was sent
	sentActivated uint64 // newest version whose activation was sent
}

func (p *processHost) settings() replica.Settings {
	members := map[uint64]replica.Member{}
	for i := range p.sim.Processes {
		address := fmt.Sprint(i)
		members[uint64(i+1)] = replica.Member{Peer: address, Client: address, Voter: true}
	}
	return replica.Settings{
		LeaseDurations:     p.sim.LeaseDurations,
		InitialMembers:     members,
		Lineage:            "lineage",
		CompactionInterval: compactionInterval,
		Guards:             configversion.Guards{MaxRemovedShare: 1},
		Consensus: consensus.Settings{
			ID:                uint64(p.id + 1),
			HeartbeatInterval: heartbeatInterval,
			ElectionTimeout:   electionTimeout,
			Seed:              p.sim.Seed*64 + uint64(p.id*8+p.incarnation),
			Logger:            discardLogger,
		},
	}
}

func (p *processHost) start() {
	p.incarnation++
	p.up = true
	p.calls = map[uint64]call{}
	p.streams = map[int]*stream{}
	stored := p.disk
	stored.Entries = slices.Clone(p.disk.Entries)
	started, actions, err := replica.New(p.settings(), stored, p.now())
	if err != nil {
		p.sim.auditor.report("start", p.sim.now, "process %d does not start: %v", p.id, err)
		p.up = false
		return
	}
	p.replica = started
	p.execute(actions)
	p.resetTimer()
}

func (p *processHost) resetTimer() {
	if p.up && p.replica != nil {
		p.setTimer(p.replica.NextDeadline(p.now()), func() { p.step(replica.Tick{}) })
	}
}

func (p *processHost) step(event replica.Event) {
	p.execute(p.replica.Step(p.now(), event))
	p.resetTimer()
}

// call passes a request to the replica and records the caller, to which the answer is sent.
func (p *processHost) call(caller call, event func(callID uint64) lease.CoordinatorEvent) {
	p.lastCallID++
	p.calls[p.lastCallID] = caller
	p.step(replica.LeaseRequest{Event: event(p.lastCallID)})
}

// takeCall removes and returns the call that is answered. It returns the zero value if an earlier incarnation received the call.
func (p *processHost) takeCall(callID uint64) call {
	caller := p.calls[callID]
	delete(p.calls, callID)
	return caller
}

// execute executes the replica's actions in order and stops if the process crashes.
func (p *processHost) execute(actions []replica.Action) {
	for _, action := range actions {
		if !p.up {
			return
		}
		switch action := action.(type) {
		case replica.Persist:
			p.save(action.State)
			p.crashIfDue()
		case replica.SendMessage:
			p.sendMessage(action.Message)
		case replica.LeaseResponse:
			p.answer(action.Action)
		case replica.PublishState:
			p.pushAll()
		case replica.RoleChanged:
			role := action.Role
			p.sim.record("process %d leads %t, leader %d, term %d", p.id, role.IsLeader, role.Leader, role.Term)
		}
	}
}

// save writes a change to the simulated disk, which survives a crash.
func (p *processHost) save(change consensus.PersistentState) {
	if change.HardState != nil {
		p.disk.HardState = change.HardState
	}
	if change.Snapshot != nil {
		snapshotIndex := change.Snapshot.GetMetadata().GetIndex()
		p.disk.Snapshot = change.Snapshot
		p.disk.Entries = slices.DeleteFunc(slices.Clone(p.disk.Entries), func(entry *pb.Entry) bool {
			return entry.GetIndex() <= snapshotIndex
		})
	}
	if len(change.Entries) > 0 {
		firstIndex := change.Entries[0].GetIndex()
		p.disk.Entries = slices.DeleteFunc(slices.Clone(p.disk.Entries), func(entry *pb.Entry) bool {
			return entry.GetIndex() >= firstIndex
		})
		p.disk.Entries = append(p.disk.Entries, change.Entries...)
	}
}

// crashIfDue kills the process after the save for which its crash is scheduled, and schedules its restart.
func (p *processHost) crashIfDue() {
	if p.savesUntilCrash == 0 {
		return
	}
	p.savesUntilCrash--
	if p.savesUntilCrash > 0 {
		return
	}
	p.sim.record("crash %d", p.id)
	p.kill()
	p.sim.after(p.sim.uniform(0, maxRestartDelay), p.start)
}

func (p *processHost) sendMessage(message *pb.Message) {
	sent := proto.Clone(message).(*pb.Message)
	receiver := p.sim.processes[sent.GetTo()-1]
	p.sim.send(p.id, receiver.id, func() {
		receiver.deliver(receiver.incarnation, func() { receiver.step(replica.MessageReceived{Message: sent}) })
	})
}

func (p *processHost) answer(answer lease.CoordinatorAction) {
	switch answer := answer.(type) {
	case lease.SendReply:
		caller := p.takeCall(answer.CallID)
		if caller.router != nil {
			p.sendReply(caller, answer.Reply)
		}
	case lease.SendOutcome:
		caller := p.takeCall(answer.CallID)
		if caller.onOutcome != nil {
			caller.onOutcome(answer.Outcome)
		}
	}
}

func (p *processHost) sendReply(caller call, reply lease.Reply) {
	p.sim.auditor.observeReply(p.sim, caller.router, reply)
	p.sim.send(p.id, caller.router.id, func() {
		caller.router.deliver(caller.incarnation, func() { caller.router.step(lease.ReplyReceived{Reply: reply}) })
	})
}

// pushAll sends new versions and activations to the routers that read the stream of this process.
func (p *processHost) pushAll() {
	for _, routerID := range slices.Sorted(maps.Keys(p.streams)) {
		p.push(p.streams[routerID])
	}
}

// push sends a router the versions and the activation that it has not been sent yet. At random a version is lost, which leaves a gap
// before the next one.
func (p *processHost) push(to *stream) {
	register := p.replica.Register()
	for _, version := range register.UpdatesAfter(to.sentVersion) {
		raw := version.Encode()
		activated := register.Activated
		to.sentVersion = version.Number
		p.sim.auditor.observeVersion(p.sim, version)
		if p.sim.faultsActive() && p.sim.oneIn(pushLossOdds) {
			continue
		}
		p.sim.send(p.id, to.router.id, func() {
			to.router.deliver(to.incarnation, func() { to.router.receiveVersion(raw, activated) })
		})
	}
	if to.sentActivated < register.Activated {
		event := lease.VersionActivated{Lineage: register.Lineage, Number: register.Activated}
		to.sentActivated = register.Activated
		p.sim.send(p.id, to.router.id, func() {
			to.router.deliver(to.incarnation, func() { to.router.step(event) })
		})
	}
}

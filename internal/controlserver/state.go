package controlserver

import (
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"bankledge/internal/configregister"
	"bankledge/internal/controlapi"
	"bankledge/internal/replica"
)

// loggedHashLength is the number of leading digits of a version's hash that are logged.
const loggedHashLength = 12

// stateView is an immutable snapshot of this process's state, which handlers read without a lock.
type stateView struct {
	register *configregister.Register // a copy
	members  map[uint64]controlapi.Member
	leader   uint64 // id of the leader; 0: unknown
	term     uint64 // of the replicated log
}

func newStateView(node *replica.Replica) *stateView {
	role := node.Role()
	view := &stateView{
		register: node.Register().Clone(),
		members:  map[uint64]controlapi.Member{},
		leader:   role.Leader,
		term:     role.Term,
	}
	for id, member := range node.Members() {
		view.members[id] = controlapi.Member(member)
	}
	return view
}

// publishedState holds the newest stateView and notifies goroutines that wait for the next one.
type publishedState struct {
	log     *zap.Logger
	view    atomic.Pointer[stateView]
	mu      sync.Mutex
	changed chan struct{} // the next publication closes and replaces it
}

func newPublishedState(log *zap.Logger) *publishedState {
	return &publishedState{log: log, changed: make(chan struct{})}
}

// load returns the newest view.
func (s *publishedState) load() *stateView { return s.view.Load() }

// nextChange returns a channel that the next publication closes. Callers call it before load, so that they miss no publication.
func (s *publishedState) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// publish makes the replica's current state visible to all handlers. After the server's start only the driver calls it.
func (s *publishedState) publish(node *replica.Replica) {
	view := newStateView(node)
	s.logChanges(s.view.Load(), view)
	s.view.Store(view)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// logChanges logs versions that were committed or activated between two views. Versions that were loaded at startup are not logged.
func (s *publishedState) logChanges(before, after *stateView) {
	if before == nil {
		return
	}
	if before.register.NewestNumber() < after.register.NewestNumber() {
		version := after.register.Newest()
		s.log.Info(eventVersionCommitted, zap.Uint64("version", version.Number), zap.String("hash", version.Hash[:loggedHashLength]),
			zap.Strings("forced_guards", version.ForcedGuards), zap.String("note", version.Note))
	}
	if before.register.Activated < after.register.Activated {
		s.log.Info(eventVersionActivated, zap.Uint64("version", after.register.Activated))
	}
}

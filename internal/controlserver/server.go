// Package controlserver runs one process of the control group. A replica (package replica) makes all decisions; the driver passes it
// the events of the sockets, the disk and the clock, and executes its actions in order. HTTP handlers send requests to the replica
// through the driver's mailbox, or read the latest published state.
package controlserver

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bankledge/internal/consensus"
	"bankledge/internal/consensus/store"
	"bankledge/internal/detrand"
	"bankledge/internal/lease"
	"bankledge/internal/logevent"
	"bankledge/internal/replica"
)

// Storage persists the replicated log and its state across restarts. Save returns once the change is synced to disk.
type Storage interface {
	Load() (consensus.PersistentState, error)
	Save(consensus.PersistentState) error
	Size() uint64 // bytes
	Close() error
}

// Server is one process of the control group.
type Server struct {
	// Ready is closed once the HTTP servers have been started.
	Ready chan struct{}

	settings       *Settings
	durations      lease.Durations
	log            *zap.Logger
	storage        Storage
	clockOrigin    time.Time // zero point of the replica's clock
	mailbox        *mailbox
	state          *publishedState
	streams        atomic.Int64 // number of open version streams
	clientListener net.Listener // accepts routers and operators
	peerListener   net.Listener // accepts the other processes of the group
}

// New opens the storage and the listening sockets of a process. No goroutine is started until Run is called.
func New(settings *Settings, log *zap.Logger) (*Server, error) {
	storage, err := store.Open(settings.DataDir, settings.ID)
	if err != nil {
		return nil, err
	}
	return NewWithStorage(settings, storage, log)
}

// NewWithStorage opens the listening sockets of a process. The server takes ownership of the storage: it closes the storage when Run
// returns, and also when NewWithStorage returns an error.
func NewWithStorage(settings *Settings, storage Storage, log *zap.Logger) (*Server, error) {
	s := &Server{
		Ready:       make(chan struct{}),
		settings:    settings,
		durations:   settings.LeaseDurations(),
		log:         log,
		storage:     storage,
		clockOrigin: time.Now().Add(-time.Hour), // the clock must not start at 0, which the replica treats as "never"
		mailbox:     newMailbox(),
		state:       newPublishedState(log),
	}
	if err := s.listen(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *Server) listen() (err error) {
	if s.clientListener, err = net.Listen("tcp", s.settings.ClientAddress); err != nil {
		return fmt.Errorf("client: %w", err)
	}
	if s.peerListener, err = net.Listen("tcp", s.settings.PeerAddress); err != nil {
		return fmt.Errorf("peer: %w", err)
	}
	return nil
}

func (s *Server) close() {
	for _, listener := range []net.Listener{s.clientListener, s.peerListener} {
		if listener != nil {
			listener.Close()
		}
	}
	s.storage.Close()
}

// clock returns the monotonic time that is passed to the replica.
func (s *Server) clock() time.Duration { return time.Since(s.clockOrigin) }

// Run serves until ctx is cancelled or the storage fails; after a storage error it answers no further requests and returns that error.
// It closes the storage and the sockets, and returns after all its goroutines have ended.
func (s *Server) Run(ctx context.Context) error {
	defer s.close()
	persisted, err := s.storage.Load()
	if err != nil {
		return err
	}
	settings, err := s.replicaSettings()
	if err != nil {
		return err
	}
	recoveryStart := time.Now()
	node, actions, err := replica.New(settings, persisted, s.clock())
	if err != nil {
		return err
	}
	err = s.serve(ctx, node, actions, recoveryStart)
	s.log.Info(eventStopped, zap.Error(err))
	return err
}

// replicaSettings returns the replica's settings: those of the settings file, and the lineage, the random seed and the logger, which are
// set at each start.
func (s *Server) replicaSettings() (replica.Settings, error) {
	settings, err := s.settings.ReplicaSettings()
	if err != nil {
		return settings, err
	}
	var random [16]byte
	rand.Read(random[:]) // never fails
	settings.Lineage = hex.EncodeToString(random[:8])
	settings.Consensus.Seed = detrand.Hash(hex.EncodeToString(random[8:]), settings.Consensus.ID)
	settings.Consensus.Logger = &raft.DefaultLogger{Logger: discardLog}
	return settings, nil
}

// serve runs the replica and the HTTP servers until ctx is cancelled or one of them fails. actions are those that the replica returned
// when it was created.
func (s *Server) serve(ctx context.Context, node *replica.Replica, actions []replica.Action, recoveryStart time.Time) error {
	group, ctx := errgroup.WithContext(ctx)
	peers := newPeerTransport(ctx, s.state, s.mailbox)
	defer peers.wait()
	s.state.publish(node)
	driver := &driver{
		replica: node,
		storage: s.storage,
		mailbox: s.mailbox,
		peers:   peers,
		state:   s.state,
		clock:   s.clock,
		log:     s.log,
		calls:   map[uint64]chan<- lease.CoordinatorAction{},
	}
	group.Go(func() error { return driver.run(ctx, actions) })
	group.Go(func() error { return serveHTTP(ctx, s.clientListener, s.clientHandler()) })
	group.Go(func() error { return serveHTTP(ctx, s.peerListener, s.peerHandler()) })
	s.log.Info(eventServing,
		zap.Uint64("id", s.settings.ID),
		zap.Stringer("client", s.clientListener.Addr()),
		zap.Stringer("peer", s.peerListener.Addr()),
		logevent.Milliseconds("recovery_ms", time.Since(recoveryStart)),
		zap.Uint64("storage_bytes", s.storage.Size()),
		logevent.Milliseconds("max_contradiction_ms", s.durations.MaxContradiction()))
	close(s.Ready)
	return group.Wait()
}

package controlserver

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"bankledge/internal/configversion"
	"bankledge/internal/consensus"
	"bankledge/internal/consensus/store"
	"bankledge/internal/detrand"
	"bankledge/internal/lease"
	"bankledge/internal/replica"
)

func bytesReader(raw []byte) io.Reader { return bytes.NewReader(raw) }

const (
	inboxSize   = 4096
	stopWithin  = time.Second
	headersIn   = 2 * time.Second
	idleFor     = time.Minute
	mostStreams = 4096
)

// Disk keeps what the seat saves. Save returns once it is synced.
type Storage interface {
	Load() (consensus.PersistentState, error)
	Save(consensus.PersistentState) error
	Size() uint64
	Close() error
}

// Server is one process of the control group.
type Server struct {
	settings *Settings
	log      *zap.Logger
	disk     Storage
	origin   time.Time
	inbox    chan input
	seat     *replica.Replica // owned by the goroutine of run
	calls    map[uint64]chan lease.CoordinatorAction
	lastCall atomic.Uint64
	peers    *peers
	view     atomic.Pointer[View]
	news     broadcast
	listen   net.Listener // for routers and operators
	between  net.Listener // for the other processes
	Ready    chan struct{}
}

// input is one thing for the seat; reply gets the answer to a call.
type input struct {
	event replica.Event
	call  uint64
	reply chan lease.CoordinatorAction
	look  func(*replica.Replica, time.Duration)
}

// View is what this process knows, as all handlers may see it.
type View struct {
	Lineage  string
	Settled  uint64
	Versions []*configversion.Version // oldest first
	Members  map[uint64]replica.Member
	Leads    bool
	Leader   uint64
	Term     uint64
}

// New opens a process: its disk, its sockets. Nothing runs yet.
func New(s *Settings, log *zap.Logger) (*Server, error) {
	disk, err := store.Open(s.DataDir, s.ID)
	if err != nil {
		return nil, err
	}
	return NewWithStorage(s, disk, log)
}

// NewOn does so on a disk, which it closes.
func NewWithStorage(s *Settings, disk Storage, log *zap.Logger) (v *Server, err error) {
	v = &Server{settings: s, log: log, disk: disk, origin: time.Now().Add(-time.Hour), inbox: make(chan input, inboxSize), calls: map[uint64]chan lease.CoordinatorAction{}, Ready: make(chan struct{})}
	v.news.init()
	defer func() {
		if err != nil {
			v.close()
		}
	}()
	if v.listen, err = net.Listen("tcp", s.ClientAddress); err != nil {
		return nil, fmt.Errorf("client: %w", err)
	}
	if v.between, err = net.Listen("tcp", s.PeerAddress); err != nil {
		return nil, fmt.Errorf("peer: %w", err)
	}
	return v, nil
}

func (v *Server) close() {
	for _, l := range []net.Listener{v.listen, v.between} {
		if l != nil {
			l.Close()
		}
	}
	v.disk.Close()
}

func (v *Server) now() time.Duration { return time.Since(v.origin) }

// Run serves until ctx ends, or until the disk fails: then nothing more is said to anybody.
func (v *Server) Run(ctx context.Context) error {
	defer v.close()
	kept, err := v.disk.Load()
	if err != nil {
		return err
	}
	t, err := v.settings.ReplicaSettings()
	if err != nil {
		return err
	}
	var drawn [16]byte
	rand.Read(drawn[:])
	t.Lineage = hex.EncodeToString(drawn[:8])
	t.Consensus.Seed = detrand.Hash(hex.EncodeToString(drawn[8:]), t.Consensus.ID)
	t.Consensus.Logger = &raft.DefaultLogger{Logger: quietLog}
	began := time.Now()
	seated, do, err := replica.New(t, kept, v.now())
	if err != nil {
		return err
	}
	v.seat = seated
	group, ctx := errgroup.WithContext(ctx)
	v.peers = newPeers(ctx, v)
	v.look()
	group.Go(func() error { return v.run(ctx, do) })
	group.Go(func() error { return serveHTTP(ctx, v.listen, v.client()) })
	group.Go(func() error { return serveHTTP(ctx, v.between, v.among()) })
	v.log.Info("serving", zap.Uint64("id", v.settings.ID), zap.Stringer("client", v.listen.Addr()), zap.Stringer("peer", v.between.Addr()),
		zap.Duration("recovered_in", time.Since(began)), zap.Uint64("disk_bytes", v.disk.Size()), zap.Duration("T", v.settings.LeaseDurations().MaxContradiction()))
	close(v.Ready)
	err = group.Wait()
	v.peers.wait()
	v.log.Info("ended", zap.Error(err))
	return err
}

var quietLog = log.New(io.Discard, "", 0)

// serveHTTP serves until ctx ends.
func serveHTTP(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headersIn, IdleTimeout: idleFor, MaxHeaderBytes: 16 << 10, ErrorLog: quietLog,
		BaseContext: func(net.Listener) context.Context { return ctx }}
	defer context.AfterFunc(ctx, func() {
		within, cancel := context.WithTimeout(context.Background(), stopWithin)
		defer cancel()
		if server.Shutdown(within) != nil {
			server.Close()
		}
	})()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// run feeds the seat until ctx ends. It alone touches the seat and the disk. The log's library breaks down when the group tells it of
// what it has acknowledged and does not have: then its disk has lost what was synced, and it must not go on.
func (v *Server) run(ctx context.Context, do []replica.Action) (err error) {
	defer func() {
		if p := recover(); p != nil {
			v.log.Error("the log broke down: this process serves no more", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			err = fmt.Errorf("%w: %v", store.ErrCorrupted, p)
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if err := v.carryOut(do); err != nil {
			v.log.Error("the disk fails: this process serves no more", zap.Error(err))
			return err
		}
		timer.Reset(max(0, v.seat.NextDeadline(v.now())-v.now()))
		in := input{event: replica.Tick{}}
		select {
		case <-ctx.Done():
			return nil
		case in = <-v.inbox:
		case <-timer.C:
		}
		do = v.hear(in)
	}
}

// hear hands one thing to the seat.
func (v *Server) hear(in input) []replica.Action {
	if in.look != nil {
		in.look(v.seat, v.now())
		return nil
	}
	if in.reply != nil {
		v.calls[in.call] = in.reply
	}
	if gone, is := in.event.(forget); is {
		delete(v.calls, gone.call)
		return v.seat.Step(v.now(), replica.LeaseRequest{Event: lease.CallCancelled{CallID: gone.call}})
	}
	return v.seat.Step(v.now(), in.event)
}

// forget is a call that nobody waits for any more.
type forget struct {
	replica.Event
	call uint64
}

// carryOut does what the seat asks for, in its order.
func (v *Server) carryOut(do []replica.Action) error {
	for _, a := range do {
		switch a := a.(type) {
		case replica.Persist:
			if err := v.disk.Save(a.State); err != nil {
				return err
			}
		case replica.SendMessage:
			v.peers.send(a.Message)
		case replica.LeaseResponse:
			v.answer(a.Action)
		case replica.PublishState:
			v.look()
		case replica.RoleChanged:
			v.log.Info("role", zap.Bool("leads", a.Role.IsLeader), zap.Uint64("leader", a.Role.Leader), zap.Uint64("term", a.Role.Term))
			v.look()
		case replica.MembershipChanged:
			v.log.Info("members changed", zap.Any("members", a.Members))
			v.look()
		}
	}
	return nil
}

func (v *Server) answer(a lease.CoordinatorAction) {
	call := uint64(0)
	switch a := a.(type) {
	case lease.SendReply:
		call = a.CallID
	case lease.SendOutcome:
		call = a.CallID
	}
	if reply := v.calls[call]; reply != nil {
		delete(v.calls, call)
		reply <- a // it has room for one
	}
}

// look makes what this process knows by now visible to all handlers.
func (v *Server) look() {
	reg, role := v.seat.Register(), v.seat.Role()
	view := &View{Lineage: reg.Lineage, Settled: reg.Activated, Versions: append([]*configversion.Version(nil), reg.Versions...), Leads: v.seat.IsLeader(), Leader: role.Leader, Term: role.Term,
		Members: map[uint64]replica.Member{}}
	for id, m := range v.seat.Members() {
		view.Members[id] = m
	}
	if old := v.view.Load(); old != nil && view.newest() != nil && (old.newest() == nil || old.newest().Number < view.newest().Number) {
		n := view.newest()
		v.log.Info("version", zap.Uint64("number", n.Number), zap.String("hash", n.Hash[:12]), zap.Strings("forced", n.ForcedGuards), zap.String("note", n.Note))
	}
	if old := v.view.Load(); old != nil && old.Settled < view.Settled {
		v.log.Info("in force", zap.Uint64("number", view.Settled))
	}
	v.view.Store(view)
	v.news.tell()
}

func (w *View) newest() *configversion.Version {
	if len(w.Versions) == 0 {
		return nil
	}
	return w.Versions[len(w.Versions)-1]
}

// after lists what a router that knows the version with this number has to be sent.
func (w *View) after(number uint64) (list []*configversion.Version) {
	for _, x := range w.Versions {
		if x.Number > number && x.Number >= w.Settled {
			list = append(list, x)
		}
	}
	return list
}

var errBusy = errors.New("this process is busy, or ends")

// ask hands the seat a call and waits for its answer.
func (v *Server) ask(ctx context.Context, event func(call uint64) replica.Event) (lease.CoordinatorAction, error) {
	call, reply := v.lastCall.Add(1), make(chan lease.CoordinatorAction, 1)
	select {
	case v.inbox <- input{event: event(call), call: call, reply: reply}:
	case <-ctx.Done():
		return nil, errBusy
	}
	select {
	case a := <-reply:
		return a, nil
	case <-ctx.Done():
		select { // what was begun may go on; nobody waits for it
		case v.inbox <- input{event: forget{call: call}}:
		default:
		}
		return nil, errBusy
	}
}

// sessions are the routers that this process knows, if it leads.
func (v *Server) sessions(ctx context.Context) (list []lease.Session) {
	done := make(chan struct{})
	look := func(t *replica.Replica, now time.Duration) {
		list = t.Sessions(now)
		close(done)
	}
	select {
	case v.inbox <- input{look: look}:
	case <-ctx.Done():
		return nil
	}
	select {
	case <-done:
		return list
	case <-ctx.Done():
		return nil
	}
}

// post hands the seat something that nobody waits for; when the inbox is full it is lost, as on a network.
func (v *Server) post(e replica.Event) {
	select {
	case v.inbox <- input{event: e}:
	default:
	}
}

// broadcast wakes all that wait for news.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

func (b *broadcast) init() { b.ch = make(chan struct{}) }

func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}

func (b *broadcast) tell() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}

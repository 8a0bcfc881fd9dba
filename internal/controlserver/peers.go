package controlserver

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"bankledge/internal/replica"
)

const (
	mostQueued  = 1024     // messages to one process; beyond it they are lost, as on a network
	mostMessage = 16 << 20 // bytes
	mostBody    = 64 << 20 // of one call with messages
	mostBatch   = 64       // messages in a call
	peerWithin  = time.Second
	lineageHead = "X-Bankledge-Lineage"
)

// peers sends messages to the other processes, each by a goroutine and a connection of its own.
type peers struct {
	ctx    context.Context
	server *Server
	http   *http.Client
	mu     sync.Mutex
	queues map[uint64]chan *pb.Message
	wg     sync.WaitGroup
}

func newPeers(ctx context.Context, v *Server) *peers {
	return &peers{ctx: ctx, server: v, queues: map[uint64]chan *pb.Message{},
		http: &http.Client{Timeout: peerWithin, Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: idleFor, DisableCompression: true}}}
}

func (p *peers) wait() {
	p.wg.Wait()
	p.http.CloseIdleConnections()
}

// send queues a message; it never waits.
func (p *peers) send(m *pb.Message) {
	p.mu.Lock()
	queue := p.queues[m.GetTo()]
	if queue == nil {
		queue = make(chan *pb.Message, mostQueued)
		p.queues[m.GetTo()] = queue
		p.wg.Go(func() { p.pass(m.GetTo(), queue) })
	}
	p.mu.Unlock()
	select {
	case queue <- m:
	default:
	}
}

// pass sends what is queued for one process, several messages in a call.
func (p *peers) pass(id uint64, queue chan *pb.Message) {
	for {
		var batch []*pb.Message
		select {
		case <-p.ctx.Done():
			return
		case m := <-queue:
			batch = append(batch, m)
		}
		for n := min(len(queue), mostBatch-1); n > 0; n-- {
			batch = append(batch, <-queue)
		}
		snapshot := false
		for _, m := range batch {
			snapshot = snapshot || m.GetType() == pb.MsgSnap
		}
		if err := p.call(id, batch); err != nil {
			p.server.post(replica.PeerUnreachable{PeerID: id, SnapshotLost: snapshot})
		} else if snapshot {
			p.server.post(replica.SnapshotDelivered{PeerID: id})
		}
	}
}

func (p *peers) call(id uint64, batch []*pb.Message) error {
	view := p.server.view.Load()
	member, known := view.Members[id]
	if !known {
		return errors.New("not a member")
	}
	var body bytes.Buffer
	for _, m := range batch {
		raw, err := proto.Marshal(m)
		if err != nil {
			return err
		}
		body.Write(binary.AppendUvarint(nil, uint64(len(raw))))
		body.Write(raw)
	}
	ask, err := http.NewRequestWithContext(p.ctx, "POST", "http://"+member.Peer+"/v1/messages", &body)
	if err != nil {
		return err
	}
	ask.Header.Set(lineageHead, view.Lineage)
	said, err := p.http.Do(ask)
	if err != nil {
		return err
	}
	defer said.Body.Close()
	io.Copy(io.Discard, io.LimitReader(said.Body, 1<<10))
	if said.StatusCode != http.StatusNoContent {
		return fmt.Errorf("process %d answered %d", id, said.StatusCode)
	}
	return nil
}

// among serves the other processes.
func (v *Server) among() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/messages", func(w http.ResponseWriter, r *http.Request) {
		own, theirs := v.view.Load().Lineage, r.Header.Get(lineageHead)
		if own != "" && theirs != "" && own != theirs {
			http.Error(w, "another group: its lineage is "+own, http.StatusConflict)
			return
		}
		list, err := messages(http.MaxBytesReader(w, r.Body, mostBody))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		for _, m := range list {
			select {
			case v.inbox <- input{event: replica.MessageReceived{Message: m}}:
			case <-r.Context().Done():
				return
			}
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// messages reads messages, each behind its length.
func messages(body io.Reader) (list []*pb.Message, err error) {
	raw, err := io.ReadAll(body)
	if err != nil {
		return nil, err
	}
	for len(raw) > 0 {
		n, used := binary.Uvarint(raw)
		if used <= 0 || n > mostMessage || n > uint64(len(raw)-used) {
			return nil, errors.New("messages: a length that can't be")
		}
		m := new(pb.Message)
		if err := proto.Unmarshal(raw[used:used+int(n)], m); err != nil {
			return nil, fmt.Errorf("messages: %w", err)
		}
		list, raw = append(list, m), raw[used+int(n):]
	}
	return list, nil
}

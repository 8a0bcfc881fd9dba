package controlserver

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"

	"bankledge/internal/controlapi"
	"bankledge/internal/replica"
)

const (
	maxQueuedMessages  = 1024 // to one process; beyond it they are lost, as on a network
	maxMessagesPerCall = 64
	peerTimeout        = time.Second
	maxIgnoredBytes    = 1 << 10 // of a peer's response body, which is discarded
)

var errNotMember = errors.New("not a member")

// peerStatusError is returned when another process rejected a batch of messages.
type peerStatusError struct {
	peerID uint64
	status int
}

func (e *peerStatusError) Error() string {
	return fmt.Sprintf("process %d answered %d", e.peerID, e.status)
}

// peerTransport sends messages of the replicated log to the other processes, each by a goroutine and a connection of its own. The
// goroutines end with ctx; wait waits for them.
type peerTransport struct {
	ctx     context.Context
	state   *publishedState
	mailbox *mailbox
	http    *http.Client
	mu      sync.Mutex
	queues  map[uint64]chan *pb.Message // by the id of the process
	senders sync.WaitGroup
}

func newPeerTransport(ctx context.Context, state *publishedState, mailbox *mailbox) *peerTransport {
	return &peerTransport{
		ctx:     ctx,
		state:   state,
		mailbox: mailbox,
		queues:  map[uint64]chan *pb.Message{},
		http: &http.Client{
			Timeout:   peerTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: idleTimeout, DisableCompression: true},
		},
	}
}

// wait waits until all goroutines have ended.
func (t *peerTransport) wait() {
	t.senders.Wait()
	t.http.CloseIdleConnections()
}

// send queues a message for its process, and drops it when the queue is full. It never waits.
func (t *peerTransport) send(message *pb.Message) {
	select {
	case t.queue(message.GetTo()) <- message:
	default:
	}
}

// queue returns the queue of a process, and starts its sender with the first message.
func (t *peerTransport) queue(peerID uint64) chan<- *pb.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.queues[peerID]
	if queue == nil {
		queue = make(chan *pb.Message, maxQueuedMessages)
		t.queues[peerID] = queue
		t.senders.Go(func() { t.sendQueued(peerID, queue) })
	}
	return queue
}

// sendQueued sends what is queued for one process, several messages in a call, and reports to the replica what was not delivered.
func (t *peerTransport) sendQueued(peerID uint64, queue <-chan *pb.Message) {
	for {
		batch := t.nextBatch(queue)
		if batch == nil {
			return
		}
		hasSnapshot := containsSnapshot(batch)
		if err := t.post(peerID, batch); err != nil {
			t.mailbox.trySend(eventMessage{replica.PeerUnreachable{PeerID: peerID, SnapshotLost: hasSnapshot}})
			continue
		}
		if hasSnapshot {
			t.mailbox.trySend(eventMessage{replica.SnapshotDelivered{PeerID: peerID}})
		}
	}
}

// nextBatch waits for a message and returns it with those queued behind it; nil once the transport's context has ended.
func (t *peerTransport) nextBatch(queue <-chan *pb.Message) []*pb.Message {
	var batch []*pb.Message
	select {
	case <-t.ctx.Done():
		return nil
	case message := <-queue:
		batch = append(batch, message)
	}
	for range min(len(queue), maxMessagesPerCall-1) {
		batch = append(batch, <-queue)
	}
	return batch
}

func containsSnapshot(batch []*pb.Message) bool {
	for _, message := range batch {
		if message.GetType() == pb.MsgSnap {
			return true
		}
	}
	return false
}

// post sends a batch of messages to a process in one call.
func (t *peerTransport) post(peerID uint64, batch []*pb.Message) error {
	view := t.state.load()
	member, known := view.members[peerID]
	if !known {
		return errNotMember
	}
	body, err := encodeMessages(batch)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(t.ctx, http.MethodPost, "http://"+member.Peer+controlapi.PeerMessagesPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set(controlapi.LineageHeader, view.register.Lineage)
	response, err := t.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	io.Copy(io.Discard, io.LimitReader(response.Body, maxIgnoredBytes)) // so that the connection can be used again
	if response.StatusCode != http.StatusNoContent {
		return &peerStatusError{peerID: peerID, status: response.StatusCode}
	}
	return nil
}

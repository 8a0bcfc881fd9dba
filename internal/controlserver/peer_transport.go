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
	maxQueuedMessages  = 1024 // for one process; further messages are dropped, which raft tolerates as loss on the network
	maxMessagesPerCall = 64
	peerTimeout        = time.Second
	maxDiscardedBytes  = 1 << 10 // of a peer's response body, which is read and discarded
)

var errNotMember = errors.New("not a member")

// peerStatusError is returned when another process responds to a batch of messages with a status other than 204.
type peerStatusError struct {
	peerID uint64
	status int
}

func (e *peerStatusError) Error() string {
	return fmt.Sprintf("process %d responded with HTTP status %d", e.peerID, e.status)
}

// peerTransport sends messages of the replicated log to the other processes. Each destination has its own queue, goroutine and
// connection. The goroutines end when ctx is cancelled; wait waits for them.
type peerTransport struct {
	ctx     context.Context
	state   *publishedState
	mailbox *mailbox
	http    *http.Client
	mu      sync.Mutex
	queues  map[uint64]chan *pb.Message // by the id of the destination process
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

// send queues a message for its destination, or drops it if the queue is full. It never blocks.
func (t *peerTransport) send(message *pb.Message) {
	select {
	case t.queue(message.GetTo()) <- message:
	default:
	}
}

// queue returns the queue of a process. The first call for a process creates the queue and starts its sender.
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

// sendQueued sends the queued messages for one process, up to maxMessagesPerCall in one HTTP request. It reports failed requests, and
// the delivery or loss of snapshots, to the replica.
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

// nextBatch waits for a message and returns it with the messages queued after it, or nil once the transport's context has ended.
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

// post sends a batch of messages to a process in one HTTP request.
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
	io.Copy(io.Discard, io.LimitReader(response.Body, maxDiscardedBytes)) // an unread body would prevent reuse of the connection
	if response.StatusCode != http.StatusNoContent {
		return &peerStatusError{peerID: peerID, status: response.StatusCode}
	}
	return nil
}

package downstream

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"bankledge/internal/flowcontrol"
	"bankledge/internal/logevent"
)

const (
	// flowCheckInterval is how often each client's rate is judged.
	flowCheckInterval = 250 * time.Millisecond
	// slowClientLogInterval is the least time between two log lines: many clients may be disconnected at once.
	slowClientLogInterval = time.Second
)

// tooSlowReason is sent to clients.
const tooSlowReason = "the client takes its answers in too slowly"

// SlowClientStats counts, since the start, what slow clients led to.
type SlowClientStats struct {
	Stalled   int64 // times that reading from a client was stopped
	Released  int64 // clients that were disconnected
	Shortened int64 // answers that were replaced by a short abort
}

// FlowControlStats returns what slow clients led to so far, and how many bytes of answers and of statements' texts are in memory now.
func (s *Server) FlowControlStats() (stats SlowClientStats, answerBytes, textBytes int64) {
	s.mu.Lock()
	stats = s.slowClients
	s.mu.Unlock()
	s.flowMu.Lock()
	defer s.flowMu.Unlock()
	answerBytes, textBytes, _ = s.flow.Usage()
	return stats, answerBytes, textBytes
}

func (s *Server) updateSlowStats(update func(*SlowClientStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.slowClients)
}

// watchSlowClients checks all connections periodically, until ctx ends or, once accepting is closed, the last one has ended.
func (s *Server) watchSlowClients(ctx context.Context, accepting <-chan struct{}) {
	ticker := time.NewTicker(flowCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		connections := s.snapshot()
		select {
		case <-accepting:
			if len(connections) == 0 {
				return
			}
		default:
		}
		for _, c := range connections {
			c.checkFlow()
		}
	}
}

func (s *Server) snapshot() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.connections))
}

// flowChange is what a check of a connection's flow leads to.
type flowChange struct {
	stalled        bool // nothing is read from the client
	stalledChanged bool
	disconnect     bool // the client has just been found too slow
	close          bool // the client was disconnected, and has had time for its last answers
}

// checkFlow judges how the client reads its answers: whether reading from it stops or resumes, and whether it is disconnected.
func (c *Conn) checkFlow() {
	change := c.updateFlow()
	if change.stalledChanged {
		if change.stalled {
			c.server.updateSlowStats(func(s *SlowClientStats) { s.Stalled++ })
		}
		c.server.handler.HandleBackpressure(c, change.stalled)
	}
	if change.disconnect {
		c.disconnectSlowClient()
	}
	if !change.stalled || change.disconnect { // the reader has to see a disconnected client's connection end
		c.resumeReading()
	}
	if change.close { // what is in the kernel's send buffer is still sent
		c.closeBy(closeSlowClient)
	}
}

// updateFlow judges the client and notes the result.
func (c *Conn) updateFlow() flowChange {
	var inSendBuffer, stalled, tooSlow bool
	c.withPeer(func(_ time.Duration, peer *flowcontrol.Peer) {
		inSendBuffer = peer.SendBufferBytes() > 0
	})
	if inSendBuffer {
		c.updateUnsent()
	}
	c.withPeer(func(now time.Duration, peer *flowcontrol.Peer) {
		stalled = peer.Stalled()
		tooSlow = peer.TooSlow(now)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	change := flowChange{
		stalled:        stalled,
		stalledChanged: c.stalled != stalled && !c.ended,
		disconnect:     tooSlow && c.disconnectedAt.IsZero() && !c.ended,
	}
	c.stalled = stalled
	if change.disconnect {
		c.disconnectedAt = time.Now()
	}
	flushed := len(c.openStreams) == 0 && len(c.queue) == 0
	change.close = !c.disconnectedAt.IsZero() && (flushed || time.Since(c.disconnectedAt) > flushTimeout)
	return change
}

// resumeReading wakes the reader where it waits for the client to read its answers.
func (c *Conn) resumeReading() {
	select {
	case c.readResumed <- struct{}{}:
	default:
	}
}

// disconnectSlowClient begins to end a connection whose client reads at less than the least rate. Answers that are queued are
// replaced by short aborts, open statements are aborted, and then the connection is closed.
func (c *Conn) disconnectSlowClient() {
	c.server.recordSlowClient(c)
	shortened := c.replaceQueuedAnswers()
	c.server.updateSlowStats(func(s *SlowClientStats) { s.Shortened += shortened })
	c.server.handler.AbortOpenStatements(c, tooSlowReason)
	c.sendConnError(errClientTooSlow)
}

// recordSlowClient counts a client that is disconnected, and logs it.
func (s *Server) recordSlowClient(c *Conn) {
	s.mu.Lock()
	s.slowClients.Released++
	total := s.slowClients.Released
	logged := time.Since(s.slowClientLoggedAt) > slowClientLogInterval
	if logged {
		s.slowClientLoggedAt = time.Now()
	}
	s.mu.Unlock()
	if logged {
		s.log.Warn(logevent.SlowClientDisconnected, logevent.Client(c.raw.RemoteAddr()), zap.Int64("total", total))
	}
}

// replaceQueuedAnswers replaces each long answer that is not being written yet by a short abort, and returns their number.
func (c *Conn) replaceQueuedAnswers() (replaced int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.queue {
		queued := &c.queue[i]
		if queued.stream == 0 || len(queued.bytes) <= alwaysQueuedBytes {
			continue
		}
		abort := tooSlowAbort(queued.stream)
		c.forceQueue(len(abort) - len(queued.bytes))
		queued.bytes = abort
		replaced++
	}
	return replaced
}

// tooSlowAbort returns the short answer that replaces one for which a slow client's queue is too long.
func tooSlowAbort(stream uint32) []byte {
	return appendAnswer(nil, frameAnswer, stream, CodeAborted, []byte(tooSlowReason))
}

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
	// flowCheckInterval is the interval at which the read rate of each client is checked.
	flowCheckInterval = 250 * time.Millisecond
	// slowClientLogInterval is the minimum time between two log lines, since many clients may be disconnected at once.
	slowClientLogInterval = time.Second
)

// tooSlowReason is sent to clients, in the short aborts that replace answers and in the error before a disconnect.
const tooSlowReason = "the client takes its answers in too slowly"

// SlowClientStats counts, since the start of the server, the measures taken against slow clients.
type SlowClientStats struct {
	Stalled      int64 // times that the server stopped reading from a client
	Disconnected int64 // clients that were disconnected as too slow
	Shortened    int64 // answers that a short abort replaced

	ReadDelays    int64 // times that reading was delayed, since a client sent cancels or readiness queries at a high rate
	SkippedFrames int64 // complete frames that were rejected, since no memory was left for them
}

// FlowControlStats returns the counts for slow clients and what clients have in memory now.
func (s *Server) FlowControlStats() (stats SlowClientStats, usage flowcontrol.Usage) {
	s.mu.Lock()
	stats = s.slowClients
	s.mu.Unlock()
	s.flowMu.Lock()
	defer s.flowMu.Unlock()
	return stats, s.flow.Usage()
}

func (s *Server) updateSlowStats(update func(*SlowClientStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.slowClients)
}

// watchSlowClients checks all connections periodically. It returns when ctx is cancelled, or when accepting is closed and no
// connection is left.
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

// snapshot returns the connections that are open now.
func (s *Server) snapshot() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.connections))
}

// flowChange is the result of a check of a connection's flow control state.
type flowChange struct {
	stalled        bool // the server does not read from the client
	stalledChanged bool
	disconnect     bool // this check found the client too slow
	close          bool // the client was found too slow, and its last answers were written or flushTimeout has passed
}

// checkFlow checks how fast the client reads its answers. Depending on that, the server stops or resumes reading from the client, or
// disconnects it.
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
	if !change.stalled || change.disconnect { // the reader must notice that the connection of a disconnected client ends
		c.resumeReading()
	}
	if change.close { // the kernel still sends what is in its send buffer
		c.closeBy(closeSlowClient)
	}
}

// updateFlow checks the client's flow control state and records the result in the connection.
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

// resumeReading wakes the reader if it waits for the client to read its answers.
func (c *Conn) resumeReading() {
	select {
	case c.readResumed <- struct{}{}:
	default:
	}
}

// disconnectSlowClient starts to end a connection whose client reads more slowly than the minimum rate. It replaces queued answers by
// short aborts and has the handler abort open statements. checkFlow closes the connection once the last answers are written or
// flushTimeout has passed.
func (c *Conn) disconnectSlowClient() {
	c.server.recordSlowClient(c)
	shortened := c.replaceQueuedAnswers()
	c.server.updateSlowStats(func(s *SlowClientStats) { s.Shortened += shortened })
	c.server.handler.AbortOpenStatements(c, tooSlowReason)
	c.sendConnError(errClientTooSlow)
}

// recordSlowClient counts a client that is disconnected as too slow, and logs it at most once per slowClientLogInterval.
func (s *Server) recordSlowClient(c *Conn) {
	s.mu.Lock()
	s.slowClients.Disconnected++
	total := s.slowClients.Disconnected
	logged := time.Since(s.slowClientLoggedAt) > slowClientLogInterval
	if logged {
		s.slowClientLoggedAt = time.Now()
	}
	s.mu.Unlock()
	if logged {
		s.log.Warn(logevent.SlowClientDisconnected, logevent.Client(c.raw.RemoteAddr()), zap.Int64("total", total))
	}
}

// replaceQueuedAnswers replaces each queued answer longer than alwaysQueuedBytes by a short abort, and returns how many it replaced.
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

// tooSlowAbort returns the short abort that replaces an answer to a slow client.
func tooSlowAbort(stream uint32) []byte {
	return appendAnswer(nil, frameAnswer, stream, CodeAborted, []byte(tooSlowReason))
}

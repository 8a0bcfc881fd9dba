package downstream

import "time"

const (
	// newConnGrace is the time for which a new connection is kept because its first statement may be in flight.
	newConnGrace = 500 * time.Millisecond
	// evictionIdleTime is the time for which an idle connection is kept because its next statement may be in flight.
	evictionIdleTime = time.Second
)

// evictionRank orders connections for eviction: the connection with the highest rank is evicted first.
type evictionRank int

const (
	notEvictable     evictionRank = iota // evicting it might leave a client without an answer
	evictIdle                            // has no open stream and has been idle for evictionIdleTime
	evictSilent                          // has not sent a frame within newConnGrace
	evictMisbehaving                     // has sent an invalid frame
)

// evictOne requests the eviction of the connection with the highest rank and, among equal ranks, the longest idle time. It does
// nothing if no connection can be evicted.
func (s *Server) evictOne() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidate *Conn
	var candidateIdleSince time.Time
	highest := notEvictable
	for c := range s.connections {
		if c.evictionRequested.Load() { // its slot will be free soon
			continue
		}
		rank, idleSince := c.evictionState()
		if rank > highest || rank == highest && rank != notEvictable && idleSince.Before(candidateIdleSince) {
			candidate = c
			candidateIdleSince = idleSince
			highest = rank
		}
	}
	if candidate != nil {
		candidate.requestEviction()
	}
}

func (s *Server) recordEviction() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evicted++
}

// Evicted returns the number of connections that were closed since the start to free a slot for another one.
func (s *Server) Evicted() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evicted
}

// requestEviction asks the reader to close the connection. Only the reader knows whether it has read input that it has not handled yet,
// so only the reader decides.
func (c *Conn) requestEviction() {
	c.evictionRequested.Store(true)
	c.interruptRead()
}

// evictIfRequested closes the connection if its eviction was requested and no client would lose an answer. hasInput tells whether the
// reader has input that it has not handled yet. It returns whether it has closed the connection. Only the reader may call it.
func (c *Conn) evictIfRequested(hasInput bool) (evicted bool) {
	if !c.evictionRequested.Load() {
		return false
	}
	if !hasInput && c.closeIfIdle() {
		c.server.recordEviction()
		return true
	}
	c.evictionRequested.Store(false)
	return false
}

// evictionRank returns the connection's present rank.
func (c *Conn) evictionRank() evictionRank {
	rank, _ := c.evictionState()
	return rank
}

// evictionState returns the connection's present rank and since when it has been idle.
func (c *Conn) evictionState() (rank evictionRank, idleSince time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lockedEvictionRank(), c.idleSince
}

// lockedEvictionRank returns the connection's present rank. The rank is notEvictable if a stream is open, an answer is queued, being
// written or not acknowledged by the client, or a statement is unread or may be in flight. The caller must hold mu.
func (c *Conn) lockedEvictionRank() evictionRank {
	switch {
	case c.ended || len(c.openStreams) > 0 || len(c.queue) > 0 || c.framesInWrite > 0:
		return notEvictable
	case c.hasUnacknowledged(): // on a close with unread input the kernel drops unacknowledged answers
		return notEvictable
	case c.framingLost.Load(): // unread input is not handled as a statement any more
		return evictMisbehaving
	case c.unreadBytes() > 0: // may be a statement that arrived while the router process was not running or during delayReading
		return notEvictable
	case c.invalidFrames > 0:
		return evictMisbehaving
	case !c.hasSentFrame && time.Since(c.acceptedAt) < newConnGrace:
		return notEvictable
	case !c.hasSentFrame:
		return evictSilent
	case time.Since(c.idleSince) < evictionIdleTime:
		return notEvictable
	}
	return evictIdle
}

// hasUnacknowledged returns whether there are written bytes that the client has not acknowledged. It returns false if the kernel does
// not report that.
func (c *Conn) hasUnacknowledged() bool {
	unsent, known := c.unsentBytes()
	return known && unsent > 0
}

// closeIfIdle closes the connection unless its rank is notEvictable, and returns whether it did. Input that arrives after the close is
// not handled.
func (c *Conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lockedEvictionRank() == notEvictable {
		return false
	}
	c.ended = true
	c.closeBy(closeEvicted)
	return true
}

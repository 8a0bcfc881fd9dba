package downstream

import "time"

const (
	// newConnGrace is how long the first statement of a new connection may be on its way.
	newConnGrace = 500 * time.Millisecond
	// evictionIdleTime is how long the next statement of a connection that was answered may be on its way.
	evictionIdleTime = time.Second
)

// evictionRank orders connections by what closing them would lose: the higher, the less.
type evictionRank int

const (
	notEvictable     evictionRank = iota // a client might not receive an answer
	evictIdle                            // nothing open, and nothing sent for a while
	evictSilent                          // has never sent a frame
	evictMisbehaving                     // has sent an invalid frame
)

// evictOne asks the connection whose loss is least to end; among equals, the one that has been idle longest.
func (s *Server) evictOne() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidate *Conn
	var candidateIdleSince time.Time
	highest := notEvictable
	for c := range s.connections {
		if c.evictionRequested.Load() { // its slot is about to be free
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

// Evicted returns the number of connections that were closed to free a slot for another one, since the start.
func (s *Server) Evicted() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evicted
}

// requestEviction asks the reader to close the connection. It alone knows what it has read and not handled yet, so it alone may decide.
func (c *Conn) requestEviction() {
	c.evictionRequested.Store(true)
	c.raw.SetReadDeadline(time.Now()) // ends a read that waits
}

// evictIfRequested closes the connection where that was requested and still loses nothing; hasInput reports whether the reader has input
// that it did not handle yet. It returns whether it has closed the connection. Only the reader calls it.
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

// evictionRank is the rank of evictionState.
func (c *Conn) evictionRank() evictionRank {
	rank, _ := c.evictionState()
	return rank
}

// evictionState returns what closing the connection would lose, and since when no stream is open.
func (c *Conn) evictionState() (rank evictionRank, idleSince time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lockedEvictionRank(), c.idleSince
}

// lockedEvictionRank is notEvictable for a connection with something open, whose client has not acknowledged its last answer yet, or
// whose next statement may well be on its way. The caller holds mu.
func (c *Conn) lockedEvictionRank() evictionRank {
	switch {
	case c.ended || len(c.openStreams) > 0 || len(c.queue) > 0 || c.framesInWrite > 0:
		return notEvictable
	case c.hasUnacknowledged(): // a close would have the kernel drop it if something lies unread
		return notEvictable
	case c.framingLost.Load(): // what lies unread is no statement
		return evictMisbehaving
	case c.unreadBytes() > 0: // it arrived while the router did not run, or while the reader waits after an invalid frame
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

// hasUnacknowledged returns whether the client has not acknowledged all that was written. Where the kernel does not report it, it has.
func (c *Conn) hasUnacknowledged() bool {
	unsent, known := c.unsentBytes()
	return known && unsent > 0
}

// closeIfIdle closes a connection whose loss leaves no client without an answer, and returns whether it did: what arrives on it is not
// handled any more.
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

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

// evictOne closes the connection whose loss is least; among equals, the one that has been idle longest.
func (s *Server) evictOne() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidate *Conn
	highest := notEvictable
	for c := range s.connections {
		rank := c.evictionRank()
		if rank > highest || rank == highest && rank != notEvictable && c.idleSince.Before(candidate.idleSince) {
			candidate = c
			highest = rank
		}
	}
	if candidate != nil && candidate.closeIfIdle() {
		s.evicted++
	}
}

// Evicted returns the number of connections that were closed to free a slot for another one, since the start.
func (s *Server) Evicted() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evicted
}

// evictionRank is notEvictable for a connection with something open, whose client has not acknowledged its last answer yet, or
// whose next statement may well be on its way.
func (c *Conn) evictionRank() evictionRank {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended || len(c.openStreams) > 0 || len(c.queue) > 0 || c.framesInWrite > 0:
		return notEvictable
	case c.invalidFrames > 0:
		return evictMisbehaving
	case c.unreadBytes() > 0: // it arrived while the router did not run
		return notEvictable
	case !c.hasSentFrame && time.Since(c.acceptedAt) < newConnGrace:
		return notEvictable
	case !c.hasSentFrame:
		return evictSilent
	case time.Since(c.idleSince) < evictionIdleTime:
		return notEvictable
	}
	if unsent, ok := c.unsentBytes(); ok && unsent > 0 { // a close would have the kernel drop it if something lies unread
		return notEvictable
	}
	return evictIdle
}

// closeIfIdle closes a connection with nothing open, and returns whether it did: what arrives on it is not handled any more.
func (c *Conn) closeIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || len(c.openStreams) > 0 {
		return false
	}
	c.ended = true
	c.setCloseReason(closeEvicted)
	c.raw.Close()
	return true
}

package downstream

// StartDraining notifies every client, now and later, to send no new statement on its connection. Those that arrive all the same
// are still handled.
func (s *Server) StartDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.connections {
		c.sendDraining()
	}
}

// sendDraining queues the frame that asks for no new statements. The caller holds Server.mu, which enqueue would lock to count a slow
// client; that cannot happen here, since a frame as short as this one never makes a client count as slow.
func (c *Conn) sendDraining() {
	c.enqueue(appendFrame(nil, frameDraining, 0, 0), 0)
}

// PendingWrites is the number of frames that wait to be written or are being written, and of connections whose client has not
// acknowledged yet all that was.
func (s *Server) PendingWrites() (pending int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		pending += c.pendingFrames()
		if c.hasUnacknowledged() { // the kernel might drop it if the process ended now
			pending++
		}
	}
	return pending
}

func (c *Conn) pendingFrames() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) + c.framesInWrite + c.answersQueued
}

// PendingReads returns the number of connections that wait for a slot, or that have unread input: it may be a statement that arrived
// in time.
func (s *Server) PendingReads() int {
	pending := int(s.awaitingSlot.Load())
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		if !c.framingLost.Load() && c.unreadBytes() > 0 {
			pending++
		}
	}
	return pending
}

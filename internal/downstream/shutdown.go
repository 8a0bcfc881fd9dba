package downstream

// StartDraining asks every client, including those that connect later, to send no new statements on its connection. Statements that
// arrive nevertheless are still handled.
func (s *Server) StartDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for c := range s.connections {
		c.sendDraining()
	}
}

// sendDraining queues the frame that asks the client to send no new statements. The caller holds Server.mu, which enqueue locks to
// count stalled clients and shortened answers. That does not deadlock here, since a frame this short neither stalls a client nor is
// shortened.
func (c *Conn) sendDraining() {
	c.enqueue(appendFrame(nil, frameDraining, 0, 0), 0)
}

// PendingWrites returns the number of frames that are queued or being written, plus the number of connections whose client has not
// acknowledged all written bytes.
func (s *Server) PendingWrites() (pending int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.connections {
		pending += c.pendingFrames()
		if c.hasUnacknowledged() { // the kernel might drop the bytes if the process exited now
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

// PendingReads returns the number of connections that wait for a slot or have unread input, which may be a statement that arrived
// before the shutdown.
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

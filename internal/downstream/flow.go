package downstream

import (
	"time"

	"bankledge/internal/flowcontrol"
)

// withPeer calls do with the connection's flow control state and the current time on the flow control clock, while it holds
// Server.flowMu.
func (c *Conn) withPeer(do func(now time.Duration, peer *flowcontrol.Peer)) {
	c.server.flowMu.Lock()
	defer c.server.flowMu.Unlock()
	do(time.Since(c.server.clockStart), c.peer)
}

// updateUnsent records how many bytes are in the kernel's send buffer, which the client has not acknowledged yet.
func (c *Conn) updateUnsent() {
	unsent, ok := c.unsentBytes()
	if !ok {
		return
	}
	c.withPeer(func(now time.Duration, peer *flowcontrol.Peer) { peer.RecordUnsent(now, int64(unsent)) })
}

// tryQueue reserves memory for an answer in the client's queue, or returns false if flow control does not allow it.
func (c *Conn) tryQueue(bytes int) (queued bool) {
	c.withPeer(func(now time.Duration, peer *flowcontrol.Peer) { queued = peer.TryQueue(now, int64(bytes)) })
	return queued
}

// forceQueue reserves memory in the client's queue even if the queue is full. A negative number releases memory.
func (c *Conn) forceQueue(bytes int) {
	c.withPeer(func(now time.Duration, peer *flowcontrol.Peer) { peer.ForceQueue(now, int64(bytes)) })
}

// ReserveText reserves memory for the text of a statement, or returns false if flow control does not allow it. ReleaseText releases
// the memory.
func (c *Conn) ReserveText(bytes int) (reserved bool) {
	c.withPeer(func(_ time.Duration, peer *flowcontrol.Peer) { reserved = peer.ReserveText(int64(bytes)) })
	return reserved
}

// ReleaseText releases memory reserved by ReserveText. It may be called after the connection has ended.
func (c *Conn) ReleaseText(bytes int) {
	c.withPeer(func(_ time.Duration, peer *flowcontrol.Peer) { peer.ReleaseText(int64(bytes)) })
}

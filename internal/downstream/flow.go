package downstream

import (
	"time"

	"bankledge/internal/flowcontrol"
)

// withPeer calls do with the connection's flow control state, under its lock, and the time on its clock.
func (c *Conn) withPeer(do func(now time.Duration, peer *flowcontrol.Peer)) {
	c.server.flowMu.Lock()
	defer c.server.flowMu.Unlock()
	do(time.Since(c.server.clockStart), c.peer)
}

// updateUnsent records what the kernel still holds for the client, which is what the client has not acknowledged.
func (c *Conn) updateUnsent() {
	unsent, ok := c.unsentBytes()
	if !ok {
		return
	}
	c.withPeer(func(now time.Duration, peer *flowcontrol.Peer) { peer.RecordUnsent(now, int64(unsent)) })
}

// tryQueue reserves memory for an answer in the client's queue, if it may have it.
func (c *Conn) tryQueue(bytes int) (queued bool) {
	c.withPeer(func(now time.Duration, peer *flowcontrol.Peer) { queued = peer.TryQueue(now, int64(bytes)) })
	return queued
}

// forceQueue reserves memory in the client's queue even if it is full; a negative number releases it.
func (c *Conn) forceQueue(bytes int) {
	c.withPeer(func(now time.Duration, peer *flowcontrol.Peer) { peer.ForceQueue(now, int64(bytes)) })
}

// ReserveText reserves memory for a statement's text of so many bytes, if this client may have it. ReleaseText releases it.
func (c *Conn) ReserveText(bytes int) (reserved bool) {
	c.withPeer(func(_ time.Duration, peer *flowcontrol.Peer) { reserved = peer.ReserveText(int64(bytes)) })
	return reserved
}

// ReleaseText releases the memory of a text; it may be called after the connection has ended.
func (c *Conn) ReleaseText(bytes int) {
	c.withPeer(func(_ time.Duration, peer *flowcontrol.Peer) { peer.ReleaseText(int64(bytes)) })
}

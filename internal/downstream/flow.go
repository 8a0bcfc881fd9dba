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

// tryQueue asks for room for an answer in the client's queue.
func (c *Conn) tryQueue(bytes int) (queued bool) {
	c.withPeer(func(now time.Duration, peer *flowcontrol.Peer) { queued = peer.TryQueue(now, int64(bytes)) })
	return queued
}

// forceQueue takes room in the client's queue whatever waits; a negative number gives room back.
func (c *Conn) forceQueue(bytes int) {
	c.withPeer(func(now time.Duration, peer *flowcontrol.Peer) { peer.ForceQueue(now, int64(bytes)) })
}

// ReserveText asks whether a statement's text of so many bytes may be held for this client; if so, ReleaseText gives the room back.
func (c *Conn) ReserveText(bytes int) (reserved bool) {
	c.withPeer(func(_ time.Duration, peer *flowcontrol.Peer) { reserved = peer.ReserveText(int64(bytes)) })
	return reserved
}

// ReleaseText gives back the room of a text, also once the connection has ended.
func (c *Conn) ReleaseText(bytes int) {
	c.withPeer(func(_ time.Duration, peer *flowcontrol.Peer) { peer.ReleaseText(int64(bytes)) })
}

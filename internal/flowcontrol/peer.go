package flowcontrol

import "time"

const (
	reserveDivisor    = 4 // one part in so many of Limits.AnswerBytes is for peers for which nothing waits
	trustFactor       = 4 // times an answer's size that a peer has to have read before, for more to be queued for it
	maxTrustedBytes   = 4 * maxSendBufferBytes
	maxUntrustedBytes = 2 * maxSendBufferBytes
	pressureDivisor   = 4 // from one part in so many of Limits.AnswerBytes, no peer is trusted that has not read answers before
	stallDivisor      = 2 // a peer stalls at one part in so many of its fair share
	sharedTextDivisor = 2 // one part in so many of Limits.TextBytes is shared by hosts; the rest is first come, first served
)

// Peer is one connection's account.
type Peer struct {
	controller      *Controller
	host            *host
	queuedBytes     int64 // of answers not written yet
	sendBufferBytes int64 // written and, as last seen, not yet acknowledged
	textBytes       int64
	receivedBytes   int64 // acknowledged in all
	refused         bool  // an answer could not be kept for it; nothing more is done for it until there is room again
	readRate        rateMeter
	closed          bool
}

// Close releases what waits for a peer, but for texts, which ReleaseText releases one by one.
func (p *Peer) Close() {
	if p.closed {
		return
	}
	p.addPending(-p.PendingBytes())
	p.queuedBytes = 0
	p.sendBufferBytes = 0
	p.closed = true
	p.host.peers--
	p.removeIdleHost()
}

// removeIdleHost forgets the host once nothing of it is left.
func (p *Peer) removeIdleHost() {
	if p.host.peers == 0 && p.host.textBytes == 0 {
		delete(p.controller.hosts, p.host.name)
	}
}

// PendingBytes is how much waits for the peer.
func (p *Peer) PendingBytes() int64 { return p.queuedBytes + p.sendBufferBytes }

// SendBufferBytes is what was written to the peer and, as last seen, not yet acknowledged.
func (p *Peer) SendBufferBytes() int64 { return p.sendBufferBytes }

// addPending changes what waits for the host and in all, by what is about to change for the peer.
func (p *Peer) addPending(bytes int64) {
	before := p.PendingBytes()
	if p.host.answerBytes == 0 && bytes > 0 {
		p.controller.pendingHosts++
	}
	if before == 0 && bytes > 0 {
		p.host.pendingPeers++
	}
	p.host.answerBytes += bytes
	p.controller.answerBytes += bytes
	if before > 0 && before+bytes == 0 {
		p.host.pendingPeers--
	}
	if p.host.answerBytes == 0 && bytes < 0 {
		p.controller.pendingHosts--
	}
}

// sharedAnswerBytes is what of the memory for answers is not in reserve for peers for which nothing waits.
func (c *Controller) sharedAnswerBytes() int64 {
	return c.limits.AnswerBytes - c.limits.AnswerBytes/reserveDivisor
}

// fairShare is how much may wait for one peer: what is not in reserve is divided among hosts, and a host's part among its peers.
func (p *Peer) fairShare() int64 {
	hosts := p.controller.pendingHosts
	if p.host.answerBytes == 0 {
		hosts++
	}
	peers := p.host.pendingPeers
	if p.PendingBytes() == 0 {
		peers++
	}
	return p.controller.sharedAnswerBytes() / int64(max(1, hosts)) / int64(max(1, peers))
}

// TryQueue asks whether an answer of so many bytes may wait for the peer, and accounts for it if so.
func (p *Peer) TryQueue(now time.Duration, bytes int64) bool {
	if p.closed || !p.mayQueue(bytes) {
		p.refused = true
		return false
	}
	p.ForceQueue(now, bytes)
	return true
}

// mayQueue decides whether an answer may wait. A peer for which nothing waits may have one more, and one that has read its answers so
// far a few, as long as there is memory: what waits for others, in the part of it that is shared, does not count against these.
func (p *Peer) mayQueue(bytes int64) bool {
	c := p.controller
	total := c.answerBytes + bytes
	pending := p.PendingBytes() + bytes
	switch {
	case total > c.limits.AnswerBytes:
		return false
	case p.PendingBytes() == 0: // one is kept for anyone
		return true
	case p.sendBufferBytes == 0 && p.receivedBytes >= trustFactor*bytes && pending <= maxTrustedBytes:
		return true
	case total <= c.limits.AnswerBytes/2 && pending <= maxUntrustedBytes: // an answer that was in hand when the peer turned out to be slow
		return true
	}
	return total <= c.sharedAnswerBytes() && pending <= p.fairShare()
}

// ForceQueue accounts for what has to be sent whatever waits: the short frames that end a statement or a connection. A negative
// number releases what was queued and is not sent.
func (p *Peer) ForceQueue(now time.Duration, bytes int64) {
	if p.closed {
		return
	}
	p.addPending(bytes)
	p.queuedBytes += bytes
	p.readRate.setWaiting(now, true)
}

// CanWrite returns whether so much may be written now without the kernel holding more than it should.
func (p *Peer) CanWrite(bytes int64) bool {
	return p.sendBufferBytes == 0 || p.sendBufferBytes+bytes <= p.controller.limits.SendBufferBytes
}

// RecordWritten records that so much of what was queued was handed to the kernel.
func (p *Peer) RecordWritten(bytes int64) {
	if p.closed {
		return
	}
	p.queuedBytes -= bytes
	p.sendBufferBytes += bytes
}

// RecordUnsent records how much of what was written the peer has not acknowledged yet, by the kernel's count.
func (p *Peer) RecordUnsent(now time.Duration, unsent int64) {
	if p.closed || unsent >= p.sendBufferBytes {
		return
	}
	received := p.sendBufferBytes - unsent
	p.addPending(-received)
	p.sendBufferBytes = unsent
	p.receivedBytes += received
	p.readRate.record(now, received)
	p.readRate.setWaiting(now, p.PendingBytes() > 0)
}

// Stalled returns whether so much waits for the peer that nothing further is read from it, nor done for it.
func (p *Peer) Stalled() bool {
	c := p.controller
	pending := p.PendingBytes()
	p.refused = p.refused && c.answerBytes > c.limits.AnswerBytes/2
	switch {
	case p.refused:
		return true
	case pending == 0:
		return false
	case p.receivedBytes >= trustFactor*pending:
		return pending > maxTrustedBytes
	}
	return pending > p.fairShare()/stallDivisor || pending > maxUntrustedBytes || c.answerBytes > c.limits.AnswerBytes/pressureDivisor
}

// TooSlow returns whether the peer reads its answers at less than the least rate. It is judged only while something waits for
// it, and not where all that waits is read within the window, however little that is.
func (p *Peer) TooSlow(now time.Duration) bool {
	limits := p.controller.limits
	moved, judged := p.readRate.movedWithin(now, limits.ReadGrace, limits.ReadWindow)
	required := int64(float64(limits.MinReadRate) * limits.ReadWindow.Seconds())
	return judged && moved < p.PendingBytes() && moved < required
}

// ReserveText asks whether a statement's text may be held for the peer, and accounts for it if so. Half of the memory is first come,
// first served; the rest is divided among hosts and within one among its peers, so that one that floods only limits itself.
func (p *Peer) ReserveText(bytes int64) bool {
	c := p.controller
	total := c.textBytes + bytes
	if total > c.limits.TextBytes {
		return false
	}
	unshared := c.limits.TextBytes / sharedTextDivisor
	if total > unshared && p.textBytes > 0 && p.textBytes+bytes > p.textShare() {
		return false
	}
	p.addText(bytes)
	return true
}

// textShare is how much of the shared part of the memory for texts one peer may hold.
func (p *Peer) textShare() int64 {
	shared := p.controller.limits.TextBytes / sharedTextDivisor
	return shared / int64(max(1, len(p.controller.hosts))) / int64(max(1, p.host.peers))
}

// ReleaseText releases a text; it may be called after Close.
func (p *Peer) ReleaseText(bytes int64) {
	p.addText(-bytes)
	if p.closed {
		p.removeIdleHost()
	}
}

func (p *Peer) addText(bytes int64) {
	p.controller.textBytes += bytes
	p.host.textBytes += bytes
	p.textBytes += bytes
}

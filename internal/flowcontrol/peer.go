package flowcontrol

import "time"

const (
	reserveDivisor    = 4 // 1/4 of Limits.AnswerBytes is reserved for peers without pending answers
	trustFactor       = 4 // a peer is trusted with an answer if it has read this many times its size so far
	maxTrustedBytes   = 4 * maxSendBufferBytes
	maxUntrustedBytes = 2 * maxSendBufferBytes
	pressureDivisor   = 4 // above 1/4 of Limits.AnswerBytes in use, only trusted peers may have pending answers without stalling
	stallDivisor      = 2 // a peer stalls at 1/2 of its fair share
	sharedTextDivisor = 2 // 1/2 of Limits.TextBytes is divided among hosts; the rest is first come, first served
)

// Peer holds the byte counts and the read rate of one connection.
type Peer struct {
	controller      *Controller
	host            *host
	queuedBytes     int64 // answers not written yet
	sendBufferBytes int64 // written and, at the last check, not yet acknowledged
	textBytes       int64
	frame           frame // the incomplete frame
	receivedBytes   int64 // acknowledged since the connection was opened
	refused         bool  // TryQueue refused an answer; the peer is stalled until at most half of Limits.AnswerBytes is in use
	readRate        rateMeter
	closed          bool
}

// Close removes the peer and releases its pending answers. Its texts stay counted until ReleaseText is called for each.
func (p *Peer) Close() {
	if p.closed {
		return
	}
	p.addPending(-p.PendingBytes())
	p.queuedBytes = 0
	p.sendBufferBytes = 0
	p.ReleaseFrame()
	p.closed = true
	p.host.peers--
	p.removeIdleHost()
}

// removeIdleHost deletes the host if it has neither peers nor texts.
func (p *Peer) removeIdleHost() {
	if p.host.peers == 0 && p.host.textBytes == 0 {
		delete(p.controller.hosts, p.host.name)
	}
}

// PendingBytes returns the bytes of answers that are queued for the peer, or written and not yet acknowledged.
func (p *Peer) PendingBytes() int64 { return p.queuedBytes + p.sendBufferBytes }

// SendBufferBytes returns the bytes written to the peer and, at the last check, not yet acknowledged.
func (p *Peer) SendBufferBytes() int64 { return p.sendBufferBytes }

// addPending adds to the totals of the host and the controller. It must be called before the peer's own counts change.
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

// sharedAnswerBytes returns the part of Limits.AnswerBytes that is not reserved for peers without pending answers.
func (c *Controller) sharedAnswerBytes() int64 {
	return c.limits.AnswerBytes - c.limits.AnswerBytes/reserveDivisor
}

// fairShare returns the peer's fair share of sharedAnswerBytes, which is divided equally among hosts with pending answers and, within a
// host, equally among its peers with pending answers.
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

// TryQueue counts an answer as queued for the peer, or returns false if the answer must not be queued.
func (p *Peer) TryQueue(now time.Duration, bytes int64) bool {
	if p.closed || !p.mayQueue(bytes) {
		p.refused = true
		return false
	}
	p.ForceQueue(now, bytes)
	return true
}

// mayQueue returns whether an answer may be queued. Within Limits.AnswerBytes, a peer without pending answers may always have one
// answer, and a peer that has read its answers so far may have several, even if other peers have used up sharedAnswerBytes.
func (p *Peer) mayQueue(bytes int64) bool {
	c := p.controller
	total := c.answerBytes + bytes
	pending := p.PendingBytes() + bytes
	switch {
	case total > c.limits.AnswerBytes:
		return false
	case p.PendingBytes() == 0: // every peer may have one answer
		return true
	case p.sendBufferBytes == 0 && p.receivedBytes >= trustFactor*bytes && pending <= maxTrustedBytes:
		return true
	case total <= c.limits.AnswerBytes/2 && pending <= maxUntrustedBytes: // e.g. for an answer in flight when the peer became slow
		return true
	}
	return total <= c.sharedAnswerBytes() && pending <= p.fairShare()
}

// ForceQueue counts bytes as queued regardless of the limits. It is meant for the short frames that end a statement or a connection. A
// negative number releases queued bytes that are not sent.
func (p *Peer) ForceQueue(now time.Duration, bytes int64) {
	if p.closed {
		return
	}
	p.addPending(bytes)
	p.queuedBytes += bytes
	p.readRate.setPending(now, true)
}

// CanWrite returns whether writing so many bytes now keeps the kernel's send buffer within Limits.SendBufferBytes. It returns true if the
// send buffer is empty.
func (p *Peer) CanWrite(bytes int64) bool {
	return p.sendBufferBytes == 0 || p.sendBufferBytes+bytes <= p.controller.limits.SendBufferBytes
}

// RecordWritten records that so many queued bytes were passed to the kernel.
func (p *Peer) RecordWritten(bytes int64) {
	if p.closed {
		return
	}
	p.queuedBytes -= bytes
	p.sendBufferBytes += bytes
}

// RecordUnsent records how many written bytes the peer has not acknowledged yet, as reported by the kernel.
func (p *Peer) RecordUnsent(now time.Duration, unsent int64) {
	if p.closed || unsent >= p.sendBufferBytes {
		return
	}
	received := p.sendBufferBytes - unsent
	p.addPending(-received)
	p.sendBufferBytes = unsent
	p.receivedBytes += received
	p.readRate.record(now, received)
	p.readRate.setPending(now, p.PendingBytes() > 0)
}

// Stalled returns whether the peer has so many pending answers that the router must stop reading from it and starting its statements.
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

// TooSlow returns whether the peer reads its answers more slowly than Limits.MinReadRate. The rate is measured only while answers are
// pending. A peer that has read at least as many bytes within the window as are pending now is not too slow, however few they are.
func (p *Peer) TooSlow(now time.Duration) bool {
	limits := p.controller.limits
	bytesRead, measured := p.readRate.bytesReadWithin(now, limits.ReadGrace, limits.ReadWindow)
	required := int64(float64(limits.MinReadRate) * limits.ReadWindow.Seconds())
	return measured && bytesRead < p.PendingBytes() && bytesRead < required
}

// ReserveText counts the text of a statement, or returns false if the peer must not have it in memory. Half of Limits.TextBytes is
// first come, first served. The rest is divided equally among hosts and, within a host, among its peers, so that a peer that floods the
// router only limits itself.
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

// textShare returns the peer's share, in bytes, of the part of Limits.TextBytes that is divided among hosts.
func (p *Peer) textShare() int64 {
	shared := p.controller.limits.TextBytes / sharedTextDivisor
	return shared / int64(max(1, len(p.controller.hosts))) / int64(max(1, p.host.peers))
}

// ReleaseText releases the bytes of a text that ReserveText counted. It may be called after Close.
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

// Package account keeps what waits on behalf of each peer, and tells when it is too much or moves too slowly. A peer is
// one connection; all connections of one address make up a host; one book holds all. It is told of bytes and times, and
// answers with verdicts: no I/O, no clock, no goroutines. A lock of its owner guards it.
package flowcontrol

import "time"

// Limits are what may wait. Bytes, bytes a second.
type Limits struct {
	AnswerBytes     int64         // of answers, for all peers: queued, or written and not yet taken in
	TextBytes       int64         // of statements held, for all peers
	SendBufferBytes int64         // written to one peer and not yet taken in, before no more is written
	MinReadRate     int64         // the least at which a peer takes its answers in, in the mean over Window
	MinWriteRate    int64         // the least at which a frame comes in after FrameGrace
	ReadGrace       time.Duration // before a reader is judged
	ReadWindow      time.Duration // over which it is judged
	FrameGrace      time.Duration // in which any frame may come, however slowly
}

// The shares that limits are derived by, and the rates and times that stand whatever the machine.
const (
	answerMemoryDivisor = 8 // of the memory: what is queued is heap, and a full heap costs more than answers are worth
	textMemoryDivisor   = 6
	minSendBufferBytes  = 16 << 10
	maxSendBufferBytes  = 64 << 10 // a whole result, and the next one's beginning
	defaultMinReadRate  = 1 << 10
	defaultMinWriteRate = 16 << 10
	defaultReadGrace    = 4 * time.Second
	defaultReadWindow   = 8 * time.Second
	defaultFrameGrace   = 2 * time.Second
	frameReadSlack      = 500 * time.Millisecond
)

// Derive works out limits for so much memory and so many connections.
func DeriveLimits(memoryMB int64, peers int) Limits {
	out := memoryMB << 20 / answerMemoryDivisor
	return Limits{AnswerBytes: out, TextBytes: memoryMB << 20 / textMemoryDivisor, SendBufferBytes: min(max(out/int64(max(1, peers)), minSendBufferBytes), maxSendBufferBytes),
		MinReadRate: defaultMinReadRate, MinWriteRate: defaultMinWriteRate, ReadGrace: defaultReadGrace, ReadWindow: defaultReadWindow, FrameGrace: defaultFrameGrace}
}

const (
	reserveDivisor    = 4 // one part in so many of Out is for peers that have nothing waiting
	trustFactor       = 4 // times as much as an answer holds has to have been taken in by a peer before
	maxTrustedBytes   = 4 * maxSendBufferBytes
	maxUntrustedBytes = 2 * maxSendBufferBytes
	pressureDivisor   = 4 // from one part in so many of Out, nobody is trusted that has not taken answers in before
	stallDivisor      = 2 // a peer stalls at one part in so many of its share
	sharedTextDivisor = 2 // one part in so many of Texts is shared by hosts; the rest by whoever comes first
)

// Book holds the accounts of all peers.
type Controller struct {
	limits       Limits
	answerBytes  int64
	textBytes    int64
	pendingHosts int // hosts with something out
	hosts        map[string]*host
}

type host struct {
	name         string
	peers        int
	answerBytes  int64
	textBytes    int64
	pendingPeers int // peers with something out
}

// NewBook opens a book.
func NewController(limits Limits) *Controller {
	return &Controller{limits: limits, hosts: map[string]*host{}}
}

// Limits are those in force.
func (b *Controller) Limits() Limits { return b.limits }

// Held is what waits in all: bytes of answers, bytes of texts, and peers.
func (b *Controller) Usage() (out, texts int64, peers int) {
	for _, h := range b.hosts {
		peers += h.peers
	}
	return b.answerBytes, b.textBytes, peers
}

// Peer is one connection's account.
type Peer struct {
	controller      *Controller
	host            *host
	queuedBytes     int64 // answers not written yet
	sendBufferBytes int64 // written and, as last seen, not yet taken in
	textBytes       int64
	receivedBytes   int64     // in all
	refused         bool      // an answer could not be kept for it; nothing more is done for it until there is room again
	readRate        RateMeter // how it takes answers in
	closed          bool
}

// Open opens the account of a connection from an address.
func (b *Controller) OpenPeer(address string) *Peer {
	h := b.hosts[address]
	if h == nil {
		h = &host{name: address}
		b.hosts[address] = h
	}
	h.peers++
	return &Peer{controller: b, host: h}
}

// Close gives back what waits for a peer, but for texts, which are given back one by one.
func (p *Peer) Close() {
	if p.closed {
		return
	}
	p.addPending(-p.queuedBytes - p.sendBufferBytes)
	p.queuedBytes, p.sendBufferBytes, p.closed = 0, 0, true
	p.host.peers--
	p.removeIdleHost()
}

func (p *Peer) removeIdleHost() {
	if p.host.peers == 0 && p.host.textBytes == 0 {
		delete(p.controller.hosts, p.host.name)
	}
}

// Out is how much waits for the peer.
func (p *Peer) PendingBytes() int64 { return p.queuedBytes + p.sendBufferBytes }

// Kernel is what was written to it and, as last seen, not yet taken in.
func (p *Peer) SendBufferBytes() int64 { return p.sendBufferBytes }

// add changes what is out, here and all the way up.
func (p *Peer) addPending(n int64) {
	before := p.PendingBytes()
	h, b := p.host, p.controller
	if h.answerBytes == 0 && n > 0 {
		b.pendingHosts++
	}
	if before == 0 && n > 0 {
		h.pendingPeers++
	}
	h.answerBytes, b.answerBytes = h.answerBytes+n, b.answerBytes+n
	if before > 0 && before+n == 0 {
		h.pendingPeers--
	}
	if h.answerBytes == 0 && n < 0 {
		b.pendingHosts--
	}
}

// share is how much may wait for one peer: what is not in reserve goes to hosts alike, and a host's part to its peers.
func (p *Peer) fairShare() int64 {
	others, peers := p.controller.pendingHosts, p.host.pendingPeers
	if p.host.answerBytes == 0 {
		others++
	}
	if p.PendingBytes() == 0 {
		peers++
	}
	return (p.controller.limits.AnswerBytes - p.controller.limits.AnswerBytes/reserveDivisor) / int64(max(1, others)) / int64(max(1, peers))
}

// Queue asks whether an answer of so many bytes may wait for the peer, and books it if so. One for which nothing waits may
// have one more, and one that has taken its answers so far a few, as long as there is memory: what waits for others, in
// the part of it that is shared, does not count against these.
func (p *Peer) TryQueue(now time.Duration, n int64) bool {
	b := p.controller
	was := p.refused
	p.refused = true
	switch {
	case p.closed:
		return false
	case b.answerBytes+n > b.limits.AnswerBytes:
		return false
	case p.PendingBytes() == 0: // one is kept for anyone
	case p.sendBufferBytes == 0 && p.receivedBytes >= trustFactor*n && p.queuedBytes+n <= maxTrustedBytes: // for one that takes its answers, some more
	case b.answerBytes+n <= b.limits.AnswerBytes/2 && p.PendingBytes()+n <= maxUntrustedBytes: // in hand when it turned out to be slow
	case b.answerBytes+n > b.limits.AnswerBytes-b.limits.AnswerBytes/reserveDivisor || p.PendingBytes()+n > p.fairShare():
		return false
	}
	p.refused = was
	p.ForceQueue(now, n)
	return true
}

// Force books what has to be said whatever waits: the short words that end a statement or a connection.
func (p *Peer) ForceQueue(now time.Duration, n int64) {
	if p.closed {
		return
	}
	p.addPending(n)
	p.queuedBytes += n
	p.readRate.SetWaiting(now, true)
}

// MayWrite tells whether so much may be written now without the kernel holding more than it should.
func (p *Peer) CanWrite(n int64) bool {
	return p.sendBufferBytes == 0 || p.sendBufferBytes+n <= p.controller.limits.SendBufferBytes
}

// Wrote notes that so much was handed to the kernel.
func (p *Peer) RecordWritten(n int64) {
	if !p.closed {
		p.queuedBytes, p.sendBufferBytes = p.queuedBytes-n, p.sendBufferBytes+n
	}
}

// Left notes how much of what was written the peer has not taken in yet, as the kernel tells.
func (p *Peer) RecordUnsent(now time.Duration, left int64) {
	if p.closed || left >= p.sendBufferBytes {
		return
	}
	taken := p.sendBufferBytes - left
	p.addPending(-taken)
	p.sendBufferBytes = left
	p.receivedBytes += taken
	p.readRate.Record(now, taken)
	p.readRate.SetWaiting(now, p.PendingBytes() > 0)
}

// Stalled tells whether so much waits for the peer that nothing further is taken from it, nor done for it.
func (p *Peer) Stalled() bool {
	b, out := p.controller, p.PendingBytes()
	if p.refused = p.refused && b.answerBytes > b.limits.AnswerBytes/2; p.refused {
		return true
	}
	if out > 0 && p.receivedBytes >= trustFactor*out {
		return out > maxTrustedBytes
	}
	return out > p.fairShare()/stallDivisor || out > 0 && (out > maxUntrustedBytes || b.answerBytes > b.limits.AnswerBytes/pressureDivisor)
}

// TooSlow tells whether the peer takes its answers in at less than the least rate. It is judged only while something
// waits for it, and not where all that waits is taken in within the window, however little that is.
func (p *Peer) TooSlow(now time.Duration) bool {
	l := p.controller.limits
	moved, judged := p.readRate.MovedWithin(now, l.ReadGrace, l.ReadWindow)
	return judged && moved < p.PendingBytes() && moved < int64(float64(l.MinReadRate)*l.ReadWindow.Seconds())
}

// HoldText asks whether a statement's text may be held for the peer, and books it if so. Half of the room goes to
// whoever comes first, the rest to hosts alike and within one to its peers, so that one that floods waits for itself.
func (p *Peer) ReserveText(n int64) bool {
	b, h := p.controller, p.host
	free := b.limits.TextBytes / sharedTextDivisor
	if b.textBytes+n > b.limits.TextBytes || b.textBytes+n > free && p.textBytes > 0 && p.textBytes+n > free/int64(max(1, len(b.hosts)))/int64(max(1, h.peers)) {
		return false
	}
	b.textBytes, h.textBytes, p.textBytes = b.textBytes+n, h.textBytes+n, p.textBytes+n
	return true
}

// GiveText gives back a text, also after Close.
func (p *Peer) ReleaseText(n int64) {
	p.controller.textBytes, p.host.textBytes, p.textBytes = p.controller.textBytes-n, p.host.textBytes-n, p.textBytes-n
	if p.closed {
		p.removeIdleHost()
	}
}

// meterSlots is how finely a window slides.
const rateSlots = 16

// Meter measures how much moves, over a sliding window, while somebody is waited for.
type RateMeter struct {
	waiting      bool
	waitingSince time.Duration // it is waited for
	lastSlot     int64         // the slot last written
	bytes        [rateSlots]int64
}

// Waits notes whether the peer is waited for from now on. What moved before a wait does not count for it.
func (m *RateMeter) SetWaiting(now time.Duration, waits bool) {
	if waits && !m.waiting {
		*m = RateMeter{waitingSince: now, lastSlot: -1}
	}
	m.waiting = waits
}

// Moved notes that so much has moved by now. Slots are of one width for all windows.
func (m *RateMeter) Record(now time.Duration, n int64) {
	step := int64(now / slotWidth)
	if m.lastSlot < 0 {
		m.lastSlot = step
	}
	for ; m.lastSlot < step; m.lastSlot++ {
		if step-m.lastSlot > rateSlots { // all of it is past
			m.lastSlot, m.bytes = step-1, [rateSlots]int64{}
			continue
		}
		m.bytes[(m.lastSlot+1)%rateSlots] = 0
	}
	m.bytes[step%rateSlots] += n
}

// slotWidth is the time that one slot of a meter stands for; so no window is longer than 15 of them.
const slotWidth = time.Second

// Over is how much has moved over the window; judged: the peer has been waited for over the grace and the window without
// a break.
func (m *RateMeter) MovedWithin(now time.Duration, grace, window time.Duration) (moved int64, judged bool) {
	if !m.waiting || now-m.waitingSince < grace+window {
		return 0, false
	}
	m.Record(now, 0)
	for i := range min(int64(window/slotWidth), rateSlots-1) {
		moved += m.bytes[(m.lastSlot-i+2*rateSlots)%rateSlots]
	}
	return moved, true
}

// FrameWait is how long to wait for the next bytes of a frame that has been coming for so long, and of which so much has
// come since the grace ended: from there on it has to come at the least rate, half a second's worth ahead.
func (l Limits) FrameReadTimeout(since time.Duration, sinceGrace int64) time.Duration {
	ahead := time.Duration(float64(sinceGrace) / float64(l.MinWriteRate) * float64(time.Second))
	return l.FrameGrace + frameReadSlack + ahead - since
}

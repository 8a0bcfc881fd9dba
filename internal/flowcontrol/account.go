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
	outShare    = 8 // of the memory: what is queued is heap, and a full heap costs more than answers are worth
	textShare   = 6
	leastKernel = 16 << 10
	mostKernel  = 64 << 10 // a whole result, and the next one's beginning
	readerRate  = 1 << 10
	writerRate  = 16 << 10
	grace       = 4 * time.Second
	window      = 8 * time.Second
	frameGrace  = 2 * time.Second
	frameSlack  = 500 * time.Millisecond
)

// Derive works out limits for so much memory and so many connections.
func DeriveLimits(memoryMB int64, peers int) Limits {
	out := memoryMB << 20 / outShare
	return Limits{AnswerBytes: out, TextBytes: memoryMB << 20 / textShare, SendBufferBytes: min(max(out/int64(max(1, peers)), leastKernel), mostKernel),
		MinReadRate: readerRate, MinWriteRate: writerRate, ReadGrace: grace, ReadWindow: window, FrameGrace: frameGrace}
}

const (
	reserve    = 4 // one part in so many of Out is for peers that have nothing waiting
	trustOver  = 4 // times as much as an answer holds has to have been taken in by a peer before
	trustMost  = 4 * mostKernel
	firstMost  = 2 * mostKernel
	pressure   = 4 // from one part in so many of Out, nobody is trusted that has not taken answers in before
	stallShare = 2 // a peer stalls at one part in so many of its share
	textLeast  = 2 // one part in so many of Texts is shared by hosts; the rest by whoever comes first
)

// Book holds the accounts of all peers.
type Controller struct {
	limits  Limits
	out     int64
	texts   int64
	waiting int // hosts with something out
	hosts   map[string]*host
}

type host struct {
	name    string
	peers   int
	out     int64
	texts   int64
	waiting int // peers with something out
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
	return b.out, b.texts, peers
}

// Peer is one connection's account.
type Peer struct {
	book    *Controller
	host    *host
	queued  int64 // answers not written yet
	kernel  int64 // written and, as last seen, not yet taken in
	texts   int64
	took    int64     // in all
	denied  bool      // an answer could not be kept for it; nothing more is done for it until there is room again
	reading RateMeter // how it takes answers in
	closed  bool
}

// Open opens the account of a connection from an address.
func (b *Controller) OpenPeer(address string) *Peer {
	h := b.hosts[address]
	if h == nil {
		h = &host{name: address}
		b.hosts[address] = h
	}
	h.peers++
	return &Peer{book: b, host: h}
}

// Close gives back what waits for a peer, but for texts, which are given back one by one.
func (p *Peer) Close() {
	if p.closed {
		return
	}
	p.add(-p.queued - p.kernel)
	p.queued, p.kernel, p.closed = 0, 0, true
	p.host.peers--
	p.tidy()
}

func (p *Peer) tidy() {
	if p.host.peers == 0 && p.host.texts == 0 {
		delete(p.book.hosts, p.host.name)
	}
}

// Out is how much waits for the peer.
func (p *Peer) PendingBytes() int64 { return p.queued + p.kernel }

// Kernel is what was written to it and, as last seen, not yet taken in.
func (p *Peer) SendBufferBytes() int64 { return p.kernel }

// add changes what is out, here and all the way up.
func (p *Peer) add(n int64) {
	before := p.PendingBytes()
	h, b := p.host, p.book
	if h.out == 0 && n > 0 {
		b.waiting++
	}
	if before == 0 && n > 0 {
		h.waiting++
	}
	h.out, b.out = h.out+n, b.out+n
	if before > 0 && before+n == 0 {
		h.waiting--
	}
	if h.out == 0 && n < 0 {
		b.waiting--
	}
}

// share is how much may wait for one peer: what is not in reserve goes to hosts alike, and a host's part to its peers.
func (p *Peer) share() int64 {
	others, peers := p.book.waiting, p.host.waiting
	if p.host.out == 0 {
		others++
	}
	if p.PendingBytes() == 0 {
		peers++
	}
	return (p.book.limits.AnswerBytes - p.book.limits.AnswerBytes/reserve) / int64(max(1, others)) / int64(max(1, peers))
}

// Queue asks whether an answer of so many bytes may wait for the peer, and books it if so. One for which nothing waits may
// have one more, and one that has taken its answers so far a few, as long as there is memory: what waits for others, in
// the part of it that is shared, does not count against these.
func (p *Peer) TryQueue(now time.Duration, n int64) bool {
	b := p.book
	was := p.denied
	p.denied = true
	switch {
	case p.closed:
		return false
	case b.out+n > b.limits.AnswerBytes:
		return false
	case p.PendingBytes() == 0: // one is kept for anyone
	case p.kernel == 0 && p.took >= trustOver*n && p.queued+n <= trustMost: // for one that takes its answers, some more
	case b.out+n <= b.limits.AnswerBytes/2 && p.PendingBytes()+n <= firstMost: // in hand when it turned out to be slow
	case b.out+n > b.limits.AnswerBytes-b.limits.AnswerBytes/reserve || p.PendingBytes()+n > p.share():
		return false
	}
	p.denied = was
	p.ForceQueue(now, n)
	return true
}

// Force books what has to be said whatever waits: the short words that end a statement or a connection.
func (p *Peer) ForceQueue(now time.Duration, n int64) {
	if p.closed {
		return
	}
	p.add(n)
	p.queued += n
	p.reading.SetWaiting(now, true)
}

// MayWrite tells whether so much may be written now without the kernel holding more than it should.
func (p *Peer) CanWrite(n int64) bool {
	return p.kernel == 0 || p.kernel+n <= p.book.limits.SendBufferBytes
}

// Wrote notes that so much was handed to the kernel.
func (p *Peer) RecordWritten(n int64) {
	if !p.closed {
		p.queued, p.kernel = p.queued-n, p.kernel+n
	}
}

// Left notes how much of what was written the peer has not taken in yet, as the kernel tells.
func (p *Peer) RecordUnsent(now time.Duration, left int64) {
	if p.closed || left >= p.kernel {
		return
	}
	taken := p.kernel - left
	p.add(-taken)
	p.kernel = left
	p.took += taken
	p.reading.Record(now, taken)
	p.reading.SetWaiting(now, p.PendingBytes() > 0)
}

// Stalled tells whether so much waits for the peer that nothing further is taken from it, nor done for it.
func (p *Peer) Stalled() bool {
	b, out := p.book, p.PendingBytes()
	if p.denied = p.denied && b.out > b.limits.AnswerBytes/2; p.denied {
		return true
	}
	if out > 0 && p.took >= trustOver*out {
		return out > trustMost
	}
	return out > p.share()/stallShare || out > 0 && (out > firstMost || b.out > b.limits.AnswerBytes/pressure)
}

// TooSlow tells whether the peer takes its answers in at less than the least rate. It is judged only while something
// waits for it, and not where all that waits is taken in within the window, however little that is.
func (p *Peer) TooSlow(now time.Duration) bool {
	l := p.book.limits
	moved, judged := p.reading.MovedWithin(now, l.ReadGrace, l.ReadWindow)
	return judged && moved < p.PendingBytes() && moved < int64(float64(l.MinReadRate)*l.ReadWindow.Seconds())
}

// HoldText asks whether a statement's text may be held for the peer, and books it if so. Half of the room goes to
// whoever comes first, the rest to hosts alike and within one to its peers, so that one that floods waits for itself.
func (p *Peer) ReserveText(n int64) bool {
	b, h := p.book, p.host
	free := b.limits.TextBytes / textLeast
	if b.texts+n > b.limits.TextBytes || b.texts+n > free && p.texts > 0 && p.texts+n > free/int64(max(1, len(b.hosts)))/int64(max(1, h.peers)) {
		return false
	}
	b.texts, h.texts, p.texts = b.texts+n, h.texts+n, p.texts+n
	return true
}

// GiveText gives back a text, also after Close.
func (p *Peer) ReleaseText(n int64) {
	p.book.texts, p.host.texts, p.texts = p.book.texts-n, p.host.texts-n, p.texts-n
	if p.closed {
		p.tidy()
	}
}

// meterSlots is how finely a window slides.
const meterSlots = 16

// Meter measures how much moves, over a sliding window, while somebody is waited for.
type RateMeter struct {
	waits bool
	since time.Duration // it is waited for
	step  int64         // the slot last written
	moved [meterSlots]int64
}

// Waits notes whether the peer is waited for from now on. What moved before a wait does not count for it.
func (m *RateMeter) SetWaiting(now time.Duration, waits bool) {
	if waits && !m.waits {
		*m = RateMeter{since: now, step: -1}
	}
	m.waits = waits
}

// Moved notes that so much has moved by now. Slots are of one width for all windows.
func (m *RateMeter) Record(now time.Duration, n int64) {
	step := int64(now / slotWidth)
	if m.step < 0 {
		m.step = step
	}
	for ; m.step < step; m.step++ {
		if step-m.step > meterSlots { // all of it is past
			m.step, m.moved = step-1, [meterSlots]int64{}
			continue
		}
		m.moved[(m.step+1)%meterSlots] = 0
	}
	m.moved[step%meterSlots] += n
}

// slotWidth is the time that one slot of a meter stands for; so no window is longer than 15 of them.
const slotWidth = time.Second

// Over is how much has moved over the window; judged: the peer has been waited for over the grace and the window without
// a break.
func (m *RateMeter) MovedWithin(now time.Duration, grace, window time.Duration) (moved int64, judged bool) {
	if !m.waits || now-m.since < grace+window {
		return 0, false
	}
	m.Record(now, 0)
	for i := range min(int64(window/slotWidth), meterSlots-1) {
		moved += m.moved[(m.step-i+2*meterSlots)%meterSlots]
	}
	return moved, true
}

// FrameWait is how long to wait for the next bytes of a frame that has been coming for so long, and of which so much has
// come since the grace ended: from there on it has to come at the least rate, half a second's worth ahead.
func (l Limits) FrameReadTimeout(since time.Duration, sinceGrace int64) time.Duration {
	ahead := time.Duration(float64(sinceGrace) / float64(l.MinWriteRate) * float64(time.Second))
	return l.FrameGrace + frameSlack + ahead - since
}

package flowcontrol

import "time"

const (
	// rateSlots is how finely a window slides.
	rateSlots = 16
	// slotWidth is the time that one slot stands for, so no window is longer than 15 of them.
	slotWidth = time.Second
)

// rateMeter measures how many bytes move over a sliding window, while they are waited for. The zero value is ready to use.
type rateMeter struct {
	waiting      bool
	waitingSince time.Duration
	lastSlot     int64 // the one last written, counted from time 0; -1: none
	bytes        [rateSlots]int64
}

// setWaiting records whether bytes are waited for from now on. What moved before a wait does not count for it.
func (m *rateMeter) setWaiting(now time.Duration, waiting bool) {
	if waiting && !m.waiting {
		*m = rateMeter{waitingSince: now, lastSlot: -1}
	}
	m.waiting = waiting
}

// record records that so many bytes have moved by now.
func (m *rateMeter) record(now time.Duration, bytes int64) {
	slot := int64(now / slotWidth)
	if m.lastSlot < 0 {
		m.lastSlot = slot
	}
	if slot-m.lastSlot > rateSlots { // all of it is past
		m.bytes = [rateSlots]int64{}
		m.lastSlot = slot
	}
	for m.lastSlot < slot {
		m.lastSlot++
		m.bytes[m.lastSlot%rateSlots] = 0
	}
	m.bytes[slot%rateSlots] += bytes
}

// movedWithin is how many bytes have moved within the window; judged: they have been waited for over the grace and the window
// without a break.
func (m *rateMeter) movedWithin(now time.Duration, grace, window time.Duration) (moved int64, judged bool) {
	if !m.waiting || now-m.waitingSince < grace+window {
		return 0, false
	}
	m.record(now, 0)
	for i := range min(int64(window/slotWidth), rateSlots-1) {
		moved += m.bytes[(m.lastSlot-i+2*rateSlots)%rateSlots]
	}
	return moved, true
}

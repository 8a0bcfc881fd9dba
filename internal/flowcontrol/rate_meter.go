package flowcontrol

import "time"

const (
	// rateSlots is the number of slots that are stored.
	rateSlots = 16
	// slotWidth is the time that one slot covers. The current slot is incomplete, so a window covers at most rateSlots-1 of them.
	slotWidth = time.Second
)

// rateMeter measures how many bytes a peer reads within a sliding window, while it has pending answers. The zero value is ready to use.
type rateMeter struct {
	waiting      bool
	waitingSince time.Duration
	lastSlot     int64 // the latest slot, counted from time 0; -1: none
	bytes        [rateSlots]int64
}

// setWaiting records whether answers are pending from now on. Bytes read before a wait began do not count for it.
func (m *rateMeter) setWaiting(now time.Duration, waiting bool) {
	if waiting && !m.waiting {
		*m = rateMeter{waitingSince: now, lastSlot: -1}
	}
	m.waiting = waiting
}

// record adds bytes that were read by now.
func (m *rateMeter) record(now time.Duration, bytes int64) {
	slot := int64(now / slotWidth)
	if m.lastSlot < 0 {
		m.lastSlot = slot
	}
	if slot-m.lastSlot > rateSlots { // all slots are too old
		m.bytes = [rateSlots]int64{}
		m.lastSlot = slot
	}
	for m.lastSlot < slot {
		m.lastSlot++
		m.bytes[m.lastSlot%rateSlots] = 0
	}
	m.bytes[slot%rateSlots] += bytes
}

// movedWithin returns how many bytes were read within the window. judged is false unless answers have been pending without a break
// for the grace and the window.
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

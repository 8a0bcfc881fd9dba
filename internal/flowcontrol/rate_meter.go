package flowcontrol

import "time"

const (
	// rateSlots is the number of time slots that a meter stores.
	rateSlots = 16
	// slotWidth is the duration of a slot. A window covers at most rateSlots-1 slots, since the current one is incomplete.
	slotWidth = time.Second
)

// rateMeter measures how many bytes a peer reads within a sliding window, while it has pending answers. The zero value is ready to use.
type rateMeter struct {
	pending      bool
	pendingSince time.Duration
	lastSlot     int64 // the number of the latest slot, counted from time 0; -1 if nothing was recorded
	bytes        [rateSlots]int64
}

// setPending records whether answers are pending from now on. It resets the meter when answers become pending, so that bytes read
// before do not count.
func (m *rateMeter) setPending(now time.Duration, pending bool) {
	if pending && !m.pending {
		*m = rateMeter{pendingSince: now, lastSlot: -1}
	}
	m.pending = pending
}

// record adds bytes that the peer has read to the slot that contains now.
func (m *rateMeter) record(now time.Duration, bytes int64) {
	slot := int64(now / slotWidth)
	if m.lastSlot < 0 {
		m.lastSlot = slot
	}
	if slot-m.lastSlot > rateSlots { // all slots are outdated
		m.bytes = [rateSlots]int64{}
		m.lastSlot = slot
	}
	for m.lastSlot < slot {
		m.lastSlot++
		m.bytes[m.lastSlot%rateSlots] = 0
	}
	m.bytes[slot%rateSlots] += bytes
}

// bytesReadWithin returns how many bytes were read within the window. measured is false unless answers have been pending without
// interruption for at least grace plus window.
func (m *rateMeter) bytesReadWithin(now time.Duration, grace, window time.Duration) (bytesRead int64, measured bool) {
	if !m.pending || now-m.pendingSince < grace+window {
		return 0, false
	}
	m.record(now, 0)
	for i := range min(int64(window/slotWidth), rateSlots-1) {
		bytesRead += m.bytes[(m.lastSlot-i+2*rateSlots)%rateSlots]
	}
	return bytesRead, true
}

package simulation

import "time"

const (
	minMessageDelay       = 200 * time.Microsecond
	maxMessageDelay       = time.Millisecond // without maxExtraDelay
	maxRedeliveryDelay    = 2 * time.Millisecond
	maxDuplicateDelay     = 300 * time.Millisecond
	retransmitOdds        = 2   // one in this many messages on a cut link is delivered once it is restored; the others are lost
	duplicateDeliveryOdds = 200 // one in this many messages is delivered twice
)

// link is one direction between two hosts, given by their ids.
type link struct{ from, to int }

// network holds the state of the links.
type network struct {
	cut           map[link]bool
	retransmits   map[link][]func() // messages that were sent on a cut link and are delivered once it is restored
	maxExtraDelay time.Duration     // of each message, in addition to maxMessageDelay
}

func newNetwork() network {
	return network{cut: map[link]bool{}, retransmits: map[link][]func(){}}
}

// send delivers a message after a random delay. If the link is cut by then, the message is lost or delivered once the link is restored. At
// random a message is delivered twice.
func (s *simulation) send(from, to int, deliver func()) {
	over := link{from, to}
	s.after(s.uniform(minMessageDelay, maxMessageDelay+s.network.maxExtraDelay), func() {
		if s.network.cut[over] {
			if s.oneIn(retransmitOdds) {
				s.network.retransmits[over] = append(s.network.retransmits[over], deliver)
			}
			return
		}
		deliver()
		if !s.NoFaults && s.oneIn(duplicateDeliveryOdds) {
			s.after(s.uniform(0, maxDuplicateDelay), deliver)
		}
	})
}

func (s *simulation) cutLink(over link) {
	s.network.cut[over] = true
	s.record("cut [%d %d]", over.from, over.to)
}

func (s *simulation) restoreLink(over link) {
	s.network.cut[over] = false
	retransmits := s.network.retransmits[over]
	delete(s.network.retransmits, over)
	for _, deliver := range retransmits {
		s.after(s.uniform(0, maxRedeliveryDelay), deliver)
	}
	s.record("whole [%d %d]", over.from, over.to)
}

package faultlab

import (
	"fmt"
	"time"
)

const (
	recoveredShare = 0.9             // of what was in time before the first fault
	recoveryLimit  = 5 * time.Second // from the end of the last fault
)

// auditRecovery: soon after the last fault the fleet serves nine tenths of what it served before the first one.
func auditRecovery(h *History) (found []Violation) {
	m := Measure(h)
	if m.RecoveryTime <= recoveryLimit {
		return nil
	}
	text := fmt.Sprintf("%.2f in time before the first fault, not back to nine tenths of that within %v of the last (%v)",
		m.InTimeBefore, recoveryLimit, m.RecoveryTime)
	return []Violation{{At: m.FaultsEnd + m.RecoveryTime, Text: text}}
}

// secondTotals are the priority weights of the statements that were due within one second.
type secondTotals struct{ asked, inTime float64 }

// servedBySecond are totals by the second of the play, a multiple of time.Second.
type servedBySecond map[time.Duration]secondTotals

func (s servedBySecond) addAsked(at time.Duration, weight float64) {
	totals := s[at.Truncate(time.Second)]
	totals.asked += weight
	s[at.Truncate(time.Second)] = totals
}

func (s servedBySecond) addInTime(due time.Duration, weight float64) {
	totals := s[due.Truncate(time.Second)]
	totals.inTime += weight
	s[due.Truncate(time.Second)] = totals
}

// share is what was in time of what was asked within [from, to).
func (s servedBySecond) share(from, to time.Duration) float64 {
	asked, inTime := 0.0, 0.0
	for at := from.Truncate(time.Second); at < to; at += time.Second {
		asked += s[at].asked
		inTime += s[at].inTime
	}
	return ratio(inTime, asked)
}

// recovery returns the share in time before the first fault, and how long after the last one it takes until two seconds in a row come to
// nine tenths of that. Where so little time is left after the last one that nothing can be said, it is 0.
func (s servedBySecond) recovery(firstFault, faultsEnd, playEnd time.Duration) (before float64, took time.Duration) {
	before = s.share(time.Second, firstFault.Truncate(time.Second))
	at := (faultsEnd + time.Second - 1).Truncate(time.Second)
	for ; at+2*time.Second <= playEnd.Truncate(time.Second); at += time.Second {
		if s.share(at, at+2*time.Second) >= recoveredShare*before {
			return before, max(0, at-faultsEnd)
		}
	}
	if at+time.Second < faultsEnd+recoveryLimit { // the play ends before the verdict is due
		return before, 0
	}
	return before, at - faultsEnd
}

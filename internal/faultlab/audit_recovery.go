package faultlab

import (
	"fmt"
	"time"
)

const (
	recoveredShare = 0.9             // of the share in time before the first fault
	recoveryLimit  = 5 * time.Second // from the end of the last fault
)

// auditRecovery checks that within recoveryLimit after the last fault the share in time is back to recoveredShare of its value before the
// first fault.
func auditRecovery(h *History) (found []Violation) {
	m := Measure(h)
	if m.RecoveryTime <= recoveryLimit {
		return nil
	}
	text := fmt.Sprintf("%.2f in time before the first fault, nine tenths of that not reached within %v after the last fault (%v)",
		m.InTimeBefore, recoveryLimit, m.RecoveryTime)
	return []Violation{{At: m.FaultsEnd + m.RecoveryTime, Text: text}}
}

// secondTotals are the priority weights of the statements that were due within one second.
type secondTotals struct{ dueWeight, inTime float64 }

// servedBySecond holds totals for each second of the run. Keys are multiples of time.Second.
type servedBySecond map[time.Duration]secondTotals

func (s servedBySecond) addDue(at time.Duration, weight float64) {
	totals := s[at.Truncate(time.Second)]
	totals.dueWeight += weight
	s[at.Truncate(time.Second)] = totals
}

func (s servedBySecond) addInTime(due time.Duration, weight float64) {
	totals := s[due.Truncate(time.Second)]
	totals.inTime += weight
	s[due.Truncate(time.Second)] = totals
}

// share returns the share of the priority weight due within [from, to) that was answered in time.
func (s servedBySecond) share(from, to time.Duration) float64 {
	dueWeight, inTime := 0.0, 0.0
	for at := from.Truncate(time.Second); at < to; at += time.Second {
		dueWeight += s[at].dueWeight
		inTime += s[at].inTime
	}
	return ratio(inTime, dueWeight)
}

// recovery returns the share in time before the first fault, and the time from the last fault until two consecutive seconds reach
// recoveredShare of it. That time is 0 if the run ends too soon after the last fault to decide.
func (s servedBySecond) recovery(firstFault, faultsEnd, runEnd time.Duration) (before float64, took time.Duration) {
	before = s.share(time.Second, firstFault.Truncate(time.Second))
	at := (faultsEnd + time.Second - 1).Truncate(time.Second)
	for ; at+2*time.Second <= runEnd.Truncate(time.Second); at += time.Second {
		if s.share(at, at+2*time.Second) >= recoveredShare*before {
			return before, max(0, at-faultsEnd)
		}
	}
	if at+time.Second < faultsEnd+recoveryLimit { // the run ends before recoveryLimit
		return before, 0
	}
	return before, at - faultsEnd
}

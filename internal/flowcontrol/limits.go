package flowcontrol

import "time"

// Limits are the maximum bytes in memory for clients and the minimum rates, in bytes per second, at which clients must read and write.
type Limits struct {
	AnswerBytes     int64         // answers of all peers, queued or written and not yet acknowledged
	TextBytes       int64         // statement texts of all peers
	FrameBytes      int64         // large incomplete frames of all peers
	SendBufferBytes int64         // bytes written to one peer and not yet acknowledged, above which writing pauses
	MinReadRate     int64         // at which a peer must read its answers, averaged over ReadWindow
	MinWriteRate    int64         // at which a frame must arrive after FrameGrace
	ReadGrace       time.Duration // before ReadWindow, in which the read rate is not measured
	ReadWindow      time.Duration // over which the read rate is measured
	FrameGrace      time.Duration // after the start of a frame, in which MinWriteRate does not apply
}

// The constants from which DeriveLimits computes the limits, and the rates and times that do not depend on the machine.
const (
	answerMemoryDivisor = 8  // 1/8 of the memory: queued answers are on the heap, and a full heap slows down every request
	textMemoryDivisor   = 6  // 1/6 of the memory
	frameMemoryDivisor  = 12 // 1/12 of the memory
	minSendBufferBytes  = 16 << 10
	maxSendBufferBytes  = 64 << 10 // holds a complete result and the beginning of the next one
	defaultMinReadRate  = 1 << 10
	defaultMinWriteRate = 16 << 10
	defaultReadGrace    = 4 * time.Second
	defaultReadWindow   = 8 * time.Second
	defaultFrameGrace   = 2 * time.Second
	frameReadSlack      = 500 * time.Millisecond
)

// DeriveLimits returns the limits for a router with memoryMB MiB of memory and at most maxPeers connections.
func DeriveLimits(memoryMB int64, maxPeers int) Limits {
	memory := memoryMB << 20
	answerBytes := memory / answerMemoryDivisor
	perPeer := answerBytes / int64(max(1, maxPeers))
	return Limits{
		AnswerBytes:     answerBytes,
		TextBytes:       memory / textMemoryDivisor,
		FrameBytes:      memory / frameMemoryDivisor,
		SendBufferBytes: min(max(perPeer, minSendBufferBytes), maxSendBufferBytes),
		MinReadRate:     defaultMinReadRate,
		MinWriteRate:    defaultMinWriteRate,
		ReadGrace:       defaultReadGrace,
		ReadWindow:      defaultReadWindow,
		FrameGrace:      defaultFrameGrace,
	}
}

// FrameReadTimeout returns how long to wait for the next bytes of a frame that began to arrive elapsed ago and of which lateBytes bytes
// have arrived since FrameGrace ended. After FrameGrace, the frame must arrive at MinWriteRate or faster, with a tolerance of
// frameReadSlack. The result is negative if the frame is too slow.
func (l Limits) FrameReadTimeout(elapsed time.Duration, lateBytes int64) time.Duration {
	earned := time.Duration(float64(lateBytes) / float64(l.MinWriteRate) * float64(time.Second))
	return l.FrameGrace + frameReadSlack + earned - elapsed
}

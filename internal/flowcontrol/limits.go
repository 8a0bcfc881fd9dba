package flowcontrol

import "time"

// Limits bound the bytes in memory for clients, and the rates, in bytes per second, at which clients have to read and write.
type Limits struct {
	AnswerBytes     int64         // of answers, for all peers: queued, or written and not yet acknowledged
	TextBytes       int64         // of statements' texts, for all peers
	SendBufferBytes int64         // written to one peer and not yet acknowledged, before no more is written
	MinReadRate     int64         // at which a peer reads its answers, in the mean over ReadWindow
	MinWriteRate    int64         // at which a frame arrives after FrameGrace
	ReadGrace       time.Duration // before a reader is judged
	ReadWindow      time.Duration // over which a reader is judged
	FrameGrace      time.Duration // in which any frame may arrive, however slowly
}

// What limits are derived by, and the rates and times that hold on any machine.
const (
	answerMemoryDivisor = 8 // of the memory: queued answers are on the heap, and a full heap slows down every request
	textMemoryDivisor   = 6
	minSendBufferBytes  = 16 << 10
	maxSendBufferBytes  = 64 << 10 // a complete result, and the beginning of the next one
	defaultMinReadRate  = 1 << 10
	defaultMinWriteRate = 16 << 10
	defaultReadGrace    = 4 * time.Second
	defaultReadWindow   = 8 * time.Second
	defaultFrameGrace   = 2 * time.Second
	frameReadSlack      = 500 * time.Millisecond
)

// DeriveLimits returns the limits for a memory in MiB and a number of connections.
func DeriveLimits(memoryMB int64, maxPeers int) Limits {
	memory := memoryMB << 20
	answerBytes := memory / answerMemoryDivisor
	perPeer := answerBytes / int64(max(1, maxPeers))
	return Limits{
		AnswerBytes:     answerBytes,
		TextBytes:       memory / textMemoryDivisor,
		SendBufferBytes: min(max(perPeer, minSendBufferBytes), maxSendBufferBytes),
		MinReadRate:     defaultMinReadRate,
		MinWriteRate:    defaultMinWriteRate,
		ReadGrace:       defaultReadGrace,
		ReadWindow:      defaultReadWindow,
		FrameGrace:      defaultFrameGrace,
	}
}

// FrameReadTimeout returns how long to wait for the next bytes of a frame whose first byte arrived elapsed ago, and of which lateBytes
// have arrived since FrameGrace ended. From then on it has to arrive at MinWriteRate or faster, with frameReadSlack to spare. The
// result is negative once the frame is too late.
func (l Limits) FrameReadTimeout(elapsed time.Duration, lateBytes int64) time.Duration {
	earned := time.Duration(float64(lateBytes) / float64(l.MinWriteRate) * float64(time.Second))
	return l.FrameGrace + frameReadSlack + earned - elapsed
}

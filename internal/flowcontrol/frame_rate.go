package flowcontrol

import "time"

const (
	// maxFrameRate is the rate, in frames a second, above which reading from a peer is delayed.
	maxFrameRate = 1000
	// frameBurst is the number of frames that may exceed maxFrameRate before reading is delayed.
	frameBurst = 256
)

// FrameRate measures the frames of a peer that are not statements: cancels and readiness queries. Handling one costs the peer nothing, so
// without a limit a single peer can occupy a whole core. The zero value is ready to use.
type FrameRate struct {
	excess    float64 // frames above maxFrameRate
	updatedAt time.Duration
}

// Record records a number of frames and returns how long to wait before more are read; 0 if the rate is not exceeded.
func (r *FrameRate) Record(now time.Duration, frames int) time.Duration {
	elapsed := now - r.updatedAt
	r.updatedAt = now
	r.excess = max(0, r.excess-elapsed.Seconds()*maxFrameRate) + float64(frames)
	if r.excess <= frameBurst {
		return 0
	}
	return time.Duration((r.excess - frameBurst) / maxFrameRate * float64(time.Second))
}

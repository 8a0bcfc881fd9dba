package upstream

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// ConnectionStats counts connections opened since the previous call of [Client.TakeConnectionStats], and why others
// were closed.
type ConnectionStats struct {
	Dialled        int           // dials, those that failed included
	Failed         int           // dials that failed
	Stale          int           // closed by the engine, at an old address or idle for too long when about to be used
	Surplus        int           // closed after use: the descriptor was needed, or the engine was removed
	UnexpectedData int           // of the stale ones: those with unrequested bytes
	SlowestDial    time.Duration // of all dials, those that failed included
}

// MarshalLogObject writes the counts into a log line.
func (s ConnectionStats) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddInt("dialled", s.Dialled)
	encoder.AddInt("failed", s.Failed)
	encoder.AddInt("stale", s.Stale)
	encoder.AddInt("surplus", s.Surplus)
	encoder.AddInt("unexpected_data", s.UnexpectedData)
	encoder.AddFloat64("slowest_dial_ms", float64(s.SlowestDial)/float64(time.Millisecond))
	return nil
}

// takeStats returns the counts and starts anew.
func (p *connectionPool) takeStats() ConnectionStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := p.stats
	p.stats = ConnectionStats{}
	return stats
}

func (p *connectionPool) updateStats(update func(*ConnectionStats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(&p.stats)
}

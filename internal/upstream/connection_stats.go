package upstream

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// ConnectionStats counts the connections opened since the previous call of [Client.TakeConnectionStats], and the reasons
// for which connections were closed.
type ConnectionStats struct {
	Dialled        int           // all dials, including failed ones
	Failed         int           // failed dials
	Stale          int           // found unusable before use: closed by the engine, at an old address or idle for too long
	Surplus        int           // closed after use, since the slot was needed or the engine was removed
	UnexpectedData int           // stale connections with unrequested bytes
	SlowestDial    time.Duration // duration of the slowest dial, including failed ones
}

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (s ConnectionStats) MarshalLogObject(encoder zapcore.ObjectEncoder) error {
	encoder.AddInt("dialled", s.Dialled)
	encoder.AddInt("failed", s.Failed)
	encoder.AddInt("stale", s.Stale)
	encoder.AddInt("surplus", s.Surplus)
	encoder.AddInt("unexpected_data", s.UnexpectedData)
	encoder.AddFloat64("slowest_dial_ms", float64(s.SlowestDial)/float64(time.Millisecond))
	return nil
}

// takeStats returns the counts and resets them.
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

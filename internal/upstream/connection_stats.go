package upstream

import "time"

// ConnectionStats counts connections opened since the previous call of [Client.TakeConnectionStats], and why others
// were closed. The JSON keys are those of the log line.
type ConnectionStats struct {
	Dialled        int           `json:"Made"`    // dials, those that failed included
	Failed         int           `json:"NotUp"`   // dials that failed
	Stale          int           `json:"Stale"`   // closed by the engine, at an old address or idle for too long when about to be used
	Surplus        int           `json:"Crowded"` // closed after use, since the descriptor or the engine is not kept
	UnexpectedData int           `json:"Noisy"`   // of the stale ones: those with unrequested bytes
	SlowestDial    time.Duration `json:"Longest"` // nanoseconds in JSON
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

package proxy

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bankledge/decision"
	"bankledge/internal/downstream"
	"bankledge/internal/logevent"
)

// metricsInterval is the time between two log lines with metrics.
const metricsInterval = 5 * time.Second

// metrics holds counts since the start of the router, unless stated otherwise. It is safe for concurrent use.
type metrics struct {
	received     atomic.Int64
	invalid      atomic.Int64 // requests rejected before they reached the module
	open         atomic.Int64 // requests that are open now
	completed    atomic.Int64
	rejected     atomic.Int64
	aborted      atomic.Int64
	cancelled    atomic.Int64 // requests that their clients cancelled
	attempts     atomic.Int64
	outcomes     outcomeCounts // of attempts
	healthChecks atomic.Int64

	// Time from an input to the end of the resulting actions, since the last log line.
	decisions        atomic.Int64
	decisionDelaySum atomic.Int64 // ns
	decisionDelayMax atomic.Int64 // ns
}

func (m *metrics) recordAnswer(code downstream.Code) {
	switch code {
	case downstream.CodeCompleted:
		m.completed.Add(1)
	case downstream.CodeRejected:
		m.rejected.Add(1)
	default:
		m.aborted.Add(1)
	}
}

// recordDecisionDelay records the time from an input to the end of its actions. Only the event loop calls it, so the maximum needs no
// compare-and-swap.
func (m *metrics) recordDecisionDelay(delay time.Duration) {
	m.decisions.Add(1)
	m.decisionDelaySum.Add(int64(delay))
	m.decisionDelayMax.Store(max(m.decisionDelayMax.Load(), int64(delay)))
}

// outcomeCounts counts attempts by outcome.
type outcomeCounts [decision.NotSent + 1]atomic.Int64

func (c *outcomeCounts) add(outcome decision.Outcome) { c[outcome].Add(1) }

func (c *outcomeCounts) count(outcome decision.Outcome) int64 { return c[outcome].Load() }

// MarshalLogObject writes each count under its outcome's name.
func (c *outcomeCounts) MarshalLogObject(to zapcore.ObjectEncoder) error {
	for i := range c {
		name := strings.ReplaceAll(decision.Outcome(i).String(), " ", "_")
		to.AddInt64(name, c[i].Load())
	}
	return nil
}

// reportMetrics logs the metrics at a fixed interval and when ctx ends.
func (r *Router) reportMetrics(ctx context.Context) error {
	ticker := time.NewTicker(metricsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.logMetrics()
		case <-ctx.Done():
			r.logMetrics()
			return nil
		}
	}
}

func (r *Router) logMetrics() {
	m := &r.metrics
	decisions := max(1, m.decisions.Swap(0))
	slowClients, usage := r.downstream.FlowControlStats()
	r.log.Info(logevent.Metrics,
		zap.Int64("received", m.received.Load()),
		zap.Int64("open", m.open.Load()),
		zap.Int64("completed", m.completed.Load()),
		zap.Int64("rejected", m.rejected.Load()),
		zap.Int64("aborted", m.aborted.Load()),
		zap.Int64("cancelled", m.cancelled.Load()),
		zap.Int64("invalid", m.invalid.Load()),
		zap.Int64("attempts", m.attempts.Load()),
		zap.Object("outcomes", &m.outcomes),
		zap.Int64("health_checks", m.healthChecks.Load()),
		zap.Int64("invariants_violated", r.violations.Total()),
		zap.Int64("wall_clock_steps", r.wallClock.steps.Load()),
		zap.Int64("evicted_clients", r.downstream.Evicted()),
		zap.Int("engine_connections", r.upstream.ConnectionsInUse()),
		zap.Any("connections", r.upstream.TakeConnectionStats()),
		zap.Int64("text_bytes", usage.TextBytes),
		zap.Int64("answer_bytes", usage.AnswerBytes),
		zap.Int64("frame_bytes", usage.FrameBytes),
		zap.Int64("frames_skipped", slowClients.SkippedFrames),
		zap.Int64("read_delays", slowClients.ReadDelays),
		zap.Int64("slow_clients_stalled", slowClients.Stalled),
		zap.Int64("slow_clients_released", slowClients.Disconnected),
		zap.Int64("slow_clients_shortened", slowClients.Shortened),
		logevent.Milliseconds("decision_delay_mean_ms", time.Duration(m.decisionDelaySum.Swap(0)/decisions)),
		logevent.Milliseconds("decision_delay_max_ms", time.Duration(m.decisionDelayMax.Swap(0))))
	r.logClassificationMetrics()
}

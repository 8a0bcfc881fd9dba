package discovery

import (
	"maps"
	"time"

	"bankledge/decision"
)

const (
	// maxNotificationDelay is the time after which a change counts as notified at the latest (protocol, Figures).
	maxNotificationDelay = 7 * time.Second
	// maxStartTimes is how many engines' start times are stored; beyond that, those of removed engines are deleted.
	maxStartTimes = 8192
)

// startTimes works out when engines started, on the router's clock. The control feed sends that in Unix time, and the wall clock of
// this host may be wrong by seconds or hours. With too great an age an engine that is warming up would be sent full load, so an age
// that contradicts the events received so far is ignored and the engine counts as just started. It is not safe for concurrent use.
type startTimes struct {
	origin   time.Time // of the router's clock, with a monotonic reading; Unix times are compared with its wall clock reading
	byEngine map[decision.EngineID]startTime
}

type startTime struct {
	unixMillis int64
	startedAt  time.Duration // on the router's clock
	removed    bool          // from the endpoint list; it may be listed again
}

// resolve sets StartedAt of an event's endpoints; the event was received now. Nothing in it can have been published before syncedAt,
// when all events of the feed were known; zero: nothing is known of that.
func (s *startTimes) resolve(event *WatchEvent, syncedAt, now time.Time) {
	for i := range event.Endpoints {
		endpoint := &event.Endpoints[i]
		endpoint.StartedAt = s.startedAt(endpoint.Engine, endpoint.startedUnixMillis, syncedAt, now)
		start, ok := s.byEngine[endpoint.Engine]
		if ok {
			start.removed = endpoint.State == decision.Removed
			s.byEngine[endpoint.Engine] = start
		}
	}
	if len(s.byEngine) > maxStartTimes {
		maps.DeleteFunc(s.byEngine, func(_ decision.EngineID, start startTime) bool { return start.removed })
	}
}

// startedAt is when an engine started, on the router's clock; 0: long ago. The result for a start is stored, so that it stays
// the same when a clock is stepped later.
func (s *startTimes) startedAt(engine decision.EngineID, unixMillis int64, syncedAt, now time.Time) time.Duration {
	if unixMillis <= 0 {
		return 0
	}
	known, ok := s.byEngine[engine]
	if ok && known.unixMillis == unixMillis {
		return known.startedAt
	}
	startedAt := max(0, time.UnixMilli(unixMillis).Sub(s.origin)) // by the wall clock, as it was when the router started
	receivedAt := now.Sub(s.origin)
	contradicted := !syncedAt.IsZero() && startedAt < syncedAt.Sub(s.origin)-maxNotificationDelay
	if contradicted || startedAt > receivedAt {
		startedAt = receivedAt
	}
	if s.byEngine == nil {
		s.byEngine = map[decision.EngineID]startTime{}
	}
	s.byEngine[engine] = startTime{unixMillis: unixMillis, startedAt: startedAt}
	return startedAt
}

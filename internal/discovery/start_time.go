package discovery

import (
	"maps"
	"time"

	"bankledge/decision"
)

const (
	// maxNotificationDelay is the time after which the router counts as notified of a change (protocol, section Figures).
	maxNotificationDelay = 7 * time.Second
	// maxStartTimes is the number of stored start times above which those of removed engines are deleted.
	maxStartTimes = 8192
)

// startTimes computes when engines started, on the router's clock. The control feed sends start times as Unix times, and the wall clock of
// this host may be wrong by seconds or hours. If the router overestimated the age of an engine that is warming up, the engine would receive
// full load. An age that contradicts the events received so far is therefore ignored, and the engine counts as just started. startTimes is not
// safe for concurrent use.
type startTimes struct {
	origin   time.Time // origin of the router's clock, with a monotonic reading; Unix times are compared with its wall clock reading
	byEngine map[decision.EngineID]startTime
}

type startTime struct {
	unixMillis int64
	startedAt  time.Duration // on the router's clock
	removed    bool          // the engine was removed from the endpoint list; it may be listed again
}

// resolve sets StartedAt of the endpoints of an event that was received at now. At syncedAt the client knew all events of the feed, so the
// event was published later; zero means that this time is unknown.
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

// startedAt returns when an engine started, on the router's clock; 0 means long ago. The result for a start is stored, so that it does not
// change when the wall clock is stepped later.
func (s *startTimes) startedAt(engine decision.EngineID, unixMillis int64, syncedAt, now time.Time) time.Duration {
	if unixMillis <= 0 {
		return 0
	}
	known, ok := s.byEngine[engine]
	if ok && known.unixMillis == unixMillis {
		return known.startedAt
	}
	startedAt := max(0, time.UnixMilli(unixMillis).Sub(s.origin)) // by the wall clock at the router's start
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

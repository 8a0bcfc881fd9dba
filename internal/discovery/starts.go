package discovery

import (
	"maps"
	"time"

	"bankledge/decision"
)

const (
	maxNotificationDelay = 7 * time.Second // what happens counts as told so long after it at the latest (protocol, Figures)
	maxStartTimes        = 8192            // engines whose start is remembered; beyond that those that are gone are forgotten
)

// engineStarts works out when engines started, on the router's clock. The control feed tells it in Unix time, and the wall clock of
// this host may be wrong by seconds or hours. Too great an age would have a cold engine sent what only a warm one bears, so an age
// that what the feed tells contradicts is not believed: the engine has started just now. One goroutine uses it at a time.
type startTimes struct {
	origin time.Time // of the router's clock, with a monotonic reading; Unix times are compared with its wall clock reading
	byID   map[decision.EngineID]startTime
}

type startTime struct {
	unixMillis int64
	startedAt  time.Duration // on the router's clock
	gone       bool          // it has left the list, and may come back
}

// resolve gives the members of a change, heard now, their times of start. Nothing in it can have been told before synced, when all that
// the feed had to tell was known; zero: nothing is known of that.
func (s *startTimes) resolve(c *WatchEvent, synced, now time.Time) {
	for i := range c.Endpoints {
		m := &c.Endpoints[i]
		m.StartedAt = s.startedAt(m.Engine, m.startedUnixMillis, synced, now)
		if start, ok := s.byID[m.Engine]; ok {
			start.gone = m.State == decision.Removed
			s.byID[m.Engine] = start
		}
	}
	if len(s.byID) > maxStartTimes {
		maps.DeleteFunc(s.byID, func(_ decision.EngineID, start startTime) bool { return start.gone })
	}
}

// at is when an engine started; 0: long ago. What was worked out for a start stays, whatever the clocks do later.
func (s *startTimes) startedAt(engine decision.EngineID, unixMillis int64, synced, now time.Time) time.Duration {
	if unixMillis <= 0 {
		return 0
	}
	if known, ok := s.byID[engine]; ok && known.unixMillis == unixMillis {
		return known.startedAt
	}
	at := max(0, time.UnixMilli(unixMillis).Sub(s.origin)) // by the wall clock, as it was when the router began
	heard := now.Sub(s.origin)
	contradicted := !synced.IsZero() && at < synced.Sub(s.origin)-maxNotificationDelay
	if contradicted || at > heard {
		at = heard
	}
	if s.byID == nil {
		s.byID = map[decision.EngineID]startTime{}
	}
	s.byID[engine] = startTime{unixMillis: unixMillis, startedAt: at}
	return at
}

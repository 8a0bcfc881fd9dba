package discovery

import (
	"maps"
	"time"

	"bankledge/decision"
)

const (
	toldWithin = 7 * time.Second // what happens counts as told so long after it at the latest (protocol, Figures)
	mostStarts = 8192            // engines whose start is remembered; beyond that those that are gone are forgotten
)

// engineStarts works out when engines started, on the router's clock. The control feed tells it in Unix time, and the wall clock of
// this host may be wrong by seconds or hours. Too great an age would have a cold engine sent what only a warm one bears, so an age
// that what the feed tells contradicts is not believed: the engine has started just now. One goroutine uses it at a time.
type engineStarts struct {
	origin time.Time // of the router's clock, with a monotonic reading; Unix times are compared with its wall clock reading
	byID   map[decision.EngineID]engineStart
}

type engineStart struct {
	unixMillis int64
	at         time.Duration // on the router's clock
	gone       bool          // it has left the list, and may come back
}

// resolve gives the members of a change, heard now, their times of start. Nothing in it can have been told before synced, when all that
// the feed had to tell was known; zero: nothing is known of that.
func (s *engineStarts) resolve(c *WatchEvent, synced, now time.Time) {
	for i := range c.Endpoints {
		m := &c.Endpoints[i]
		m.StartedAt = s.at(m.Engine, m.upSinceMillis, synced, now)
		if start, ok := s.byID[m.Engine]; ok {
			start.gone = m.State == decision.Removed
			s.byID[m.Engine] = start
		}
	}
	if len(s.byID) > mostStarts {
		maps.DeleteFunc(s.byID, func(_ decision.EngineID, start engineStart) bool { return start.gone })
	}
}

// at is when an engine started; 0: long ago. What was worked out for a start stays, whatever the clocks do later.
func (s *engineStarts) at(engine decision.EngineID, unixMillis int64, synced, now time.Time) time.Duration {
	if unixMillis <= 0 {
		return 0
	}
	if known, ok := s.byID[engine]; ok && known.unixMillis == unixMillis {
		return known.at
	}
	at := max(0, time.UnixMilli(unixMillis).Sub(s.origin)) // by the wall clock, as it was when the router began
	heard := now.Sub(s.origin)
	contradicted := !synced.IsZero() && at < synced.Sub(s.origin)-toldWithin
	if contradicted || at > heard {
		at = heard
	}
	if s.byID == nil {
		s.byID = map[decision.EngineID]engineStart{}
	}
	s.byID[engine] = engineStart{unixMillis: unixMillis, at: at}
	return at
}

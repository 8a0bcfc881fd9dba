package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"bankledge/decision"
)

// An engine's start time is computed from the wall clock only if the events received so far do not contradict it. A wrong wall clock shifts
// all start times by the same amount.
func TestStartTimes(t *testing.T) {
	origin := time.Now()
	now := origin.Add(time.Hour)
	for _, c := range []struct {
		name    string
		started time.Duration // on the router's clock, computed from the wall clock
		synced  time.Duration // when the client knew all events; 0: never
		want    time.Duration
	}{
		{"a while ago, never synced", 10 * time.Minute, 0, 10 * time.Minute},
		{"before the origin of the clock", -time.Second, 0, 0},
		{"in the future: the wall clock was behind", 2 * time.Hour, 0, time.Hour},
		{"in the future, published just now", 2 * time.Hour, time.Hour, time.Hour},
		{"published within the maximum notification delay", time.Hour - maxNotificationDelay + 2*time.Millisecond, time.Hour, time.Hour - maxNotificationDelay + 2*time.Millisecond},
		{"published after the maximum notification delay: the wall clock was ahead", time.Hour - maxNotificationDelay - time.Millisecond, time.Hour, time.Hour},
		{"an hour ago, published just now: the wall clock was ahead", 0, time.Hour, time.Hour},
		{"before the origin of the clock, published just now", -time.Hour, time.Hour, time.Hour},
		{"while the feed was unavailable", 50 * time.Minute, 49 * time.Minute, 50 * time.Minute},
		{"long before the feed was unavailable", 20 * time.Minute, 49 * time.Minute, time.Hour},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startTimes{origin: origin}
			synced := time.Time{}
			if c.synced > 0 {
				synced = origin.Add(c.synced)
			}
			millis := origin.Add(c.started).UnixMilli()
			got := s.startedAt("e", millis, synced, now)
			assert.InDelta(t, c.want.Seconds(), got.Seconds(), 0.001)
			later := now.Add(time.Minute)
			assert.Equal(t, got, s.startedAt("e", millis, later, later), "the result for a start does not change")
			assert.Greater(t, s.startedAt("e", later.UnixMilli(), later, later), got, "a later start has a later time")
		})
	}
	s := startTimes{origin: origin}
	assert.Zero(t, s.startedAt("e", 0, now, now), "no start time in the event")
	assert.Empty(t, s.byEngine)
}

// The number of start times stored for removed engines is limited; those of listed engines are kept.
func TestStartTimesOfRemovedEnginesAreDeleted(t *testing.T) {
	s := startTimes{origin: time.Now()}
	receive := func(id string, state decision.EngineState) {
		event := WatchEvent{Endpoints: []Endpoint{{Endpoint: decision.Endpoint{Engine: decision.EngineID(id), State: state}, startedUnixMillis: 1}}}
		s.resolve(&event, time.Time{}, time.Now())
	}
	receive("listed", decision.Ready)
	receive("back", decision.Removed)
	receive("back", decision.Ready)
	for i := range 5 * maxStartTimes {
		receive(fmt.Sprint(i), decision.Ready)
		receive(fmt.Sprint(i), decision.Removed)
		require.LessOrEqual(t, len(s.byEngine), maxStartTimes)
	}
	assert.Contains(t, s.byEngine, decision.EngineID("listed"))
	assert.Contains(t, s.byEngine, decision.EngineID("back"))
}

// An engine that is first listed while the feed is being watched counts as just started, even if this host's wall clock contradicts that.
func TestNewlyListedEngineCountsAsJustStarted(t *testing.T) {
	const ago = 30 * time.Minute // according to a wall clock that is ahead
	late := fmt.Sprintf(`{"n":2,"members":{"members":[{"id":"e2","host_port":"127.0.0.1:9","phase":"active","up_since_ms":%d}]}}`, time.Now().Add(-ago).UnixMilli())
	address, _ := serveScripts(t, sendOnce(responseHead+":\n\nid: 2\ndata: "+late+"\n\n"))
	events := make(chan WatchEvent, 1)
	client := New(address, time.Now().Add(-time.Hour), func(event WatchEvent) { events <- event }, zap.NewNop())
	_, err := client.ApplyKnownEvents(nil, func(WatchEvent) {})
	require.NoError(t, err)
	client.LastEventID = 1
	watch(t, client)
	event := await(t, events)
	assert.InDelta(t, time.Hour.Seconds(), event.Endpoints[0].StartedAt.Seconds(), 10)
}

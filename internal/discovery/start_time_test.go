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

// An engine's start time is taken from the wall clock only where the events received so far do not contradict it. A wall clock that is
// wrong shifts every start time by the same amount.
func TestStartTimes(t *testing.T) {
	origin := time.Now()
	now := origin.Add(time.Hour)
	for _, c := range []struct {
		name    string
		started time.Duration // on the router's clock, as the wall clock has it
		synced  time.Duration // when all events were known; 0: never
		want    time.Duration
	}{
		{"a while ago, as far as is known", 10 * time.Minute, 0, 10 * time.Minute},
		{"before the clock", -time.Second, 0, 0},
		{"in the future: the wall clock was behind", 2 * time.Hour, 0, time.Hour},
		{"in the future, published just now", 2 * time.Hour, time.Hour, time.Hour},
		{"published as late as may be", time.Hour - maxNotificationDelay + 2*time.Millisecond, time.Hour, time.Hour - maxNotificationDelay + 2*time.Millisecond},
		{"published later than may be: the wall clock was ahead", time.Hour - maxNotificationDelay - time.Millisecond, time.Hour, time.Hour},
		{"an hour ago, published just now: the wall clock was ahead", 0, time.Hour, time.Hour},
		{"before the clock, published just now", -time.Hour, time.Hour, time.Hour},
		{"while the feed was away", 50 * time.Minute, 49 * time.Minute, 50 * time.Minute},
		{"long before the feed was away", 20 * time.Minute, 49 * time.Minute, time.Hour},
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
			assert.Equal(t, got, s.startedAt("e", millis, later, later), "what was worked out for a start stays")
			assert.Greater(t, s.startedAt("e", later.UnixMilli(), later, later), got, "another start is another")
		})
	}
	s := startTimes{origin: origin}
	assert.Zero(t, s.startedAt("e", 0, now, now), "no late start")
	assert.Empty(t, s.byEngine)
}

// What is remembered of engines that were removed is bounded, and what is listed is remembered.
func TestStartTimesAreForgotten(t *testing.T) {
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

// An engine that the feed lists as new, while it is watched, has just started, even if this host's wall clock contradicts that.
func TestListedEngineHasJustStarted(t *testing.T) {
	const ago = 30 * time.Minute // by a wall clock that is ahead
	late := fmt.Sprintf(`{"n":2,"members":{"members":[{"id":"e2","host_port":"127.0.0.1:9","phase":"active","up_since_ms":%d}]}}`, time.Now().Add(-ago).UnixMilli())
	address, _ := serveScripts(t, sends(responseHead+":\n\nid: 2\ndata: "+late+"\n\n"))
	events := make(chan WatchEvent, 1)
	client := New(address, time.Now().Add(-time.Hour), func(event WatchEvent) { events <- event }, zap.NewNop())
	_, err := client.ApplyKnownEvents(nil, func(WatchEvent) {})
	require.NoError(t, err)
	client.LastEventID = 1
	watch(t, client)
	event := await(t, events)
	assert.InDelta(t, time.Hour.Seconds(), event.Endpoints[0].StartedAt.Seconds(), 10)
}

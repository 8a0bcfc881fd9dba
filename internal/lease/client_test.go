package lease

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bankledge/internal/configversion"
	"bankledge/internal/rules"
)

// appliedMultiple returns the SlowStartMultiple of the last rules that the actions apply, 0 if they apply none.
func appliedMultiple(actions []ClientAction) float64 {
	applied := clientActions[ApplyRules](actions)
	if len(applied) == 0 {
		return 0
	}
	return applied[len(applied)-1].Rules.SlowStartMultiple
}

// nextRenewal advances the time until the client sends a renewal, and returns that.
func nextRenewal(t *testing.T, c *Client, now time.Duration) Renewal {
	t.Helper()
	for range 20 {
		for _, action := range clientActions[SendRenewal](c.Step(now, ClientTick{})) {
			return action.Renewal
		}
		now = max(now, c.NextDeadline())
	}
	require.Fail(t, "the client sends no renewal")
	return Renewal{}
}

// A more restrictive version takes effect on receipt, a less restrictive one on activation. A lease counts from when its renewal was sent,
// however late the reply is received. After the lease has expired, the client acts on the intersection of the versions in force and its local
// settings.
func TestClientAppliesRules(t *testing.T) {
	c := newTestClient(t)
	versions := lineageOf(t, "l", 3)
	actions := c.Step(0, VersionReceived{versions[0], 0})
	assert.Equal(t, 1.0, appliedMultiple(actions), "restricted by the local settings until a version is activated")
	first := clientActions[SendRenewal](actions)[0].Renewal
	assert.Equal(t, uint64(1), first.KnownVersion, "the version is acknowledged without delay")

	grant := ReplyReceived{Reply{Seq: first.Seq, Granted: true, Lineage: "l", Newest: 1, Activated: 1}}
	assert.Equal(t, 2.0, appliedMultiple(c.Step(300*ms, grant)))
	assert.Equal(t, c.LeaseExpiry(), DefaultDurations().ClientLease(), "the lease counts from when the renewal was sent, at 0")
	c.Step(310*ms, grant)
	assert.Equal(t, c.LeaseExpiry(), DefaultDurations().ClientLease(), "a duplicate reply does not extend the lease")

	assert.Equal(t, 2.0, appliedMultiple(c.Step(400*ms, VersionReceived{versions[1], 1})), "a less restrictive version has no effect before it is activated")
	assert.Equal(t, ActiveConfiguration{Leased: true, Activated: 1, Pending: 2}, c.applied)
	assert.Equal(t, 3.0, appliedMultiple(c.Step(500*ms, VersionActivated{"l", 2})))
	assert.Equal(t, 1.5, appliedMultiple(c.Step(600*ms, VersionReceived{successor(t, versions[1], 1.5), 2})), "a more restrictive version has an effect on receipt")

	assert.Equal(t, 1.0, appliedMultiple(c.Step(DefaultDurations().ClientLease(), ClientTick{})), "the lease has expired")
	assert.Contains(t, c.lastMessage, "cautious")
	assert.Equal(t, ActiveConfiguration{Activated: 2, Pending: 3}, c.applied)
}

func TestActiveConfigurationString(t *testing.T) {
	for _, test := range []struct {
		configuration ActiveConfiguration
		want          string
	}{
		{ActiveConfiguration{}, "local settings"},
		{ActiveConfiguration{Leased: true, Activated: 2}, "version 2"},
		{ActiveConfiguration{Leased: true, Activated: 2, Pending: 3}, "intersection of versions 2 and 3"},
		{ActiveConfiguration{Leased: true, Pending: 1}, "intersection of version 1 and local settings"},
		{ActiveConfiguration{Activated: 2, Pending: 3}, "intersection of versions 2 and 3, intersected with local settings for lack of a lease"},
	} {
		assert.Equal(t, test.want, test.configuration.String())
	}
}

// versionWithTwoEngines returns version 1 of lineage l, with two active engines.
func versionWithTwoEngines(t *testing.T) *configversion.Version {
	t.Helper()
	r := rulesWithMultiple(t, 2)
	r.Engines = map[string]rules.Engine{
		"e": {Phase: rules.Active, Address: "h:1"},
		"f": {Phase: rules.Active, Address: "h:2"},
	}
	return configversion.New(nil, "l", r, nil, "")
}

func TestClientRejectsVersions(t *testing.T) {
	versions := lineageOf(t, "l", 6)
	otherLineage := lineageOf(t, "m", 2)
	fork := successor(t, nil, 9)
	noEngines := rulesWithMultiple(t, 2)
	noEngines.Engines = map[string]rules.Engine{}
	withEngines := versionWithTwoEngines(t)
	emptied := configversion.New(withEngines, "", noEngines, nil, "")
	emptiedByForce := configversion.New(withEngines, "", noEngines, configversion.GuardNames(), "")
	for _, test := range []struct {
		name        string
		events      []ClientEvent
		wantMessage string
		wantNumber  uint64
	}{
		{"another lineage", []ClientEvent{VersionReceived{versions[0], 0}, VersionReceived{otherLineage[1], 1}}, "lineage m", 1},
		{"another predecessor", []ClientEvent{VersionReceived{versions[0], 0}, VersionReceived{successor(t, fork, 2), 1}}, "another past", 1},
		{"two versions of one number", []ClientEvent{VersionReceived{versions[0], 0}, VersionReceived{fork, 0}}, "two versions 1", 1},
		{
			"sent twice and out of order",
			[]ClientEvent{VersionReceived{versions[0], 0}, VersionReceived{versions[1], 1}, VersionReceived{versions[1], 1}, VersionReceived{versions[0], 0}},
			"", 2,
		},
		{"a gap before a version that is not activated", []ClientEvent{VersionReceived{versions[0], 0}, VersionReceived{versions[3], 2}}, "missing", 1},
		{"a gap before an activated version", []ClientEvent{VersionReceived{versions[0], 0}, VersionReceived{versions[3], 4}}, "", 4},
		{"first version received is not activated", []ClientEvent{VersionReceived{versions[3], 3}}, "missing", 0},
		{"first version received is activated", []ClientEvent{VersionReceived{versions[3], 4}, VersionReceived{versions[4], 4}}, "", 5},
		{"invalid event of the stream", []ClientEvent{VersionReceived{versions[0], 0}, InvalidVersionReceived{errors.New("hash")}}, "not taken: hash", 1},
		{"all engines removed", []ClientEvent{VersionReceived{withEngines, 1}, VersionReceived{emptied, 1}}, "no engine is active", 1},
		{"guards forced", []ClientEvent{VersionReceived{withEngines, 1}, VersionReceived{emptiedByForce, 1}}, "", 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newTestClient(t)
			logged := ""
			for i, event := range test.events {
				for _, message := range clientActions[LogMessage](c.Step(time.Duration(i)*ms, event)) {
					logged += message.Text
				}
			}
			assert.Equal(t, test.wantNumber, c.newestNumber())
			if test.wantMessage == "" {
				assert.Empty(t, logged)
				return
			}
			assert.Contains(t, logged, test.wantMessage)
			assert.Contains(t, nextRenewal(t, c, time.Second).LastMessage, test.wantMessage, "the next renewal contains the reason")
		})
	}
}

// A client whose control group does not answer tries the addresses in turn, first after a short backoff and later at the renewal interval.
func TestClientRetriesWithBackoff(t *testing.T) {
	c := newTestClient(t)
	renewals := map[int]int{} // by address
	reopened := 0
	now := time.Duration(0)
	for now < 20*time.Second {
		actions := c.Step(now, ClientTick{})
		for _, action := range clientActions[SendRenewal](actions) {
			renewals[action.AddressIndex]++
		}
		for range clientActions[ReopenStream](actions) {
			reopened++
			c.Step(now, StreamLost{})
		}
		now = max(now+ms, c.NextDeadline())
	}
	assert.Len(t, renewals, 3)
	total := renewals[0] + renewals[1] + renewals[2]
	assert.Greater(t, total, 15)
	assert.Less(t, total, 60, "too many renewals")
	assert.Less(t, reopened, 70)
	assert.Greater(t, reopened, 15)
}

// For any sequence of events, the client's rules permit nothing that a version in force forbids, and without a lease nothing that its local
// settings forbid.
func TestClientNeverExceedsVersionsInForce(t *testing.T) {
	versions := lineageOf(t, "l", 8)
	local := rulesWithMultiple(t, 1)
	rapid.Check(t, func(rt *rapid.T) {
		c := newTestClient(t)
		now := time.Duration(0)
		var seqs []uint64
		for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(rt, fmt.Sprint("pause", i))) * ms
			event := drawClientEvent(rt, i, c, versions, seqs)
			for _, action := range c.Step(now, event) {
				switch a := action.(type) {
				case SendRenewal:
					seqs = append(seqs, a.Renewal.Seq)
				case ApplyRules:
					checkAppliedRules(rt, a, versions, local)
					if a.Configuration.Leased != (c.LeaseExpiry() > now) {
						rt.Fatalf("Leased is %v, but the lease expires at %v and the time is %v", a.Configuration.Leased, c.LeaseExpiry(), now)
					}
				}
			}
		}
	})
}

func drawClientEvent(rt *rapid.T, step int, c *Client, versions []*configversion.Version, seqs []uint64) ClientEvent {
	number := rapid.IntRange(0, len(versions)).Draw(rt, fmt.Sprint("number", step))
	switch rapid.IntRange(0, 5).Draw(rt, fmt.Sprint("event", step)) {
	case 0, 1:
		activated := rapid.IntRange(max(0, number-1), number).Draw(rt, fmt.Sprint("activated", step))
		return VersionReceived{versions[max(0, number-1)], uint64(activated)}
	case 2:
		return VersionActivated{"l", min(uint64(number), c.newestNumber())}
	case 3:
		if len(seqs) > 0 {
			seq := rapid.SampledFrom(seqs).Draw(rt, fmt.Sprint("seq", step))
			return ReplyReceived{Reply{Seq: seq, Granted: true, Lineage: "l", Newest: c.newestNumber(), Activated: c.activatedNumber}}
		}
	case 4:
		return StreamLost{}
	}
	return ClientTick{}
}

func checkAppliedRules(rt *rapid.T, applied ApplyRules, versions []*configversion.Version, local *rules.Rules) {
	for _, number := range []uint64{applied.Configuration.Activated, applied.Configuration.Pending} {
		if number > 0 && len(rules.ConflictingFields(applied.Rules, versions[number-1].Rules)) > 0 {
			rt.Fatalf("applied rules permit what version %d forbids", number)
		}
	}
	if !applied.Configuration.Leased && len(rules.ConflictingFields(applied.Rules, local)) > 0 {
		rt.Fatal("without a lease, applied rules permit what the local settings forbid")
	}
}

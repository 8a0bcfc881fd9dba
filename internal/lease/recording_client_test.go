package lease

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/configversion"
	"bankledge/internal/configversion/versiontest"
	"bankledge/internal/rules"
)

func TestRecordedClient(t *testing.T) {
	for seed, want := range map[uint64]string{
		1: "73e5a6760619dedc43b521fec1dea6a7e3a7d91596423d42041ad79ba43d035a",
		2: "67a0501f7e5c4ef5f6518a7bc43f64123acc9a196c31b1902f64ac6ca049de8f",
		3: "ffc287d584131455a7d20cc80afb8b65e896c5da5214b87b94eea0acaca16d5c",
		4: "264b917224712c75b85a958b73f40fcfa9405e18d5ad9af65e50534f55352513",
		5: "b45a6a169ce6404ce5aafaacbb1802474aa32cfdce8e80e4c77eff437be9f805",
		6: "788fb3fc2520822fbba05e9faad4a970eca67bf08b5cace14017665a262c6545",
	} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := newRecording(t, seed)
			c := newClientRecording(r)
			for range eventsPerSeed {
				c.step(c.drawEvent())
			}
			assert.Equal(t, want, r.sum())
			for _, kind := range []string{"renew", "use", "reopen", "log"} {
				assert.Greater(t, r.counts[kind], eventsPerSeed/100, kind)
			}
		})
	}
}

// clientRecording steps a client with random events, of the kinds that a control group may cause.
type clientRecording struct {
	*recording
	client       *Client
	local        *rules.Rules
	versions     []*configversion.Version
	otherLineage []*configversion.Version
	renewals     []Renewal // the last 12 that the client sent, at most
	known        int       // number of the last version that was sent to the client in order
	newest       int       // number of the last committed version
}

func newClientRecording(r *recording) *clientRecording {
	c := &clientRecording{
		recording:    r,
		versions:     versiontest.Lineage(r.t, r.random, "l", 200),
		otherLineage: versiontest.Lineage(r.t, r.random, "m", 200),
		local:        &rules.Rules{Routers: 4, SlowStartMultiple: 2, SlowStartShare: 0.25, HealthChecksPerStatement: 2, SheddableWorkloads: []string{"a"}},
	}
	require.NoError(r.t, c.local.Validate())
	lineage := ""
	if r.chance(0.5) {
		lineage = "l"
	}
	c.client = NewClient(ClientSettings{
		Durations:    DefaultDurations(),
		Name:         "r1",
		Incarnation:  "x",
		Lineage:      lineage,
		LocalRules:   c.local,
		Guards:       configversion.Guards{MaxRemovedShare: 0.5},
		AddressCount: 1 + r.random.IntN(3),
		Seed:         r.random.Uint64(),
	})
	c.known = r.random.IntN(2)
	c.newest = c.known + 1
	return c
}

// step passes an event to the client and records the resulting actions.
func (c *clientRecording) step(event ClientEvent) {
	for _, action := range c.client.Step(c.now, event) {
		switch a := action.(type) {
		case SendRenewal:
			c.line("renew", "%d %s", a.AddressIndex, c.json(a.Renewal))
			c.renewals = append(c.renewals, a.Renewal)
			c.renewals = c.renewals[max(0, len(c.renewals)-12):]
		case ApplyRules:
			canonical := "nothing"
			if a.Rules != nil {
				canonical = string(a.Rules.Canonical())
			}
			c.line("use", "%v %d %d %s %s", a.Configuration.Leased, a.Configuration.Activated, a.Configuration.Pending, recordedText(a.Configuration), canonical)
		case ReopenStream:
			c.line("reopen", "%d %d", a.AddressIndex, a.AfterVersion)
		case LogMessage:
			c.line("log", "%q", a.Text)
		default:
			require.Fail(c.t, "unknown action")
		}
	}
	c.line("times", "%d %d", c.client.NextDeadline(), c.client.LeaseExpiry())
}

// recordedText describes a configuration in the wording of ActiveConfiguration.String at the commit at which the hashes were computed.
func recordedText(configuration ActiveConfiguration) string {
	text := fmt.Sprintf("version %d", configuration.Activated)
	switch {
	case configuration.Activated > 0 && configuration.Pending > 0:
		text = fmt.Sprintf("versions %d and %d, cautious side", configuration.Activated, configuration.Pending)
	case configuration.Pending > 0:
		text = fmt.Sprintf("version %d and own settings, cautious side", configuration.Pending)
	}
	if !configuration.Leased {
		text += ", no term: with own settings, cautious side"
	}
	return text
}

// drawEvent advances the time, at times commits a version, and returns the next event.
func (c *clientRecording) drawEvent() ClientEvent {
	c.advance()
	if c.chance(0.03) && c.newest < len(c.versions) {
		c.newest++
	}
	activated := uint64(max(0, c.newest-c.random.IntN(2)))
	switch draw := c.random.IntN(100); {
	case draw < 25:
		if c.chance(0.5) {
			c.now = max(c.now, c.client.NextDeadline())
		}
		return ClientTick{}
	case draw < 60 && len(c.renewals) > 0:
		return ReplyReceived{Reply: c.reply(c.renewals, uint64(c.newest), activated)}
	case draw < 68 && len(c.renewals) > 0:
		return RenewalFailed{Seq: c.renewals[c.random.IntN(len(c.renewals))].Seq}
	case draw < 84:
		c.known = min(c.newest, c.known+1)
		if c.chance(0.1) {
			c.known = c.newest
		}
		return VersionReceived{Version: c.versions[c.known-1], Activated: activated}
	case draw < 87:
		return VersionReceived{Version: c.unexpectedVersion(draw), Activated: activated}
	case draw < 94:
		return VersionActivated{Lineage: []string{"l", "l", "l", "m", ""}[c.random.IntN(5)], Number: activated}
	case draw < 98:
		return StreamLost{}
	}
	text := []string{"hash", strings.Repeat("long ", 100), "not \xff valid"}[c.random.IntN(3)]
	return InvalidVersionReceived{Err: errors.New(text)}
}

// unexpectedVersion returns a version out of order, a duplicate, one of another lineage, or a different version with a known number.
func (c *clientRecording) unexpectedVersion(draw int) *configversion.Version {
	if draw == 86 {
		return configversion.New(c.versions[max(0, c.newest-2)], "", c.local, nil, fmt.Sprint(c.now))
	}
	versions := c.versions
	if c.chance(0.3) {
		versions = c.otherLineage
	}
	return versions[c.random.IntN(c.newest)]
}

// reply returns a reply to one of the renewals, in most cases one that a real group would send.
func (r *recording) reply(renewals []Renewal, newest, activated uint64) Reply {
	renewal := renewals[len(renewals)-1]
	if r.chance(0.15) {
		renewal = renewals[r.random.IntN(len(renewals))]
	}
	reply := Reply{Seq: renewal.Seq, Lineage: "l", Newest: newest, Activated: activated, Granted: renewal.KnownVersion == newest}
	switch draw := r.random.IntN(40); draw {
	case 0:
		reply.Seq = uint64(r.random.IntN(1000))
	case 1:
		reply = Reply{Seq: renewal.Seq, RejectReason: "this process does not lead the group", LeaderAddress: "h:1"}
	case 2:
		reply = Reply{Seq: renewal.Seq, LeaderAddress: "h:1"}
	case 3:
		reply = Reply{Seq: renewal.Seq, RejectReason: strings.Repeat("é", 150)}
	case 4:
		reply.Lineage = "m"
	case 5:
		reply.Granted = !reply.Granted
	case 6:
		reply.Newest = renewal.KnownVersion
		reply.Granted = true
	}
	return reply
}

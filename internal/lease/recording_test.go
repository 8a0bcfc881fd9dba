package lease

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/configregister"
	"bankledge/internal/configversion"
	"bankledge/internal/configversion/versiontest"
	"bankledge/internal/rules"
)

// The recordings drive the state machines with generated events and hash every action, rendered in words that no rename changes. The
// hashes were computed at commit 05e118f: a difference is a change of behaviour.

const (
	ms            = time.Millisecond
	eventsPerSeed = 4000
)

// recording hashes the rendered actions of one state machine.
type recording struct {
	t      *testing.T
	random *rand.Rand
	hash   hash.Hash
	now    time.Duration
	counts map[string]int // of each action, by its rendered name
}

func newRecording(t *testing.T, seed uint64) *recording {
	return &recording{t: t, random: rand.New(rand.NewPCG(45, seed)), hash: sha256.New(), counts: map[string]int{}}
}

// line hashes one line; its first word is counted.
func (r *recording) line(kind, format string, args ...any) {
	r.counts[kind]++
	fmt.Fprintf(r.hash, kind+" "+format+"\n", args...)
}

func (r *recording) sum() string { return hex.EncodeToString(r.hash.Sum(nil)) }

// chance tells whether something of this probability happens.
func (r *recording) chance(probability float64) bool { return r.random.Float64() < probability }

// advance lets a drawn time pass: mostly little, at times more than a term.
func (r *recording) advance() {
	switch {
	case r.chance(0.5):
		r.now += time.Duration(r.random.IntN(20)) * ms
	case r.chance(0.97):
		r.now += time.Duration(r.random.IntN(300)) * ms
	default:
		r.now += time.Duration(r.random.IntN(5000)) * ms
	}
}

func (r *recording) json(value any) string {
	raw, err := json.Marshal(value)
	require.NoError(r.t, err)
	return string(raw)
}

func TestRecordedClient(t *testing.T) {
	for seed, want := range map[uint64]string{
		1: "034b3c15124b1cc1971ea5e0e8be8459e07bdfcf7d6a55a12caa05cd6c923f32",
		2: "8f223230d37212f56be493dffb72e2552bbe87375b96fb543a99a5755096528e",
		3: "10cc61adb94c26f13f5ba4983ff68674557ab60a819b4706761b2bf7271596a1",
		4: "ff469b6b35beac5f2dc946ccebc3b002ee9efb5b6fda7af9067a1632e81fca78",
		5: "bda9fc13e09d9c9b5d5c02fc94d2c713823a2b87a7a8b277c99bb45f3764532f",
		6: "facfb47ab4ce4d104b403f7fc74610f00ea33129a0f0251ab6ddc130c11523ff",
	} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := newRecording(t, seed)
			recordClient(r)
			assert.Equal(t, want, r.sum())
			for _, kind := range []string{"renew", "use", "reopen", "log"} {
				assert.Greater(t, r.counts[kind], eventsPerSeed/100, kind)
			}
		})
	}
}

func recordClient(r *recording) {
	versions := versiontest.Lineage(r.t, r.random, "l", 200)
	other := versiontest.Lineage(r.t, r.random, "m", 200)
	own := &rules.Rules{Routers: 4, SlowStartMultiple: 2, SlowStartShare: 0.25, HealthChecksPerStatement: 2, SheddableWorkloads: []string{"a"}}
	require.NoError(r.t, own.Validate())
	lineage := ""
	if r.chance(0.5) {
		lineage = "l"
	}
	client := NewClient(ClientSettings{Durations: DefaultDurations(), Name: "r1", Incarnation: "x", Lineage: lineage, LocalRules: own, Guards: configversion.Guards{MaxRemovedShare: 0.5},
		AddressCount: 1 + r.random.IntN(3), Seed: r.random.Uint64()})
	var renewals []Renewal    // that have been sent, the last of them
	known := r.random.IntN(2) // number of the version that the client was sent last
	newest := known + 1       // number of the version that was written last
	step := func(event ClientEvent) {
		for _, action := range client.Step(r.now, event) {
			switch a := action.(type) {
			case SendRenewal:
				r.line("renew", "%d %s", a.AddressIndex, r.json(a.Renewal))
				renewals = append(renewals, a.Renewal)
				renewals = renewals[max(0, len(renewals)-12):]
			case ApplyRules:
				canonical := "nothing"
				if a.Rules != nil {
					canonical = string(a.Rules.Canonical())
				}
				r.line("use", "%v %d %d %s %s", a.Configuration.Leased, a.Configuration.Activated, a.Configuration.Pending, a.Configuration, canonical)
			case ReopenStream:
				r.line("reopen", "%d %d", a.AddressIndex, a.AfterVersion)
			case LogMessage:
				r.line("log", "%q", a.Text)
			default:
				require.Fail(r.t, "unknown action")
			}
		}
		r.line("times", "%d %d", client.NextDeadline(), client.LeaseExpiry())
	}
	for range eventsPerSeed {
		r.advance()
		if r.chance(0.03) && newest < len(versions) {
			newest++
		}
		settled := uint64(max(0, newest-r.random.IntN(2)))
		switch draw := r.random.IntN(100); {
		case draw < 25:
			if r.chance(0.5) {
				r.now = max(r.now, client.NextDeadline())
			}
			step(ClientTick{})
		case draw < 60 && len(renewals) > 0:
			step(ReplyReceived{Reply: r.reply(renewals, uint64(newest), settled)})
		case draw < 68 && len(renewals) > 0:
			step(RenewalFailed{Seq: renewals[r.random.IntN(len(renewals))].Seq})
		case draw < 84:
			known = min(newest, known+1)
			if r.chance(0.1) {
				known = newest
			}
			step(VersionReceived{Version: versions[known-1], Activated: settled})
		case draw < 86: // out of order, doubled or from another lineage
			list := versions
			if r.chance(0.3) {
				list = other
			}
			step(VersionReceived{Version: list[r.random.IntN(newest)], Activated: settled})
		case draw < 87: // another version of a number
			fork := configversion.New(versions[max(0, newest-2)], "", own, nil, fmt.Sprint(r.now))
			step(VersionReceived{Version: fork, Activated: settled})
		case draw < 94:
			step(VersionActivated{Lineage: []string{"l", "l", "l", "m", ""}[r.random.IntN(5)], Number: settled})
		case draw < 98:
			step(StreamLost{})
		default:
			text := []string{"hash", strings.Repeat("long ", 100), "not \xff valid"}[r.random.IntN(3)]
			step(InvalidVersionReceived{Err: errors.New(text)})
		}
	}
}

// reply answers one of the renewals, mostly as a group does.
func (r *recording) reply(renewals []Renewal, newest, settled uint64) Reply {
	renewal := renewals[len(renewals)-1]
	if r.chance(0.15) {
		renewal = renewals[r.random.IntN(len(renewals))]
	}
	reply := Reply{Seq: renewal.Seq, Lineage: "l", Newest: newest, Activated: settled, Granted: renewal.KnownVersion == newest}
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
		reply.Newest, reply.Granted = renewal.KnownVersion, true
	}
	return reply
}

func TestRecordedCoordinator(t *testing.T) {
	for seed, want := range map[uint64]string{
		1: "671ffd404c8f5871c3c8addd46f6142e7b1aa6e7ae557d8103fc3c91e05e8fb1",
		2: "018a69ceef83fbe4f09c277078961df0434137aa54b3ad3de1b1b9fd3a080461",
		3: "4b80e5151dddb915f220b76149c3d16ccede725edacec8b6ab4b940f5b344c22",
		4: "2ae53e2e126d8acf89f95afeaa8d246241af7a52127b1f826f3623a590c40192",
	} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := newRecording(t, seed)
			recordCoordinator(r)
			assert.Equal(t, want, r.sum())
			for _, kind := range []string{"confirm", "answer", "append", "tell"} {
				assert.Greater(t, r.counts[kind], eventsPerSeed/100, kind)
			}
		})
	}
}

// replicated is the state that the log of the driven group has reached.
type replicated struct {
	newest, settled uint64
	hash            string
	written         []configregister.Entry // appended and not applied yet
}

// apply applies the oldest written entry, or some state of an older leader.
func (s *replicated) apply(r *recording) StateApplied {
	var outcomes []configregister.Outcome
	if len(s.written) > 0 {
		entry := s.written[0]
		s.written = s.written[1:]
		switch {
		case entry.Kind == "settle":
			s.settled = max(s.settled, min(entry.Number, s.newest))
		case r.chance(0.2):
			outcomes = append(outcomes, configregister.Outcome{ID: entry.ID, Error: "refused"})
		default:
			s.newest++
			s.hash = fmt.Sprint("hash", s.newest)
			outcomes = append(outcomes, configregister.Outcome{ID: entry.ID, Number: s.newest})
		}
	}
	return StateApplied{Lineage: "l", Newest: s.newest, Activated: s.settled, Hash: s.hash, Outcomes: outcomes}
}

func recordCoordinator(r *recording) {
	group := NewCoordinator(DefaultDurations())
	state := replicated{newest: 1, settled: 1, hash: "hash1"}
	var tokens []uint64
	call, leads := uint64(0), false
	step := func(event CoordinatorEvent) {
		for _, action := range group.Step(r.now, event) {
			switch a := action.(type) {
			case ConfirmLeadership:
				r.line("confirm", "%d", a.Token)
				tokens = append(tokens, a.Token)
			case SendReply:
				r.line("answer", "%d %s", a.CallID, r.json(a.Reply))
			case AppendEntry:
				r.line("append", "%s", r.json(a.Entry))
				state.written = append(state.written, a.Entry)
			case SendOutcome:
				r.line("tell", "%d %s", a.CallID, r.json(a.Outcome))
			default:
				require.Fail(r.t, "unknown action")
			}
		}
		r.line("wake", "%d", group.NextDeadline(r.now))
	}
	step(state.apply(r))
	for i := range eventsPerSeed {
		r.advance()
		call++
		switch draw := r.random.IntN(1000); {
		case draw < 15 || i == 0:
			leads = true
			step(LeadershipGained{})
		case draw < 20:
			leads = false
			state.written = nil
			step(LeadershipLost{})
		case draw < 370:
			step(RenewalReceived{CallID: call, Renewal: r.renewal(&state)})
		case draw < 600 && len(tokens) > 0:
			token := tokens[len(tokens)-1]
			if r.chance(0.1) {
				token = tokens[r.random.IntN(len(tokens))]
			}
			step(LeadershipConfirmed{Token: token})
		case draw < 680:
			step(ProposalReceived{CallID: call, Entry: r.proposal(call)})
		case draw < 850:
			step(state.apply(r))
		case draw < 870 && len(state.written) > 0:
			entry := state.written[0]
			state.written = state.written[1:]
			step(AppendFailed{ProposalID: entry.ID, Err: errors.New("not written")})
		case draw < 900:
			step(LeadershipCheckRequested{CallID: call})
		case draw < 920:
			step(CallCancelled{CallID: call - uint64(r.random.IntN(20))})
		case draw < 925 && leads: // more at once than are taken
			for range 1000 {
				call++
				step(ProposalReceived{CallID: call, Entry: r.proposal(call)})
			}
		default:
			step(CoordinatorTick{})
		}
		if r.chance(0.05) {
			for _, s := range group.Sessions(r.now) {
				r.line("session", "%d %d %s", s.Expiry, s.LastRenewal, r.json(s))
			}
		}
		if r.chance(0.002) {
			r.now += 11 * time.Minute
		}
	}
}

// renewal is one that a router may send, at times one that is refused.
func (r *recording) renewal(state *replicated) Renewal {
	incarnation := fmt.Sprint("x", r.random.IntN(12))
	renewal := Renewal{Name: "r" + incarnation[1:2], Incarnation: incarnation, Seq: r.random.Uint64N(1000), Lineage: "l", KnownVersion: state.newest, KnownHash: state.hash, DurationsKey: DefaultDurations().CompatibilityKey()}
	switch r.random.IntN(30) {
	case 0:
		renewal.Name = strings.Repeat("x", 201)
	case 1:
		renewal.Incarnation = ""
	case 2:
		renewal.DurationsKey = "others"
	case 3:
		renewal.Lineage = "m"
	case 4:
		renewal.KnownVersion++
	case 5:
		renewal.KnownHash = "other"
	case 6, 7, 8, 9:
		renewal.KnownVersion = max(1, renewal.KnownVersion-1)
	case 10:
		renewal.KnownVersion, renewal.KnownHash, renewal.Lineage = 0, "", ""
	case 11:
		renewal.LastMessage = "a word"
	case 12:
		renewal.Incarnation = fmt.Sprint(r.random.Uint64())
	}
	return renewal
}

func (r *recording) proposal(call uint64) configregister.Entry {
	entry := configregister.Entry{Kind: "propose", ID: fmt.Sprint("p", call), Rules: json.RawMessage(`{"routers":1}`), Note: "note"}
	switch r.random.IntN(12) {
	case 0:
		entry.Kind, entry.Number, entry.Rules = "rollback", 1, nil
	case 1:
		entry.Kind = "settle"
	case 2:
		entry.ID = ""
	case 3:
		entry.ID = strings.Repeat("i", 201)
	}
	return entry
}

// TestRecordedCoordinatorLimits hands in more renewals than are kept, and hashes who is refused.
func TestRecordedCoordinatorLimits(t *testing.T) {
	r := newRecording(t, 5)
	group := NewCoordinator(DefaultDurations())
	step := func(event CoordinatorEvent) {
		for _, action := range group.Step(r.now, event) {
			switch a := action.(type) {
			case SendReply:
				r.line("answer", "%d %s", a.CallID, r.json(a.Reply))
			case SendOutcome:
				r.line("tell", "%d %s", a.CallID, r.json(a.Outcome))
			case ConfirmLeadership:
				r.line("confirm", "%d", a.Token)
			}
		}
	}
	step(StateApplied{Lineage: "l", Newest: 1, Activated: 1, Hash: "h"})
	step(LeadershipGained{})
	for call := range uint64(9000) {
		step(RenewalReceived{CallID: call, Renewal: Renewal{Name: "r", Incarnation: fmt.Sprint(call), Lineage: "l", KnownVersion: 1, KnownHash: "h", DurationsKey: DefaultDurations().CompatibilityKey()}})
	}
	step(LeadershipCheckRequested{CallID: 9000})
	step(LeadershipConfirmed{Token: 1})
	step(LeadershipConfirmed{Token: 2})
	step(RenewalReceived{CallID: 9001, Renewal: Renewal{Name: "r", Incarnation: "another"}})
	assert.Equal(t, "a289eb778bfa5ff709302da6b2a7a865713d43ae82f9d425fafbbf0106ac8942", r.sum())
}

// TestRecordedDurations lists what follows from the configured durations, and the texts of the errors.
func TestRecordedDurations(t *testing.T) {
	var lines []string
	for _, s := range []Durations{
		DefaultDurations(),
		{LeaseDuration: time.Second, RenewInterval: 200 * ms, ReplyTimeout: 200 * ms, MaxClockDrift: 0.05},
		{LeaseDuration: 3*time.Second + 1, RenewInterval: 333 * ms, ReplyTimeout: 77 * ms, MaxClockDrift: 0.2, MaxBatch: time.Second, MaxPause: 7},
		{LeaseDuration: 2 * time.Second, RenewInterval: 900 * ms, ReplyTimeout: 400 * ms},
		{LeaseDuration: time.Second, RenewInterval: ms, ReplyTimeout: 200 * ms},
		{LeaseDuration: time.Second, RenewInterval: 200 * ms, ReplyTimeout: 2 * time.Second},
		{LeaseDuration: time.Second, RenewInterval: 200 * ms, ReplyTimeout: 200 * ms, MaxBatch: 600 * ms},
		{LeaseDuration: time.Second, RenewInterval: 200 * ms, ReplyTimeout: 200 * ms, MaxPause: -1},
		{LeaseDuration: time.Second, RenewInterval: 200 * ms, ReplyTimeout: 200 * ms, MaxClockDrift: 0.21},
		{LeaseDuration: 2 * time.Hour},
	} {
		lines = append(lines, fmt.Sprintf("%d %d %d %d %s: %v", s.ClientLease(), s.CoordinatorLease(), s.MaxContradiction(), s.MaxActivation(), s.CompatibilityKey(), s.Validate()))
	}
	assert.Equal(t, []string{
		"1980000000 2020000000 2100000000 2440404040 term 2s, drift 0.01: <nil>",
		"950000000 1050000000 1000000000 1305263157 term 1s, drift 0.05: <nil>",
		"2400000000 3600000001 4000000008 4833000001 term 3.000000001s, drift 0.2: <nil>",
		"2000000000 2000000000 2000000000 2900000000 term 2s, drift 0: term: 2s, less drift, is under 2.6s: one answer that is lost would end it",
		"1000000000 1000000000 1000000000 1001000000 term 1s, drift 0: renew: 1ms is not from 10ms to 1s",
		"1000000000 1000000000 1000000000 1200000000 term 1s, drift 0: answer: 2s is not from 10ms to 1s",
		"1000000000 1000000000 1600000000 1200000000 term 1s, drift 0: batch: 600ms is not from 0s to 500ms",
		"1000000000 1000000000 999999999 1200000000 term 1s, drift 0: pause: -1ns is not from 0s to 500ms",
		"790000000 1210000000 1000000000 1731645569 term 1s, drift 0.21: drift: 0.21 is not from 0 to 0.2",
		"7200000000000 7200000000000 7200000000000 7200000000000 term 2h0m0s, drift 0: term: 2h0m0s is not from 100ms to 1h0m0s",
	}, lines)
}

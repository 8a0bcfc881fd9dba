package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/configregister"
)

func TestRecordedCoordinator(t *testing.T) {
	for seed, want := range map[uint64]string{
		1: "3dcac6315acddb4a2ae4cee9515ef4a5adec2e198cb55d5ac2df7d385fb0bb5f",
		2: "3a06ad1140c9bbf921dac6446347157b9dc5006de0ece11b135d3519f65b1fb6",
		3: "b4ff10c093113c42361f9713aa213046ad77306a7fd636ef83540c2f1623bf0d",
		4: "37b7cd4941a559e6a16cbc18d7712b0362b12910b305a6f65b19e6f723455c71",
	} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			r := newRecording(t, seed)
			c := newCoordinatorRecording(r)
			for i := range eventsPerSeed {
				c.step(c.drawEvent(i == 0))
				if r.chance(0.05) {
					c.recordSessions()
				}
				if r.chance(0.002) {
					r.now += sessionRetention + time.Minute
				}
			}
			assert.Equal(t, want, r.sum())
			for _, kind := range []string{"confirm", "answer", "append", "tell"} {
				assert.Greater(t, r.counts[kind], eventsPerSeed/100, kind)
			}
		})
	}
}

// replicatedState is the replicated state of the simulated group.
type replicatedState struct {
	newest    uint64
	activated uint64
	hash      string
	appended  []configregister.Entry // entries that were appended and not applied yet
}

// apply applies the oldest appended entry, if there is one, and returns the event that reports the state.
func (s *replicatedState) apply(r *recording) StateApplied {
	var outcomes []configregister.Outcome
	if len(s.appended) > 0 {
		entry := s.appended[0]
		s.appended = s.appended[1:]
		switch {
		case entry.Kind == "settle":
			s.activated = max(s.activated, min(entry.Number, s.newest))
		case r.chance(0.2):
			outcomes = append(outcomes, configregister.Outcome{ID: entry.ID, Error: "refused"})
		default:
			s.newest++
			s.hash = fmt.Sprint("hash", s.newest)
			outcomes = append(outcomes, configregister.Outcome{ID: entry.ID, Number: s.newest})
		}
	}
	return StateApplied{Lineage: "l", Newest: s.newest, Activated: s.activated, Hash: s.hash, Outcomes: outcomes}
}

// coordinatorRecording steps a coordinator with random events, of the kinds that routers, operators and the log may cause.
type coordinatorRecording struct {
	*recording
	coordinator *Coordinator
	state       replicatedState
	tokens      []uint64 // of the requested confirmations
	callID      uint64   // of the last call
	isLeader    bool
}

func newCoordinatorRecording(r *recording) *coordinatorRecording {
	c := &coordinatorRecording{
		recording:   r,
		coordinator: NewCoordinator(DefaultDurations()),
		state:       replicatedState{newest: 1, activated: 1, hash: "hash1"},
	}
	c.step(c.state.apply(r))
	return c
}

// step passes an event to the coordinator and records the resulting actions.
func (c *coordinatorRecording) step(event CoordinatorEvent) {
	for _, action := range c.coordinator.Step(c.now, event) {
		switch a := action.(type) {
		case ConfirmLeadership:
			c.line("confirm", "%d", a.Token)
			c.tokens = append(c.tokens, a.Token)
		case SendReply:
			c.line("answer", "%d %s", a.CallID, c.json(a.Reply))
		case AppendEntry:
			c.line("append", "%s", c.json(a.Entry))
			c.state.appended = append(c.state.appended, a.Entry)
		case SendOutcome:
			c.line("tell", "%d %s", a.CallID, c.json(a.Outcome))
		default:
			require.Fail(c.t, "unknown action")
		}
	}
	c.line("wake", "%d", c.coordinator.NextDeadline(c.now))
}

// drawEvent advances the time and returns the next event. The first event is LeadershipGained.
func (c *coordinatorRecording) drawEvent(first bool) CoordinatorEvent {
	c.advance()
	c.callID++
	switch draw := c.random.IntN(1000); {
	case draw < 15 || first:
		c.isLeader = true
		return LeadershipGained{}
	case draw < 20:
		c.isLeader = false
		c.state.appended = nil
		return LeadershipLost{}
	case draw < 370:
		return RenewalReceived{CallID: c.callID, Renewal: c.renewal(&c.state)}
	case draw < 600 && len(c.tokens) > 0:
		token := c.tokens[len(c.tokens)-1]
		if c.chance(0.1) {
			token = c.tokens[c.random.IntN(len(c.tokens))]
		}
		return LeadershipConfirmed{Token: token}
	case draw < 680:
		return ProposalReceived{CallID: c.callID, Entry: c.proposal(c.callID)}
	case draw < 850:
		return c.state.apply(c.recording)
	case draw < 870 && len(c.state.appended) > 0:
		entry := c.state.appended[0]
		c.state.appended = c.state.appended[1:]
		return AppendFailed{ProposalID: entry.ID, Err: errors.New("not written")}
	case draw < 900:
		return LeadershipCheckRequested{CallID: c.callID}
	case draw < 920:
		return CallCancelled{CallID: c.callID - uint64(c.random.IntN(20))}
	case draw < 925 && c.isLeader:
		return c.floodWithProposals()
	}
	return CoordinatorTick{}
}

// floodWithProposals passes 999 proposals to the coordinator and returns another one: together more than the coordinator accepts.
func (c *coordinatorRecording) floodWithProposals() CoordinatorEvent {
	for range 999 {
		c.callID++
		c.step(ProposalReceived{CallID: c.callID, Entry: c.proposal(c.callID)})
	}
	c.callID++
	return ProposalReceived{CallID: c.callID, Entry: c.proposal(c.callID)}
}

func (c *coordinatorRecording) recordSessions() {
	for _, s := range c.coordinator.Sessions(c.now) {
		c.line("session", "%d %d %s", s.Expiry, s.LastRenewal, c.json(s))
	}
}

// renewal returns a renewal that a router may send, at times one that is rejected.
func (r *recording) renewal(state *replicatedState) Renewal {
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
		renewal.KnownVersion = 0
		renewal.KnownHash = ""
		renewal.Lineage = ""
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
		entry.Kind = "rollback"
		entry.Number = 1
		entry.Rules = nil
	case 1:
		entry.Kind = "settle"
	case 2:
		entry.ID = ""
	case 3:
		entry.ID = strings.Repeat("i", 201)
	}
	return entry
}

// TestRecordedCoordinatorLimits sends more renewals than the coordinator queues, and hashes the replies.
func TestRecordedCoordinatorLimits(t *testing.T) {
	r := newRecording(t, 5)
	coordinator := NewCoordinator(DefaultDurations())
	step := func(event CoordinatorEvent) {
		for _, action := range coordinator.Step(r.now, event) {
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

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
	"pgregory.net/rapid"

	"bankledge/internal/configversion"
	"bankledge/internal/rules"
)

const ms = time.Millisecond

func ruled(multiple float64) *rules.Rules {
	r := &rules.Rules{Routers: 3, SlowStartMultiple: multiple, SlowStartShare: 0.3, HealthChecksPerStatement: 2}
	if err := r.Validate(); err != nil {
		panic(err)
	}
	return r
}

// chain is versions 1 to n of a lineage: multiples go up and down.
func chain(lineage string, n int) (list []*configversion.Version) {
	var before *configversion.Version
	for i := range n {
		before = configversion.New(before, lineage, ruled(2+float64(i%3)), nil, "")
		list = append(list, before)
	}
	return list
}

func aRouter() *Client {
	return NewClient(ClientSettings{Durations: DefaultDurations(), Name: "r1", Incarnation: "x", LocalRules: ruled(1), Guards: configversion.Guards{MaxRemovedShare: 0.5}, AddressCount: 3, Seed: 7})
}

// found are the actions of one kind.
func found[A ClientAction](do []ClientAction) (list []A) {
	for _, a := range do {
		if a, is := a.(A); is {
			list = append(list, a)
		}
	}
	return list
}

// ask has the router send its next renewal, and returns it.
func ask(t *testing.T, r *Client, now time.Duration) Renewal {
	for range 20 {
		for _, a := range found[SendRenewal](r.Step(now, ClientTick{})) {
			return a.Renewal
		}
		now = max(now, r.NextDeadline())
	}
	require.Fail(t, "it does not ask")
	return Renewal{}
}

func TestSpans(t *testing.T) {
	s := DefaultDurations()
	require.NoError(t, s.Validate())
	assert.Equal(t, 2100*ms, s.MaxContradiction())
	assert.Less(t, s.ClientLease(), s.LeaseDuration)
	assert.Greater(t, s.CoordinatorLease(), s.LeaseDuration)
	for field, change := range map[string]func(*Durations){"term: 1": func(s *Durations) { s.LeaseDuration = ms }, "term: 2s": func(s *Durations) { s.RenewInterval = 900 * ms },
		"drift": func(s *Durations) { s.MaxClockDrift = 0.5 }, "batch": func(s *Durations) { s.MaxBatch = 2 * time.Second }, "pause": func(s *Durations) { s.MaxPause = -1 }, "answer": func(s *Durations) { s.ReplyTimeout = 0 }} {
		bad := DefaultDurations()
		change(&bad)
		assert.ErrorContains(t, bad.Validate(), field)
	}
}

// What tightens takes force on arrival, what loosens when it is settled; a term counts from its renewal's sending, however late its
// answer is, and when it is over the router is on the cautious side of all that it knows.
func TestRouterActs(t *testing.T) {
	r, list := aRouter(), chain("l", 3) // multiples 2, 3, 4
	use := func(do []ClientAction) float64 {
		if u := found[ApplyRules](do); len(u) > 0 {
			return u[len(u)-1].Rules.SlowStartMultiple
		}
		return 0
	}
	do := r.Step(0, VersionReceived{list[0], 0})
	assert.Equal(t, 1.0, use(do), "with own settings as long as nothing is in force")
	first := found[SendRenewal](do)[0].Renewal // it is acknowledged at once
	assert.Equal(t, uint64(1), first.KnownVersion)
	assert.Equal(t, 2.0, use(r.Step(300*ms, ReplyReceived{Reply{Seq: first.Seq, Granted: true, Lineage: "l", Newest: 1, Activated: 1}})))
	assert.Equal(t, r.LeaseExpiry(), DefaultDurations().ClientLease(), "from the sending, at 0")
	r.Step(310*ms, ReplyReceived{Reply{Seq: first.Seq, Granted: true, Lineage: "l", Newest: 1, Activated: 1}})
	assert.Equal(t, r.LeaseExpiry(), DefaultDurations().ClientLease(), "an answer counts once")
	assert.Equal(t, 2.0, use(r.Step(400*ms, VersionReceived{list[1], 1})), "looser: the cautious side is what it acted on")
	assert.Equal(t, ActiveConfiguration{Leased: true, Activated: 1, Pending: 2}, r.acting)
	assert.Equal(t, 3.0, use(r.Step(500*ms, VersionActivated{"l", 2})))
	tighter := configversion.New(list[1], "", ruled(1.5), nil, "")
	assert.Equal(t, 1.5, use(r.Step(600*ms, VersionReceived{tighter, 2})))
	assert.Equal(t, 1.0, use(r.Step(DefaultDurations().ClientLease(), ClientTick{})), "the term is over")
	assert.Contains(t, r.word, "cautious")
	assert.Equal(t, "versions 2 and 3, cautious side, no term: with own settings, cautious side", r.acting.String())
}

func TestRouterTurnsDown(t *testing.T) {
	list, other := chain("l", 6), chain("m", 2)
	all := ruled(2)
	all.Engines = map[string]rules.Engine{"e": {Phase: rules.Active, Address: "h:1"}, "f": {Phase: rules.Active, Address: "h:2"}}
	none := ruled(2)
	none.Engines = map[string]rules.Engine{}
	for name, c := range map[string]struct {
		events []ClientEvent
		says   string
		number uint64
	}{
		"another lineage":                   {[]ClientEvent{VersionReceived{list[0], 0}, VersionReceived{other[1], 1}}, "lineage m", 1},
		"another past":                      {[]ClientEvent{VersionReceived{list[0], 0}, VersionReceived{configversion.New(configversion.New(nil, "l", ruled(9), nil, ""), "", ruled(2), nil, ""), 1}}, "another past", 1},
		"two of one number":                 {[]ClientEvent{VersionReceived{list[0], 0}, VersionReceived{configversion.New(nil, "l", ruled(9), nil, ""), 0}}, "two versions 1", 1},
		"doubled and out of order":          {[]ClientEvent{VersionReceived{list[0], 0}, VersionReceived{list[1], 1}, VersionReceived{list[1], 1}, VersionReceived{list[0], 0}}, "", 2},
		"a gap, not in force":               {[]ClientEvent{VersionReceived{list[0], 0}, VersionReceived{list[3], 2}}, "missing", 1},
		"a gap, in force":                   {[]ClientEvent{VersionReceived{list[0], 0}, VersionReceived{list[3], 4}}, "", 4},
		"the first one heard, not in force": {[]ClientEvent{VersionReceived{list[3], 3}}, "missing", 0},
		"the first one heard, in force":     {[]ClientEvent{VersionReceived{list[3], 4}, VersionReceived{list[4], 4}}, "", 5},
		"half received":                     {[]ClientEvent{VersionReceived{list[0], 0}, InvalidVersionReceived{errors.New("hash")}}, "not taken: hash", 1},
		"every engine goes":                 {[]ClientEvent{VersionReceived{configversion.New(nil, "l", all, nil, ""), 1}, VersionReceived{configversion.New(configversion.New(nil, "l", all, nil, ""), "", none, nil, ""), 1}}, "no engine is active", 1},
		"forced by name":                    {[]ClientEvent{VersionReceived{configversion.New(nil, "l", all, nil, ""), 1}, VersionReceived{configversion.New(configversion.New(nil, "l", all, nil, ""), "", none, configversion.GuardNames(), ""), 1}}, "", 2},
	} {
		r, said := aRouter(), ""
		for i, ev := range c.events {
			for _, s := range found[LogMessage](r.Step(time.Duration(i)*ms, ev)) {
				said += s.Text
			}
		}
		assert.Equal(t, c.number, r.number(), name)
		if c.says == "" {
			assert.Empty(t, said, name)
		} else {
			assert.Contains(t, said, c.says, name)
			assert.Contains(t, ask(t, r, time.Second).LastMessage, c.says, "%s: the group hears why", name)
		}
	}
}

// It asks each address in turn, soon at first and then in its rhythm, and a group that is silent costs it nothing else.
func TestRouterGoesOn(t *testing.T) {
	r := aRouter()
	asked, follows, now := map[int]int{}, 0, time.Duration(0)
	for now < 20*time.Second {
		do := r.Step(now, ClientTick{})
		for _, a := range found[SendRenewal](do) {
			asked[a.AddressIndex]++
		}
		for range found[ReopenStream](do) {
			follows++
			r.Step(now, StreamLost{})
		}
		now = max(now+ms, r.NextDeadline())
	}
	assert.Len(t, asked, 3)
	total := asked[0] + asked[1] + asked[2]
	assert.Greater(t, total, 15)
	assert.Less(t, total, 60, "no storm")
	assert.Less(t, follows, 70)
	assert.Greater(t, follows, 15)
}

// Whatever comes in whatever order, a router never acts on more than each version that it goes by permits, and without a term never on
// more than its own settings permit.
func TestRouterIsCautious(t *testing.T) {
	list := chain("l", 8)
	rapid.Check(t, func(t *rapid.T) {
		r, now := aRouter(), time.Duration(0)
		seqs := []uint64{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, fmt.Sprint("pause", i))) * ms
			var ev ClientEvent = ClientTick{}
			number := rapid.IntRange(0, 8).Draw(t, fmt.Sprint("number", i))
			switch rapid.IntRange(0, 5).Draw(t, fmt.Sprint("event", i)) {
			case 0, 1:
				ev = VersionReceived{list[max(0, number-1)], uint64(rapid.IntRange(max(0, number-1), number).Draw(t, fmt.Sprint("settled", i)))}
			case 2:
				ev = VersionActivated{"l", min(uint64(number), r.number())}
			case 3:
				if len(seqs) > 0 {
					ev = ReplyReceived{Reply{Seq: rapid.SampledFrom(seqs).Draw(t, fmt.Sprint("seq", i)), Granted: true, Lineage: "l", Newest: r.number(), Activated: r.settledAt}}
				}
			case 4:
				ev = StreamLost{}
			}
			for _, a := range r.Step(now, ev) {
				switch a := a.(type) {
				case SendRenewal:
					seqs = append(seqs, a.Renewal.Seq)
				case ApplyRules:
					if a.Configuration.Leased != (r.LeaseExpiry() > now) {
						t.Fatalf("term %v, until %v at %v", a.Configuration.Leased, r.LeaseExpiry(), now)
					}
					for _, n := range []uint64{a.Configuration.Activated, a.Configuration.Pending} {
						if n > 0 && len(rules.Conflicts(a.Rules, list[n-1].Rules)) > 0 {
							t.Fatalf("it acts on more than version %d permits", n)
						}
					}
					if !a.Configuration.Leased && len(rules.Conflicts(a.Rules, r.LocalRules)) > 0 {
						t.Fatal("without a term, it acts on more than its own settings permit")
					}
				}
			}
		}
	})
}

// ---- The group's side ----

type groupBed struct {
	*Coordinator
	t    *testing.T
	now  time.Duration
	do   []CoordinatorAction
	call uint64
}

func newGroupBed(t *testing.T) *groupBed {
	b := &groupBed{Coordinator: NewCoordinator(DefaultDurations()), t: t}
	b.step(StateApplied{Lineage: "l", Newest: 1, Activated: 1, Hash: "h1"})
	return b
}

func (b *groupBed) step(ev CoordinatorEvent) *groupBed {
	b.do = b.Step(b.now, ev)
	return b
}

// renew hands in a renewal, has it confirmed that this process leads, and returns the reply.
func (b *groupBed) renew(r Renewal) Reply {
	r.DurationsKey = DefaultDurations().CompatibilityKey()
	b.call++
	list := b.Step(b.now, RenewalReceived{b.call, r})
	for _, a := range list {
		if c, is := a.(ConfirmLeadership); is {
			list = append(list, b.Step(b.now, LeadershipConfirmed{c.Token})...)
		}
	}
	b.do = list
	for _, a := range list {
		if a, is := a.(SendReply); is && a.CallID == b.call {
			return a.Reply
		}
	}
	require.Fail(b.t, "no answer")
	return Reply{}
}

func (b *groupBed) settles() bool {
	for _, a := range b.do {
		if a, is := a.(AppendEntry); is && a.Entry.Kind == EntryActivate {
			return true
		}
	}
	return false
}

func TestGroupGrants(t *testing.T) {
	b := newGroupBed(t)
	good := Renewal{Name: "r", Incarnation: "x", Lineage: "l", KnownVersion: 1, KnownHash: "h1"}
	assert.Contains(t, b.renew(good).RejectReason, "does not lead")
	b.step(LeadershipGained{})
	assert.True(t, b.renew(good).Granted)
	for says, change := range map[string]func(*Renewal){
		"lineage l":      func(r *Renewal) { r.Lineage = "m" },
		"from a backup":  func(r *Renewal) { r.KnownVersion = 4 },
		"is another one": func(r *Renewal) { r.KnownHash = "h2" },
		"incarnation":    func(r *Renewal) { r.Incarnation = "" },
		"too long":       func(r *Renewal) { r.Name = strings.Repeat("x", 300) },
		"":               func(r *Renewal) { r.KnownVersion, r.KnownHash = 0, "" },
	} {
		r := good
		change(&r)
		reply := b.renew(r)
		assert.False(t, reply.Granted, says)
		assert.Contains(t, reply.RejectReason, says)
	}
	other := good
	other.DurationsKey = "term 1h"
	assert.False(t, b.Coordinator.grant(b.now, waiting{renewal: other}).Granted)
}

// A version is settled once no term runs whose router does not know it, and never before a new leader has waited out what an old one
// may have granted.
func TestGroupSettles(t *testing.T) {
	b := newGroupBed(t)
	b.step(LeadershipGained{})
	b.step(StateApplied{Lineage: "l", Newest: 2, Activated: 1, Hash: "h2"})
	assert.False(t, b.settles(), "a new leader waits")
	b.now = DefaultDurations().CoordinatorLease()
	assert.True(t, b.step(CoordinatorTick{}).settles())
	assert.False(t, b.step(CoordinatorTick{}).settles(), "once")
	b.step(StateApplied{Lineage: "l", Newest: 2, Activated: 2, Hash: "h2"})
	at := b.now
	for _, who := range []string{"x", "y"} {
		require.True(t, b.renew(Renewal{Name: "r", Incarnation: who, Lineage: "l", KnownVersion: 2, KnownHash: "h2"}).Granted)
	}
	assert.True(t, b.Sessions(b.now)[0].DuplicateName, "two processes have one name")
	b.step(StateApplied{Lineage: "l", Newest: 3, Activated: 2, Hash: "h3"})
	assert.False(t, b.settles())
	b.now += 100 * ms
	require.True(t, b.renew(Renewal{Name: "r", Incarnation: "x", Lineage: "l", KnownVersion: 3, KnownHash: "h3"}).Granted)
	assert.False(t, b.settles(), "the other one has a term on the version before")
	b.now = at + DefaultDurations().CoordinatorLease() - ms
	assert.False(t, b.step(CoordinatorTick{}).settles())
	b.now = at + DefaultDurations().CoordinatorLease()
	assert.True(t, b.step(CoordinatorTick{}).settles())
}

func TestGroupAdmitsOneAfterAnother(t *testing.T) {
	b := newGroupBed(t)
	b.step(LeadershipGained{})
	appended := func() (ids []string) {
		for _, a := range b.do {
			if a, is := a.(AppendEntry); is && a.Entry.Kind == EntryPropose {
				ids = append(ids, a.Entry.ID)
			}
		}
		return ids
	}
	assert.Equal(t, []string{"a"}, func() []string { b.step(ProposalReceived{1, Entry{Kind: EntryPropose, ID: "a"}}); return appended() }())
	assert.Empty(t, func() []string { b.step(ProposalReceived{2, Entry{Kind: EntryPropose, ID: "b"}}); return appended() }())
	b.step(StateApplied{Lineage: "l", Newest: 2, Activated: 1, Outcomes: []Outcome{{ID: "a", Number: 2}}})
	assert.Contains(t, b.do, CoordinatorAction(SendOutcome{1, Outcome{ID: "a", Number: 2}}))
	assert.Empty(t, appended(), "the one before is still spreading")
	b.step(StateApplied{Lineage: "l", Newest: 2, Activated: 2})
	assert.Equal(t, []string{"b"}, appended())
	b.step(LeadershipLost{})
	assert.Contains(t, b.do, CoordinatorAction(SendOutcome{2, Outcome{ID: "b", Error: ErrNotLeader.Error()}}), "whether it was written is not known")
	b.step(LeadershipGained{})
	for i := range 2 * mostWaiting / 16 {
		b.step(ProposalReceived{uint64(i + 10), Entry{Kind: EntryPropose, ID: fmt.Sprint(i)}})
	}
	assert.LessOrEqual(t, len(b.proposals)+len(b.appended), mostWaiting/16, "bounded")
	b.step(ProposalReceived{3, Entry{Kind: EntryActivate, ID: "c"}})
	assert.Contains(t, b.do[0].(SendOutcome).Outcome.Error, "not a proposal")
}

func TestGroupForgets(t *testing.T) {
	b := newGroupBed(t)
	b.step(LeadershipGained{})
	for i := range mostSessions + 10 {
		b.renew(Renewal{Name: "r", Incarnation: fmt.Sprint(i), Lineage: "l", KnownVersion: 1, KnownHash: "h1"})
	}
	assert.Len(t, b.sessions, mostSessions)
	b.now += keepsSessions + time.Minute
	b.step(CoordinatorTick{})
	assert.Empty(t, b.sessions)
}

func TestRegister(t *testing.T) {
	g := Register{Guards: configversion.Guards{MaxRemovedShare: 0.5}}
	apply := func(e Entry) Outcome {
		raw, err := json.Marshal(e)
		require.NoError(t, err)
		o, _ := g.Apply(raw)
		return o
	}
	propose := func(id string, multiple float64, forced ...string) Outcome {
		return apply(Entry{Kind: EntryPropose, ID: id, Rules: ruled(multiple).Canonical(), ForcedGuards: forced})
	}
	assert.Contains(t, propose("early", 2).Error, "not founded")
	apply(Entry{Kind: EntryFound, Lineage: "l"})
	apply(Entry{Kind: EntryFound, Lineage: "m"})
	assert.Equal(t, "l", g.Lineage, "once")
	assert.Equal(t, uint64(1), propose("a", 2).Number)
	assert.Contains(t, propose("b", 3).Error, ErrRolloutInProgress.Error())
	apply(Entry{Kind: EntryActivate, Number: 9})
	assert.Zero(t, g.Activated, "what is not written can't be in force")
	apply(Entry{Kind: EntryActivate, Number: 1})
	assert.Equal(t, uint64(2), propose("b", 3).Number, "one that had to wait may come again")
	assert.Equal(t, uint64(2), propose("b", 3).Number, "what comes twice counts once")
	assert.Len(t, g.Versions, 2)
	assert.Len(t, g.UpdatesAfter(0), 2)
	assert.Len(t, g.UpdatesAfter(1), 1)
	apply(Entry{Kind: EntryActivate, Number: 2})
	assert.Len(t, g.UpdatesAfter(0), 1, "who knows nothing needs what is in force")
	assert.Contains(t, propose("c", 1).Error, configversion.GuardFloor)
	assert.Contains(t, propose("same", 3).Error, "nothing differs")
	assert.Contains(t, propose("d", 3, "any").Error, "no guard")
	assert.Equal(t, uint64(3), propose("e", 1, configversion.GuardFloor).Number)
	apply(Entry{Kind: EntryActivate, Number: 3})
	assert.Equal(t, uint64(4), apply(Entry{Kind: EntryRollback, ID: "f", Number: 2}).Number)
	assert.Equal(t, 3.0, g.Newest().Rules.SlowStartMultiple)
	assert.Contains(t, apply(Entry{Kind: EntryRollback, ID: "g", Number: 77}).Error, ErrRolloutInProgress.Error())
	apply(Entry{Kind: EntryActivate, Number: 4})
	assert.Contains(t, apply(Entry{Kind: EntryRollback, ID: "h", Number: 77}).Error, "not kept")
	_, is := g.Apply([]byte("{"))
	assert.False(t, is)
	var again Register
	require.NoError(t, again.Restore(g.Snapshot()))
	assert.Equal(t, g.Newest().Hash, again.Newest().Hash)
	assert.Equal(t, g.Outcomes, again.Outcomes)
	assert.ErrorContains(t, again.Restore([]byte("{")), "snapshot")
}

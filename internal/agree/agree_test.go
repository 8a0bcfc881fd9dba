package agree

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

	"bankledge/internal/rules"
	"bankledge/internal/version"
)

const ms = time.Millisecond

func ruled(multiple float64) *rules.Rules {
	r := &rules.Rules{Routers: 3, ColdMultiple: multiple, ColdShare: 0.3, Probes: 2}
	if err := r.Check(); err != nil {
		panic(err)
	}
	return r
}

// chain is versions 1 to n of a lineage: multiples go up and down.
func chain(lineage string, n int) (list []*version.Version) {
	var before *version.Version
	for i := range n {
		before = version.New(before, lineage, ruled(2+float64(i%3)), nil, "")
		list = append(list, before)
	}
	return list
}

func aRouter() *Router {
	return NewRouter(Setup{Spans: Defaults(), Name: "r1", Incarnation: "x", Own: ruled(1), Guards: version.Guards{MostGone: 0.5}, Addresses: 3, Seed: 7})
}

// found are the actions of one kind.
func found[A RouterAction](do []RouterAction) (list []A) {
	for _, a := range do {
		if a, is := a.(A); is {
			list = append(list, a)
		}
	}
	return list
}

// ask has the router send its next renewal, and returns it.
func ask(t *testing.T, r *Router, now time.Duration) Renewal {
	for range 20 {
		for _, a := range found[Ask](r.Step(now, Look{})) {
			return a.Renewal
		}
		now = max(now, r.Wake())
	}
	require.Fail(t, "it does not ask")
	return Renewal{}
}

func TestSpans(t *testing.T) {
	s := Defaults()
	require.NoError(t, s.Check())
	assert.Equal(t, 2100*ms, s.T())
	assert.Less(t, s.Held(), s.Term)
	assert.Greater(t, s.Owed(), s.Term)
	for field, change := range map[string]func(*Spans){"term: 1": func(s *Spans) { s.Term = ms }, "term: 2s": func(s *Spans) { s.Renew = 900 * ms },
		"drift": func(s *Spans) { s.Drift = 0.5 }, "batch": func(s *Spans) { s.Batch = 2 * time.Second }, "pause": func(s *Spans) { s.Pause = -1 }, "answer": func(s *Spans) { s.Answer = 0 }} {
		bad := Defaults()
		change(&bad)
		assert.ErrorContains(t, bad.Check(), field)
	}
}

// What tightens takes force on arrival, what loosens when it is settled; a term counts from its renewal's sending, however late its
// answer is, and when it is over the router is on the cautious side of all that it knows.
func TestRouterActs(t *testing.T) {
	r, list := aRouter(), chain("l", 3) // multiples 2, 3, 4
	use := func(do []RouterAction) float64 {
		if u := found[Use](do); len(u) > 0 {
			return u[len(u)-1].Rules.ColdMultiple
		}
		return 0
	}
	do := r.Step(0, Came{list[0], 0})
	assert.Equal(t, 1.0, use(do), "with own settings as long as nothing is in force")
	first := found[Ask](do)[0].Renewal // it is acknowledged at once
	assert.Equal(t, uint64(1), first.Known)
	assert.Equal(t, 2.0, use(r.Step(300*ms, Told{Reply{Seq: first.Seq, Granted: true, Lineage: "l", Newest: 1, Settled: 1}})))
	assert.Equal(t, r.Until(), Defaults().Held(), "from the sending, at 0")
	r.Step(310*ms, Told{Reply{Seq: first.Seq, Granted: true, Lineage: "l", Newest: 1, Settled: 1}})
	assert.Equal(t, r.Until(), Defaults().Held(), "an answer counts once")
	assert.Equal(t, 2.0, use(r.Step(400*ms, Came{list[1], 1})), "looser: the cautious side is what it acted on")
	assert.Equal(t, Ground{Term: true, Settled: 1, Pending: 2}, r.acting)
	assert.Equal(t, 3.0, use(r.Step(500*ms, Settled{"l", 2})))
	tighter := version.New(list[1], "", ruled(1.5), nil, "")
	assert.Equal(t, 1.5, use(r.Step(600*ms, Came{tighter, 2})))
	assert.Equal(t, 1.0, use(r.Step(Defaults().Held(), Look{})), "the term is over")
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
		events []RouterEvent
		says   string
		number uint64
	}{
		"another lineage":                   {[]RouterEvent{Came{list[0], 0}, Came{other[1], 1}}, "lineage m", 1},
		"another past":                      {[]RouterEvent{Came{list[0], 0}, Came{version.New(version.New(nil, "l", ruled(9), nil, ""), "", ruled(2), nil, ""), 1}}, "another past", 1},
		"two of one number":                 {[]RouterEvent{Came{list[0], 0}, Came{version.New(nil, "l", ruled(9), nil, ""), 0}}, "two versions 1", 1},
		"doubled and out of order":          {[]RouterEvent{Came{list[0], 0}, Came{list[1], 1}, Came{list[1], 1}, Came{list[0], 0}}, "", 2},
		"a gap, not in force":               {[]RouterEvent{Came{list[0], 0}, Came{list[3], 2}}, "missing", 1},
		"a gap, in force":                   {[]RouterEvent{Came{list[0], 0}, Came{list[3], 4}}, "", 4},
		"the first one heard, not in force": {[]RouterEvent{Came{list[3], 3}}, "missing", 0},
		"the first one heard, in force":     {[]RouterEvent{Came{list[3], 4}, Came{list[4], 4}}, "", 5},
		"half received":                     {[]RouterEvent{Came{list[0], 0}, Unfit{errors.New("hash")}}, "not taken: hash", 1},
		"every engine goes":                 {[]RouterEvent{Came{version.New(nil, "l", all, nil, ""), 1}, Came{version.New(version.New(nil, "l", all, nil, ""), "", none, nil, ""), 1}}, "no engine is active", 1},
		"forced by name":                    {[]RouterEvent{Came{version.New(nil, "l", all, nil, ""), 1}, Came{version.New(version.New(nil, "l", all, nil, ""), "", none, version.Names(), ""), 1}}, "", 2},
	} {
		r, said := aRouter(), ""
		for i, ev := range c.events {
			for _, s := range found[Say](r.Step(time.Duration(i)*ms, ev)) {
				said += s.Text
			}
		}
		assert.Equal(t, c.number, r.number(), name)
		if c.says == "" {
			assert.Empty(t, said, name)
		} else {
			assert.Contains(t, said, c.says, name)
			assert.Contains(t, ask(t, r, time.Second).Word, c.says, "%s: the group hears why", name)
		}
	}
}

// It asks each address in turn, soon at first and then in its rhythm, and a group that is silent costs it nothing else.
func TestRouterGoesOn(t *testing.T) {
	r := aRouter()
	asked, follows, now := map[int]int{}, 0, time.Duration(0)
	for now < 20*time.Second {
		do := r.Step(now, Look{})
		for _, a := range found[Ask](do) {
			asked[a.Address]++
		}
		for range found[Refollow](do) {
			follows++
			r.Step(now, Lost{})
		}
		now = max(now+ms, r.Wake())
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
			var ev RouterEvent = Look{}
			number := rapid.IntRange(0, 8).Draw(t, fmt.Sprint("number", i))
			switch rapid.IntRange(0, 5).Draw(t, fmt.Sprint("event", i)) {
			case 0, 1:
				ev = Came{list[max(0, number-1)], uint64(rapid.IntRange(max(0, number-1), number).Draw(t, fmt.Sprint("settled", i)))}
			case 2:
				ev = Settled{"l", min(uint64(number), r.number())}
			case 3:
				if len(seqs) > 0 {
					ev = Told{Reply{Seq: rapid.SampledFrom(seqs).Draw(t, fmt.Sprint("seq", i)), Granted: true, Lineage: "l", Newest: r.number(), Settled: r.settledAt}}
				}
			case 4:
				ev = Lost{}
			}
			for _, a := range r.Step(now, ev) {
				switch a := a.(type) {
				case Ask:
					seqs = append(seqs, a.Renewal.Seq)
				case Use:
					if a.On.Term != (r.Until() > now) {
						t.Fatalf("term %v, until %v at %v", a.On.Term, r.Until(), now)
					}
					for _, n := range []uint64{a.On.Settled, a.On.Pending} {
						if n > 0 && len(rules.Offends(a.Rules, list[n-1].Rules)) > 0 {
							t.Fatalf("it acts on more than version %d permits", n)
						}
					}
					if !a.On.Term && len(rules.Offends(a.Rules, r.Own)) > 0 {
						t.Fatal("without a term, it acts on more than its own settings permit")
					}
				}
			}
		}
	})
}

// ---- The group's side ----

type groupBed struct {
	*Group
	t    *testing.T
	now  time.Duration
	do   []GroupAction
	call uint64
}

func newGroupBed(t *testing.T) *groupBed {
	b := &groupBed{Group: NewGroup(Defaults()), t: t}
	b.step(Applied{Lineage: "l", Newest: 1, Settled: 1, Hash: "h1"})
	return b
}

func (b *groupBed) step(ev GroupEvent) *groupBed {
	b.do = b.Step(b.now, ev)
	return b
}

// renew hands in a renewal, has it confirmed that this process leads, and returns the reply.
func (b *groupBed) renew(r Renewal) Reply {
	r.Spans = Defaults().Key()
	b.call++
	list := b.Step(b.now, Heard{b.call, r})
	for _, a := range list {
		if c, is := a.(Confirm); is {
			list = append(list, b.Step(b.now, Confirmed{c.Token})...)
		}
	}
	b.do = list
	for _, a := range list {
		if a, is := a.(Answer); is && a.Call == b.call {
			return a.Reply
		}
	}
	require.Fail(b.t, "no answer")
	return Reply{}
}

func (b *groupBed) settles() bool {
	for _, a := range b.do {
		if a, is := a.(Append); is && a.Entry.Kind == Settle {
			return true
		}
	}
	return false
}

func TestGroupGrants(t *testing.T) {
	b := newGroupBed(t)
	good := Renewal{Name: "r", Incarnation: "x", Lineage: "l", Known: 1, Hash: "h1"}
	assert.Contains(t, b.renew(good).Refused, "does not lead")
	b.step(Led{})
	assert.True(t, b.renew(good).Granted)
	for says, change := range map[string]func(*Renewal){
		"lineage l":      func(r *Renewal) { r.Lineage = "m" },
		"from a backup":  func(r *Renewal) { r.Known = 4 },
		"is another one": func(r *Renewal) { r.Hash = "h2" },
		"incarnation":    func(r *Renewal) { r.Incarnation = "" },
		"too long":       func(r *Renewal) { r.Name = strings.Repeat("x", 300) },
		"":               func(r *Renewal) { r.Known, r.Hash = 0, "" },
	} {
		r := good
		change(&r)
		reply := b.renew(r)
		assert.False(t, reply.Granted, says)
		assert.Contains(t, reply.Refused, says)
	}
	other := good
	other.Spans = "term 1h"
	assert.False(t, b.Group.grant(b.now, waiting{renewal: other}).Granted)
}

// A version is settled once no term runs whose router does not know it, and never before a new leader has waited out what an old one
// may have granted.
func TestGroupSettles(t *testing.T) {
	b := newGroupBed(t)
	b.step(Led{})
	b.step(Applied{Lineage: "l", Newest: 2, Settled: 1, Hash: "h2"})
	assert.False(t, b.settles(), "a new leader waits")
	b.now = Defaults().Owed()
	assert.True(t, b.step(Tick{}).settles())
	assert.False(t, b.step(Tick{}).settles(), "once")
	b.step(Applied{Lineage: "l", Newest: 2, Settled: 2, Hash: "h2"})
	at := b.now
	for _, who := range []string{"x", "y"} {
		require.True(t, b.renew(Renewal{Name: "r", Incarnation: who, Lineage: "l", Known: 2, Hash: "h2"}).Granted)
	}
	assert.True(t, b.Sessions(b.now)[0].Twins, "two processes have one name")
	b.step(Applied{Lineage: "l", Newest: 3, Settled: 2, Hash: "h3"})
	assert.False(t, b.settles())
	b.now += 100 * ms
	require.True(t, b.renew(Renewal{Name: "r", Incarnation: "x", Lineage: "l", Known: 3, Hash: "h3"}).Granted)
	assert.False(t, b.settles(), "the other one has a term on the version before")
	b.now = at + Defaults().Owed() - ms
	assert.False(t, b.step(Tick{}).settles())
	b.now = at + Defaults().Owed()
	assert.True(t, b.step(Tick{}).settles())
}

func TestGroupAdmitsOneAfterAnother(t *testing.T) {
	b := newGroupBed(t)
	b.step(Led{})
	appended := func() (ids []string) {
		for _, a := range b.do {
			if a, is := a.(Append); is && a.Entry.Kind == Propose {
				ids = append(ids, a.Entry.ID)
			}
		}
		return ids
	}
	assert.Equal(t, []string{"a"}, func() []string { b.step(Wanted{1, Entry{Kind: Propose, ID: "a"}}); return appended() }())
	assert.Empty(t, func() []string { b.step(Wanted{2, Entry{Kind: Propose, ID: "b"}}); return appended() }())
	b.step(Applied{Lineage: "l", Newest: 2, Settled: 1, Outcomes: []Outcome{{ID: "a", Number: 2}}})
	assert.Contains(t, b.do, GroupAction(Tell{1, Outcome{ID: "a", Number: 2}}))
	assert.Empty(t, appended(), "the one before is still spreading")
	b.step(Applied{Lineage: "l", Newest: 2, Settled: 2})
	assert.Equal(t, []string{"b"}, appended())
	b.step(Deposed{})
	assert.Contains(t, b.do, GroupAction(Tell{2, Outcome{ID: "b", Error: ErrNotLeading.Error()}}), "whether it was written is not known")
	b.step(Led{})
	for i := range 2 * mostWaiting / 16 {
		b.step(Wanted{uint64(i + 10), Entry{Kind: Propose, ID: fmt.Sprint(i)}})
	}
	assert.LessOrEqual(t, len(b.proposals)+len(b.appended), mostWaiting/16, "bounded")
	b.step(Wanted{3, Entry{Kind: Settle, ID: "c"}})
	assert.Contains(t, b.do[0].(Tell).Outcome.Error, "not a proposal")
}

func TestGroupForgets(t *testing.T) {
	b := newGroupBed(t)
	b.step(Led{})
	for i := range mostSessions + 10 {
		b.renew(Renewal{Name: "r", Incarnation: fmt.Sprint(i), Lineage: "l", Known: 1, Hash: "h1"})
	}
	assert.Len(t, b.sessions, mostSessions)
	b.now += keepsSessions + time.Minute
	b.step(Tick{})
	assert.Empty(t, b.sessions)
}

func TestRegister(t *testing.T) {
	g := Register{Guards: version.Guards{MostGone: 0.5}}
	apply := func(e Entry) Outcome {
		raw, err := json.Marshal(e)
		require.NoError(t, err)
		o, _ := g.Apply(raw)
		return o
	}
	propose := func(id string, multiple float64, forced ...string) Outcome {
		return apply(Entry{Kind: Propose, ID: id, Rules: ruled(multiple).Canonical(), Forced: forced})
	}
	assert.Contains(t, propose("early", 2).Error, "not founded")
	apply(Entry{Kind: Found, Name: "l"})
	apply(Entry{Kind: Found, Name: "m"})
	assert.Equal(t, "l", g.Lineage, "once")
	assert.Equal(t, uint64(1), propose("a", 2).Number)
	assert.Contains(t, propose("b", 3).Error, ErrSpreading.Error())
	apply(Entry{Kind: Settle, Number: 9})
	assert.Zero(t, g.Settled, "what is not written can't be in force")
	apply(Entry{Kind: Settle, Number: 1})
	assert.Equal(t, uint64(2), propose("b", 3).Number, "one that had to wait may come again")
	assert.Equal(t, uint64(2), propose("b", 3).Number, "what comes twice counts once")
	assert.Len(t, g.Versions, 2)
	assert.Len(t, g.After(0), 2)
	assert.Len(t, g.After(1), 1)
	apply(Entry{Kind: Settle, Number: 2})
	assert.Len(t, g.After(0), 1, "who knows nothing needs what is in force")
	assert.Contains(t, propose("c", 1).Error, version.GuardFloor)
	assert.Contains(t, propose("same", 3).Error, "nothing differs")
	assert.Contains(t, propose("d", 3, "any").Error, "no guard")
	assert.Equal(t, uint64(3), propose("e", 1, version.GuardFloor).Number)
	apply(Entry{Kind: Settle, Number: 3})
	assert.Equal(t, uint64(4), apply(Entry{Kind: Rollback, ID: "f", Number: 2}).Number)
	assert.Equal(t, 3.0, g.Newest().Rules.ColdMultiple)
	assert.Contains(t, apply(Entry{Kind: Rollback, ID: "g", Number: 77}).Error, ErrSpreading.Error())
	apply(Entry{Kind: Settle, Number: 4})
	assert.Contains(t, apply(Entry{Kind: Rollback, ID: "h", Number: 77}).Error, "not kept")
	_, is := g.Apply([]byte("{"))
	assert.False(t, is)
	var again Register
	require.NoError(t, again.Restore(g.Snapshot()))
	assert.Equal(t, g.Newest().Hash, again.Newest().Hash)
	assert.Equal(t, g.Outcomes, again.Outcomes)
	assert.ErrorContains(t, again.Restore([]byte("{")), "snapshot")
}

package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bankledge/internal/configregister"
	"bankledge/internal/configversion"
	"bankledge/internal/rules"
)

// rulesWithMultiple returns rules with a given SlowStartMultiple: a larger one is less restrictive.
func rulesWithMultiple(t *testing.T, multiple float64) *rules.Rules {
	t.Helper()
	r := &rules.Rules{Routers: 3, SlowStartMultiple: multiple, SlowStartShare: 0.3, HealthChecksPerStatement: 2}
	require.NoError(t, r.Validate())
	return r
}

// successor returns the version after previous, or the first of lineage l if that is nil, with the rules of rulesWithMultiple.
func successor(t *testing.T, previous *configversion.Version, multiple float64) *configversion.Version {
	t.Helper()
	return configversion.New(previous, "l", rulesWithMultiple(t, multiple), nil, "")
}

// lineageOf returns versions 1 to n of a lineage. Their SlowStartMultiple is 2, 3, 4, 2, 3, 4 and so on.
func lineageOf(t *testing.T, lineage string, n int) []*configversion.Version {
	t.Helper()
	var versions []*configversion.Version
	var previous *configversion.Version
	for i := range n {
		previous = configversion.New(previous, lineage, rulesWithMultiple(t, 2+float64(i%3)), nil, "")
		versions = append(versions, previous)
	}
	return versions
}

func newTestClient(t *testing.T) *Client {
	t.Helper()
	return NewClient(ClientSettings{
		Durations:    DefaultDurations(),
		Name:         "r1",
		Incarnation:  "x",
		LocalRules:   rulesWithMultiple(t, 1),
		Guards:       configversion.Guards{MaxRemovedShare: 0.5},
		AddressCount: 3,
		Seed:         7,
	})
}

// clientActions returns the actions of one type.
func clientActions[A ClientAction](actions []ClientAction) []A {
	var found []A
	for _, action := range actions {
		if a, ok := action.(A); ok {
			found = append(found, a)
		}
	}
	return found
}

// coordinatorFixture steps a coordinator at a time that the test sets.
type coordinatorFixture struct {
	*Coordinator
	t          *testing.T
	now        time.Duration
	actions    []CoordinatorAction // of the last step or renew
	lastCallID uint64
}

// newCoordinatorFixture returns the coordinator of a process that does not lead, in a group whose version 1 is activated.
func newCoordinatorFixture(t *testing.T) *coordinatorFixture {
	t.Helper()
	f := &coordinatorFixture{Coordinator: NewCoordinator(DefaultDurations()), t: t}
	f.step(StateApplied{Lineage: "l", Newest: 1, Activated: 1, Hash: "h1"})
	return f
}

func (f *coordinatorFixture) step(event CoordinatorEvent) *coordinatorFixture {
	f.actions = f.Step(f.now, event)
	return f
}

// renew sends a renewal to the coordinator, confirms the leadership if the coordinator requests that, and returns the reply.
func (f *coordinatorFixture) renew(renewal Renewal) Reply {
	f.t.Helper()
	renewal.DurationsKey = DefaultDurations().CompatibilityKey()
	f.lastCallID++
	f.step(RenewalReceived{CallID: f.lastCallID, Renewal: renewal})
	for _, action := range f.actions {
		if confirm, ok := action.(ConfirmLeadership); ok {
			f.actions = append(f.actions, f.Step(f.now, LeadershipConfirmed(confirm))...)
		}
	}
	for _, action := range f.actions {
		if reply, ok := action.(SendReply); ok && reply.CallID == f.lastCallID {
			return reply.Reply
		}
	}
	require.Fail(f.t, "the coordinator sends no reply")
	return Reply{}
}

// activates reports whether the last step proposed to activate a version.
func (f *coordinatorFixture) activates() bool {
	for _, entry := range f.appendedEntries() {
		if entry.Kind == configregister.EntryActivate {
			return true
		}
	}
	return false
}

// appendedIDs returns the ids of the proposals that the last step wrote to the log.
func (f *coordinatorFixture) appendedIDs() []string {
	var ids []string
	for _, entry := range f.appendedEntries() {
		if entry.Kind == configregister.EntryPropose {
			ids = append(ids, entry.ID)
		}
	}
	return ids
}

func (f *coordinatorFixture) appendedEntries() []configregister.Entry {
	var entries []configregister.Entry
	for _, action := range f.actions {
		if a, ok := action.(AppendEntry); ok {
			entries = append(entries, a.Entry)
		}
	}
	return entries
}

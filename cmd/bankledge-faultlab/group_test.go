package main

import (
	"context"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"bankledge/internal/faultlab"
)

// fleetPrograms builds the router and the control service.
func fleetPrograms(t *testing.T) faultlab.Options {
	t.Helper()
	control := filepath.Join(t.TempDir(), "bankledge-control")
	require.NoError(t, goBuild("the control service", control, "../bankledge-control"))
	return faultlab.Options{RouterProgram: routerProgram(t), ControlProgram: control}
}

const maxPlaysAtOnce = 3 // plays of a control group: they ask for little of the machine

// playGroup plays a schedule with processes of the control service and of the router, and has the auditors judge.
func playGroup(t *testing.T, o faultlab.Options, s *faultlab.Scenario) faultlab.ConsistencyReport {
	t.Helper()
	h, err := faultlab.Run(context.Background(), s, o)
	require.NoError(t, err)
	c := faultlab.CheckConsistency(h)
	t.Logf("%d versions, longest contradiction %v of %v (looser %v), %d pairs, leased %.2f, %v", c.Versions, c.LongestContradiction,
		faultlab.GroupDurations.MaxContradiction(), c.LongestEarlyLoosening, c.Contradictions, c.LeasedShare, s.Faults)
	for _, b := range c.Violations {
		t.Errorf("%s, at %v: %s", b.Auditor, b.At, b.Text)
	}
	for _, b := range faultlab.Audit(h) {
		if faultlab.IsInvariant(b.Auditor) {
			t.Errorf("%s, at %v: %s", b.Auditor, b.At, b.Text)
		}
	}
	return c
}

// groupSchedule is a schedule of five routers and a control group of three.
func groupSchedule(name string, versionInterval float64, faults []faultlab.Fault) *faultlab.Scenario {
	return &faultlab.Scenario{
		Name:            name,
		Seed:            1,
		Routers:         5,
		Engines:         2,
		Seconds:         7,
		Load:            0.15,
		BusiestFactor:   1,
		ControlMembers:  3,
		VersionInterval: versionInterval,
		Faults:          faults,
	}
}

// Schedules drawn from seeds: five processes of the router, a control group of one, three or five, links and processes that fail.
func TestGroupSchedules(t *testing.T) {
	n := plays(t)
	t.Cleanup(func() { goleak.VerifyNone(t) })
	o := fleetPrograms(t)
	turn := make(chan struct{}, maxPlaysAtOnce)
	for seed := range uint64(n) {
		s := faultlab.GenerateGroupScenario(seed+1, 7)
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			turn <- struct{}{}
			defer func() { <-turn }()
			playGroup(t, o, s)
		})
	}
}

// The cases that are hard for consistency: processes that are killed, stopped and resumed, and links blocked one way and both.
func TestGroupHardCases(t *testing.T) {
	plays(t)
	t.Cleanup(func() { goleak.VerifyNone(t) })
	o := fleetPrograms(t)
	turn := make(chan struct{}, maxPlaysAtOnce)
	all := []int{0, 1, 2, 3, 4}
	some := []int{0, 1}
	members := []int{0, 1, 2}
	leader := []int{-1} // of the moment
	for name, c := range map[string]struct {
		versionInterval float64 // seconds
		minLeasedShare  float64 // of the time of routers
		faults          []faultlab.Fault
	}{
		"nothing fails": {versionInterval: 0.3, minLeasedShare: 0.95},
		"the leader is killed": {versionInterval: 0.2, minLeasedShare: 0.6, faults: []faultlab.Fault{
			{Kind: "member-kill", At: 2, For: 1.5, Members: leader},
		}},
		"the leader is stopped for longer than a lease": {versionInterval: 0.2, minLeasedShare: 0.5, faults: []faultlab.Fault{
			{Kind: "member-stop", At: 2, For: 2.2, Members: leader},
		}},
		"routers are stopped across versions and resumed": {versionInterval: 0.2, minLeasedShare: 0.6, faults: []faultlab.Fault{
			{Kind: "stop", At: 2, For: 2, Routers: some},
		}},
		"routers hear and are not heard": {versionInterval: 0.2, minLeasedShare: 0.5, faults: []faultlab.Fault{
			{Kind: "group-cut-there", At: 2, For: 2.5, Routers: some, Members: members},
		}},
		"routers are heard and hear nothing": {versionInterval: 0.2, minLeasedShare: 0.5, faults: []faultlab.Fault{
			{Kind: "group-cut-back", At: 2, For: 2.5, Routers: some, Members: members},
		}},
		"the leader is apart from the others": {versionInterval: 0.2, minLeasedShare: 0.5, faults: []faultlab.Fault{
			{Kind: "apart", At: 2, For: 2.5, Members: leader},
		}},
		"routers are killed and come back with nothing": {versionInterval: 0.2, minLeasedShare: 0.6, faults: []faultlab.Fault{
			{Kind: "kill", At: 2, For: 0.2, Routers: []int{0, 1, 2}},
		}},
		"two of three are lost for good": {versionInterval: 0.2, minLeasedShare: 0.1, faults: []faultlab.Fault{
			{Kind: "member-lose", At: 3, Members: []int{0, 1}},
		}},
		"a version each 20 ms while links flap": {versionInterval: 0.02, minLeasedShare: 0.3, faults: []faultlab.Fault{
			{Kind: "group-cut", At: 1.5, For: 0.4, Routers: some, Members: members},
			{Kind: "group-cut", At: 2.3, For: 1.2, Routers: []int{1, 2}, Members: members},
			{Kind: "group-reset", At: 3, Routers: all, Members: members},
			{Kind: "group-cut-back", At: 3.6, For: 0.6, Routers: some, Members: members},
		}},
		"what the group says comes late by most of a lease": {versionInterval: 0.3, minLeasedShare: 0, faults: []faultlab.Fault{
			{Kind: "group-delay", At: 1.5, For: 3, Amount: 0.8, Routers: all, Members: members},
		}},
		"two halves, with routers on both sides": {versionInterval: 0.2, minLeasedShare: 0.3, faults: []faultlab.Fault{
			{Kind: "apart", At: 2, For: 2.5, Members: []int{0}},
			{Kind: "group-cut", At: 2, For: 2.5, Routers: []int{0, 1}, Members: []int{1, 2}},
			{Kind: "group-cut", At: 2, For: 2.5, Routers: []int{2, 3, 4}, Members: []int{0}},
		}},
		"two seconds late on every link": {versionInterval: 0.3, minLeasedShare: 0, faults: []faultlab.Fault{
			{Kind: "group-delay", At: 1.5, For: 3, Amount: 2, Routers: all, Members: members},
		}},
		"routers end by SIGTERM while versions come": {versionInterval: 0.1, minLeasedShare: 0.5, faults: []faultlab.Fault{
			{Kind: "term", At: 2, For: 1, Routers: some},
			{Kind: "term", At: 3.2, For: 1, Routers: []int{2, 3}},
		}},
		"all connections are reset, and all start anew": {versionInterval: 0.3, minLeasedShare: 0.4, faults: []faultlab.Fault{
			{Kind: "group-reset", At: 2, Routers: all, Members: members},
			{Kind: "member-kill", At: 2.5, For: 0.1, Members: members},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			turn <- struct{}{}
			defer func() { <-turn }()
			got := playGroup(t, o, groupSchedule(name, c.versionInterval, c.faults))
			assert.Greater(t, got.Versions, 5)
			assert.GreaterOrEqual(t, got.LeasedShare, c.minLeasedShare)
			assert.NotZero(t, got.Contradictions, "there was something to bound")
		})
	}
}

// The auditors of consistency are known to fail: routers that act on what they receive, without leases, contradict each other for as
// long as some receive nothing.
func TestGroupAuditorFails(t *testing.T) {
	plays(t)
	t.Chdir("../..")
	o, remove, err := buildFleet(pushEdits)
	require.NoError(t, err)
	defer remove()
	s := groupSchedule("push", 0.2, []faultlab.Fault{
		{Kind: "group-cut", At: 2, For: 3.5, Routers: []int{0, 1}, Members: []int{0, 1, 2}},
	})
	h, err := faultlab.Run(context.Background(), s, o)
	require.NoError(t, err)
	c := faultlab.CheckConsistency(h)
	assert.Greater(t, c.LongestContradiction, faultlab.GroupDurations.MaxContradiction())
	assert.NotEmpty(t, c.Violations)
}

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

// maxParallelRuns limits the concurrent runs with a control group, which put little load on the machine.
const maxParallelRuns = 3

// runGroup runs a scenario with processes of the control service and of the router, and reports the violations that the auditors find.
func runGroup(t *testing.T, o faultlab.Options, s *faultlab.Scenario) faultlab.ConsistencyReport {
	t.Helper()
	history, err := faultlab.Run(context.Background(), s, o)
	require.NoError(t, err)
	report := faultlab.CheckConsistency(history)
	t.Logf("%d versions, longest contradiction %v of %v (early loosening %v), %d contradicting pairs, leased share %.2f, %v",
		report.Versions, report.LongestContradiction, faultlab.GroupDurations.MaxContradiction(), report.LongestEarlyLoosening,
		report.Contradictions, report.LeasedShare, s.Faults)
	for _, v := range report.Violations {
		t.Errorf("%s, at %v: %s", v.Auditor, v.At, v.Text)
	}
	for _, v := range faultlab.Audit(history) {
		if faultlab.IsInvariant(v.Auditor) {
			t.Errorf("%s, at %v: %s", v.Auditor, v.At, v.Text)
		}
	}
	return report
}

// groupScenario returns a scenario with five routers and a control group of three processes.
func groupScenario(name string, versionInterval float64, faults []faultlab.Fault) *faultlab.Scenario {
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

// Scenarios generated from seeds: five processes of the router, a control group of one, three or five, and failing links and processes.
func TestGroupSchedules(t *testing.T) {
	n := scenarioCount(t)
	t.Cleanup(func() { goleak.VerifyNone(t) })
	o := fleetPrograms(t)
	slots := make(chan struct{}, maxParallelRuns)
	for seed := range uint64(n) {
		s := faultlab.GenerateGroupScenario(seed+1, 7)
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			runGroup(t, o, s)
		})
	}
}

// Combinations of faults that are hard for consistency: processes are killed, stopped and resumed, and links are blocked in one direction
// or both.
func TestGroupHardCases(t *testing.T) {
	scenarioCount(t)
	t.Cleanup(func() { goleak.VerifyNone(t) })
	o := fleetPrograms(t)
	slots := make(chan struct{}, maxParallelRuns)
	all := []int{0, 1, 2, 3, 4}
	some := []int{0, 1}
	members := []int{0, 1, 2}
	leader := []int{-1} // the member that leads when the fault starts
	for name, c := range map[string]struct {
		versionInterval float64 // seconds
		minLeasedShare  float64 // minimum share of the routers' time with a lease
		faults          []faultlab.Fault
	}{
		"nothing fails": {versionInterval: 0.3, minLeasedShare: 0.95},
		"the leader is killed": {versionInterval: 0.2, minLeasedShare: 0.6, faults: []faultlab.Fault{
			{Kind: "member-kill", At: 2, For: 1.5, Members: leader},
		}},
		"the leader is stopped for longer than a lease": {versionInterval: 0.2, minLeasedShare: 0.5, faults: []faultlab.Fault{
			{Kind: "member-stop", At: 2, For: 2.2, Members: leader},
		}},
		"routers are stopped while versions are written, and resumed": {versionInterval: 0.2, minLeasedShare: 0.6, faults: []faultlab.Fault{
			{Kind: "stop", At: 2, For: 2, Routers: some},
		}},
		"messages from routers to the group are blocked": {versionInterval: 0.2, minLeasedShare: 0.5, faults: []faultlab.Fault{
			{Kind: "group-cut-there", At: 2, For: 2.5, Routers: some, Members: members},
		}},
		"messages from the group to routers are blocked": {versionInterval: 0.2, minLeasedShare: 0.5, faults: []faultlab.Fault{
			{Kind: "group-cut-back", At: 2, For: 2.5, Routers: some, Members: members},
		}},
		"the leader is partitioned from the other members": {versionInterval: 0.2, minLeasedShare: 0.5, faults: []faultlab.Fault{
			{Kind: "apart", At: 2, For: 2.5, Members: leader},
		}},
		"routers are killed and restart without state": {versionInterval: 0.2, minLeasedShare: 0.6, faults: []faultlab.Fault{
			{Kind: "kill", At: 2, For: 0.2, Routers: []int{0, 1, 2}},
		}},
		"two of three members are lost permanently": {versionInterval: 0.2, minLeasedShare: 0.1, faults: []faultlab.Fault{
			{Kind: "member-lose", At: 3, Members: []int{0, 1}},
		}},
		"one version every 20 ms while links flap": {versionInterval: 0.02, minLeasedShare: 0.3, faults: []faultlab.Fault{
			{Kind: "group-cut", At: 1.5, For: 0.4, Routers: some, Members: members},
			{Kind: "group-cut", At: 2.3, For: 1.2, Routers: []int{1, 2}, Members: members},
			{Kind: "group-reset", At: 3, Routers: all, Members: members},
			{Kind: "group-cut-back", At: 3.6, For: 0.6, Routers: some, Members: members},
		}},
		"messages of the group are delayed by most of a lease": {versionInterval: 0.3, minLeasedShare: 0, faults: []faultlab.Fault{
			{Kind: "group-delay", At: 1.5, For: 3, Amount: 0.8, Routers: all, Members: members},
		}},
		"the group is partitioned, with routers on both sides": {versionInterval: 0.2, minLeasedShare: 0.3, faults: []faultlab.Fault{
			{Kind: "apart", At: 2, For: 2.5, Members: []int{0}},
			{Kind: "group-cut", At: 2, For: 2.5, Routers: []int{0, 1}, Members: []int{1, 2}},
			{Kind: "group-cut", At: 2, For: 2.5, Routers: []int{2, 3, 4}, Members: []int{0}},
		}},
		"messages are delayed by two seconds on every link": {versionInterval: 0.3, minLeasedShare: 0, faults: []faultlab.Fault{
			{Kind: "group-delay", At: 1.5, For: 3, Amount: 2, Routers: all, Members: members},
		}},
		"routers are shut down by SIGTERM while versions are written": {versionInterval: 0.1, minLeasedShare: 0.5, faults: []faultlab.Fault{
			{Kind: "term", At: 2, For: 1, Routers: some},
			{Kind: "term", At: 3.2, For: 1, Routers: []int{2, 3}},
		}},
		"all connections are reset and all members restart": {versionInterval: 0.3, minLeasedShare: 0.4, faults: []faultlab.Fault{
			{Kind: "group-reset", At: 2, Routers: all, Members: members},
			{Kind: "member-kill", At: 2.5, For: 0.1, Members: members},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			got := runGroup(t, o, groupScenario(name, c.versionInterval, c.faults))
			assert.Greater(t, got.Versions, 5)
			assert.GreaterOrEqual(t, got.LeasedShare, c.minLeasedShare)
			assert.NotZero(t, got.Contradictions, "no routers contradicted each other, so the scenario does not test the bound")
		})
	}
}

// The auditors of consistency can fail: routers that apply versions on arrival, without leases, contradict each other for as long as some
// of them receive nothing.
func TestGroupAuditorFails(t *testing.T) {
	scenarioCount(t)
	t.Chdir("../..")
	o, remove, err := buildFleet(pushEdits)
	require.NoError(t, err)
	defer remove()
	s := groupScenario("push", 0.2, []faultlab.Fault{
		{Kind: "group-cut", At: 2, For: 3.5, Routers: []int{0, 1}, Members: []int{0, 1, 2}},
	})
	history, err := faultlab.Run(context.Background(), s, o)
	require.NoError(t, err)
	report := faultlab.CheckConsistency(history)
	assert.Greater(t, report.LongestContradiction, faultlab.GroupDurations.MaxContradiction())
	assert.NotEmpty(t, report.Violations)
}

package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"bankledge/internal/faultlab"
)

// plays is how many schedules are played: the machine has to have nothing else to do, so they are only on demand (LAB=10).
func plays(t *testing.T) int {
	t.Helper()
	n, err := strconv.Atoi(os.Getenv("LAB"))
	if err != nil || testing.Short() {
		t.Skip("LAB says how many schedules are played")
	}
	return n
}

// routerProgram builds the program under test.
func routerProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "bankledge")
	require.NoError(t, goBuild("the router", path, "../bankledge"))
	return path
}

// Schedules drawn from seeds: nine processes of the router before eight engines, and no rule is broken whatever fails. How soon the
// fleet is back depends on the machine, and is left to `bankledge-faultlab run`.
func TestSchedules(t *testing.T) {
	n := plays(t)
	defer goleak.VerifyNone(t)
	program := routerProgram(t)
	for seed := range uint64(n) {
		s := faultlab.GenerateScenario(seed+1, 7)
		t.Run(s.Name, func(t *testing.T) {
			h, err := faultlab.Run(context.Background(), s, faultlab.Options{RouterProgram: program})
			require.NoError(t, err)
			f := faultlab.Measure(h)
			t.Logf("%d statements, %.3f in time, %v", f.Statements, f.InTime, s.Faults)
			assert.Greater(t, f.Statements, 100)
			assert.Greater(t, f.InTime, 0.2, "the fleet served")
			for _, b := range faultlab.Audit(h) {
				if b.Auditor != "back" {
					t.Errorf("%s, at %v: %s", b.Auditor, b.At, b.Text)
				}
			}
		})
	}
}

// The cases that are hard for a fleet, each with processes of the router that are killed, stopped, resumed or cut off. No rule is broken in any.
func TestHardCases(t *testing.T) {
	plays(t)
	defer goleak.VerifyNone(t)
	program := routerProgram(t)
	three := []int{0, 1, 2}
	half := []int{0, 1, 2, 3}
	for name, c := range map[string]struct {
		load    float64
		killed  int // processes that have to be killed
		resumed int // that have to be stopped and resumed
		faults  []faultlab.Fault
	}{
		"five of nine are killed in the same second and started again": {load: 0.5, killed: 5, faults: []faultlab.Fault{
			{Kind: "kill", At: 2, For: 1, Routers: []int{0, 2, 4, 6, 8}},
		}},
		"three are stopped for two seconds and resumed": {load: 0.5, resumed: 3, faults: []faultlab.Fault{
			{Kind: "stop", At: 2, For: 2, Routers: three},
		}},
		"a third is cut off from a third of the engines in overload": {load: 1.1, faults: []faultlab.Fault{
			{Kind: "cut", At: 2, For: 2, Routers: three, Engines: three},
		}},
		"the same one way: they are heard and hear nothing": {load: 1.1, faults: []faultlab.Fault{
			{Kind: "cut-back", At: 2, For: 2, Routers: three, Engines: three},
		}},
		"answers come two seconds late": {load: 0.5, faults: []faultlab.Fault{
			{Kind: "delay", At: 2, For: 2, Amount: 2, Routers: three, Engines: half},
		}},
		"all connections are reset at once": {load: 0.7, faults: []faultlab.Fault{
			{Kind: "reset", At: 3, Routers: allRouters, Engines: allEngines},
		}},
		"no feed while a third of the engines are replaced": {load: 0.5, faults: []faultlab.Fault{
			{Kind: "feed", At: 1.5, For: 3, Routers: allRouters},
			{Kind: "lose", At: 2, For: 1, Engines: three},
		}},
		"killed while stopped ones resume and links are cut": {load: 0.6, killed: 2, resumed: 2, faults: []faultlab.Fault{
			{Kind: "stop", At: 2, For: 1.5, Routers: []int{0, 1}},
			{Kind: "kill", At: 3, For: 1, Routers: []int{2, 3}},
			{Kind: "cut-there", At: 2.5, For: 1.5, Routers: []int{4, 5}, Engines: half},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := &faultlab.Scenario{Name: name, Seed: 1, Routers: 9, Engines: 8, Seconds: 7, Load: c.load, Retries: 2, BusiestFactor: 1, Faults: c.faults}
			h, err := faultlab.Run(context.Background(), s, faultlab.Options{RouterProgram: program})
			require.NoError(t, err)
			killed, resumed, restarted := 0, 0, 0
			for _, e := range h.Events {
				switch {
				case e.Kind == faultlab.RouterDown && e.Text == "kill":
					killed++
				case e.Kind == faultlab.RouterUp && e.Text == "stop":
					resumed++
				case e.Kind == faultlab.RouterUp:
					restarted++
				}
			}
			assert.Equal(t, c.killed, killed)
			assert.Equal(t, c.killed, restarted, "each is started again, and is ready")
			assert.Equal(t, c.resumed, resumed)
			assert.Greater(t, faultlab.Measure(h).InTime, 0.2)
			for _, b := range faultlab.Audit(h) {
				if b.Auditor != "back" {
					t.Errorf("%s, at %v: %s", b.Auditor, b.At, b.Text)
				}
			}
		})
	}
}

// Whatever overlaps, the rules hold: soaks drawn from seeds, with faults of routers' hosts and wall clocks.
func TestSoaks(t *testing.T) {
	n := plays(t)
	defer goleak.VerifyNone(t)
	program := routerProgram(t)
	for seed := range uint64((n + 1) / 2) {
		s := faultlab.GenerateSoakScenario(602+seed, 15) // without the mends of the incident of wall-clock steps, 602 broke a rule
		h, err := faultlab.Run(context.Background(), s, faultlab.Options{RouterProgram: program})
		require.NoError(t, err)
		assert.Greater(t, faultlab.Measure(h).InTime, 0.2, s.Name)
		for _, b := range faultlab.Audit(h) {
			if faultlab.IsInvariant(b.Auditor) {
				t.Errorf("%s: %s, at %v: %s", s.Name, b.Auditor, b.At, b.Text)
			}
		}
	}
}

// Shutdowns as operators begin them, beside the faults of a soak: what was read in time has its answer, also at the kill.
func TestShutdownSoaks(t *testing.T) {
	n := plays(t)
	defer goleak.VerifyNone(t)
	program := routerProgram(t)
	for seed := range uint64(n + 1) {
		s := faultlab.GenerateShutdownSoakScenario(1+seed, 12)
		t.Run(s.Name, func(t *testing.T) {
			h, err := faultlab.Run(context.Background(), s, faultlab.Options{RouterProgram: program})
			require.NoError(t, err)
			assert.Greater(t, faultlab.Measure(h).InTime, 0.2)
			for _, b := range faultlab.Audit(h) {
				if faultlab.IsInvariant(b.Auditor) {
					t.Errorf("%s, at %v: %s", b.Auditor, b.At, b.Text)
				}
			}
		})
	}
}

// Each guard that can be taken off stands once in the source, and the router builds without it.
func TestMutantsBuild(t *testing.T) {
	plays(t)
	t.Chdir("../..")
	for _, m := range slices.Concat(mutants, shutdownMutants) {
		_, remove, err := m.build()
		if assert.NoError(t, err, m.name) {
			remove()
		}
	}
}

func TestCommands(t *testing.T) {
	program := filepath.Join(t.TempDir(), "lab")
	require.NoError(t, goBuild("the fault lab", program, "."))
	run := func(code int, args ...string) string {
		out, err := exec.Command(program, args...).CombinedOutput()
		if code == 0 {
			assert.NoError(t, err, args)
		} else if exit := (&exec.ExitError{}); assert.ErrorAs(t, err, &exit, args) {
			assert.Equal(t, code, exit.ExitCode(), args)
		}
		return string(out)
	}
	assert.Contains(t, run(0, "kinds"), "cut-back:")
	assert.Contains(t, run(0, "--help"), "replay")
	assert.Contains(t, run(80, "run", "--nothing"), "unknown flag")
	bad := filepath.Join(t.TempDir(), "bad.jsonnet")
	require.NoError(t, os.WriteFile(bad, []byte(`{routers: 3, engines: 2, seconds: 5, load: 1, faults: [{kind: "kill", at: 1, "for": 1}]}`), 0o600))
	assert.Contains(t, run(1, "replay", bad), "faults[0].routers: none")
	assert.Contains(t, run(1, "replay", "no/such"), "schedule")
}

package simulation

import (
	"os"
	"runtime"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

func options(seed uint64) Options { return OptionsForSeed(seed, 6) }

// seedCount returns the number of seeds to run: the environment variable TRIALS if it is set, else the default.
func seedCount(byDefault int) uint64 {
	if n, err := strconv.Atoi(os.Getenv("TRIALS")); err == nil {
		return uint64(n)
	}
	return uint64(byDefault)
}

// runs holds the results of one seed, with leases and with the baseline.
type runs struct{ leases, plainPush Result }

// runSeeds runs the seeds from 0 up to count, as many concurrently as there are cores.
func runSeeds(t *testing.T, count uint64) []runs {
	t.Helper()
	results := make([]runs, count)
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for seed := range count {
		group.Go(func() error {
			o := options(seed)
			results[seed].leases = Run(o, nil)
			o.PlainPush = true
			results[seed].plainPush = Run(o, nil)
			return nil
		})
	}
	require.NoError(t, group.Wait())
	return results
}

// Under random faults no two routers apply contradicting rules for longer than the bound, acknowledged versions are not lost, reads and
// writes are linearizable, and after the last fault all routers converge on the newest version. The baseline, plain push, exceeds the
// bound, which shows that the auditor detects contradictions.
func TestSchedules(t *testing.T) {
	count := seedCount(40)
	bound := ContradictionBound(options(0).LeaseDurations)
	var leases, plainPush Result // sums and maxima
	converged := 0
	plainPushOver := 0
	for seed, r := range runSeeds(t, count) {
		for _, v := range r.leases.Violations {
			t.Errorf("seed %d: %s at %v: %s", seed, v.Auditor, v.At, v.Detail)
		}
		leases.LongestContradiction = max(leases.LongestContradiction, r.leases.LongestContradiction)
		leases.Contradictions += r.leases.Contradictions
		leases.Versions += r.leases.Versions
		leases.LeaseShare += r.leases.LeaseShare / float64(count)
		if r.leases.Converged {
			converged++
		}
		plainPush.LongestContradiction = max(plainPush.LongestContradiction, r.plainPush.LongestContradiction)
		plainPush.Contradictions += r.plainPush.Contradictions
		plainPush.OverBound += r.plainPush.OverBound
		if r.plainPush.OverBound > 0 {
			plainPushOver++
		}
	}
	t.Logf("%d seeds: longest contradiction %v, bound %v, %d contradictions, %d versions, lease share %.3f, %d converged; plain push: longest %v, over the bound with %d seeds (%d of %d contradictions)",
		count, leases.LongestContradiction, bound, leases.Contradictions, leases.Versions, leases.LeaseShare, converged,
		plainPush.LongestContradiction, plainPushOver, plainPush.OverBound, plainPush.Contradictions)
	assert.LessOrEqual(t, leases.LongestContradiction, bound)
	assert.Greater(t, leases.Contradictions, int(count), "too few contradictions to test the bound")
	assert.Greater(t, plainPush.LongestContradiction, bound, "the baseline has to exceed the bound, or the auditor detects no contradictions")
	assert.Equal(t, int(count), converged)
}

// Two runs of one seed give the same result, which includes the digest of the history.
func TestDeterministic(t *testing.T) {
	for seed := range uint64(12) {
		assert.Equal(t, Run(options(seed), nil), Run(options(seed), nil), "seed %d", seed)
	}
}

package simulation

import (
	"os"
	"runtime"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"golang.org/x/sync/errgroup"
)

func options(seed uint64) Options { return OptionsForSeed(seed, 6) }

// seeds is how many schedules are played; TRIALS in the environment plays more.
func seeds(usual int) uint64 {
	if n, err := strconv.Atoi(os.Getenv("TRIALS")); err == nil {
		return uint64(n)
	}
	return uint64(usual)
}

// Whatever fails, no two routers act on contradicting rules for longer than T; what was acknowledged stays; reads and writes are
// linearizable; when all is whole again all act on the newest version. The baseline, plain push, is known to fail.
func TestSchedules(t *testing.T) {
	var sum, push Result
	var slow, converged int
	n := seeds(40)
	results := make([][2]Result, n)
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for seed := range n {
		group.Go(func() error {
			o := options(seed)
			results[seed][0] = Run(o, nil)
			o.PlainPush = true
			results[seed][1] = Run(o, nil)
			return nil
		})
	}
	group.Wait()
	for seed, r := range results {
		for _, f := range r[0].Violations {
			t.Errorf("seed %d: %s at %v: %s", seed, f.Auditor, f.At, f.Detail)
		}
		sum.LongestContradiction, sum.Contradictions, sum.Versions, sum.LeaseShare = max(sum.LongestContradiction, r[0].LongestContradiction), sum.Contradictions+r[0].Contradictions, sum.Versions+r[0].Versions, sum.LeaseShare+r[0].LeaseShare/float64(n)
		if r[0].Converged {
			converged++
		}
		push.LongestContradiction, push.Contradictions, push.OverBound = max(push.LongestContradiction, r[1].LongestContradiction), push.Contradictions+r[1].Contradictions, push.OverBound+r[1].OverBound
		if r[1].OverBound > 0 {
			slow++
		}
	}
	T := ContradictionBound(options(0).LeaseDurations)
	t.Logf("%d schedules: worst contradiction %v of T %v, %d pairs, %d versions, terms %.3f, %d converged; plain push: worst %v, over T in %d schedules (%d of %d pairs)",
		n, sum.LongestContradiction, T, sum.Contradictions, sum.Versions, sum.LeaseShare, converged, push.LongestContradiction, slow, push.OverBound, push.Contradictions)
	assert.LessOrEqual(t, sum.LongestContradiction, T)
	assert.Greater(t, sum.Contradictions, int(n), "there were contradictions to bound")
	assert.Greater(t, push.LongestContradiction, T, "the baseline exceeds T: the auditor can fail")
	assert.Equal(t, int(n), converged)
}

// A seed gives the same history twice.
func TestDeterministic(t *testing.T) {
	for seed := range uint64(12) {
		one, other := Run(options(seed), nil), Run(options(seed), nil)
		assert.Equal(t, one, other)
	}
}

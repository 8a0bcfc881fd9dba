package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/decision"
)

func TestScoreAndCandidates(t *testing.T) {
	h := newHarness(t).at(0, ready("a"))
	e := h.engine("a")
	s := h.unsent(0, 7)
	for _, c := range []struct {
		name    string
		zone    decision.Zone
		cached  bool
		threads int
		size    float64
		want    float64
	}{
		{"local, cached, idle", "z1", true, 0, 4, 8.0 / 4},
		{"remote", "z2", true, 0, 4, 11.0 / 4},
		{"without the table group in its caches", "z1", false, 0, 4, 8.0 / 4 * 2},
		{"threads in flight, of any workload", "z1", true, 3, 4, 8.0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e.Zone = c.zone
			e.threads = c.threads
			e.windows[0].size = c.size
			e.recentTables = nil
			if c.cached {
				e.touch(7, recentTableGroups)
			}
			assert.Equal(t, c.want, h.module.score(e, s))
		})
	}
	t.Run("candidates", func(t *testing.T) {
		h := newHarness(t).at(0, ready("a", "b", "c", "d"))
		s := h.unsent(0, 7)
		first := slices.Clone(h.module.candidates(s, h.module.endpoints.all))
		require.Len(t, first, 1)
		other := h.module.endpoints.all[0]
		if other == first[0] {
			other = h.module.endpoints.all[1]
		}
		other.touch(7, recentTableGroups)
		assert.Equal(t, []*engine{other}, h.module.candidates(s, h.module.endpoints.all),
			"an engine with the group in its caches comes first")
		h.module.affinity.count(7)
		assert.Equal(t, []*engine{other, first[0]}, h.module.candidates(s, h.module.endpoints.all)[:2],
			"traffic adds candidates")
		load := h.unsent(1, 7)
		h.module.affinity = tableTraffic{}
		assert.NotEqual(t, first, h.module.candidates(load, h.module.endpoints.all),
			"a bulk load avoids the engines where its table group is read")
	})
	t.Run("an excluded engine gets a statement only if all are excluded", func(t *testing.T) {
		h := newHarness(t).at(0, ready("a", "b"))
		h.engine("a").windows[0].excluded = true
		assert.EqualValues(t, "b", h.at(1, read("s1")).sentTo())
		h.engine("b").windows[0].excluded = true
		assert.NotEmpty(t, h.at(2, read("s2")).sentTo())
	})
}

// Different routers choose different engines among those with equal scores.
func TestEqualScoresSpreadOverRouters(t *testing.T) {
	chosen := map[decision.EngineID]bool{}
	for router := range 40 {
		h := newHarness(t)
		h.settings.Identity.Router = decision.RouterID(router)
		h.settings.Identity.Routers = 40
		for i := range 3 { // its share of the traffic gives the table group several candidates
			h.at(time.Duration(i)*100*ms, ready("a", "b", "c", "d"), read(decision.StatementID(fmt.Sprint(i))))
			h.engine("a").recentTables = nil
			h.engine("b").recentTables = nil
		}
		for _, sent := range pick[decision.StartAttempt](h) {
			chosen[sent.Engine] = true
		}
	}
	assert.Greater(t, len(chosen), 1)
}

package configregister

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/configversion"
	"bankledge/internal/configversion/versiontest"
)

// recorder generates log entries and hashes the results of applying them to a register.
type recorder struct {
	t      *testing.T
	random *rand.Rand
	hash   hash.Hash
}

func newRecorder(t *testing.T) *recorder {
	return &recorder{t: t, random: rand.New(rand.NewPCG(45, 6)), hash: sha256.New()}
}

func (r *recorder) hashLine(kind, format string, args ...any) {
	fmt.Fprintf(r.hash, kind+" "+format+"\n", args...)
}

func (r *recorder) sum() string { return hex.EncodeToString(r.hash.Sum(nil)) }

// chance returns true with the given probability.
func (r *recorder) chance(probability float64) bool { return r.random.Float64() < probability }

func (r *recorder) json(value any) string {
	raw, err := json.Marshal(value)
	require.NoError(r.t, err)
	return string(raw)
}

// entry returns the i-th generated log entry. Some entries can't be decoded. Proposals contain the rules of one of the versions.
func (r *recorder) entry(i int, newest uint64, versions []*configversion.Version) []byte {
	e := Entry{Kind: "propose", ID: fmt.Sprint("p", i-r.random.IntN(3)), Note: fmt.Sprint("note ", i)}
	switch r.random.IntN(12) {
	case 0:
		return []byte("{")
	case 1:
		return []byte(r.json(Entry{Kind: "found", Lineage: fmt.Sprint("lineage", i)}))
	case 2, 3, 4, 5:
		return []byte(r.json(Entry{Kind: "settle", Number: newest + uint64(r.random.IntN(3)) - 1}))
	case 6:
		return []byte(r.json(Entry{Kind: "other"}))
	case 7:
		e.Kind = "rollback"
		e.Number = uint64(r.random.IntN(1 + int(newest)))
	case 8:
		e.Rules = json.RawMessage(`{"routers": 0}`)
	case 9:
		e.Rules = versions[r.random.IntN(60)].Rules.Canonical()
		e.ForcedGuards = []string{"any"}
	default:
		e.Rules = versions[r.random.IntN(60)].Rules.Canonical()
		var forced []string
		if r.chance(0.8) {
			forced = configversion.GuardNames()
		}
		e.ForcedGuards = forced
	}
	if r.chance(0.01) {
		e.Note = strings.Repeat("n", 1001)
	}
	return []byte(r.json(e))
}

// TestRecordedRegister applies generated entries, including some that can't be decoded, and hashes the outcomes, the snapshots and the
// versions that are sent to a router. The hash was computed at commit 05e118f: a different hash means that the behaviour has changed.
func TestRecordedRegister(t *testing.T) {
	r := newRecorder(t)
	register := Register{Guards: configversion.Guards{MaxRemovedShare: 0.5}}
	versions := versiontest.Lineage(t, r.random, "l", 60)
	for i := range 1200 {
		raw := r.entry(i, register.NewestNumber(), versions)
		outcome, proposed := register.Apply(raw)
		r.hashLine("outcome", "%v %s", proposed, r.json(outcome))
		snapshot := register.Snapshot()
		r.hashLine("snapshot", "%s", snapshot)
		for _, v := range register.UpdatesAfter(uint64(max(0, int(register.NewestNumber())-r.random.IntN(4)))) {
			r.hashLine("after", "%d", v.Number)
		}
		if i%10 == 0 {
			restoredRegister := Register{}
			require.NoError(t, restoredRegister.Restore(snapshot))
			require.Equal(t, string(snapshot), string(restoredRegister.Snapshot()))
			register = restoredRegister
		}
	}
	assert.Greater(t, register.NewestNumber(), uint64(64), "the test must create more versions than the register keeps")
	assert.Equal(t, "a3e34d01ba31ba1d690612f2017932d8063e7ef52319ea280e1f17726eeb0a47", r.sum())
}

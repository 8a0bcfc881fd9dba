package classify

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"bankledge/decision"
	"bankledge/internal/fakes"
	"bankledge/internal/sqltext"
)

// hashClassifications runs statements of a mix past a classifier, records their ends, and hashes the classifications.
func hashClassifications(options fakes.MixOptions) string {
	const statements = 20_000
	sum := sha256.New()
	mix := fakes.NewMix(11, options)
	classifier := New(fakes.Workloads(), 1<<19)
	analyser := new(sqltext.Analyser)
	random := rand.New(rand.NewPCG(5, 5))
	for i := range statements {
		item := mix.Next()
		now := time.Duration(i) * 8 * time.Millisecond
		text := analyser.Analyse(item.Text)
		seen := new(Observation)
		said := classifier.Classify(now, item.Declared, item.Estimate, item.MemoryMB, &text, seen)
		fmt.Fprintln(sum, said.Workload, int(said.Reason), math.Float64bits(said.Confidence), int64(said.Work), math.Float64bits(said.MemoryMB), said.Writes, said.Tables, said.LockedTables, said.OtherTables)
		if i%10_000 > 8_000 && i%3 == 0 { // what is known changes
			item.Work *= 6
		}
		took := item.Work.Seconds() * (1.5 + 0.5*math.Sin(float64(i)/3000)) * math.Exp(0.15*random.NormFloat64())
		classifier.RecordEnd(now, seen, time.Duration(took*float64(time.Second)), random.IntN(20) > 0, float64(random.IntN(8)/7)*40)
	}
	counts := classifier.Counts()
	reclassified := map[[2]decision.WorkloadID]int64{} // in the recorded form
	for change, n := range counts.Reclassified {
		reclassified[[2]decision.WorkloadID{change.Declared, change.TreatedAs}] = n
	}
	fmt.Fprintln(sum, counts.Hits, counts.Misses, counts.ByReason, reclassified, counts.ChangedFingerprints)
	return hex.EncodeToString(sum.Sum(nil))[:32]
}

// TestRecordedClassifications compares hashes of classifications, to the last bit of their figures, with those recorded
// before the code was reorganised. Whoever changes a classification on purpose replaces them.
func TestRecordedClassifications(t *testing.T) {
	for recorded, options := range map[string]fakes.MixOptions{
		"f897dcb814dc5898c936dfc83eb7dbf5": {Shapes: 300, EstimateOff: 1},
		"5e14fdf17c96b9437e069cbe0654ca25": {Shapes: 300, EstimateOff: 5, OneOffs: 0.3},
		"5b2f17243d5aa9dcdbd0f925ecc48511": {Shapes: 100, EstimateOff: 1, Mutated: true, Bimodal: true},
		"364e495904058fae92d86f5738206ce7": {Shapes: 300, EstimateOff: 2, Lies: true},
	} {
		assert.Equal(t, recorded, hashClassifications(options), "%+v", options)
	}
}

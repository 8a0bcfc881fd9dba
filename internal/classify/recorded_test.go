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

// hashClassifications classifies statements of a mix, records their ends, and returns a hash of the classifications.
func hashClassifications(options fakes.MixOptions) string {
	const statements = 20_000
	hash := sha256.New()
	mix := fakes.NewMix(11, options)
	classifier := New(fakes.Workloads(), 1<<19)
	analyser := new(sqltext.Analyser)
	random := rand.New(rand.NewPCG(5, 5))
	for i := range statements {
		item := mix.Next()
		now := time.Duration(i) * 8 * time.Millisecond
		statement := analyser.Analyse(item.Text)
		observation := new(Observation)
		classified := classifier.Classify(now, item.Declared, item.Estimate, item.MemoryMB, &statement, observation)
		fmt.Fprintln(hash, classified.Workload, int(classified.Reason), math.Float64bits(classified.Confidence), int64(classified.Work), math.Float64bits(classified.MemoryMB), classified.Writes, classified.PrimaryTableGroup, classified.LockedTableGroup, classified.OtherTableGroups)
		if i%10_000 > 8_000 && i%3 == 0 { // some statements take longer than before
			item.Work *= 6
		}
		elapsed := item.Work.Seconds() * (1.5 + 0.5*math.Sin(float64(i)/3000)) * math.Exp(0.15*random.NormFloat64())
		classifier.RecordEnd(now, observation, time.Duration(elapsed*float64(time.Second)), random.IntN(20) > 0, float64(random.IntN(8)/7)*40)
	}
	counts := classifier.Counts()
	reclassified := map[[2]decision.WorkloadID]int64{} // printed in the form that the recorded hashes were computed from
	for change, n := range counts.Reclassified {
		reclassified[[2]decision.WorkloadID{change.Declared, change.TreatedAs}] = n
	}
	fmt.Fprintln(hash, counts.Hits, counts.Misses, counts.ByReason, reclassified, counts.ChangedFingerprints)
	return hex.EncodeToString(hash.Sum(nil))[:32]
}

// TestRecordedClassifications compares hashes of classifications, including every bit of their floating-point values,
// with recorded ones. It guards against unintended changes; replace the hashes after an intended change.
func TestRecordedClassifications(t *testing.T) {
	for recorded, options := range map[string]fakes.MixOptions{
		"f897dcb814dc5898c936dfc83eb7dbf5": {RecurringFingerprints: 300, EstimateErrorFactor: 1},
		"5e14fdf17c96b9437e069cbe0654ca25": {RecurringFingerprints: 300, EstimateErrorFactor: 5, OneOffShare: 0.3},
		"5b2f17243d5aa9dcdbd0f925ecc48511": {RecurringFingerprints: 100, EstimateErrorFactor: 1, OtherFingerprints: true, WorkByLiteral: true},
		"364e495904058fae92d86f5738206ce7": {RecurringFingerprints: 300, EstimateErrorFactor: 2, EstimatesMatchLabels: true},
	} {
		assert.Equal(t, recorded, hashClassifications(options), "%+v", options)
	}
}

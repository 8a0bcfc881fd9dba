package rules

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Quotas whose sum is at the limit: its rounding decides. Each replica of the control group judges them for itself, so the verdict may not
// depend on the order of a map.
func TestQuotaSumDoesNotDependOnMapOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(49, 1))
	for range 50 {
		r := &Rules{Routers: 10, FleetQuotas: map[string]float64{}}
		sum := 0.0
		for i := range 9 {
			quota := random.Float64() / 10
			r.FleetQuotas[fmt.Sprint("r", i)] = quota
			sum += quota
		}
		r.FleetQuotas["r9"] = 1 + quotaTolerance - sum
		verdict := checkFleetQuotas(r) == nil
		for range 50 {
			assert.Equal(t, verdict, checkFleetQuotas(r) == nil)
		}
	}
}

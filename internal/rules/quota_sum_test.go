package rules

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/assert"
)

// The sum of these quotas is at the limit, so its rounding decides whether they are valid. Each replica of the control group checks them
// separately, so the result must not depend on the iteration order of the map.
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
		wantValid := checkFleetQuotas(r) == nil
		for range 50 {
			assert.Equal(t, wantValid, checkFleetQuotas(r) == nil)
		}
	}
}

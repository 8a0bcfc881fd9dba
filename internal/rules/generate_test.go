package rules

import (
	"fmt"

	"pgregory.net/rapid"
)

// rulesGenerator generates valid rules from few names and numbers, so that fields of two generated values are often equal.
var rulesGenerator = rapid.Custom(func(t *rapid.T) *Rules {
	names := rapid.SampledFrom([]string{"a", "b", "c", "d"})
	lists := rapid.SliceOfN(names, 0, 4)
	listsByName := rapid.MapOfN(names, lists, 0, 3)
	amounts := rapid.SampledFrom([]float64{0, 0.25, 0.5, 1})
	amountsByName := rapid.MapOfN(names, amounts, 0, 4)
	quotasByName := rapid.MapOfN(names, rapid.SampledFrom([]float64{0, 0.05, 0.1}), 0, 2)
	millis := rapid.Int64Range(0, 3)
	r := &Rules{
		Routers:             rapid.IntRange(1, 6).Draw(t, "routers"),
		FleetQuotas:         quotasByName.Draw(t, "parts"),
		PriorityWeights:     amountsByName.Draw(t, "importance"),
		TenantQuotas:        amountsByName.Draw(t, "shares"),
		SheddableWorkloads:  lists.Draw(t, "may_turn_away"),
		PlacementExclusions: listsByName.Draw(t, "kept_off"),
		AllowedMachineTypes: listsByName.Draw(t, "kinds"),
	}
	if len(r.FleetQuotas) > 0 { // keeps the sum of all quotas, including default quotas, at 1 or less
		r.Routers += 4
	}
	for i, field := range []*float64{
		&r.OverQuotaFactor,
		&r.RetryBudgetShare,
		&r.RetryBudgetFree,
		&r.HealthChecksPerStatement,
		&r.SlowStartShare,
		&r.SlowStartMultiple,
	} {
		*field = amounts.Draw(t, fmt.Sprint("amount", i))
	}
	for i, field := range []*int64{
		&r.RetryBudgetWindowMillis,
		&r.SlowStartDurationMillis,
		&r.DrainGraceMillis,
		&r.KeyQuietPeriodMillis,
	} {
		*field = millis.Draw(t, fmt.Sprint("millis", i))
	}
	if rapid.Bool().Draw(t, "engine list") {
		r.Engines = map[string]Engine{}
		for _, id := range lists.Draw(t, "engines") {
			r.Engines[id] = drawEngine(t, id)
		}
	}
	if err := r.Validate(); err != nil {
		t.Fatal(err)
	}
	return r
})

func drawEngine(t *rapid.T, id string) Engine {
	return Engine{
		Phase:       rapid.SampledFrom([]string{Active, Draining, Removed}).Draw(t, "phase"),
		WarmingUp:   rapid.Bool().Draw(t, "cold"),
		Address:     rapid.SampledFrom([]string{id + ":1", id + ":2"}).Draw(t, "address"),
		MachineType: rapid.SampledFrom([]string{"k", "l"}).Draw(t, "kind"),
	}
}

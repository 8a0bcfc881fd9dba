package rules

import (
	"fmt"
	"maps"
	"slices"
)

// Limits that keep the encoded rules small enough to be replicated and sent to every router.
const (
	maxEntries      = 5000             // in a map or list
	maxNamesInLists = 10 * maxEntries  // names in all lists of a map together
	maxNameBytes    = 200              // in a name or address
	maxMillis       = 24 * 3600 * 1000 // longest duration: one day
)

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// checkAmount returns an error if value is out of range. The condition is negated so that it also rejects NaN.
func checkAmount(value, lowest, highest float64) error {
	if !(value >= lowest && value <= highest) {
		return fmt.Errorf("%v is not from %v to %v", value, lowest, highest)
	}
	return nil
}

func checkAmounts(amounts map[string]float64, lowest, highest float64) error {
	for _, name := range slices.Sorted(maps.Keys(amounts)) {
		if err := checkAmount(amounts[name], lowest, highest); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if !validName(name) {
			return fmt.Errorf("%q is no name", name)
		}
	}
	return nil
}

func checkNames(names []string) error {
	for _, name := range names {
		if !validName(name) {
			return fmt.Errorf("%q is no name", name)
		}
	}
	return nil
}

func checkNameLists(lists map[string][]string) error {
	nameCount := 0
	for _, key := range slices.Sorted(maps.Keys(lists)) {
		if !validName(key) {
			return fmt.Errorf("%q is no name", key)
		}
		if err := checkNames(lists[key]); err != nil {
			return fmt.Errorf("%q: %w", key, err)
		}
		nameCount += len(lists[key])
		if nameCount > maxNamesInLists {
			return fmt.Errorf("over %d names in all", maxNamesInLists)
		}
	}
	return nil
}

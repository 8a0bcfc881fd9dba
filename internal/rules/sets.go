package rules

import (
	"maps"
	"slices"
)

// unionOfKeys returns the sorted keys of both maps, without duplicates.
func unionOfKeys[V any](a, b map[string]V) []string {
	names := slices.Collect(maps.Keys(a))
	for name := range b {
		if _, inBoth := a[name]; !inBoth {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// mergeMaps calls value for each key of either map and returns a map of the results. Keys for which value returns false are omitted.
func mergeMaps[V any](a, b map[string]V, value func(name string) (V, bool)) map[string]V {
	merged := make(map[string]V, max(len(a), len(b)))
	for _, name := range unionOfKeys(a, b) {
		if v, keep := value(name); keep {
			merged[name] = v
		}
	}
	return merged
}

// exceedsAnyBound reports whether any upper bound in a is higher than that in b. A name without an entry is unbounded.
func exceedsAnyBound(a, b map[string]float64) bool {
	for name, boundB := range b {
		boundA, bounded := a[name]
		if !bounded || boundA > boundB {
			return true
		}
	}
	return false
}

// minByName returns the lower of the two upper bounds for each name. A name without an entry is unbounded.
func minByName(a, b map[string]float64) map[string]float64 {
	return mergeMaps(a, b, func(name string) (float64, bool) {
		boundA, inA := a[name]
		boundB, inB := b[name]
		switch {
		case !inA:
			return boundB, true
		case !inB:
			return boundA, true
		}
		return min(boundA, boundB), true
	})
}

// subset reports whether the sorted list b contains all elements of a.
func subset(a, b []string) bool {
	return !slices.ContainsFunc(a, func(name string) bool { return !contains(b, name) })
}

func contains(sorted []string, name string) bool {
	_, found := slices.BinarySearch(sorted, name)
	return found
}

// intersection returns the elements that both sorted lists contain, in a new slice.
func intersection(a, b []string) []string {
	return slices.DeleteFunc(append([]string{}, a...), func(name string) bool { return !contains(b, name) })
}

// union returns the elements of both lists, sorted and without duplicates, in a new slice.
func union(a, b []string) []string { return sortedUnique(append(append([]string{}, a...), b...)) }

// sortedUnique returns a sorted copy of list without duplicates. The result is never nil.
func sortedUnique(list []string) []string {
	list = append([]string{}, list...)
	slices.Sort(list)
	return slices.Compact(list)
}

// sortedUniqueLists returns a map with sortedUnique applied to each list. The result is never nil.
func sortedUniqueLists(lists map[string][]string) map[string][]string {
	result := make(map[string][]string, len(lists))
	for key, list := range lists {
		result[key] = sortedUnique(list)
	}
	return result
}

// withoutEmptyLists deletes the entries with empty lists from the map and returns it.
func withoutEmptyLists(lists map[string][]string) map[string][]string {
	maps.DeleteFunc(lists, func(_ string, list []string) bool { return len(list) == 0 })
	return lists
}

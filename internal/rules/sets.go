package rules

import (
	"maps"
	"slices"
)

// namesOf returns the keys of either map, sorted.
func namesOf[V any](a, b map[string]V) []string {
	names := slices.Collect(maps.Keys(a))
	for name := range b {
		if _, inBoth := a[name]; !inBoth {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// merge builds a map over the keys of either map, without those for which value returns false.
func merge[V any](a, b map[string]V, value func(name string) (V, bool)) map[string]V {
	merged := make(map[string]V, max(len(a), len(b)))
	for _, name := range namesOf(a, b) {
		if v, keep := value(name); keep {
			merged[name] = v
		}
	}
	return merged
}

// anyAbove reports whether a permits a higher amount than b anywhere. A name that is missing is not bounded.
func anyAbove(a, b map[string]float64) bool {
	for name, boundOfB := range b {
		boundOfA, bounded := a[name]
		if !bounded || boundOfA > boundOfB {
			return true
		}
	}
	return false
}

// lowerOf returns the lower amount of each name. A name that is missing is not bounded.
func lowerOf(a, b map[string]float64) map[string]float64 {
	return merge(a, b, func(name string) (float64, bool) {
		boundOfA, inA := a[name]
		boundOfB, inB := b[name]
		switch {
		case !inA:
			return boundOfB, true
		case !inB:
			return boundOfA, true
		}
		return min(boundOfA, boundOfB), true
	})
}

// subset reports whether the sorted list b holds all of a.
func subset(a, b []string) bool {
	return !slices.ContainsFunc(a, func(name string) bool { return !contains(b, name) })
}

func contains(sorted []string, name string) bool {
	_, found := slices.BinarySearch(sorted, name)
	return found
}

// intersection returns what both sorted lists hold, in a new list.
func intersection(a, b []string) []string {
	return slices.DeleteFunc(append([]string{}, a...), func(name string) bool { return !contains(b, name) })
}

// union returns what either list holds, sorted, in a new list.
func union(a, b []string) []string { return sortedUnique(append(append([]string{}, a...), b...)) }

// sortedUnique returns a sorted copy without duplicates; it is never nil.
func sortedUnique(list []string) []string {
	list = append([]string{}, list...)
	slices.Sort(list)
	return slices.Compact(list)
}

// sortedUniqueLists applies sortedUnique to each list; the map is never nil.
func sortedUniqueLists(lists map[string][]string) map[string][]string {
	result := make(map[string][]string, len(lists))
	for key, list := range lists {
		result[key] = sortedUnique(list)
	}
	return result
}

func withoutEmptyLists(lists map[string][]string) map[string][]string {
	maps.DeleteFunc(lists, func(_ string, list []string) bool { return len(list) == 0 })
	return lists
}

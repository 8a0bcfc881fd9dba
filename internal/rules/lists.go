package rules

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
)

// names lists what either of two maps names, sorted.
func names[V any](a, b map[string]V) []string {
	all := slices.Collect(maps.Keys(a))
	for n := range b {
		if _, both := a[n]; !both {
			all = append(all, n)
		}
	}
	slices.Sort(all)
	return all
}

// joined is a map over what either names; what of does not keep is left out.
func joined[V any](a, b map[string]V, of func(string) (V, bool)) map[string]V {
	into := make(map[string]V, max(len(a), len(b)))
	for _, n := range names(a, b) {
		if v, keep := of(n); keep {
			into[n] = v
		}
	}
	return into
}

// anyAbove tells whether a has an amount above b's; what is not named is not bounded.
func anyAbove(a, b map[string]float64) bool {
	for n, y := range b {
		if x, named := a[n]; !named || x > y {
			return true
		}
	}
	return false
}

// lower has the lower amount of each; what is not named is not bounded.
func lower(a, b map[string]float64) map[string]float64 {
	return joined(a, b, func(n string) (float64, bool) {
		x, ok := a[n]
		y, also := b[n]
		switch {
		case !ok:
			return y, true
		case !also:
			return x, true
		}
		return min(x, y), true
	})
}

// within tells whether all of one sorted list are in another.
func within(a, b []string) bool {
	return !slices.ContainsFunc(a, func(n string) bool { return !has(b, n) })
}

func has(sorted []string, n string) bool {
	_, found := slices.BinarySearch(sorted, n)
	return found
}

// both is what two sorted lists have in common, either what one of them has.
func both(a, b []string) []string {
	return slices.DeleteFunc(append([]string{}, a...), func(n string) bool { return !has(b, n) })
}

func either(a, b []string) []string { return tidy(append(append([]string{}, a...), b...)) }

// tidy sorts a list and takes out what stands twice.
func tidy(list []string) []string {
	list = append([]string{}, list...)
	slices.Sort(list)
	return slices.Compact(list)
}

// tidyLists tidies each list of a map; an empty one says nothing where it only adds.
func tidyLists(of map[string][]string, adds bool) map[string][]string {
	into := make(map[string][]string, len(of))
	for n, list := range of {
		if len(list) > 0 || !adds {
			into[n] = tidy(list)
		}
	}
	return into
}

func amount(v, least, top float64) error {
	if !(v >= least && v <= top) {
		return fmt.Errorf("%v is not from %v to %v", v, least, top)
	}
	return nil
}

func amounts(of map[string]float64, least, top float64) error {
	for _, n := range slices.Sorted(maps.Keys(of)) {
		if err := amount(of[n], least, top); err != nil {
			return fmt.Errorf("%s: %w", n, err)
		}
		if n == "" || len(n) > mostName {
			return fmt.Errorf("%q is no name", n)
		}
	}
	return nil
}

const mostSpan = 24 * 3600 * 1000 // a day, in milliseconds

func span(ms int64) error { return amount(float64(ms), 0, mostSpan) }

func sorted(list []string) error {
	for _, n := range list {
		if n == "" || len(n) > mostName {
			return fmt.Errorf("%q is no name", n)
		}
	}
	return nil
}

func lists(of map[string][]string) error {
	total := 0
	for _, n := range slices.Sorted(maps.Keys(of)) {
		if err := sorted(of[n]); err != nil || n == "" || len(n) > mostName {
			return fmt.Errorf("%q: %w", n, errors.Join(err))
		}
		if total += len(of[n]); total > 10*mostNames {
			return fmt.Errorf("over %d names in all", 10*mostNames)
		}
	}
	return nil
}

// strict reads one JSON value and nothing behind it, with no field that is not known.
func strict(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("something stands behind it")
	}
	return nil
}

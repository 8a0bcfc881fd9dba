package faultlab

import "slices"

// minHalvedSeconds is the duration of a fault up to which Shrink does not shorten it.
const minHalvedSeconds = 0.4

// Shrink reduces a failing scenario to a minimal one that still fails: without any of its faults, half of a fault's routers or engines,
// half of a fault's duration, or the retries, it no longer fails. fails runs a scenario and reports whether it fails.
func Shrink(s *Scenario, fails func(*Scenario) bool) *Scenario {
	smallest := s
	for {
		smaller := firstFailing(reductions(smallest), fails)
		if smaller == nil {
			return smallest
		}
		smallest = smaller
	}
}

func firstFailing(candidates []*Scenario, fails func(*Scenario) bool) *Scenario {
	for _, c := range candidates {
		if c.Validate() == nil && fails(c) {
			return c
		}
	}
	return nil
}

// reductions returns the scenarios that differ from s by one reduction, the largest reductions first.
func reductions(s *Scenario) (list []*Scenario) {
	add := func(reduce func(*Scenario)) {
		c := s.clone()
		reduce(c)
		list = append(list, c)
	}
	for i := range s.Faults {
		add(func(c *Scenario) { c.Faults = slices.Delete(c.Faults, i, i+1) })
	}
	for i, f := range s.Faults {
		if half := len(f.Routers) / 2; half > 0 {
			add(func(c *Scenario) { c.Faults[i].Routers = c.Faults[i].Routers[:half] })
			add(func(c *Scenario) { c.Faults[i].Routers = c.Faults[i].Routers[half:] })
		}
		if half := len(f.Engines) / 2; half > 0 {
			add(func(c *Scenario) { c.Faults[i].Engines = c.Faults[i].Engines[:half] })
			add(func(c *Scenario) { c.Faults[i].Engines = c.Faults[i].Engines[half:] })
		}
		if f.For > minHalvedSeconds {
			add(func(c *Scenario) { c.Faults[i].For /= 2 })
		}
	}
	if s.Retries > 0 {
		add(func(c *Scenario) { c.Retries = 0 })
	}
	return list
}

// clone copies a scenario so that the faults of the copy, with their routers and engines, can be changed.
func (s *Scenario) clone() *Scenario {
	c := *s
	c.Faults = nil
	for _, f := range s.Faults {
		f.Routers = slices.Clone(f.Routers)
		f.Engines = slices.Clone(f.Engines)
		c.Faults = append(c.Faults, f)
	}
	return &c
}

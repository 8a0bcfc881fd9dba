package faultlab

import "slices"

// minHalvedSeconds is the length of a fault up to which Shrink leaves it as it is.
const minHalvedSeconds = 0.4

// Shrink cuts a schedule that fails down to one that still does and of which nothing can be left out: no fault, no half of a fault's
// routers or engines, no half of its time. fails plays a schedule and reports whether it still fails.
func Shrink(s *Scenario, fails func(*Scenario) bool) *Scenario {
	least := s
	for {
		smaller := firstFailing(reductions(least), fails)
		if smaller == nil {
			return least
		}
		least = smaller
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

// reductions returns the schedules that lack one thing, the largest things first.
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

// clone copies a schedule so that its faults can be changed.
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

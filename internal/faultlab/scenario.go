package faultlab

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"time"

	"github.com/google/go-jsonnet"
)

// currentLeader is the member index of a fault that selects the member that is the leader when the fault begins.
const currentLeader = -1

// Limits of scenarios.
const (
	maxSeconds      = 600
	maxProcesses    = 64
	maxMembers      = 7
	maxJsonnetStack = 200
)

// Scenario describes one experiment: a fleet, its traffic, and the faults injected into it. The same scenario produces the same
// statements at the same times and the same faults. How the processes and their machine respond differs from run to run.
type Scenario struct {
	Name              string  `json:"name"`
	Seed              uint64  `json:"seed"`
	Routers           int     `json:"routers"`
	Engines           int     `json:"engines"`
	Seconds           float64 `json:"seconds"`
	Load              float64 `json:"load"`     // work sent, as a fraction of what the engines' cores can do, without faults
	Retries           int     `json:"tries"`    // by a client whose statement is rejected
	ConfiguredRouters int     `json:"says"`     // number of routers in the routers' settings; 0: Routers
	BusiestFactor     float64 `json:"busiest"`  // traffic of router 0, relative to each other router
	WorkFactor        float64 `json:"work"`     // scales the work of a statement; 0: default work
	TimeoutFactor     float64 `json:"patience"` // scales latency objectives and timeouts; 0: default values
	CancelShare       float64 `json:"leavers"`  // share of the clients that cancel before their timeout expires
	ControlMembers    int     `json:"control"`  // processes of the control group; 0: no control group
	VersionInterval   float64 `json:"every"`    // mean seconds between two proposals of a version
	Faults            []Fault `json:"faults"`

	UseWhileDraining bool `json:"use_draining,omitempty"`  // clients keep sending on connections that a router drains
	Descriptors      int  `json:"descriptors,omitempty"`   // limit of file descriptors of a router; 0: default limit
	EarlyReloads     bool `json:"early_reloads,omitempty"` // a restarted router receives SIGHUP twice before it is ready
}

// Fault is one fault of a scenario.
type Fault struct {
	At      float64   `json:"at"`  // seconds from the start of the traffic
	For     float64   `json:"for"` // seconds; 0: permanent or instantaneous
	Kind    FaultKind `json:"kind"`
	Routers []int     `json:"routers,omitempty"`
	Engines []int     `json:"engines,omitempty"`
	Members []int     `json:"members,omitempty"` // of the control group; -1: the leader when the fault begins
	Amount  float64   `json:"amount,omitempty"`  // its unit depends on the kind
}

// scaledTimeout returns a client's timeout or latency objective, scaled by TimeoutFactor.
func (s *Scenario) scaledTimeout(base time.Duration) time.Duration {
	return time.Duration(cmp.Or(s.TimeoutFactor, 1) * float64(base))
}

// FaultsEnd returns the end of the last fault, in seconds from the start of the traffic.
func (s *Scenario) FaultsEnd() (end float64) {
	for _, f := range s.Faults {
		end = max(end, f.At+f.For)
	}
	return end
}

// sortFaults orders the faults by time.
func (s *Scenario) sortFaults() {
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(1e6 * (a.At - b.At)) })
}

// Validate returns an error that names the first invalid field.
func (s *Scenario) Validate() error {
	for _, field := range []struct {
		name     string
		value    float64
		min, max float64
	}{
		{"routers", float64(s.Routers), 1, maxProcesses},
		{"engines", float64(s.Engines), 1, maxProcesses},
		{"seconds", s.Seconds, 1, maxSeconds},
		{"load", s.Load, 0.01, 10},
		{"tries", float64(s.Retries), 0, 10},
		{"says", float64(s.ConfiguredRouters), 0, 1e6},
		{"control", float64(s.ControlMembers), 0, maxMembers},
		{"every", s.VersionInterval, 0, maxSeconds},
		{"busiest", s.BusiestFactor, 0, 100},
		{"leavers", s.CancelShare, 0, 1},
		{"work", s.WorkFactor, 0, 100},
		{"patience", s.TimeoutFactor, 0, 10},
		{"descriptors", float64(s.Descriptors), 0, 1e5},
	} {
		if !isBetween(field.value, field.min, field.max) {
			return fmt.Errorf("%s: %v is not from %v to %v", field.name, field.value, field.min, field.max)
		}
	}
	for i, f := range s.Faults {
		if err := s.validateFault(f); err != nil {
			return fmt.Errorf("faults[%d].%w", i, err)
		}
	}
	return nil
}

// isBetween reports whether a value is within inclusive bounds. It returns false for NaN.
func isBetween(value, low, high float64) bool { return value >= low && value <= high }

// validateFault returns an error that begins with the name of the invalid field.
func (s *Scenario) validateFault(f Fault) error {
	spec, known := faultKinds[f.Kind]
	maxAmount := cmp.Or(spec.maxAmount, defaultMaxAmount)
	switch {
	case !known:
		return fmt.Errorf("kind: unknown kind of fault %q", f.Kind)
	case !isBetween(f.At, 0, s.Seconds):
		return fmt.Errorf("at: %v is not within the length of the scenario", f.At)
	case !isBetween(f.For, 0, maxSeconds):
		return fmt.Errorf("for: %v is not from 0 to %v", f.For, maxSeconds)
	case spec.duration && f.For == 0:
		return fmt.Errorf("for: missing, this kind of fault needs a duration")
	case spec.amount && (f.Amount == 0 || f.Amount < 0 && !spec.signed):
		return fmt.Errorf("amount: %v is not above 0", f.Amount)
	case spec.amount && !(math.Abs(f.Amount) <= maxAmount):
		return fmt.Errorf("amount: absolute value of %v exceeds %v", f.Amount, maxAmount)
	case spec.routers && len(f.Routers) == 0:
		return fmt.Errorf("routers: none given, this kind of fault needs at least one")
	case spec.members && len(f.Members) == 0:
		return fmt.Errorf("members: none given, this kind of fault needs at least one")
	case !allBetween(f.Members, currentLeader, s.ControlMembers-1):
		return fmt.Errorf("members: an index is neither from 0 to %d nor -1, the current leader", s.ControlMembers-1)
	case spec.engines && len(f.Engines) == 0:
		return fmt.Errorf("engines: none given, this kind of fault needs at least one")
	case !allBetween(f.Routers, 0, s.Routers-1):
		return fmt.Errorf("routers: an index is not from 0 to %d", s.Routers-1)
	case !allBetween(f.Engines, 0, s.Engines-1):
		return fmt.Errorf("engines: an index is not from 0 to %d", s.Engines-1)
	}
	return nil
}

func allBetween(indexes []int, low, high int) bool {
	return !slices.ContainsFunc(indexes, func(i int) bool { return i < low || i > high })
}

// LoadScenario reads a scenario from a Jsonnet or JSON file and validates it. A validation error names the invalid field.
func LoadScenario(path string) (*Scenario, error) {
	vm := jsonnet.MakeVM()
	vm.MaxStack = maxJsonnetStack
	text, err := vm.EvaluateFile(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	s := &Scenario{}
	if err := json.Unmarshal([]byte(text), s); err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	return s, s.Validate()
}

// Save writes a scenario to a JSON file that LoadScenario can read.
func (s *Scenario) Save(path string) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// seconds converts seconds to a duration, rounded to the nanosecond.
func seconds(s float64) time.Duration { return time.Duration(math.Round(s * float64(time.Second))) }

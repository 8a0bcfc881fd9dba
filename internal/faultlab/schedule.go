package faultlab

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/google/go-jsonnet"
	"gonum.org/v1/gonum/stat/distuv"
)

// Schedule is an experiment: a fleet, its traffic, and what befalls it when. The same schedule gives the same statements at the
// same times and the same faults; what processes and their machine make of them differs from play to play.
type Schedule struct {
	Name              string  `json:"name"`
	Seed              uint64  `json:"seed"`
	Routers           int     `json:"routers"`
	Engines           int     `json:"engines"`
	Seconds           float64 `json:"seconds"`
	Load              float64 `json:"load"`  // of the engines' cores, when all are well
	Retries           int     `json:"tries"` // further ones of a client whose statement was rejected
	ConfiguredRouters int     `json:"says"`  // routers, as the settings have it; 0: as many as there are
	BusiestFactor     float64 `json:"busiest"`
	WorkFactor        float64 `json:"work"`     // of a statement, times the usual; 0: as usual
	PatienceFactor    float64 `json:"patience"` // of clients, times the usual: SLO times and statement timeouts; 0: as usual
	CancelShare       float64 `json:"leavers"`  // share of the clients that stop waiting before their time
	ControlMembers    int     `json:"control"`  // processes of a control group, 0: there is none
	VersionInterval   float64 `json:"every"`    // seconds between two versions that are proposed
	Faults            []Fault `json:"faults"`
}

// Fault is one thing that befalls some of the fleet at a time.
type Fault struct {
	At      float64 `json:"at"`  // seconds from the start of the traffic
	For     float64 `json:"for"` // seconds; nothing: for good, or for a moment
	Kind    string  `json:"kind"`
	Routers []int   `json:"routers,omitempty"`
	Engines []int   `json:"engines,omitempty"`
	Members []int   `json:"members,omitempty"` // processes of the control group; -1: the one that leads then
	Amount  float64 `json:"amount,omitempty"`
}

// faultKind says what a fault takes beside its time.
type faultKind struct {
	routers, engines, members bool // have to be named
	amount                    bool // has to be named
	signed                    bool // the amount may be negative
	most                      float64
	span                      bool
	what                      string
}

// mostAmount is the largest amount of a fault whose kind names none.
const mostAmount = 100

var faultKinds = map[string]faultKind{
	"cut":             {routers: true, engines: true, span: true, what: "links of routers to engines pass nothing, both ways"},
	"cut-there":       {routers: true, engines: true, span: true, what: "the same from routers to engines only"},
	"cut-back":        {routers: true, engines: true, span: true, what: "the same from engines to routers only"},
	"delay":           {routers: true, engines: true, amount: true, span: true, what: "answers of engines to routers come so many seconds late"},
	"slow":            {routers: true, engines: true, span: true, what: "answers of engines come a byte a tick"},
	"reset":           {routers: true, engines: true, what: "all connections of routers to engines are reset"},
	"deaf":            {engines: true, span: true, what: "engines refuse new connections and run on"},
	"feed":            {routers: true, span: true, what: "the control feed passes nothing"},
	"kill":            {routers: true, span: true, what: "routers are killed, and started again after the time"},
	"stop":            {routers: true, span: true, what: "routers are stopped, and woken after the time"},
	"term":            {routers: true, span: true, what: "routers end by SIGTERM, and are started again after the time"},
	"replace":         {engines: true, span: true, what: "engines drain, leave after the time, and new cold ones take their place"},
	"lose":            {engines: true, span: true, what: "engines die, and come back cold under new ids after the time"},
	"crawl":           {engines: true, amount: true, span: true, what: "engines take so many times as long"},
	"err":             {engines: true, span: true, what: "engines end all with an error"},
	"group-cut":       {routers: true, members: true, span: true, what: "links of routers to processes of the control group pass nothing, both ways"},
	"group-cut-there": {routers: true, members: true, span: true, what: "the same from routers to the group only"},
	"group-cut-back":  {routers: true, members: true, span: true, what: "the same from the group to routers only"},
	"group-delay":     {routers: true, members: true, amount: true, span: true, what: "what the group says to routers comes so many seconds late"},
	"group-reset":     {routers: true, members: true, what: "all connections of routers to the group are reset"},
	"apart":           {members: true, span: true, what: "processes of the group are cut off from the others"},
	"member-kill":     {members: true, span: true, what: "processes of the group are killed, and started again after the time"},
	"member-stop":     {members: true, span: true, what: "processes of the group are stopped, and woken after the time"},
	"member-lose":     {members: true, what: "processes of the group are killed, and never come back"},
	"rush":            {amount: true, span: true, what: "so many times the traffic"},
	"clock":           {routers: true, amount: true, signed: true, most: 7200, what: "the wall clock of routers' hosts steps by so many seconds, and back after the time, if there is one"},
	"accept-fails":    {routers: true, amount: true, span: true, what: "one in so many of routers' calls to accept fails: ECONNABORTED, EMFILE, ENFILE or ENOBUFS"},
	"connect-fails":   {routers: true, amount: true, span: true, what: "one in so many of routers' calls to connect fails: EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH or ETIMEDOUT"},
	"socket-fails":    {routers: true, amount: true, span: true, what: "one in so many of routers' calls to socket fails: EMFILE, ENFILE or ENOBUFS"},
	"reload":          {routers: true, what: "routers read their configuration again (SIGHUP)"},
}

// Kinds lists the kinds of faults and what they do.
func FaultKinds() (lines []string) {
	for k, f := range faultKinds {
		lines = append(lines, k+": "+f.what)
	}
	slices.Sort(lines)
	return lines
}

const mostSeconds, mostProcesses = 600, 64

// patient is a time of a client's, with the schedule's patience.
func (s *Schedule) patient(usual time.Duration) time.Duration {
	return time.Duration(cmp.Or(s.PatienceFactor, 1) * float64(usual))
}

// Check tells what is wrong with a schedule, by field.
func (s *Schedule) Validate() error {
	for _, f := range []struct {
		name       string
		value      float64
		least, top float64
	}{{"routers", float64(s.Routers), 1, mostProcesses}, {"engines", float64(s.Engines), 1, mostProcesses}, {"seconds", s.Seconds, 1, mostSeconds},
		{"load", s.Load, 0.01, 10}, {"tries", float64(s.Retries), 0, 10}, {"says", float64(s.ConfiguredRouters), 0, 1e6}, {"control", float64(s.ControlMembers), 0, 7}, {"every", s.VersionInterval, 0, mostSeconds}, {"busiest", s.BusiestFactor, 0, 100}, {"leavers", s.CancelShare, 0, 1}, {"work", s.WorkFactor, 0, 100}, {"patience", s.PatienceFactor, 0, 10}} {
		if !(f.value >= f.least && f.value <= f.top) {
			return fmt.Errorf("%s: %v is not from %v to %v", f.name, f.value, f.least, f.top)
		}
	}
	for i, f := range s.Faults {
		k, ok := faultKinds[f.Kind]
		at := fmt.Sprintf("faults[%d]", i)
		switch {
		case !ok:
			return fmt.Errorf("%s.kind: %q is none", at, f.Kind)
		case !(f.At >= 0 && f.At <= s.Seconds):
			return fmt.Errorf("%s.at: %v is not within the schedule", at, f.At)
		case !(f.For >= 0 && f.For <= mostSeconds):
			return fmt.Errorf("%s.for: %v is no time", at, f.For)
		case k.span && f.For == 0:
			return fmt.Errorf("%s.for: missing", at)
		case k.amount && (f.Amount == 0 || f.Amount < 0 && !k.signed):
			return fmt.Errorf("%s.amount: %v is not above 0", at, f.Amount)
		case k.amount && !(math.Abs(f.Amount) <= cmp.Or(k.most, mostAmount)):
			return fmt.Errorf("%s.amount: %v is over %v", at, f.Amount, cmp.Or(k.most, mostAmount))
		case k.routers && len(f.Routers) == 0:
			return fmt.Errorf("%s.routers: none", at)
		case k.members && len(f.Members) == 0:
			return fmt.Errorf("%s.members: none", at)
		case slices.ContainsFunc(f.Members, func(m int) bool { return m < -1 || m >= s.ControlMembers }):
			return fmt.Errorf("%s.members: one is not from 0 to %d, nor -1", at, s.ControlMembers-1)
		case k.engines && len(f.Engines) == 0:
			return fmt.Errorf("%s.engines: none", at)
		case slices.ContainsFunc(f.Routers, func(r int) bool { return r < 0 || r >= s.Routers }):
			return fmt.Errorf("%s.routers: one is not from 0 to %d", at, s.Routers-1)
		case slices.ContainsFunc(f.Engines, func(e int) bool { return e < 0 || e >= s.Engines }):
			return fmt.Errorf("%s.engines: one is not from 0 to %d", at, s.Engines-1)
		}
	}
	return nil
}

// Load reads a schedule, Jsonnet or JSON; an error names the field.
func LoadSchedule(path string) (*Schedule, error) {
	vm := jsonnet.MakeVM()
	vm.MaxStack = 200
	text, err := vm.EvaluateFile(path)
	if err != nil {
		return nil, fmt.Errorf("schedule: %w", err)
	}
	s := &Schedule{}
	if err := json.Unmarshal([]byte(text), s); err != nil {
		return nil, fmt.Errorf("schedule: %w", err)
	}
	return s, s.Validate()
}

// Save writes a schedule where Load finds it.
func (s *Schedule) Save(path string) error {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Quiet is the end of the last fault, in seconds.
func (s *Schedule) FaultsEnd() (end float64) {
	for _, f := range s.Faults {
		end = max(end, f.At+f.For)
	}
	return end
}

// Draw makes a schedule from a seed: nine routers, eight engines, one to three troubles of the kinds that a fleet sees, over by
// two thirds of the time.
func GenerateSchedule(seed uint64, seconds float64) *Schedule {
	r := rand.New(rand.NewPCG(seed, 28))
	s := &Schedule{Name: fmt.Sprintf("seed %d", seed), Seed: seed, Routers: 9, Engines: 8, Seconds: seconds, Retries: 2}
	s.Load = distuv.Uniform{Min: 0.35, Max: 0.7, Src: r}.Rand()
	s.BusiestFactor = distuv.Uniform{Min: 1, Max: 4, Src: r}.Rand()
	kinds := []string{"cut", "cut-there", "cut-back", "delay", "slow", "reset", "deaf", "feed", "kill", "stop", "term", "replace", "lose", "crawl", "err", "rush"}
	for range 1 + r.IntN(3) {
		f := Fault{Kind: kinds[r.IntN(len(kinds))], At: distuv.Uniform{Min: 0.2, Max: 0.4, Src: r}.Rand() * seconds}
		k := faultKinds[f.Kind]
		if k.span {
			f.For = distuv.Uniform{Min: 0.05, Max: 0.26, Src: r}.Rand() * seconds
		}
		if k.routers {
			f.Routers = some(r, s.Routers, 1+r.IntN(s.Routers*2/3))
		}
		if k.engines {
			f.Engines = some(r, s.Engines, 1+r.IntN(s.Engines/2))
		}
		switch f.Kind {
		case "delay":
			f.Amount = distuv.Uniform{Min: 0.05, Max: 2, Src: r}.Rand()
		case "crawl":
			f.Amount = distuv.Uniform{Min: 1.5, Max: 6, Src: r}.Rand()
		case "rush":
			f.Amount = distuv.Uniform{Min: 1.5, Max: 3, Src: r}.Rand()
		case "replace", "lose":
			f.Engines = f.Engines[:min(3, len(f.Engines))]
		case "err":
			f.Engines = f.Engines[:1]
		}
		s.Faults = append(s.Faults, f)
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(1e6 * (a.At - b.At)) })
	return s
}

func some(r *rand.Rand, of, n int) []int {
	list := r.Perm(of)[:n]
	slices.Sort(list)
	return list
}

// Shrink cuts a schedule that fails down to one that still does and of which nothing can be left out: no fault, no router or
// engine of a fault, not half of a fault's time. fails plays one and tells whether it still fails.
func Shrink(s *Schedule, fails func(*Schedule) bool) *Schedule {
	least := s
	for smaller := true; smaller; {
		smaller = false
		for _, c := range cuts(least) {
			if c.Validate() == nil && fails(c) {
				least, smaller = c, true
				break
			}
		}
	}
	return least
}

// cuts are the schedules that lack one thing, the largest things first.
func cuts(s *Schedule) (list []*Schedule) {
	with := func(change func(*Schedule)) {
		c := *s
		c.Faults = nil
		for _, f := range s.Faults {
			f.Routers, f.Engines = slices.Clone(f.Routers), slices.Clone(f.Engines)
			c.Faults = append(c.Faults, f)
		}
		change(&c)
		list = append(list, &c)
	}
	for i := range s.Faults {
		with(func(c *Schedule) { c.Faults = slices.Delete(c.Faults, i, i+1) })
	}
	for i, f := range s.Faults {
		if len(f.Routers) > 1 {
			with(func(c *Schedule) { c.Faults[i].Routers = c.Faults[i].Routers[:len(f.Routers)/2] })
			with(func(c *Schedule) { c.Faults[i].Routers = c.Faults[i].Routers[len(f.Routers)/2:] })
		}
		if len(f.Engines) > 1 {
			with(func(c *Schedule) { c.Faults[i].Engines = c.Faults[i].Engines[:len(f.Engines)/2] })
			with(func(c *Schedule) { c.Faults[i].Engines = c.Faults[i].Engines[len(f.Engines)/2:] })
		}
		if f.For > 0.4 {
			with(func(c *Schedule) { c.Faults[i].For /= 2 })
		}
	}
	if s.Retries > 0 {
		with(func(c *Schedule) { c.Retries = 0 })
	}
	return list
}

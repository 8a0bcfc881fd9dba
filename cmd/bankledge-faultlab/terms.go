package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"bankledge/internal/simulation"
)

// terms plays the state machines of the control group and of the routers under a simulated clock.
type terms struct {
	From    uint64 `default:"0" help:"First seed."`
	Count   uint64 `default:"1000" help:"Number of schedules."`
	Routers int    `default:"6" help:"Routers in each."`
	Push    bool   `help:"The baseline: no terms and no cautious side, routers act on what they hear."`
	Stop    bool   `help:"End at the first schedule that breaks a rule."`
	Chart   string `help:"File for a chart of the longest contradictions, PNG." type:"path"`
	Mutants bool   `help:"Take one guard off the machines at a time, and see that an auditor finds it."`
	Only    string `help:"With --mutants: only those whose names hold this."`
	Trace   bool   `help:"Write what happens in the first schedule."`
	JSON    bool   `help:"Write the outcome as JSON."`
}

// sums is what came of all schedules.
type sums struct {
	Schedules  uint64        `json:"schedules"`
	Broken     uint64        `json:"broken"` // schedules
	First      string        `json:"first"`  // finding
	Worst      time.Duration `json:"worst_ns"`
	Bound      time.Duration `json:"bound_ns"`
	OverIn     uint64        `json:"over_in"` // schedules
	Pairs      int           `json:"pairs"`
	Versions   uint64        `json:"versions"`
	Terms      float64       `json:"terms"` // share of the time that routers had one
	longest    plotter.Values
	wallClock  time.Duration
	MostLateMS int64 `json:"most_late_ms"` // from the first quiet moment until all act on the newest version
}

// Run plays them, as many at once as there are cores.
func (c *terms) Run() error {
	if c.Mutants {
		return c.mutants()
	}
	if c.Count == 0 || c.Routers < 1 || c.Routers > 1000 {
		return errors.New("count, routers: not above 0, or over 1,000 routers")
	}
	s, err := c.play()
	if err != nil {
		return err
	}
	if c.Chart != "" {
		if err := s.chart(c.Chart); err != nil {
			return err
		}
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(s); err != nil {
			return err
		}
	} else {
		fmt.Printf("%d schedules of %d routers in %v: longest contradiction %v (bound %v), over it in %d; %d pairs of versions contradicted each other; %d versions; terms held %.3f of the time; latest convergence %d ms\n",
			s.Schedules, c.Routers, s.wallClock.Round(time.Millisecond), s.Worst, s.Bound, s.OverIn, s.Pairs, s.Versions, s.Terms, s.MostLateMS)
	}
	if s.Broken > 0 {
		return fmt.Errorf("rules were broken in %d schedules: %s", s.Broken, s.First)
	}
	return nil
}

func (c *terms) play() (*sums, error) {
	s := &sums{Bound: simulation.ContradictionBound(simulation.OptionsForSeed(0, c.Routers).LeaseDurations)}
	began := time.Now()
	batch := uint64(4 * runtime.GOMAXPROCS(0))
	for from := c.From; from < c.From+c.Count && !(c.Stop && s.Broken > 0); from += batch {
		n := min(batch, c.From+c.Count-from)
		results := make([]simulation.Result, n)
		var group errgroup.Group
		group.SetLimit(runtime.GOMAXPROCS(0))
		for i := range n {
			group.Go(func() error {
				o := simulation.OptionsForSeed(from+i, c.Routers)
				o.PlainPush = c.Push
				if c.Trace && from+i == c.From {
					results[i] = simulation.Run(o, os.Stderr)
				} else {
					results[i] = simulation.Run(o, nil)
				}
				return nil
			})
		}
		if err := group.Wait(); err != nil {
			return nil, err
		}
		for _, r := range results {
			s.add(r)
		}
	}
	s.wallClock = time.Since(began)
	s.Terms /= float64(max(1, s.Schedules))
	return s, nil
}

func (s *sums) add(r simulation.Result) {
	s.Schedules++
	s.Worst, s.Pairs, s.Versions, s.Terms = max(s.Worst, r.LongestContradiction), s.Pairs+r.Contradictions, s.Versions+r.Versions, s.Terms+r.LeaseShare
	s.longest = append(s.longest, r.LongestContradiction.Seconds())
	s.MostLateMS = max(s.MostLateMS, r.ConvergenceDelay.Milliseconds())
	if r.OverBound > 0 {
		s.OverIn++
	}
	if len(r.Violations) > 0 {
		if s.Broken++; s.First == "" {
			f := r.Violations[0]
			s.First = fmt.Sprintf("seed %d, %s at %v: %s", r.Seed, f.Auditor, f.At, f.Detail)
		}
	}
}

// chart draws how the longest contradictions of the schedules are spread, beside the bound.
func (s *sums) chart(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "longest contradiction of a schedule", "seconds", "schedules"
	h, err := plotter.NewHist(s.longest, 60)
	if err != nil {
		return err
	}
	bound, err := plotter.NewLine(plotter.XYs{{X: s.Bound.Seconds(), Y: 0}, {X: s.Bound.Seconds(), Y: float64(len(s.longest)) / 5}})
	if err != nil {
		return err
	}
	p.Add(h, bound)
	p.Legend.Add("bound", bound)
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, path)
}

const (
	routerSide = "internal/lease/router.go"
	groupSide  = "internal/lease/group.go"
	both       = "internal/lease/agree.go"
	versions   = "internal/lease/register.go"
	process    = "internal/replica/seat.go"
)

// termMutants are guards of the state machines, each taken off alone.
var termMutants = []struct {
	name  string
	edits []edit
}{
	{
		name: "a term is counted from when its answer comes",
		edits: []edit{
			{
				file: routerSide,
				old:  "	asked := of.at\n",
				new:  "	asked := now\n",
			},
		},
	},
	{
		name: "a router's clock is trusted",
		edits: []edit{
			{
				file: both,
				old:  "return time.Duration(float64(s.LeaseDuration) * (1 - s.MaxClockDrift))",
				new:  "return time.Duration(float64(s.LeaseDuration) * (1 + s.MaxClockDrift))",
			},
		},
	},
	{
		name: "the group takes terms to be shorter",
		edits: []edit{
			{
				file: both,
				old:  "return time.Duration(float64(s.LeaseDuration) * (1 + s.MaxClockDrift))",
				new:  "return s.LeaseDuration / 2",
			},
		},
	},
	{
		name: "the group counts a term from long before",
		edits: []edit{
			{
				file: groupSide,
				old:  "max(s.Expiry, w.at+g.Durations.CoordinatorLease())",
				new:  "max(s.Expiry, w.at+g.Durations.CoordinatorLease()-g.Durations.LeaseDuration/2)",
			},
		},
	},
	{
		name: "what loosens takes force on arrival",
		edits: []edit{
			{
				file: routerSide,
				old:  "	if r.settled != nil {\n		add(r.settled.Rules)",
				new:  "	if r.settled != nil && r.pending == nil {\n		add(r.settled.Rules)",
			},
		},
	},
	{
		name: "a version is settled while terms run that do not know it",
		edits: []edit{
			{
				file: groupSide,
				old:  "		if s.Expiry > now && s.KnownVersion < g.newest {\n			return nil\n		}\n	}\n	g.asked",
				new:  "	}\n	g.asked",
			},
			{
				file: groupSide,
				old:  "	for _, s := range g.sessions {\n	}\n	g.asked",
				new:  "	g.asked",
			},
		},
	},
	{
		name: "a new leader does not wait",
		edits: []edit{
			{
				file: groupSide,
				old:  "free: now + g.Durations.CoordinatorLease(),",
				new:  "free: now,",
			},
		},
	},
	{
		name: "a term is granted without proof that the process leads",
		edits: []edit{
			{
				file: groupSide,
				old:  "	return []CoordinatorAction{ConfirmLeadership{g.token}}",
				new:  "	return g.confirmed(now)",
			},
		},
	},
	{
		name: "a term is granted to who does not know the newest version",
		edits: []edit{
			{
				file: groupSide,
				old:  "	case r.KnownVersion == g.newest && r.KnownVersion > 0:\n",
				new:  "	case r.KnownVersion > 0:\n		reply.Newest = r.KnownVersion\n",
			},
		},
	},
	{
		name: "the term is not looked at after a pause",
		edits: []edit{
			{
				file: routerSide,
				old:  "if r.until > 0 && now >= r.until {",
				new:  "if r.until > 0 && now >= r.until+time.Second {",
			},
		},
	},
	{
		name: "nothing is saved before it is acknowledged",
		edits: []edit{
			{
				file: process,
				old:  "		if e.MustSync {\n",
				new:  "		if e.MustSync && e.Snapshot != nil {\n",
			},
		},
	},
	{
		name: "a vote is not kept",
		edits: []edit{
			{
				file: "internal/consensus/effects.go",
				old:  "			HardState: n.ready.HardState,\n",
				new:  "",
			},
		},
	},
	{
		name: "a version is written before the one before it is in force",
		edits: []edit{
			{
				file: versions,
				old:  "if g.NewestNumber() > g.Activated {",
				new:  "if false {",
			},
			{
				file: groupSide,
				old:  "len(g.appended) > 0 || g.newest > g.settled || g.lineage",
				new:  "len(g.appended) > 0 || g.lineage",
			},
		},
	},
	{
		name: "a version is taken though the one before it is missing",
		edits: []edit{
			{
				file: routerSide,
				old:  "	case v.Number > newest.Number+1 && v.Number > settled: // the",
				new:  "	case false: // the",
			},
		},
	},
	{
		name: "terms are kept by name, not by process",
		edits: []edit{
			{
				file: groupSide,
				old:  "	s := g.sessions[r.Incarnation]\n",
				new:  "	s := g.sessions[r.Name]\n",
			},
			{
				file: groupSide,
				old:  "		g.sessions[r.Incarnation] = s\n",
				new:  "		g.sessions[r.Name] = s\n",
			},
		},
	},
	{
		name: "a proposal that comes twice counts twice",
		edits: []edit{
			{
				file: versions,
				old:  "return e.ID != \"\" && o.ID == e.ID",
				new:  "return false && o.ID == e.ID",
			},
		},
	},
	{
		name: "a version is told of before it is synced",
		edits: []edit{
			{
				file: process,
				old:  "	return last(append(do, t.after(now)...))",
				new:  "	return append(do, t.after(now)...)",
			},
		},
	},
	{
		name: "any proof that the process led will do",
		edits: []edit{
			{
				file: groupSide,
				old:  "		if ev.Token == g.token {\n",
				new:  "		if ev.Token <= g.token {\n",
			},
			{
				file: groupSide,
				old:  "	if len(g.confirm) > 0 && now < g.sentAt+g.Durations.ReplyTimeout || len(g.confirm)+len(g.fresh) == 0 {",
				new:  "	if len(g.confirm)+len(g.fresh) == 0 {",
			},
		},
	},
}

// mutants builds this program with each guard taken off, and plays until an auditor finds it.
func (c *terms) mutants() error {
	missed := 0
	for _, m := range termMutants {
		if !strings.Contains(m.name, c.Only) {
			continue
		}
		path, drop, err := mutate(m.name, "./cmd/bankledge-faultlab", m.edits)
		if err != nil {
			return err
		}
		began := time.Now()
		out, err := exec.Command(path, "terms", "--stop", "--json", "--count", strconv.FormatUint(c.Count, 10), "--from", strconv.FormatUint(c.From, 10),
			"--routers", strconv.Itoa(c.Routers)).Output()
		drop()
		found := sums{}
		if json.Unmarshal(out, &found) != nil { // it broke down
			found.First = "the program broke down: " + fmt.Sprint(err)
		}
		if found.First == "" {
			missed++
			found.First = fmt.Sprintf("not found in %d schedules", found.Schedules)
		}
		fmt.Printf("| %s | %s | %v |\n", m.name, found.First, time.Since(began).Round(time.Second/10))
	}
	if missed > 0 {
		return fmt.Errorf("%d of %d mutants were not found", missed, len(termMutants))
	}
	return nil
}

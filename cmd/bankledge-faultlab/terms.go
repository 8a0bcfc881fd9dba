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
	clientRenewals      = "internal/lease/client_renewal.go"
	clientVersions      = "internal/lease/client_versions.go"
	clientCore          = "internal/lease/client.go"
	coordinatorCore     = "internal/lease/coordinator.go"
	coordinatorRenewals = "internal/lease/coordinator_renewal.go"
	coordinatorQueue    = "internal/lease/coordinator_proposals.go"
	leaseDurations      = "internal/lease/durations.go"
	versionRegister     = "internal/configregister/register.go"
	replicaCore         = "internal/replica/replica.go"
	replicaLog          = "internal/replica/log.go"
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
				file: clientRenewals,
				old:  "	if !remembered {\n",
				new:  "	sentAt = now\n	if !remembered {\n",
			},
		},
	},
	{
		name: "a router's clock is trusted",
		edits: []edit{
			{
				file: leaseDurations,
				old:  "return time.Duration(float64(d.LeaseDuration) * (1 - d.MaxClockDrift))",
				new:  "return time.Duration(float64(d.LeaseDuration) * (1 + d.MaxClockDrift))",
			},
		},
	},
	{
		name: "the group takes terms to be shorter",
		edits: []edit{
			{
				file: leaseDurations,
				old:  "return time.Duration(float64(d.LeaseDuration) * (1 + d.MaxClockDrift))",
				new:  "return d.LeaseDuration / 2",
			},
		},
	},
	{
		name: "the group counts a term from long before",
		edits: []edit{
			{
				file: coordinatorRenewals,
				old:  "max(session.Expiry, r.receivedAt+c.durations.CoordinatorLease())",
				new:  "max(session.Expiry, r.receivedAt+c.durations.CoordinatorLease()-c.durations.LeaseDuration/2)",
			},
		},
	},
	{
		name: "what loosens takes force on arrival",
		edits: []edit{
			{
				file: clientVersions,
				old:  "	if c.activated != nil {\n		restrict(c.activated.Rules)",
				new:  "	if c.activated != nil && c.pending == nil {\n		restrict(c.activated.Rules)",
			},
		},
	},
	{
		name: "a version is settled while terms run that do not know it",
		edits: []edit{
			{
				file: coordinatorCore,
				old:  "		if s.leased(now) && s.KnownVersion < c.newest {\n			return nil\n		}\n	}\n	c.proposedActivation",
				new:  "	}\n	c.proposedActivation",
			},
			{
				file: coordinatorCore,
				old:  "	for _, s := range c.sessions {\n	}\n	c.proposedActivation",
				new:  "	c.proposedActivation",
			},
		},
	},
	{
		name: "a new leader does not wait",
		edits: []edit{
			{
				file: coordinatorCore,
				old:  "now + c.durations.CoordinatorLease(),",
				new:  "now,",
			},
		},
	},
	{
		name: "a term is granted without proof that the process leads",
		edits: []edit{
			{
				file: coordinatorRenewals,
				old:  "	return []CoordinatorAction{ConfirmLeadership{c.confirmationToken}}",
				new:  "	return c.receiveConfirmation(now, c.confirmationToken)",
			},
		},
	},
	{
		name: "a term is granted to who does not know the newest version",
		edits: []edit{
			{
				file: coordinatorRenewals,
				old:  "	if renewal.KnownVersion == 0 || renewal.KnownVersion < c.newest {\n",
				new:  "	if renewal.KnownVersion > 0 {\n		reply.Newest = renewal.KnownVersion\n	} else {\n",
			},
		},
	},
	{
		name: "the term is not looked at after a pause",
		edits: []edit{
			{
				file: clientCore,
				old:  "if c.leaseExpiry == 0 || now < c.leaseExpiry {",
				new:  "if c.leaseExpiry == 0 || now < c.leaseExpiry+time.Second {",
			},
		},
	},
	{
		name: "nothing is saved before it is acknowledged",
		edits: []edit{
			{
				file: replicaLog,
				old:  "	if effects.MustSync {\n",
				new:  "	if effects.MustSync && effects.Snapshot != nil {\n",
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
				file: versionRegister,
				old:  "if r.NewestNumber() > r.Activated {",
				new:  "if false {",
			},
			{
				file: coordinatorQueue,
				old:  "len(c.appendedProposals) > 0 || c.newest > c.activated || c.lineage",
				new:  "len(c.appendedProposals) > 0 || c.lineage",
			},
		},
	},
	{
		name: "a version is taken though the one before it is missing",
		edits: []edit{
			{
				file: clientVersions,
				old:  "	case v.Number > newest.Number+1 && v.Number > activated:\n",
				new:  "	case false:\n",
			},
		},
	},
	{
		name: "terms are kept by name, not by process",
		edits: []edit{
			{
				file: coordinatorRenewals,
				old:  "c.session(renewal.Incarnation)",
				new:  "c.session(renewal.Name)",
			},
		},
	},
	{
		name: "a proposal that comes twice counts twice",
		edits: []edit{
			{
				file: versionRegister,
				old:  "return entry.ID != \"\" && o.ID == entry.ID",
				new:  "return false && o.ID == entry.ID",
			},
		},
	},
	{
		name: "a version is told of before it is synced",
		edits: []edit{
			{
				file: replicaCore,
				old:  "	return publishLast(actions)\n",
				new:  "	return actions\n",
			},
		},
	},
	{
		name: "any proof that the process led will do",
		edits: []edit{
			{
				file: coordinatorRenewals,
				old:  "	if token != c.confirmationToken {\n",
				new:  "	if token > c.confirmationToken {\n",
			},
			{
				file: coordinatorRenewals,
				old:  "	if len(c.confirming) > 0 && now < c.confirmationSentAt+c.durations.ReplyTimeout {\n",
				new:  "	if false {\n",
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

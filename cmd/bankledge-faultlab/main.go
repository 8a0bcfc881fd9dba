// Bankledge-lab starts many processes of the real router on loopback, breaks what is between them, and audits what came of it.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/schollz/progressbar/v3"

	"bankledge/internal/faultlab"
)

type commands struct {
	Run     run        `cmd:"" help:"Play schedules drawn from seeds, and audit each."`
	Soak    soak       `cmd:"" help:"Play schedules of many overlapping faults, of hosts and clocks too, and audit each."`
	Replay  replay     `cmd:"" help:"Play a schedule from a file, and audit it."`
	Shrink  shrink     `cmd:"" help:"Cut a schedule that fails down to its least, and keep it as a file that replays."`
	Compare compare    `cmd:"" help:"Play the same schedules with two or more builds of the router, in turn."`
	Mutants mutantsCmd `cmd:"" help:"Take one guard off the router at a time, and see that an auditor finds it."`
	Terms   terms      `cmd:"" help:"Play the control group and the routers' terms under a simulated clock, many schedules."`
	Group   groupCmd   `cmd:"" help:"Play schedules of a control group's troubles with real processes."`
	Crowd   crowd      `cmd:"" help:"Measure the control service with real processes and many router sides."`
	Kinds   kinds      `cmd:"" help:"List the kinds of faults, and the auditors."`
}

// common is what all that play have.
type common struct {
	Router string `help:"The router's program; built from the folder that this is called in if empty." type:"path"`
	Logs   string `help:"Folder to keep the routers' logs and the histories in." type:"path"`
	JSON   bool   `help:"Write the outcome as JSON."`
	Quiet  bool   `help:"Show no progress."`
}

// errBreach has the program end with 1 after it has said all there is to say.
var errBreach = errors.New("rules were broken: see above")

// build builds the router, unless a program is named.
func build(program string) (path string, drop func(), err error) {
	if program != "" {
		return program, func() {}, nil
	}
	dir, err := os.MkdirTemp("", "bankledge-faultlab")
	if err != nil {
		return "", nil, err
	}
	path = filepath.Join(dir, "bankledge")
	if out, err := exec.Command("go", "build", "-o", path, "./cmd/bankledge").CombinedOutput(); err != nil {
		os.RemoveAll(dir)
		return "", nil, fmt.Errorf("the router does not build: %s", strings.TrimSpace(string(out)))
	}
	return path, func() { os.RemoveAll(dir) }, nil
}

// play plays one schedule.
func (c *common) play(ctx context.Context, program, label string, s *faultlab.Schedule) (faultlab.Outcome, error) {
	o := faultlab.Options{RouterProgram: program}
	if c.Logs != "" {
		o.Dir = filepath.Join(c.Logs, label, strings.ReplaceAll(s.Name, " ", "-"))
	}
	if !c.Quiet {
		bar := progressbar.NewOptions(1000, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription(s.Name),
			progressbar.OptionClearOnFinish(), progressbar.OptionSetPredictTime(false))
		o.Progress = func(part float64) { bar.Set(int(part * 1000)) }
		defer bar.Finish()
	}
	h, err := faultlab.Play(ctx, s, o)
	if err != nil {
		return faultlab.Outcome{}, fmt.Errorf("%s: %w", s.Name, err)
	}
	if o.Dir != "" {
		if err := errors.Join(h.Write(filepath.Join(o.Dir, "history.jsonl")), s.Save(filepath.Join(o.Dir, "schedule.json"))); err != nil {
			return faultlab.Outcome{}, err
		}
	}
	return faultlab.Outcome{Label: label, Schedule: s, Metrics: faultlab.Measure(h), Violations: faultlab.Audit(h)}, nil
}

func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// say writes outcomes, and tells by its error whether any rule was broken.
func (c *common) say(outcomes []faultlab.Outcome) error {
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(outcomes); err != nil {
			return err
		}
	} else {
		fmt.Print(faultlab.Markdown(outcomes))
	}
	for _, o := range outcomes {
		if len(o.Violations) > 0 {
			return errBreach
		}
	}
	return nil
}

type seeds struct {
	From    uint64  `default:"1" help:"First seed."`
	Count   uint64  `default:"10" help:"Number of schedules."`
	Seconds float64 `default:"12" help:"Length of each."`
}

func (s seeds) schedules() (list []*faultlab.Schedule) {
	for i := range s.Count {
		list = append(list, faultlab.GenerateSchedule(s.From+i, s.Seconds))
	}
	return list
}

type run struct {
	common
	seeds
	Table  string `help:"File for the figures, Parquet." type:"path"`
	Charts string `help:"Folder for charts, PNG." type:"path"`
}

// Run plays schedules one after the other.
func (r *run) Run() error {
	return compareAll(&r.common, []string{r.Router}, r.schedules(), r.Table, r.Charts)
}

type soak struct {
	common
	From    uint64  `default:"1" help:"First seed."`
	Count   uint64  `default:"10" help:"Number of schedules."`
	Seconds float64 `default:"20" help:"Length of each."`
}

// Run plays soaks one after the other. What hangs on the machine's speed is not judged.
func (s *soak) Run() error {
	ctx, cancel := interrupted()
	defer cancel()
	program, drop, err := build(s.Router)
	if err != nil {
		return err
	}
	defer drop()
	var outcomes []faultlab.Outcome
	for seed := s.From; seed < s.From+s.Count; seed++ {
		o, err := s.play(ctx, program, "soak", faultlab.GenerateSoakSchedule(seed, s.Seconds))
		if err != nil {
			return err
		}
		o.Violations = slices.DeleteFunc(o.Violations, func(b faultlab.Violation) bool { return !faultlab.IsInvariant(b.Auditor) })
		outcomes = append(outcomes, o)
	}
	return s.say(outcomes)
}

type compare struct {
	common
	seeds
	Programs []string `arg:"" help:"Programs of the router to compare, NAME=PATH." `
	Table    string   `help:"File for the figures, Parquet." type:"path"`
	Charts   string   `help:"Folder for charts, PNG." type:"path"`
}

// Run plays each schedule with each program in turn.
func (c *compare) Run() error {
	return compareAll(&c.common, c.Programs, c.schedules(), c.Table, c.Charts)
}

func compareAll(c *common, programs []string, schedules []*faultlab.Schedule, table, charts string) error {
	ctx, cancel := interrupted()
	defer cancel()
	var outcomes []faultlab.Outcome
	type player struct{ label, path string }
	var players []player
	for _, p := range programs {
		label, path, named := strings.Cut(p, "=")
		if !named {
			label, path = "router", p
		}
		built, drop, err := build(path)
		if err != nil {
			return err
		}
		defer drop()
		players = append(players, player{label, built})
	}
	for _, s := range schedules {
		for _, p := range players {
			o, err := c.play(ctx, p.path, p.label, s)
			if err != nil {
				return err
			}
			outcomes = append(outcomes, o)
		}
	}
	if table != "" {
		if err := faultlab.WriteParquet(table, outcomes); err != nil {
			return err
		}
	}
	if charts != "" {
		if err := faultlab.Charts(charts, outcomes); err != nil {
			return err
		}
	}
	return c.say(outcomes)
}

type replay struct {
	common
	File  string `arg:"" help:"The schedule, Jsonnet or JSON." type:"path"`
	Times int    `default:"1" help:"How often."`
}

// Run plays a schedule from a file.
func (r *replay) Run() error {
	s, err := faultlab.LoadSchedule(r.File)
	if err != nil {
		return err
	}
	var list []*faultlab.Schedule
	for range r.Times {
		list = append(list, s)
	}
	return compareAll(&r.common, []string{r.Router}, list, "", "")
}

type shrink struct {
	common
	File    string `arg:"" help:"The schedule that fails." type:"path"`
	Out     string `arg:"" help:"File for the least one that still does, JSON." type:"path"`
	Auditor string `help:"Only this auditor's breaches count."`
	Tries   int    `default:"3" help:"Plays of a smaller schedule before it counts as one that does not fail."`
}

// Run cuts a schedule down.
func (r *shrink) Run() error {
	s, err := faultlab.LoadSchedule(r.File)
	if err != nil {
		return err
	}
	program, drop, err := build(r.Router)
	if err != nil {
		return err
	}
	defer drop()
	ctx, cancel := interrupted()
	defer cancel()
	fails := func(s *faultlab.Schedule) bool {
		for range r.Tries {
			o, err := r.play(ctx, program, "shrink", s)
			for _, b := range o.Violations {
				if err == nil && (r.Auditor == "" || b.Auditor == r.Auditor) {
					return true
				}
			}
		}
		return false
	}
	if !fails(s) {
		return fmt.Errorf("%s: no rule is broken in %d plays", r.File, r.Tries)
	}
	least := faultlab.Shrink(s, fails)
	fmt.Printf("%d of %d faults are left\n", len(least.Faults), len(s.Faults))
	return least.Save(r.Out)
}

type kinds struct{}

// Run lists what there is.
func (kinds) Run() error {
	fmt.Println("Faults:")
	for _, line := range faultlab.FaultKinds() {
		fmt.Println("  " + line)
	}
	fmt.Println("Auditors:")
	for _, a := range faultlab.Auditors {
		fmt.Printf("  %s: %s\n", a.Name, a.Description)
	}
	return nil
}

func main() {
	parsed := kong.Parse(&commands{}, kong.Name("bankledge-faultlab"), kong.Description("Experiments with many processes of the router."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bankledge-faultlab:", err)
		os.Exit(1)
	}
}

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"bankledge/internal/lab"
)

// mutant is the router with one guard taken off, by which an auditor is seen to be able to fail.
type mutant struct {
	name    string
	auditor string // that has to find it
	edits   []edit
	faults  []lab.Fault
	load    float64
}

// Of the mutants' schedules: statements run for longer than usual, and clients wait for longer.
const mutantWork, mutantPatience = 4, 3

// edit puts something in the place of what stands once in a file.
type edit struct{ file, old, new string }

const (
	module   = "policy/policy.go"
	watching = "m.due.At(s.Last, func() { m.giveUp(s, decision.ReasonTimeUp) })"
	dropping = "	case m.now < s.Last && m.mayRepeat(s):\n		s.Avoid = e\n		m.hold(s)\n	default:\n		m.giveUp(s, decision.ReasonNoRepeat)"
)

// roomy has engines never full: at this scale the room that routers keep is as good a guard for cold engines as their budget is.
var roomy = edit{module, "	others := m.othersOn(e)\n	if !m.isLight(s) && !m.isCold(e) {", "	others := 0.0\n	if e != nil {\n		return true\n	}\n	if !m.isLight(s) && !m.isCold(e) {"}

// noBackstop has the router leave open what the module has forgotten.
var noBackstop = edit{"internal/gateway/route.go", "if !s.over && now.After(s.ends) {", "if false {"}

// repeats has the module take every repeat for harmless; unguarded has the run-time guard do so, too.
var (
	repeats   = edit{module, "return len(s.Execs) < most && (s.Home == nil || s.Effect == decision.Idempotent ||", "return len(s.Execs) < most && (true || s.Home == nil || s.Effect == decision.Idempotent ||"}
	unguarded = edit{"internal/guard/request.go", "	return r.mayRepeat(at, now)", "	return nil"}
)

// asked is where it is kept when an engine was last asked for an execution.
const asked = "internal/back/instant.go"

var (
	allRouters = []int{0, 1, 2, 3, 4, 5, 6, 7, 8}
	allEngines = []int{0, 1, 2, 3, 4, 5, 6, 7}
	someCut    = []lab.Fault{{Kind: "cut-back", At: 2, For: 3, Routers: []int{0, 1, 2, 3, 4}, Engines: []int{0, 1, 2, 3}}}
	drained    = []lab.Fault{{Kind: "replace", At: 2, For: 3, Engines: []int{0, 1, 2}}}
	lost       = []lab.Fault{{Kind: "lose", At: 2, For: 2, Engines: []int{0, 1, 2}}}
	lostMost   = []lab.Fault{{Kind: "lose", At: 2, For: 2, Engines: []int{0, 1, 2, 3, 4, 5}}}
	crawling   = []lab.Fault{{Kind: "crawl", At: 2, For: 4, Engines: allEngines, Amount: 5}}
	heldUp     = []lab.Fault{{Kind: "cut-there", At: 2, For: 3, Routers: allRouters, Engines: []int{0, 1, 2, 3}}}
	flapping   = flaps([]lab.Fault{{Kind: "cut-back", At: 2, For: 3, Routers: allRouters, Engines: []int{0, 1, 2, 3}}})
	erring     = []lab.Fault{{Kind: "err", At: 2, For: 3, Engines: []int{0, 1}}}
)

// flaps adds wall clocks of all routers that step there and back while links are cut.
func flaps(faults []lab.Fault) []lab.Fault {
	for i := range 10 {
		amount := 20.0
		if i%2 == 1 {
			amount = -amount
		}
		faults = append(faults, lab.Fault{Kind: "clock", At: 2.3 + 0.2*float64(i), Routers: allRouters, Amount: amount})
	}
	return faults
}

// mutants are the guards that can be taken off.
var mutants = []mutant{
	{"a statement's time is not watched", "answers", []edit{{module, watching, "m.due.At(s.End+time.Second, func() { m.giveUp(s, decision.ReasonTimeUp) })"}, noBackstop}, someCut, 0.5},
	{"an answer is sent again", "answers", []edit{{"internal/front/front.go", "return c.queue(appendAnswer(make([]byte, 0, headBytes+leastLength+2+len(body)), typeAnswer, stream, code, body), stream)", "b := appendAnswer(nil, typeAnswer, stream, code, body)\n\treturn c.queue(append(b, b...), stream)"}}, nil, 0.5},
	{"an answer is lost with its execution", "answers", []edit{{module, dropping, "	default:\n		m.finish(s)"}, noBackstop}, erring, 0.5},
	{"what may have run goes again, whatever it is", "once", []edit{repeats, unguarded}, erring, 0.5},
	{"the same, with the run-time guard", "guard", []edit{repeats}, erring, 0.5},
	{"when an engine was asked is kept on the wall clock", "one at a time", []edit{{asked, "i.since.Store(int64(at.Sub(origin)))", "i.since.Store(int64(at.Round(0).Sub(origin.Round(0))))"},
		{asked, "return origin.Add(time.Duration(i.since.Load()))", "return origin.Round(0).Add(time.Duration(i.since.Load()))"}}, flapping, 0.5},
	{"a start that is held up on its way is left to the kernel", "left", []edit{{"internal/back/pool.go", "	c.willReset()\n	p.drop(c)", "	p.drop(c)"}}, heldUp, 0.5},
	{"a lost connection ends an execution", "one at a time", []edit{{"internal/back/back.go", "forgets   = 2 * time.Second ", "forgets   = 2 * time.Millisecond "}}, []lab.Fault{{Kind: "crawl", At: 1, For: 6, Engines: allEngines, Amount: 8}, {Kind: "deaf", At: 2, For: 4, Engines: []int{0, 1, 2, 3}}, {Kind: "reset", At: 2.2, Routers: allRouters, Engines: []int{0, 1, 2, 3}}, {Kind: "reset", At: 3, Routers: allRouters, Engines: []int{0, 1, 2, 3}}}, 0.7},
	{"drains are not heeded", "drains", []edit{{module, "case !e.Listed, e.State != decision.Ready: // drains, stricter than their grace", "case false:"}}, drained, 0.5},
	{"what is gone is kept on the list", "drains", []edit{{module, "e.Entry, e.Listed = entry, entry.State != decision.Gone", "e.Entry, e.Listed = entry, true\n\t\te.State = decision.Ready"}}, drained, 0.5},
	{"a cold engine counts as warm", "cold", []edit{{module, "return e.StartedAt > 0 && m.now < e.StartedAt+m.rules.WarmAfter+coldMargin && m.rules.ColdWindow > 0", "return false && e.StartedAt > 0"}, roomy}, lostMost, 1.2},
	{"a cold engine's budget is not kept", "cold", []edit{{module, "func (m *Module) coldLeft(s *statement, e *engine) bool {\n", "func (m *Module) coldLeft(s *statement, e *engine) bool {\n	if s != nil {\n		return true\n	}\n"}, roomy}, lostMost, 1.2},
	{"every note is taken for a bad plan", "harm", []edit{{module, "elapsed+left > badPlan*max(run, 0.5) && left > 2*run", "elapsed+left > badPlan*0 && left > 0*run"}}, crawling, 0.8},
	{"no connection is kept", "harm", []edit{{"internal/back/pool.go", "func (p *pool) put(c *conn) {\n", "func (p *pool) put(c *conn) {\n	p.drop(c)\n	if c != nil {\n		return\n	}\n"}}, nil, 0.5},
	{"a left engine is never tried again", "back", []edit{{module, "e.Left, e.Backoff = true, min(max(backoffFirst, e.Backoff*2), backoffMost)", "e.Left, e.Backoff = true, time.Hour"}}, []lab.Fault{{Kind: "cut", At: 2, For: 3, Routers: allRouters, Engines: []int{0, 1, 2, 3, 4, 5}}}, 0.6},
	{"a control feed that stops is not given up", "back", []edit{{"internal/feed/feed.go", "silence    = 2500 * time.Millisecond", "silence    = 2500 * time.Second"}}, append([]lab.Fault{{Kind: "feed", At: 1.5, For: 3, Routers: allRouters}}, lost...), 0.6},
}

type mutantsCmd struct {
	common
	Only  []string `help:"Only those whose names hold one of these words."`
	Times int      `default:"3" help:"Plays of each until an auditor finds it."`
}

// Run builds each mutant and plays it until the auditor that has to find it does. It has to be called in the project's folder.
func (c *mutantsCmd) Run() error {
	ctx, cancel := interrupted()
	defer cancel()
	missed := 0
	for _, m := range mutants {
		if len(c.Only) > 0 && !slices.ContainsFunc(c.Only, func(w string) bool { return strings.Contains(m.name, w) }) {
			continue
		}
		program, drop, err := m.build()
		if err != nil {
			return err
		}
		found := ""
		for i := range c.Times {
			s := &lab.Schedule{Name: m.name, Seed: uint64(i + 1), Routers: 9, Engines: 8, Seconds: 12, Load: m.load, Tries: 2, Busiest: 1, Faults: m.faults}
			if m.auditor == "one at a time" || m.auditor == "left" {
				s.Work, s.Patience, s.Leavers = mutantWork, mutantPatience, 0.2
			}
			o, err := c.play(ctx, program, "mutant", s)
			if err != nil {
				drop()
				return err
			}
			for _, b := range o.Breaches {
				if b.Auditor == m.auditor && found == "" {
					found = fmt.Sprintf("seed %d, at %v: %s", s.Seed, b.At, b.Text)
				}
			}
			if found != "" {
				break
			}
		}
		drop()
		if found == "" {
			missed++
			found = "not found"
		}
		fmt.Printf("| %s | %s | %s |\n", m.name, m.auditor, found)
	}
	if missed > 0 {
		return fmt.Errorf("%d mutants were not found", missed)
	}
	return nil
}

// build builds the router with the guard taken off.
func (m mutant) build() (path string, drop func(), err error) {
	return mutate(m.name, "./cmd/bankledge", m.edits)
}

// mutate builds a program with a guard taken off; the source stays as it is.
func mutate(name, program string, edits []edit) (path string, drop func(), err error) {
	dir, err := os.MkdirTemp("", "bankledge-lab")
	if err != nil {
		return "", nil, err
	}
	drop = func() { os.RemoveAll(dir) }
	defer func() {
		if err != nil {
			drop()
		}
	}()
	texts, replaced := map[string]string{}, map[string]string{}
	for _, e := range edits {
		if texts[e.file] == "" {
			text, err := os.ReadFile(e.file)
			if err != nil {
				return "", nil, err
			}
			texts[e.file] = string(text)
		}
		if n := strings.Count(texts[e.file], e.old); n != 1 {
			return "", nil, fmt.Errorf("%s: the guard stands %d times in %s", name, n, e.file)
		}
		texts[e.file] = strings.Replace(texts[e.file], e.old, e.new, 1)
	}
	for file, text := range texts {
		here, err := filepath.Abs(file)
		if err != nil {
			return "", nil, err
		}
		replaced[here] = filepath.Join(dir, strings.ReplaceAll(file, "/", "-"))
		if err := os.WriteFile(replaced[here], []byte(text), 0o600); err != nil {
			return "", nil, err
		}
	}
	list, err := json.Marshal(map[string]any{"Replace": replaced})
	if err != nil {
		return "", nil, err
	}
	overlay := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlay, list, 0o600); err != nil {
		return "", nil, err
	}
	path = filepath.Join(dir, "bankledge")
	if out, err := exec.Command("go", "build", "-overlay", overlay, "-o", path, program).CombinedOutput(); err != nil {
		return "", nil, fmt.Errorf("%s does not build: %s", name, strings.TrimSpace(string(out)))
	}
	return path, drop, nil
}

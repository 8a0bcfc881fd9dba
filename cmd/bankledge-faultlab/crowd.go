package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"bankledge/internal/faultlab"
)

// crowd measures the control service.
type crowd struct {
	Control string        `help:"The control service's program; built from the folder that this is called in if empty." type:"path"`
	Members int           `default:"3" help:"Processes of the group."`
	Routers int           `default:"300" help:"Router sides."`
	Seconds float64       `default:"8" help:"Length of each part."`
	Every   time.Duration `default:"1s" help:"Between two versions."`
	JSON    bool          `help:"Write the figures as JSON."`
}

// Run measures once.
func (c *crowd) Run() error {
	dir, err := os.MkdirTemp("", "bankledge-faultlab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program := c.Control
	if program == "" {
		program = filepath.Join(dir, "bankledge-control")
		if out, err := exec.Command("go", "build", "-o", program, "./cmd/bankledge-control").CombinedOutput(); err != nil {
			return fmt.Errorf("the control service does not build: %s", strings.TrimSpace(string(out)))
		}
	}
	ctx, cancel := interrupted()
	defer cancel()
	f, err := faultlab.ControlBenchmark{Program: program, Members: c.Members, Routers: c.Routers, Seconds: c.Seconds, VersionInterval: c.Every, Dir: dir}.Run(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(f)
	}
	fmt.Printf("%d routers, a group of %d, %d versions\n", f.Routers, c.Members, f.Versions)
	fmt.Printf("from propose to its number: p50 %v, p99 %v\n", f.CommitP50, f.CommitP99)
	fmt.Printf("until a router acts on it in force: p50 %v, p99 %v; until the last one does: p50 %v, p99 %v\n", f.ApplyP50, f.ApplyP99, f.ConvergeP50, f.ConvergeP99)
	fmt.Printf("the leader takes %.3f of a core idle, %.3f with a version each %v; %.0f MB resident\n", f.IdleCPU, f.BusyCPU, c.Every, f.ResidentMB)
	fmt.Printf("bytes a second and router, read and written by the group's calls: %.0f idle, %.0f with versions\n", f.IdleBytes, f.BusyBytes)
	fmt.Printf("leader killed: no proposal for %v, %.2f of the routers had a term then\n", f.Outage.Round(time.Millisecond), f.LeasedDuringOutage)
	fmt.Printf("all processes killed and started again once no router had a term: all have one %v later\n", f.RecoveryTime.Round(time.Millisecond))
	return nil
}

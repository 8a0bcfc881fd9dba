package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"bankledge/internal/faultlab"
)

// controlBenchmarkCmd measures the control service with real processes of the service, and the client sides of many routers in this process.
type controlBenchmarkCmd struct {
	Control string        `help:"Path of the control service program. If empty, it is built from the sources in the working directory." type:"path"`
	Members int           `default:"3" help:"Number of processes in the control group."`
	Routers int           `default:"300" help:"Number of router clients, which run in this process."`
	Seconds float64       `default:"8" help:"Duration of each part, in seconds."`
	Every   time.Duration `default:"1s" help:"Interval between two versions."`
	JSON    bool          `help:"Print the metrics as JSON."`
}

// Run runs the benchmark once and prints its results.
func (c *controlBenchmarkCmd) Run() error {
	dir, removeDir, err := tempDir()
	if err != nil {
		return err
	}
	defer removeDir()
	program, removeProgram, err := buildControl(c.Control)
	if err != nil {
		return err
	}
	defer removeProgram()
	ctx, cancel := interruptContext()
	defer cancel()
	benchmark := faultlab.ControlBenchmark{
		Program:         program,
		Members:         c.Members,
		Routers:         c.Routers,
		Seconds:         c.Seconds,
		VersionInterval: c.Every,
		Dir:             dir,
	}
	m, err := benchmark.Run(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(m)
	}
	c.print(m)
	return nil
}

func (c *controlBenchmarkCmd) print(m faultlab.ControlMetrics) {
	fmt.Printf("%d routers, a control group of %d processes, %d versions\n", m.Routers, c.Members, m.Versions)
	fmt.Printf("from proposal to commit: p50 %v, p99 %v\n", m.CommitP50, m.CommitP99)
	fmt.Printf("from proposal until a router applies the activated version: p50 %v, p99 %v; until the last router does: p50 %v, p99 %v\n", m.ApplyP50, m.ApplyP99, m.ConvergeP50, m.ConvergeP99)
	fmt.Printf("CPU of the leader: %.3f cores idle, %.3f cores with one version every %v; %.0f MB resident\n", m.IdleCPU, m.BusyCPU, c.Every, m.ResidentMB)
	fmt.Printf("bytes per second and router that the group reads and writes: %.0f idle, %.0f with versions\n", m.IdleBytes, m.BusyBytes)
	fmt.Printf("leader killed: no proposal accepted for %v, %.2f of the routers held a lease then\n", m.Outage.Round(time.Millisecond), m.LeasedDuringOutage)
	fmt.Printf("all processes killed and restarted once no router held a lease: all routers held one %v later\n", m.RecoveryTime.Round(time.Millisecond))
}

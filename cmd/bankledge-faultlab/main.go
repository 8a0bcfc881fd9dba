// Command bankledge-faultlab starts many processes of the real router on loopback, injects faults into the processes and the links between
// them, and checks the recorded history for violations.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"bankledge/internal/faultlab"
)

// commands are the commands of the program; each command has the name of its field.
type commands struct {
	Run     runCmd              `cmd:"" help:"Run scenarios that are generated from seeds, and audit each run."`
	Soak    soakCmd             `cmd:"" help:"Run scenarios with many overlapping faults, including host and clock faults, and audit each run."`
	Replay  replayCmd           `cmd:"" help:"Run a scenario from a file, and audit each run."`
	Shrink  shrinkCmd           `cmd:"" help:"Reduce a failing scenario to a minimal one, and save it to a file for the replay command."`
	Compare compareCmd          `cmd:"" help:"Run each scenario with two or more builds of the router in turn."`
	Mutants mutantsCmd          `cmd:"" help:"Remove one guard from the router at a time, and check that an auditor detects each mutant."`
	Terms   termsCmd            `cmd:"" help:"Run simulations of the control group and the routers' leases under a simulated clock."`
	Group   groupCmd            `cmd:"" help:"Run scenarios with faults of the control group, with real processes."`
	Crowd   controlBenchmarkCmd `cmd:"" help:"Benchmark the control service with real processes and the client sides of many routers."`
	Kinds   kindsCmd            `cmd:"" help:"List the kinds of faults and the auditors."`
}

// errViolations makes the program exit with status 1. A command returns it after it has printed all results.
var errViolations = errors.New("the auditors found the violations that are listed above")

// interruptContext returns a context that is cancelled when the program receives SIGINT or SIGTERM.
func interruptContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// kindsCmd lists the kinds of faults of a scenario, and the auditors that check a run.
type kindsCmd struct{}

// Run prints both lists.
func (kindsCmd) Run() error {
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
	parsed := kong.Parse(&commands{}, kong.Name("bankledge-faultlab"), kong.Description("Run fault-injection scenarios with many processes of the router."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bankledge-faultlab:", err)
		os.Exit(1)
	}
}

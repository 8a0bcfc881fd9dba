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
	Run     runCmd              `cmd:"" help:"Play schedules drawn from seeds, and audit each."`
	Soak    soakCmd             `cmd:"" help:"Play schedules of many overlapping faults, of hosts and clocks too, and audit each."`
	Replay  replayCmd           `cmd:"" help:"Play a schedule from a file, and audit it."`
	Shrink  shrinkCmd           `cmd:"" help:"Cut a schedule that fails down to its least, and keep it as a file that replays."`
	Compare compareCmd          `cmd:"" help:"Play the same schedules with two or more builds of the router, in turn."`
	Mutants mutantsCmd          `cmd:"" help:"Take one guard off the router at a time, and see that an auditor finds it."`
	Terms   termsCmd            `cmd:"" help:"Play the control group and the routers' terms under a simulated clock, many schedules."`
	Group   groupCmd            `cmd:"" help:"Play schedules of a control group's troubles with real processes."`
	Crowd   controlBenchmarkCmd `cmd:"" help:"Measure the control service with real processes and many router sides."`
	Kinds   kindsCmd            `cmd:"" help:"List the kinds of faults, and the auditors."`
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
	parsed := kong.Parse(&commands{}, kong.Name("bankledge-faultlab"), kong.Description("Runs fault-injection experiments with many processes of the router."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bankledge-faultlab:", err)
		os.Exit(1)
	}
}

// Command bankledge-faultlab starts many processes of the real router on loopback, injects faults into what is between them, and audits
// what came of it.
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

// commands are the program's; the names of the fields are those of the commands.
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

// errViolations has the program end with 1 after it has printed all there is to print.
var errViolations = errors.New("rules were broken: see above")

// interrupted returns a context that is done when the program receives SIGINT or SIGTERM.
func interrupted() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// kindsCmd lists what a schedule can hold and who judges it.
type kindsCmd struct{}

// Run lists what there is.
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
	parsed := kong.Parse(&commands{}, kong.Name("bankledge-faultlab"), kong.Description("Experiments with many processes of the router."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bankledge-faultlab:", err)
		os.Exit(1)
	}
}

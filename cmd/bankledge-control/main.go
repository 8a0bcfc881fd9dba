// Bankledge-control is the control service: a group of one, three or five processes that holds numbered versions of the rules and
// lists on which routers agree within a stated time.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bankledge/internal/controlserver"
)

type commands struct {
	Serve    serve    `cmd:"" help:"Serve as one process of the group, until SIGTERM."`
	Check    check    `cmd:"" help:"Check settings, and print T: how long two routers can act on contradicting rules."`
	Propose  propose  `cmd:"" help:"Propose a version from a file of rules, Jsonnet or JSON."`
	Rollback rollback `cmd:"" help:"Propose the rules of an earlier version again."`
	Diff     diff     `cmd:"" help:"Say what differs between two versions or files of rules."`
	Log      logCmd   `cmd:"" help:"List the versions."`
	Status   status   `cmd:"" help:"Say how the group and its routers are."`
	Members  members  `cmd:"" help:"List, add or remove processes of the group."`
	Router   router   `cmd:"" help:"Write a router's control file from its template, checked."`
}

type serve struct {
	Settings string        `arg:"" optional:"" help:"Settings, Jsonnet or JSON. None: one process alone, in the folder bankledge-control."`
	Level    zapcore.Level `env:"LB_LOG_LEVEL" default:"info" help:"Lowest level of the log lines: debug, info, warn, error."`
}

// Run serves until SIGTERM or an interrupt; it ends with an error when the disk fails.
func (s *serve) Run() error {
	settings, err := controlserver.LoadSettings(s.Settings)
	if err != nil {
		return err
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.Lock(os.Stderr), s.Level))
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	server, err := controlserver.New(settings, log)
	if err != nil {
		return err
	}
	return server.Run(ctx)
}

type check struct {
	Settings string `arg:"" help:"Settings, Jsonnet or JSON."`
}

// Run prints what follows from the settings.
func (c *check) Run() error {
	s, err := controlserver.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	spans := s.LeaseDurations()
	fmt.Printf("%s: fit to serve as process %d of %d, for routers on %s\n", c.Settings, s.ID, len(s.Members), s.ClientAddress)
	fmt.Printf("T = %v: no two routers act on contradicting rules for longer, whatever fails\n", spans.MaxContradiction())
	fmt.Printf("  term %v + longest batch %v + longest pause that a router cannot see %v\n", spans.LeaseDuration, spans.MaxBatch, spans.MaxPause)
	fmt.Printf("  clocks may drift by %v: a router holds a term for %v of its clock, the group owes it %v of its own\n", spans.MaxClockDrift, spans.ClientLease(), spans.CoordinatorLease())
	fmt.Printf("a version is in force everywhere within %v of its commit, if no leader changes meanwhile\n", spans.MaxActivation().Round(time.Millisecond))
	fmt.Printf("the group goes on while %d of %d processes live\n", len(s.Members)/2+1, len(s.Members))
	return nil
}

func main() {
	parsed := kong.Parse(&commands{}, kong.Name("bankledge-control"), kong.Description("Rules and lists on which routers agree within a stated time."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bankledge-control:", err)
		os.Exit(1)
	}
}

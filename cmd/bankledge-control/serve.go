package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"bankledge/internal/controlserver"
)

type serveCommand struct {
	Settings string        `arg:"" optional:"" help:"Settings file, Jsonnet or JSON. If omitted, the process is a group of one with the data directory bankledge-control."`
	Level    zapcore.Level `env:"LB_LOG_LEVEL" default:"info" help:"Minimum level of log lines: debug, info, warn or error."`
}

// Run serves until the process receives SIGTERM or an interrupt. It returns an error if the storage fails.
func (c *serveCommand) Run(ctx context.Context) error {
	settings, err := controlserver.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer cancel()
	signal.Ignore(syscall.SIGHUP, syscall.SIGPIPE)
	server, err := controlserver.New(settings, newLogger(c.Level))
	if err != nil {
		return err
	}
	return server.Run(ctx)
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level zapcore.Level) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoding), zapcore.Lock(os.Stderr), level))
}

type checkCommand struct {
	Settings string `arg:"" help:"Settings file, Jsonnet or JSON."`
}

// Run validates the settings and prints the bounds that they imply.
func (c *checkCommand) Run() error {
	settings, err := controlserver.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	durations := settings.LeaseDurations()
	members := len(settings.Members)
	quorum := members/2 + 1
	fmt.Printf("%s: fit to serve as process %d of %d, for routers on %s\n", c.Settings, settings.ID, members, settings.ClientAddress)
	fmt.Printf("T = %v: no two routers act on contradicting rules for longer, whatever fails\n", durations.MaxContradiction())
	fmt.Printf("  term %v + longest batch %v + longest pause that a router does not detect %v\n", durations.LeaseDuration, durations.MaxBatch, durations.MaxPause)
	fmt.Printf("  clocks may drift by %v: a term lasts %v on the router's clock and %v on the group's clock\n",
		durations.MaxClockDrift, durations.ClientLease(), durations.CoordinatorLease())
	fmt.Printf("a version is in force everywhere within %v of its commit, if no leader changes meanwhile\n", durations.MaxActivation().Round(time.Millisecond))
	fmt.Printf("the group stays available while %d of %d processes run\n", quorum, members)
	return nil
}

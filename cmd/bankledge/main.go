// Bankledge is a query gateway: it decides what runs, on which engine, when, and with how much memory.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap/zapcore"

	"bankledge/internal/controlclient"
	"bankledge/internal/proxy"
	"bankledge/internal/settings"
)

type commands struct {
	Serve   serve   `cmd:"" help:"Serve clients until SIGTERM."`
	Explain explain `cmd:"" help:"Say what statements look like, and what they are held to be."`
	Check   check   `cmd:"" help:"Check a configuration and say what is wrong with it."`
	Version version `cmd:"" help:"Print the version."`
}

type serve struct {
	Config  string        `env:"LB_CONFIG" required:"" help:"Configuration, a JSON file."`
	Listen  string        `env:"LB_LISTEN" help:"Address for clients; the configuration's if empty."`
	Name    string        `env:"LB_NAME" help:"The router's name; the configuration's if empty."`
	Looks   string        `env:"LB_LOOKS" enum:"on,off" default:"on" help:"Hold statements to be what they look like and have shown (on), or as their clients declare them (off)."`
	Control string        `env:"LB_CONTROL" help:"The operator's own file that names a control group; none: there is no group."`
	Level   zapcore.Level `env:"LB_LOG_LEVEL" default:"info" help:"Lowest level of the log lines: debug, info, warn, error."`
}

// Run serves until SIGTERM or an interrupt. SIGHUP has it read the configuration again, at any time.
func (s *serve) Run() error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	signal.Ignore(syscall.SIGPIPE)
	cfg, err := s.load()
	if err != nil {
		return err
	}
	log, flush := newLog(s.Level)
	defer flush()
	g := proxy.New(cfg, log)
	if s.Control != "" {
		file, err := controlclient.LoadConfig(s.Control)
		if err != nil {
			return err
		}
		g.JoinControlGroup(file)
	}
	return g.Run(stop, reload, s.load)
}

// load reads the configuration, with what the command line or the environment says in its place.
func (s *serve) load() (*settings.Config, error) {
	cfg, err := settings.Load(s.Config)
	if err != nil {
		return nil, err
	}
	if s.Listen != "" {
		if err := settings.ValidateAddress(s.Listen); err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		cfg.ListenAddress = s.Listen
	}
	if s.Name != "" {
		cfg.Name = s.Name
	}
	cfg.ClassificationDisabled = s.Looks == "off"
	return cfg, proxy.ValidateConfig(cfg)
}

type check struct {
	File string `arg:"" help:"Configuration, a JSON file."`
}

// Run tells whether a configuration can be served.
func (c *check) Run() error {
	cfg, err := settings.Load(c.File)
	if err == nil {
		err = proxy.ValidateConfig(cfg)
	}
	if err != nil {
		return err
	}
	fmt.Printf("%s: fit to serve %s on %s\n", c.File, cfg.Name, cfg.ListenAddress)
	return nil
}

type version struct{}

// Run prints the version that the build recorded.
func (version) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the build recorded no version")
	}
	fmt.Println("bankledge", info.Main.Version, info.GoVersion)
	return nil
}

func main() {
	parsed := kong.Parse(&commands{}, kong.Name("bankledge"), kong.Description("A query gateway."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bankledge:", err)
		os.Exit(1)
	}
}

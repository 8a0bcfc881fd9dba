package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap/zapcore"

	"bankledge/internal/controlclient"
	"bankledge/internal/proxy"
	"bankledge/internal/settings"
)

type serveCommand struct {
	Config         string        `env:"LB_CONFIG" required:"" help:"Configuration file, JSON."`
	Listen         string        `env:"LB_LISTEN" help:"Address to listen on for clients. Overrides the configuration unless empty."`
	Name           string        `env:"LB_NAME" help:"Name of the router. Overrides the configuration unless empty."`
	Classification string        `name:"looks" env:"LB_LOOKS" enum:"on,off" default:"on" help:"Classify requests by their text and by earlier runs (on), or treat them as their clients declare them (off)."`
	Control        string        `env:"LB_CONTROL" help:"Control file, JSON, of the control group that the router joins. If empty, the router joins no group."`
	Level          zapcore.Level `env:"LB_LOG_LEVEL" default:"info" help:"Minimum level of log lines: debug, info, warn or error."`
}

// Run serves clients until SIGTERM or an interrupt starts a graceful shutdown. SIGHUP reloads the configuration and never ends the process,
// whether it arrives before the router is ready or during a shutdown.
func (s *serveCommand) Run() error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	signal.Ignore(syscall.SIGPIPE)
	cfg, err := s.loadConfig()
	if err != nil {
		return err
	}
	log, flush := newLog(s.Level)
	defer flush()
	router := proxy.New(cfg, log)
	if s.Control != "" {
		file, err := controlclient.LoadConfig(s.Control)
		if err != nil {
			return err
		}
		router.FollowControlGroup(file)
	}
	return router.Run(stop, reload, s.loadConfig)
}

// loadConfig reads the configuration file and overrides it with the values of flags and environment variables.
func (s *serveCommand) loadConfig() (*settings.Config, error) {
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
	cfg.ClassificationDisabled = s.Classification == "off"
	return cfg, proxy.ValidateConfig(cfg)
}

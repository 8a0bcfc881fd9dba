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
	Config         string        `env:"LB_CONFIG" required:"" help:"Configuration, a JSON file."`
	Listen         string        `env:"LB_LISTEN" help:"Address for clients; the configuration's if empty."`
	Name           string        `env:"LB_NAME" help:"The router's name; the configuration's if empty."`
	Classification string        `name:"looks" env:"LB_LOOKS" enum:"on,off" default:"on" help:"Treat requests as their text and earlier runs suggest (on), or as their clients declare them (off)."`
	Control        string        `env:"LB_CONTROL" help:"The operator's own file that names a control group; none: there is no group."`
	Level          zapcore.Level `env:"LB_LOG_LEVEL" default:"info" help:"Lowest level of the log lines: debug, info, warn, error."`
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

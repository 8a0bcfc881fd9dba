package main

import (
	"encoding/json"
	"fmt"

	"bankledge/internal/controlclient"
	"bankledge/internal/controlserver"
)

type routerConfigCommand struct {
	Template string `arg:"" help:"Template of the control file, Jsonnet (for example deploy/control.jsonnet)."`
}

// Run evaluates and validates the template and prints the control file that a router reads. Routers read JSON only, so that they need not
// evaluate templates.
func (c *routerConfigCommand) Run() error {
	var config controlclient.Config
	if err := controlserver.EvaluateJsonnet(c.Template, &config); err != nil {
		return fmt.Errorf("%s: %w", c.Template, err)
	}
	if err := config.Validate(); err != nil {
		return fmt.Errorf("%s: %w", c.Template, err)
	}
	raw, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return err
	}
	fmt.Println(string(raw))
	return nil
}

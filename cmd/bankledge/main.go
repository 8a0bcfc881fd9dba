// Bankledge is a query gateway: a router that accepts SQL statements from clients and decides which of them run, on which engine, when, and
// with how much memory.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"bankledge/internal/proxy"
	"bankledge/internal/settings"
)

// commands is the command line: kong derives the names of commands, arguments and flags from the fields.
type commands struct {
	Serve   serveCommand   `cmd:"" help:"Serve clients until SIGTERM or SIGINT."`
	Explain explainCommand `cmd:"" help:"Print how statements are classified."`
	Check   checkCommand   `cmd:"" help:"Validate a configuration file and print the result."`
	Version versionCommand `cmd:"" help:"Print the version."`
}

type checkCommand struct {
	File string `arg:"" help:"Configuration file, JSON."`
}

// Run validates a configuration file and prints the router name and the address in it. The error names the field that is wrong.
func (c *checkCommand) Run() error {
	cfg, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	if err := proxy.ValidateConfig(cfg); err != nil {
		return err
	}
	fmt.Printf("%s: fit to serve %s on %s\n", c.File, cfg.Name, cfg.ListenAddress)
	return nil
}

type versionCommand struct{}

// Run prints the module version and the Go version from the binary's build information.
func (versionCommand) Run() error {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return errors.New("the binary contains no build information")
	}
	fmt.Println("bankledge", info.Main.Version, info.GoVersion)
	return nil
}

func main() {
	parsed := kong.Parse(&commands{}, kong.Name("bankledge"), kong.Description("Query gateway that runs the SQL statements of clients on engines."))
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bankledge:", err)
		os.Exit(1)
	}
}

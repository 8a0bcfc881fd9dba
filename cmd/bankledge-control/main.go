// Bankledge-control is the control service. Its serve command runs one process of a group of one, three or five, which replicates numbered
// versions of the rules and engine lists and bounds the time for which two routers can act on contradicting versions. The other commands
// are for operators.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// commands defines the command line. Kong derives the names of commands, arguments and flags from the field names.
type commands struct {
	Serve    serveCommand        `cmd:"" help:"Serve as one process of the group, until SIGTERM."`
	Check    checkCommand        `cmd:"" help:"Check settings, and print T: how long two routers can act on contradicting rules."`
	Propose  proposeCommand      `cmd:"" help:"Propose a version from a file of rules, Jsonnet or JSON."`
	Rollback rollbackCommand     `cmd:"" help:"Propose the rules of an earlier version again."`
	Diff     diffCommand         `cmd:"" help:"Say what differs between two versions or files of rules."`
	Log      logCommand          `cmd:"" help:"List the versions."`
	Status   statusCommand       `cmd:"" help:"Say how the group and its routers are."`
	Members  membersCommand      `cmd:"" help:"List, add or remove processes of the group."`
	Router   routerConfigCommand `cmd:"" help:"Write a router's control file from its template, checked."`
}

func main() {
	parsed := kong.Parse(&commands{},
		kong.Name("bankledge-control"),
		kong.Description("Control service: versions of the rules and engine lists that routers apply."),
		kong.BindTo(context.Background(), (*context.Context)(nil)))
	if err := parsed.Run(); err != nil {
		printError(err)
		os.Exit(1)
	}
}

func printError(err error) {
	fmt.Fprintln(os.Stderr, "bankledge-control:", err)
}

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
	Serve    serveCommand        `cmd:"" help:"Run one process of the control group until SIGTERM or SIGINT."`
	Check    checkCommand        `cmd:"" help:"Validate settings and print T, the longest time for which two routers can act on contradicting rules."`
	Propose  proposeCommand      `cmd:"" help:"Propose the rules of a file as a new version."`
	Rollback rollbackCommand     `cmd:"" help:"Propose the rules of an earlier version as a new version."`
	Diff     diffCommand         `cmd:"" help:"Print the differences between two versions or files of rules."`
	Log      logCommand          `cmd:"" help:"List the versions that the group stores."`
	Status   statusCommand       `cmd:"" help:"Print the status of the group and its routers."`
	Members  membersCommand      `cmd:"" help:"List, add or remove processes of the group."`
	Router   routerConfigCommand `cmd:"" help:"Evaluate and validate a template and print the router's control file."`
}

func main() {
	parsed := kong.Parse(&commands{},
		kong.Name("bankledge-control"),
		kong.Description("Control service: replicates the rules and engine lists that routers apply."),
		kong.BindTo(context.Background(), (*context.Context)(nil)))
	if err := parsed.Run(); err != nil {
		printError(err)
		os.Exit(1)
	}
}

func printError(err error) {
	fmt.Fprintln(os.Stderr, "bankledge-control:", err)
}

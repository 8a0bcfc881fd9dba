// Bankledge-control is the control service: a group of one, three or five processes that replicates numbered versions of the rules and
// engine lists, so that no two routers act on contradicting ones for longer than a stated time. The other commands are for operators.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// commands is the command line: kong takes the names of commands, arguments and flags from the fields.
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
		kong.Description("Rules and lists on which routers agree within a stated time."),
		kong.BindTo(context.Background(), (*context.Context)(nil)))
	if err := parsed.Run(); err != nil {
		printError(err)
		os.Exit(1)
	}
}

func printError(err error) {
	fmt.Fprintln(os.Stderr, "bankledge-control:", err)
}

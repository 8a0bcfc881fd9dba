package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"bankledge/internal/controlapi"
	"bankledge/internal/lease"
)

// watchInterval is the time between two polls of status --watch.
const watchInterval = time.Second

type statusCommand struct {
	groupFlags
	Watch bool `help:"Print the status every second until stopped."`
	JSON  bool `help:"Print the status as JSON, one object per line."`
}

// Run prints the status of the group, with --watch each second until the command is stopped. With --watch it prints errors and continues.
func (c *statusCommand) Run(ctx context.Context) error {
	if !c.Watch {
		return c.print(ctx)
	}
	for {
		status, err := c.client().Status(ctx)
		if err != nil {
			printError(err)
		} else if err := c.write(status); err != nil {
			return err
		}
		time.Sleep(watchInterval)
	}
}

func (c *statusCommand) print(ctx context.Context) error {
	status, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	return c.write(status)
}

func (c *statusCommand) write(status *controlapi.Status) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(status)
	}
	writeStatus(status)
	return nil
}

func newTable() *tabwriter.Writer { return tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0) }

// writeStatus prints a status: a table of the group's processes and, on the leader, a table of the routers.
func writeStatus(status *controlapi.Status) {
	table := newTable()
	defer table.Flush()
	if !status.IsLeader {
		fmt.Fprintf(table, "NO LEADER: %s. Versions can't change; routers without a term apply the stricter of the versions they know.\n", status.Error)
	}
	fmt.Fprintf(table, "lineage %s\tnewest version %d\tin force %d\tT %v\n", status.Lineage, status.NewestVersion, status.Activated, milliseconds(status.MaxContradictionMillis))
	writeMembers(table, status)
	if !status.IsLeader {
		return
	}
	fmt.Fprintln(table, "router\tversion\tterm\tsince renewal\tlast message")
	for _, session := range status.Sessions {
		writeSession(table, session)
	}
}

func writeMembers(table io.Writer, status *controlapi.Status) {
	fmt.Fprintln(table, "process\tpeer\tclient\tvotes\tleads")
	for _, id := range slices.Sorted(maps.Keys(status.Members)) {
		member := status.Members[id]
		leads := status.IsLeader && id == status.Leader
		fmt.Fprintf(table, "%d\t%s\t%s\t%v\t%v\n", id, member.Peer, member.Client, member.Voter, leads)
	}
}

func writeSession(table io.Writer, session lease.Session) {
	term := "none: applies the stricter rules"
	if session.RemainingMillis > 0 {
		term = milliseconds(session.RemainingMillis).String()
	}
	message := session.LastMessage
	if session.DuplicateName {
		message = strings.TrimSpace("ANOTHER PROCESS HAS THIS NAME. " + message)
	}
	fmt.Fprintf(table, "%s\t%d\t%s\t%v\t%s\n", session.Name, session.KnownVersion, term, milliseconds(session.MillisSinceRenewal), message)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

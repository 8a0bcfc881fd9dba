package main

import (
	"context"
	"encoding/json"
	"os"

	"bankledge/internal/controlapi"
)

type membersCommand struct {
	List   listMembersCommand  `cmd:"" help:"List the processes of the group."`
	Add    addMemberCommand    `cmd:"" help:"Add a process as a learner; it becomes a voter once it has caught up."`
	Remove removeMemberCommand `cmd:"" help:"Remove a process from the group."`
}

type listMembersCommand struct {
	groupFlags
	JSON bool `help:"Print the processes as JSON."`
}

// Run lists the processes of the group.
func (c *listMembersCommand) Run(ctx context.Context) error {
	status, err := c.client().Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(status.Members)
	}
	status.Sessions = nil
	writeStatus(status)
	return nil
}

type addMemberCommand struct {
	groupFlags
	ID     uint64 `arg:"" help:"Id of the new process, never used in this group before."`
	Peer   string `arg:"" help:"Address at which the process serves the other processes."`
	Client string `arg:"" help:"Address at which the process serves routers and operators."`
}

// Run adds a process to the group.
func (c *addMemberCommand) Run(ctx context.Context) error {
	member := controlapi.Member{Peer: c.Peer, Client: c.Client}
	return c.client().ChangeMembership(ctx, controlapi.MembershipChange{MemberID: c.ID, Member: member})
}

type removeMemberCommand struct {
	groupFlags
	ID uint64 `arg:"" help:"Id of the process."`
}

// Run removes a process from the group.
func (c *removeMemberCommand) Run(ctx context.Context) error {
	return c.client().ChangeMembership(ctx, controlapi.MembershipChange{MemberID: c.ID, Remove: true})
}

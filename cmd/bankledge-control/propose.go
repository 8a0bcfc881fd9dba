package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"bankledge/internal/adminclient"
	"bankledge/internal/configregister"
	"bankledge/internal/controlserver"
	"bankledge/internal/rules"
)

// groupFlags are the flags of the commands that send requests to the control group.
type groupFlags struct {
	At     []string      `env:"BANKLEDGE_CONTROL" default:"127.0.0.1:7200" help:"Addresses at which the group's processes serve routers and operators."`
	Within time.Duration `default:"20s" help:"Timeout of each operation, including retries."`
}

func (f *groupFlags) client() *adminclient.Client { return adminclient.New(f.At, f.Within) }

type proposeCommand struct {
	groupFlags
	File  string   `arg:"" help:"File of rules, Jsonnet or JSON."`
	Force []string `help:"Guards to override, by name: all-engines, share-of-engines, kind, placement, nothing-in-between, floor."`
	Note  string   `help:"Reason, shown by the log command."`
	Wait  bool     `help:"Wait until the version is activated."`
	JSON  bool     `help:"Print the outcome as JSON."`
}

// Run proposes the rules of a file as a new version.
func (c *proposeCommand) Run(ctx context.Context) error {
	proposed, err := readRules(c.File)
	if err != nil {
		return err
	}
	entry := configregister.Entry{Kind: configregister.EntryPropose, Rules: proposed.Canonical(), ForcedGuards: c.Force, Note: c.Note}
	return propose(ctx, c.client(), entry, c.Wait, c.JSON)
}

type rollbackCommand struct {
	groupFlags
	Number uint64   `arg:"" help:"Number of the version whose rules are proposed."`
	Force  []string `help:"Guards to override, listed by propose --help."`
	Wait   bool     `help:"Wait until the version is activated."`
	JSON   bool     `help:"Print the outcome as JSON."`
}

// Run proposes the rules of an earlier version as a new version.
func (c *rollbackCommand) Run(ctx context.Context) error {
	note := fmt.Sprintf("rollback to %d", c.Number)
	entry := configregister.Entry{Kind: configregister.EntryRollback, Number: c.Number, ForcedGuards: c.Force, Note: note}
	return propose(ctx, c.client(), entry, c.Wait, c.JSON)
}

// propose sends a proposal with a new id, which makes its retries idempotent, and prints the outcome.
func propose(ctx context.Context, client *adminclient.Client, entry configregister.Entry, wait, asJSON bool) error {
	entry.ID = newProposalID()
	outcome, err := client.Propose(ctx, entry)
	if err != nil {
		return err
	}
	committed := time.Now()
	if wait {
		if err := client.AwaitActivated(ctx, outcome.Number); err != nil {
			return err
		}
	}
	switch {
	case asJSON:
		return json.NewEncoder(os.Stdout).Encode(outcome)
	case wait:
		fmt.Printf("version %d, in force everywhere after %v\n", outcome.Number, time.Since(committed).Round(time.Millisecond))
	default:
		fmt.Printf("version %d\n", outcome.Number)
	}
	return nil
}

func newProposalID() string {
	var id [16]byte
	rand.Read(id[:]) // never fails
	return hex.EncodeToString(id[:])
}

// readRules reads and validates a file of rules in Jsonnet or JSON.
func readRules(path string) (*rules.Rules, error) {
	var raw json.RawMessage
	if err := controlserver.EvaluateJsonnet(path, &raw); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	parsed, err := rules.Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return parsed, nil
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"bankledge/internal/configversion"
	"bankledge/internal/rules"
)

// shownHashLength is the number of leading digits of a version's hash that the list shows.
const shownHashLength = 12

type diffCommand struct {
	groupFlags
	From string `arg:"" name:"a" help:"Old rules: the number of a version or a file, Jsonnet or JSON."`
	To   string `arg:"" name:"b" help:"New rules: the number of a version or a file, Jsonnet or JSON."`
}

// Run prints the fields that differ, and whether each one becomes looser or tighter.
func (c *diffCommand) Run(ctx context.Context) error {
	from, err := c.rules(ctx, c.From)
	if err != nil {
		return err
	}
	to, err := c.rules(ctx, c.To)
	if err != nil {
		return err
	}
	lines := configversion.Diff(from, to)
	if len(lines) == 0 {
		lines = []string{"nothing differs"}
	}
	fmt.Println(strings.Join(lines, "\n"))
	return nil
}

// rules returns the rules of a version if the argument is a number, and otherwise those of the file at that path.
func (c *diffCommand) rules(ctx context.Context, numberOrPath string) (*rules.Rules, error) {
	number, err := strconv.ParseUint(numberOrPath, 10, 64)
	if err != nil {
		return readRules(numberOrPath)
	}
	return c.client().VersionRules(ctx, number)
}

type logCommand struct {
	groupFlags
	JSON bool `help:"Print the versions as JSON."`
}

// Run lists the versions that the group still stores.
func (c *logCommand) Run(ctx context.Context) error {
	list, err := c.client().Versions(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(list)
	}
	table := newTable()
	defer table.Flush()
	fmt.Fprintf(table, "lineage %s\nversion\tin force\thash\tforced\tnote\n", list.Lineage)
	for _, version := range list.Versions {
		fmt.Fprintf(table, "%d\t%v\t%s\t%s\t%s\n", version.Number, version.Number <= list.Activated, version.Hash[:shownHashLength],
			strings.Join(version.ForcedGuards, ","), version.Note)
	}
	return nil
}

package configversion

import (
	"encoding/json"
	"fmt"

	"bankledge/internal/rules"
)

// Values longer than maxShownBytes are cut to shownPrefixBytes in a difference.
const (
	maxShownBytes    = 120
	shownPrefixBytes = 100
)

// Diff describes the change from one set of rules to another for operators: a line for each field that differs, which says whether
// the field becomes looser or tighter.
func Diff(from, to *rules.Rules) []string {
	looser := conflictingNames(to, from)
	tighter := conflictingNames(from, to)
	before := valuesByField(from)
	after := valuesByField(to)
	var lines []string
	for _, field := range rules.Fields() {
		direction := describeDirection(looser[field.Name], tighter[field.Name])
		if direction == "" {
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: %s", field.Name, describeChange(direction, before[field.Name], after[field.Name])))
	}
	return lines
}

func conflictingNames(a, b *rules.Rules) map[string]bool {
	names := map[string]bool{}
	for _, field := range rules.Conflicts(a, b) {
		names[field.Name] = true
	}
	return names
}

// describeDirection returns an empty string where nothing differs.
func describeDirection(looser, tighter bool) string {
	switch {
	case looser && tighter:
		return "looser and tighter"
	case looser:
		return "looser"
	case tighter:
		return "tighter"
	}
	return ""
}

func describeChange(direction string, before, after json.RawMessage) string {
	if string(before) == string(after) { // default quotas follow from the number of routers
		return direction + ", by the number of routers"
	}
	return fmt.Sprintf("%s: %s -> %s", direction, shorten(before), shorten(after))
}

func valuesByField(r *rules.Rules) map[string]json.RawMessage {
	var values map[string]json.RawMessage
	if err := json.Unmarshal(r.Canonical(), &values); err != nil { // the encoder's own output, so this is a programming error
		panic(err)
	}
	return values
}

func shorten(raw []byte) string {
	if len(raw) <= maxShownBytes {
		return string(raw)
	}
	return fmt.Sprintf("%s... (%d bytes)", raw[:shownPrefixBytes], len(raw))
}

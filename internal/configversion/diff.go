package configversion

import (
	"encoding/json"
	"fmt"

	"bankledge/internal/rules"
)

// Diff truncates values longer than maxValueBytes to valuePrefixBytes.
const (
	maxValueBytes    = 120
	valuePrefixBytes = 100
)

// Diff describes the change from one version of the rules to another for operators. It returns one line for each field that differs; the
// line says whether the field becomes looser (permits more), tighter (permits less) or both.
func Diff(from, to *rules.Rules) []string {
	looser := conflictingFieldNames(to, from)
	tighter := conflictingFieldNames(from, to)
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

// conflictingFieldNames returns the names of the fields in which a permits something that b forbids.
func conflictingFieldNames(a, b *rules.Rules) map[string]bool {
	names := map[string]bool{}
	for _, field := range rules.ConflictingFields(a, b) {
		names[field.Name] = true
	}
	return names
}

// describeDirection returns an empty string if the field does not differ.
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
	if string(before) == string(after) { // only the default quotas differ, which depend on the number of routers
		return direction + ", by the number of routers"
	}
	return fmt.Sprintf("%s: %s -> %s", direction, truncate(before), truncate(after))
}

// valuesByField returns the encoded value of each field, by field name.
func valuesByField(r *rules.Rules) map[string]json.RawMessage {
	var values map[string]json.RawMessage
	if err := json.Unmarshal(r.Canonical(), &values); err != nil { // programming error: Canonical returns valid JSON
		panic(err)
	}
	return values
}

func truncate(raw []byte) string {
	if len(raw) <= maxValueBytes {
		return string(raw)
	}
	return fmt.Sprintf("%s... (%d bytes)", raw[:valuePrefixBytes], len(raw))
}

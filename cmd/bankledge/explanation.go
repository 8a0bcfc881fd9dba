package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"bankledge/internal/classify"
	"bankledge/internal/sqltext"
)

// explanation describes how a statement is classified. Unknown values are null.
type explanation struct {
	Declared      *string  `json:"declared"`
	Workload      *string  `json:"workload"`
	Reason        string   `json:"reason"`
	Kind          string   `json:"kind"`
	GroupsRead    []int64  `json:"groups_read"`
	GroupsWritten []int64  `json:"groups_written"`
	LockedGroup   *int64   `json:"holds"`
	Fingerprint   string   `json:"shape"` // 16 hex digits, or empty if the statement has no fingerprint
	Normalized    string   `json:"normal"`
	Joins         int32    `json:"joins"`
	WorkMS        *float64 `json:"work_ms"`
	MemoryMB      *float64 `json:"memory_mb"`
	Confidence    float64  `json:"confidence"`
}

// newExplanation returns what the analysis of a statement's text shows, before the statement is compared with the workloads.
func newExplanation(line *statementLine, analysis *sqltext.Statement, normalized string) *explanation {
	explained := &explanation{
		Declared:      line.Workload,
		Workload:      line.Workload,
		Reason:        classify.ReasonUnknownFingerprint.String(),
		Kind:          analysis.Kind.String(),
		GroupsRead:    append([]int64{}, analysis.GroupsRead.Slice()...), // an empty list, not null
		GroupsWritten: append([]int64{}, analysis.GroupsWritten.Slice()...),
		Normalized:    normalized,
		Joins:         analysis.Joins,
		WorkMS:        line.WorkMS,
		MemoryMB:      line.MemoryMB,
	}
	if analysis.Fingerprint != 0 {
		explained.Fingerprint = fmt.Sprintf("%016x", analysis.Fingerprint)
	}
	if locked := analysis.LockedGroup(); locked != sqltext.NoGroup {
		explained.LockedGroup = &locked
	}
	if analysis.Truncated {
		explained.Reason = classify.ReasonTextTooLarge.String()
	}
	return explained
}

// String returns the explanation as one line of text for operators.
func (e *explanation) String() string {
	locked := "-"
	if e.LockedGroup != nil {
		locked = strconv.FormatInt(*e.LockedGroup, 10)
	}
	return fmt.Sprintf("%s as %s (%s, %.2f)  %s  reads %v writes %v holds %s  %s  %s", orDash(e.Declared), orDash(e.Workload), e.Reason,
		e.Confidence, e.Kind, e.GroupsRead, e.GroupsWritten, locked, e.Fingerprint, e.Normalized)
}

func orDash(text *string) string {
	if text == nil {
		return "-"
	}
	return *text
}

// linePrinter prints one explanation as a line of text or JSON.
type linePrinter func(*explanation) error

func newLinePrinter(out io.Writer, asJSON bool) linePrinter {
	if !asJSON {
		return func(e *explanation) error {
			_, err := fmt.Fprintln(out, e)
			return err
		}
	}
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	return func(e *explanation) error { return encoder.Encode(e) }
}

package configregister

import "encoding/json"

// LogEntry is an entry of the control group's replicated log, which stores it as JSON. Besides the Entry it contains every setting that the
// result depends on: the settings of the processes may differ, and a process may replay the log later with other settings.
type LogEntry struct {
	Entry
	// MaxRemovedShare is configversion.Guards.MaxRemovedShare from the settings of the leader that wrote the entry. It is set in all
	// entries, including the first, and 0 only in entries of earlier program versions, to which Register.Guards apply unchanged.
	MaxRemovedShare float64 `json:"most_gone,omitempty"`
}

// Entry is a change of the register. Requests with proposals have the same encoding.
type Entry struct {
	Kind    string          `json:"kind"`             // one of the constants below
	ID      string          `json:"id,omitempty"`     // EntryPropose, EntryRollback: identifies the proposal; duplicates are applied once
	Lineage string          `json:"name,omitempty"`   // EntryBootstrap: the lineage of the new group
	Number  uint64          `json:"number,omitempty"` // EntryRollback: version to roll back to; EntryActivate: newest version to activate
	Rules   json.RawMessage `json:"rules,omitempty"`  // EntryPropose
	// ForcedGuards are the names of the guards that the author of a proposal overrides.
	ForcedGuards []string `json:"forced,omitempty"`
	Note         string   `json:"note,omitempty"` // the author's reason
}

// Values of Entry.Kind.
const (
	EntryBootstrap = "found"    // bootstraps the group: sets its lineage
	EntryPropose   = "propose"  // proposes a version with new rules
	EntryRollback  = "rollback" // proposes a version with the rules of an earlier one
	EntryActivate  = "settle"   // activates all versions up to Entry.Number
)

// Outcome is the result of a proposal.
type Outcome struct {
	ID     string `json:"id"`              // of the proposal
	Number uint64 `json:"number"`          // of the version that was created, 0 on failure
	Error  string `json:"error,omitempty"` // why no version was created; empty on success
	Code   string `json:"code,omitempty"`  // CodeRolloutInProgress, or empty
}

// CodeRolloutInProgress is the code of an outcome whose proposal may be sent again once the newest version is activated.
const CodeRolloutInProgress = "rollout_in_progress"

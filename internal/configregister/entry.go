package configregister

import "encoding/json"

// LogEntry is what the control group writes to its replicated log, encoded as JSON: an entry with all that its result depends on beside
// the register. A process's own settings may differ from those of the others, and from those with which it replays the log later.
type LogEntry struct {
	Entry
	// MaxRemovedShare is configversion.Guards.MaxRemovedShare as the settings of the leader that wrote the entry have it, from the first
	// entry on. 0 in entries of earlier versions of this program: Register.Guards counts then.
	MaxRemovedShare float64 `json:"most_gone,omitempty"`
}

// Entry is a change of the register. Proposals have this form in requests, too.
type Entry struct {
	Kind    string          `json:"kind"`             // one of the constants below
	ID      string          `json:"id,omitempty"`     // EntryPropose, EntryRollback: identifies the proposal; written twice, it is applied once
	Lineage string          `json:"name,omitempty"`   // EntryFound: the lineage
	Number  uint64          `json:"number,omitempty"` // EntryRollback: the version to return to; EntryActivate: the last activated one
	Rules   json.RawMessage `json:"rules,omitempty"`  // EntryPropose
	// ForcedGuards are the guards that the author of a proposal overrides.
	ForcedGuards []string `json:"forced,omitempty"`
	Note         string   `json:"note,omitempty"` // the author's reason
}

// Values of Entry.Kind.
const (
	EntryFound    = "found"    // founds the group
	EntryPropose  = "propose"  // proposes a version with new rules
	EntryRollback = "rollback" // proposes a version with the rules of an earlier one
	EntryActivate = "settle"   // activates all versions up to a number
)

// Outcome is the result of a proposal.
type Outcome struct {
	ID     string `json:"id"`              // of the proposal
	Number uint64 `json:"number"`          // of the version that was created
	Error  string `json:"error,omitempty"` // why no version was created; empty on success
	Code   string `json:"code,omitempty"`  // CodeRolloutInProgress, or empty
}

// CodeRolloutInProgress is the code of an outcome whose proposal may be repeated once the version before it is activated.
const CodeRolloutInProgress = "rollout_in_progress"

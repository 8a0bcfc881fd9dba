package configregister

import "encoding/json"

// Entry is what the control group writes to its replicated log, encoded as JSON.
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
}

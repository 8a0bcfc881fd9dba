package lease

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"bankledge/internal/configversion"
	"bankledge/internal/rules"
)

// Entry is what the group writes to its log.
type Entry struct {
	Kind         string          `json:"kind"`             // found, propose, rollback or settle
	ID           string          `json:"id,omitempty"`     // of the proposal: one that is written twice counts once
	Lineage      string          `json:"name,omitempty"`   // found: the lineage
	Number       uint64          `json:"number,omitempty"` // rollback: to this one; settle: up to this one
	Rules        json.RawMessage `json:"rules,omitempty"`
	ForcedGuards []string        `json:"forced,omitempty"`
	Note         string          `json:"note,omitempty"`
}

// The kinds of entries.
const (
	EntryFound    = "found"
	EntryPropose  = "propose"
	EntryRollback = "rollback"
	EntryActivate = "settle"
)

// Outcome is what became of a proposal.
type Outcome struct {
	ID     string `json:"id"`
	Number uint64 `json:"number"`          // that it got
	Error  string `json:"error,omitempty"` // why it got none
}

// Register is the group's replicated state: the versions. All processes of the group apply the same entries in the same order and
// so hold the same one.
type Register struct {
	Guards    configversion.Guards     `json:"guards"`
	Lineage   string                   `json:"lineage"`
	Floor     *rules.Rules             `json:"floor"`    // of the first version
	Versions  []*configversion.Version `json:"versions"` // the last ones, oldest first
	Activated uint64                   `json:"settled"`  // all up to this are in force
	Outcomes  []Outcome                `json:"outcomes"` // of the last proposals
}

const mostKept, mostOutcomes = 64, 1024

// ErrSpreading tells that a proposal has to wait: the version before it is not in force yet.
var ErrRolloutInProgress = errors.New("still spreading")

// Newest is the newest version, nil: there is none.
func (g *Register) Newest() *configversion.Version {
	if len(g.Versions) == 0 {
		return nil
	}
	return g.Versions[len(g.Versions)-1]
}

// Number is that of the newest version, 0: there is none.
func (g *Register) NewestNumber() uint64 {
	if v := g.Newest(); v != nil {
		return v.Number
	}
	return 0
}

// At is the version with a number, nil: it is not kept.
func (g *Register) ByNumber(number uint64) *configversion.Version {
	i := slices.IndexFunc(g.Versions, func(v *configversion.Version) bool { return v.Number == number })
	if i < 0 {
		return nil
	}
	return g.Versions[i]
}

// After lists what a router that knows the version with this number has to be sent: the newest one, and before it the one that is in
// force beside it.
func (g *Register) UpdatesAfter(number uint64) (list []*configversion.Version) {
	for _, v := range g.Versions {
		if v.Number > number && v.Number >= g.Activated {
			list = append(list, v)
		}
	}
	return list
}

// Apply applies an entry. It never fails: what cannot be done is the outcome.
func (g *Register) Apply(raw []byte) (Outcome, bool) {
	var e Entry
	if err := json.Unmarshal(raw, &e); err != nil { // nothing that this program wrote
		return Outcome{}, false
	}
	switch e.Kind {
	case EntryFound:
		if g.Lineage == "" {
			g.Lineage = e.Lineage
		}
	case EntryActivate:
		if e.Number <= g.NewestNumber() {
			g.Activated = max(g.Activated, e.Number)
		}
	case EntryPropose, EntryRollback:
		return g.propose(e), true
	}
	return Outcome{}, false
}

func (g *Register) propose(e Entry) Outcome {
	if i := slices.IndexFunc(g.Outcomes, func(o Outcome) bool { return e.ID != "" && o.ID == e.ID }); i >= 0 {
		return g.Outcomes[i]
	}
	o := Outcome{ID: e.ID}
	v, err := g.next(e)
	if err != nil {
		o.Error = err.Error()
	} else {
		o.Number = v.Number
		if g.Versions = append(g.Versions, v); g.Floor == nil {
			g.Floor = v.Rules
		}
		g.Versions = g.Versions[max(0, len(g.Versions)-mostKept):]
	}
	if errors.Is(err, ErrRolloutInProgress) {
		return o // it may come again
	}
	g.Outcomes = append(g.Outcomes, o)
	g.Outcomes = g.Outcomes[max(0, len(g.Outcomes)-mostOutcomes):]
	return o
}

// next is the version that an entry asks for.
func (g *Register) next(e Entry) (*configversion.Version, error) {
	if g.Lineage == "" {
		return nil, errors.New("the group is not founded yet")
	}
	if g.NewestNumber() > g.Activated {
		return nil, fmt.Errorf("version %d is %w", g.NewestNumber(), ErrRolloutInProgress)
	}
	if err := configversion.CheckGuardNames(e.ForcedGuards); err != nil {
		return nil, err
	}
	var r *rules.Rules
	switch e.Kind {
	case EntryRollback:
		old := g.ByNumber(e.Number)
		if old == nil {
			return nil, fmt.Errorf("version %d is not kept", e.Number)
		}
		r = old.Rules
	default:
		var err error
		if r, err = rules.Parse(e.Rules); err != nil {
			return nil, err
		}
	}
	var before *rules.Rules
	if v := g.Newest(); v != nil {
		before = v.Rules
	}
	if err := configversion.ViolationsError(g.Guards.Violations(before, g.Floor, r, e.ForcedGuards)); err != nil {
		return nil, err
	}
	if before != nil && string(before.Canonical()) == string(r.Canonical()) {
		return nil, fmt.Errorf("nothing differs from version %d", g.NewestNumber())
	}
	v := configversion.New(g.Newest(), g.Lineage, r, e.ForcedGuards, e.Note)
	if _, err := configversion.Decode(v.Encode()); err != nil {
		return nil, err
	}
	return v, nil
}

// Snapshot is the whole state, Restore takes it up.
func (g *Register) Snapshot() []byte {
	raw, err := json.Marshal(g)
	if err != nil {
		panic(err)
	}
	return raw
}

// Restore takes a snapshot's state in place of what is there.
func (g *Register) Restore(raw []byte) error {
	into := Register{Guards: g.Guards}
	if err := json.Unmarshal(raw, &into); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	for _, v := range into.Versions {
		if _, err := configversion.Decode(v.Encode()); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	*g = into
	return nil
}

// Package configregister is the replicated state of the control group: a register of configuration versions. All replicas apply the same
// log entries in the same order and so hold the same register. It does no I/O and has no clock.
//
// A version is committed when its entry is applied, and activated by a later entry, once every router with a lease knows it. A version is
// committed only after the one before it has been activated, so at most two are in force at a time.
package configregister

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"bankledge/internal/configversion"
	"bankledge/internal/rules"
)

// Register holds the versions. The zero value with Guards is the register of a group that is not founded yet.
type Register struct {
	// Guards are those of the last entry that held a share. Before there is one they are those of the snapshot, or of the process's
	// settings: they judge only entries that earlier versions of this program wrote, which hold none.
	Guards   configversion.Guards     `json:"guards"`
	Lineage  string                   `json:"lineage"`  // empty until the group is founded
	Floor    *rules.Rules             `json:"floor"`    // of the first version: routers without a lease may rely on it
	Versions []*configversion.Version `json:"versions"` // the last maxVersions, oldest first
	// Activated is the number up to which all versions are activated.
	Activated uint64    `json:"settled"`
	Outcomes  []Outcome `json:"outcomes"` // of the last maxOutcomes proposals, oldest first
}

// Limits of a register.
const (
	maxVersions = 64
	maxOutcomes = 1024 // a duplicate proposal is recognized by its outcome
)

var (
	// ErrRolloutInProgress reports that a proposal has to wait until the version before it is activated. Outcomes hold it as
	// CodeRolloutInProgress.
	ErrRolloutInProgress = errors.New("still spreading")

	errNotFounded = errors.New("the group is not founded yet")
)

// Newest returns the newest version, or nil if there is none.
func (r *Register) Newest() *configversion.Version {
	if len(r.Versions) == 0 {
		return nil
	}
	return r.Versions[len(r.Versions)-1]
}

// NewestNumber returns the number of the newest version, or 0 if there is none.
func (r *Register) NewestNumber() uint64 {
	if newest := r.Newest(); newest != nil {
		return newest.Number
	}
	return 0
}

// ByNumber returns the version with a number, or nil if the register does not have it.
func (r *Register) ByNumber(number uint64) *configversion.Version {
	i := slices.IndexFunc(r.Versions, func(v *configversion.Version) bool { return v.Number == number })
	if i < 0 {
		return nil
	}
	return r.Versions[i]
}

// UpdatesAfter returns the versions that a router which knows a number has to be sent, oldest first: the newest one, preceded by the
// activated one beside which it is in force.
func (r *Register) UpdatesAfter(number uint64) []*configversion.Version {
	var updates []*configversion.Version
	for _, v := range r.Versions {
		if v.Number > number && v.Number >= r.Activated {
			updates = append(updates, v)
		}
	}
	return updates
}

// Clone returns a copy that stays as it is while r changes. The two share their versions and outcomes, to which r only appends.
func (r *Register) Clone() *Register {
	clone := *r
	return &clone
}

// Apply applies an encoded log entry. It returns the outcome and true if the entry was a proposal. It never fails: the error of a
// proposal is its outcome, and an entry that can't be read is skipped, as no version of this program has written it.
func (r *Register) Apply(raw []byte) (Outcome, bool) {
	var entry LogEntry
	if err := json.Unmarshal(raw, &entry); err != nil {
		return Outcome{}, false
	}
	if entry.MaxRemovedShare != 0 {
		r.Guards.MaxRemovedShare = entry.MaxRemovedShare
	}
	switch entry.Kind {
	case EntryFound:
		r.found(entry.Lineage)
	case EntryActivate:
		r.activate(entry.Number)
	case EntryPropose, EntryRollback:
		return r.applyProposal(entry.Entry), true
	}
	return Outcome{}, false
}

func (r *Register) found(lineage string) {
	if r.Lineage == "" {
		r.Lineage = lineage
	}
}

func (r *Register) activate(number uint64) {
	if number <= r.NewestNumber() {
		r.Activated = max(r.Activated, number)
	}
}

func (r *Register) applyProposal(entry Entry) Outcome {
	earlier := slices.IndexFunc(r.Outcomes, func(o Outcome) bool { return entry.ID != "" && o.ID == entry.ID })
	if earlier >= 0 {
		return r.Outcomes[earlier]
	}
	outcome := Outcome{ID: entry.ID}
	v, err := r.newVersion(entry)
	if err != nil {
		outcome.Error = err.Error()
	} else {
		outcome.Number = v.Number
		r.commit(v)
	}
	if errors.Is(err, ErrRolloutInProgress) {
		outcome.Code = CodeRolloutInProgress
		return outcome // not recorded: the same proposal may be written again later
	}
	r.Outcomes = append(r.Outcomes, outcome)
	r.Outcomes = r.Outcomes[max(0, len(r.Outcomes)-maxOutcomes):]
	return outcome
}

func (r *Register) commit(v *configversion.Version) {
	if r.Floor == nil {
		r.Floor = v.Rules
	}
	r.Versions = append(r.Versions, v)
	r.Versions = r.Versions[max(0, len(r.Versions)-maxVersions):]
}

// newVersion returns the version that a proposal requests, or an error that says why the proposal is rejected.
func (r *Register) newVersion(entry Entry) (*configversion.Version, error) {
	if r.Lineage == "" {
		return nil, errNotFounded
	}
	if r.NewestNumber() > r.Activated {
		return nil, fmt.Errorf("version %d is %w", r.NewestNumber(), ErrRolloutInProgress)
	}
	if err := configversion.CheckGuardNames(entry.ForcedGuards); err != nil {
		return nil, err
	}
	proposed, err := r.proposedRules(entry)
	if err != nil {
		return nil, err
	}
	if err := r.checkChange(proposed, entry.ForcedGuards); err != nil {
		return nil, err
	}
	v := configversion.New(r.Newest(), r.Lineage, proposed, entry.ForcedGuards, entry.Note)
	if _, err := configversion.Decode(v.Encode()); err != nil { // such as a note that is too long: every router would reject it
		return nil, err
	}
	return v, nil
}

func (r *Register) proposedRules(entry Entry) (*rules.Rules, error) {
	if entry.Kind != EntryRollback {
		return rules.Parse(entry.Rules)
	}
	earlier := r.ByNumber(entry.Number)
	if earlier == nil {
		return nil, fmt.Errorf("version %d is not kept", entry.Number)
	}
	return earlier.Rules, nil
}

// checkChange applies the guards, and rejects rules that do not differ from the newest ones.
func (r *Register) checkChange(proposed *rules.Rules, forcedGuards []string) error {
	var previous *rules.Rules
	if newest := r.Newest(); newest != nil {
		previous = newest.Rules
	}
	if err := r.Guards.Check(previous, r.Floor, proposed, forcedGuards); err != nil {
		return err
	}
	if previous != nil && string(previous.Canonical()) == string(proposed.Canonical()) {
		return fmt.Errorf("nothing differs from version %d", r.NewestNumber())
	}
	return nil
}

// Snapshot encodes the whole register, for Restore.
func (r *Register) Snapshot() []byte {
	raw, err := json.Marshal(r)
	if err != nil { // valid rules hold finite amounts, so this is a programming error
		panic(err)
	}
	return raw
}

// IsFromEarlierVersion reports whether an encoded log entry holds no share, so that its result depends on Register.Guards.
func IsFromEarlierVersion(raw []byte) bool {
	var entry LogEntry
	return json.Unmarshal(raw, &entry) == nil && entry.MaxRemovedShare == 0
}

// Restore replaces the register by a snapshot, with the guards that the snapshot holds. On an error the register is unchanged.
func (r *Register) Restore(raw []byte) error {
	restored := Register{Guards: r.Guards}
	if err := json.Unmarshal(raw, &restored); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	for _, v := range restored.Versions {
		if _, err := configversion.Decode(v.Encode()); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
	}
	*r = restored
	return nil
}

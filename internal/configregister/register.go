// Package configregister implements the replicated state of the control group: a register of configuration versions. All replicas apply the
// same log entries in the same order, so their registers are equal. The package does no I/O and reads no clock.
//
// A version is committed when its entry is applied. A later entry activates it, once every router with a lease knows the version. A version
// is committed only after the previous version has been activated, so at most two versions are in force at a time.
package configregister

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"bankledge/internal/configversion"
	"bankledge/internal/rules"
)

// Register holds the versions. A Register in which only Guards is set is the initial state of a group, before it is bootstrapped.
type Register struct {
	// Guards are the guards for the next proposal. Each entry with a MaxRemovedShare replaces the share. Until the first such entry, the
	// guards come from the snapshot or from the process's settings; these apply only to entries written by earlier versions of this
	// program, which contain no share.
	Guards   configversion.Guards     `json:"guards"`
	Lineage  string                   `json:"lineage"`  // empty until the group is bootstrapped
	Floor    *rules.Rules             `json:"floor"`    // rules of the first version; routers without a lease may rely on them
	Versions []*configversion.Version `json:"versions"` // the last maxVersions, oldest first
	// Activated is the number of the newest activated version. All earlier versions are activated as well.
	Activated uint64    `json:"settled"`
	Outcomes  []Outcome `json:"outcomes"` // of the last maxOutcomes proposals, oldest first
}

// Limits on the size of a register.
const (
	maxVersions = 64
	maxOutcomes = 1024 // duplicates of a proposal are detected by its outcome
)

var (
	// ErrRolloutInProgress is the reason for rejecting a proposal while the newest version is not activated yet. Outcomes represent it by
	// CodeRolloutInProgress.
	ErrRolloutInProgress = errors.New("still spreading")

	errNotBootstrapped = errors.New("the group is not founded yet")
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

// ByNumber returns the version with the given number, or nil if the register does not contain it.
func (r *Register) ByNumber(number uint64) *configversion.Version {
	i := slices.IndexFunc(r.Versions, func(v *configversion.Version) bool { return v.Number == number })
	if i < 0 {
		return nil
	}
	return r.Versions[i]
}

// UpdatesAfter returns the versions to send, oldest first, to a router whose newest known version has the given number: the newest
// activated version and the version that is not activated yet, unless the router already knows them.
func (r *Register) UpdatesAfter(number uint64) []*configversion.Version {
	var updates []*configversion.Version
	for _, v := range r.Versions {
		if v.Number > number && v.Number >= r.Activated {
			updates = append(updates, v)
		}
	}
	return updates
}

// Clone returns a copy that later changes of r do not affect. The copy and r share the arrays of versions and outcomes, to which r only
// appends.
func (r *Register) Clone() *Register {
	clone := *r
	return &clone
}

// Apply applies an encoded log entry. It returns the outcome and true if the entry was a proposal. It never fails: the outcome of a
// rejected proposal contains the error, and an entry that can't be decoded is skipped, because no version of this program writes such
// entries.
func (r *Register) Apply(raw []byte) (Outcome, bool) {
	var entry LogEntry
	if err := json.Unmarshal(raw, &entry); err != nil {
		return Outcome{}, false
	}
	if entry.MaxRemovedShare != 0 {
		r.Guards.MaxRemovedShare = entry.MaxRemovedShare
	}
	switch entry.Kind {
	case EntryBootstrap:
		r.bootstrap(entry.Lineage)
	case EntryActivate:
		r.activate(entry.Number)
	case EntryPropose, EntryRollback:
		return r.applyProposal(entry.Entry), true
	}
	return Outcome{}, false
}

// bootstrap sets the lineage unless it is already set.
func (r *Register) bootstrap(lineage string) {
	if r.Lineage == "" {
		r.Lineage = lineage
	}
}

// activate ignores numbers above that of the newest version, and never lowers Activated.
func (r *Register) activate(number uint64) {
	if number <= r.NewestNumber() {
		r.Activated = max(r.Activated, number)
	}
}

// applyProposal returns the recorded outcome for a duplicate of an earlier proposal.
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
		return outcome // not recorded, so that the same proposal can be applied when it is sent again later
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

// newVersion returns the version that a proposal requests, or an error if the proposal is rejected.
func (r *Register) newVersion(entry Entry) (*configversion.Version, error) {
	if r.Lineage == "" {
		return nil, errNotBootstrapped
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
	if _, err := configversion.Decode(v.Encode()); err != nil { // for example, the note is too long; every router would reject the version
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

// checkChange applies the guards and rejects rules that are equal to those of the newest version.
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

// Snapshot returns an encoding of the complete register that Restore accepts.
func (r *Register) Snapshot() []byte {
	raw, err := json.Marshal(r)
	if err != nil { // programming error: the numbers in valid rules are finite
		panic(err)
	}
	return raw
}

// LacksMaxRemovedShare reports whether an encoded log entry contains no MaxRemovedShare, so that its result depends on Register.Guards.
func LacksMaxRemovedShare(raw []byte) bool {
	var entry LogEntry
	return json.Unmarshal(raw, &entry) == nil && entry.MaxRemovedShare == 0
}

// Restore replaces the register with a snapshot, including its guards. If Restore returns an error, the register is unchanged.
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

// Package version holds numbered versions of the rules and lists: their number, the lineage that they belong to, their hash and
// canonical form, and the guards that turn down a version that can hardly be meant. It does no I/O and has no clock.
package configversion

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"bankledge/internal/rules"
)

// Version is one numbered set of rules. It is never changed once it has its number.
type Version struct {
	Number       uint64       `json:"number"`
	Lineage      string       `json:"lineage"` // which group wrote it: drawn when the group is founded
	PreviousHash string       `json:"before"`  // hash of the version before, "" of the first
	ForcedGuards []string     `json:"forced"`  // guards that its author took off by name, sorted
	Note         string       `json:"note"`    // why, in its author's words
	Rules        *rules.Rules `json:"rules"`
	Hash         string       `json:"hash"` // of all the rest
}

// Most is how many bytes a version may have.
const MaxEncodedBytes = 1 << 20

const mostNote = 1000

// New makes the version that follows on another (nil: the first of its lineage). The rules have passed their check.
func New(before *Version, lineage string, r *rules.Rules, forced []string, note string) *Version {
	v := &Version{Number: 1, Lineage: lineage, ForcedGuards: append([]string{}, forced...), Note: note, Rules: r}
	if before != nil {
		v.Number, v.Lineage, v.PreviousHash = before.Number+1, before.Lineage, before.Hash
	}
	slices.Sort(v.ForcedGuards)
	v.Hash = v.sum()
	return v
}

func (v *Version) sum() string {
	bare := *v
	bare.Hash = ""
	raw, err := json.Marshal(&bare)
	if err != nil { // checked rules hold finite amounts
		panic(err)
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// Encode is the canonical form: the same version, the same bytes.
func (v *Version) Encode() []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// Decode reads a version and checks its rules and its hash; an error names the field. What is half there has no hash that fits.
func Decode(raw []byte) (*Version, error) {
	if len(raw) > MaxEncodedBytes {
		return nil, fmt.Errorf("version: %d bytes, over %d", len(raw), MaxEncodedBytes)
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	v := new(Version)
	if err := d.Decode(v); err != nil {
		return nil, fmt.Errorf("version: %w", err)
	}
	switch {
	case v.Number < 1:
		return nil, errors.New("version: number: under 1")
	case v.Lineage == "" || len(v.Lineage) > 100:
		return nil, errors.New("version: lineage: missing")
	case len(v.Note) > mostNote:
		return nil, fmt.Errorf("version: note: over %d bytes", mostNote)
	case v.Rules == nil:
		return nil, errors.New("version: rules: missing")
	}
	if err := v.Rules.Validate(); err != nil {
		return nil, fmt.Errorf("version %d: rules: %w", v.Number, err)
	}
	if v.Hash != v.sum() {
		return nil, fmt.Errorf("version %d: hash: it is not what was hashed", v.Number)
	}
	return v, nil
}

// Follows tells why a version does not follow on another: another lineage, a gap, another past. A nil one before is no reason.
func (v *Version) CheckFollows(before *Version) error {
	switch {
	case before == nil:
		return nil
	case v.Lineage != before.Lineage:
		return fmt.Errorf("lineage %s, this is %s: another group wrote it", v.Lineage, before.Lineage)
	case v.Number == before.Number+1 && v.PreviousHash != before.Hash:
		return fmt.Errorf("version %d has another past than ours", v.Number)
	case v.Number == before.Number && v.Hash != before.Hash:
		return fmt.Errorf("there are two versions %d", v.Number)
	}
	return nil
}

// Guards are the bounds on what one version may change.
type Guards struct {
	MaxRemovedShare float64 `json:"MostGone"` // share of the engines that one version may take away, or set to leaving
}

// The guards, by the names under which they can be taken off.
const (
	GuardAllEngines       = "all-engines"      // no engine is left
	GuardShareOfEngines   = "share-of-engines" // more engines go at once than the stated share
	GuardKind             = "kind"             // no engine is left of the kinds that a workload is bound to
	GuardPlacement        = "placement"        // a table group is kept off every engine
	GuardNothingInBetween = "nothing-in-between"
	GuardFloor            = "floor" // it forbids what routers without a term count on
)

// Names lists the guards.
func GuardNames() []string {
	return []string{GuardAllEngines, GuardShareOfEngines, GuardKind, GuardPlacement, GuardNothingInBetween, GuardFloor}
}

// Breach is a guard that a version would break.
type Violation struct{ Guard, Message string }

// Broken tells which guards a change of rules breaks that are not taken off. before is nil for the first version; floor is what
// routers without a term may count on (nil: nothing yet).
func (g Guards) Violations(before, floor, next *rules.Rules, forced []string) (list []Violation) {
	add := func(guard, text string, args ...any) {
		if !slices.Contains(forced, guard) {
			list = append(list, Violation{guard, fmt.Sprintf(text, args...)})
		}
	}
	if next.Engines != nil {
		g.lists(before, next, add)
	}
	if before != nil {
		if between := rules.Intersect(before, next); next.Engines != nil && active(next) > 0 && before.Engines != nil && active(before) > 0 && active(between) == 0 {
			add(GuardNothingInBetween, "no engine is active before and after: between the two, routers would have none")
		}
	}
	if floor != nil {
		var off []string
		for _, f := range rules.Conflicts(floor, next) {
			if f.Name != "engines" && f.Name != "kept_off" && f.Name != "kinds" { // lists: docs/control.md, what is not promised
				off = append(off, f.Name)
			}
		}
		if len(off) > 0 {
			add(GuardFloor, "it forbids what the first version of the lineage permits, and routers without a term count on: %s", strings.Join(off, ", "))
		}
	}
	return list
}

// lists has the guards of the list of engines.
func (g Guards) lists(before, next *rules.Rules, add func(guard, text string, args ...any)) {
	if active(next) == 0 {
		add(GuardAllEngines, "no engine is active")
	}
	if before != nil && before.Engines != nil {
		gone := 0
		for id, e := range before.Engines {
			if e.Phase == rules.Active && next.Engine(id).Phase != rules.Active {
				gone++
			}
		}
		if share := float64(gone) / float64(max(1, active(before))); share > g.MaxRemovedShare {
			add(GuardShareOfEngines, "%d of %d active engines go at once, over a share of %v", gone, active(before), g.MaxRemovedShare)
		}
	}
	for _, w := range slices.Sorted(maps.Keys(next.AllowedMachineTypes)) {
		if n := count(next, func(id string, e rules.Engine) bool { return slices.Contains(next.AllowedMachineTypes[w], e.Kind) }); n == 0 {
			add(GuardKind, "no active engine is of a kind that %s is bound to", w)
		}
	}
	for _, table := range slices.Sorted(maps.Keys(next.PlacementExclusions)) {
		if n := count(next, func(id string, _ rules.Engine) bool { return !slices.Contains(next.PlacementExclusions[table], id) }); n == 0 && active(next) > 0 {
			add(GuardPlacement, "table group %s is kept off every active engine", table)
		}
	}
}

func active(r *rules.Rules) int {
	return count(r, func(string, rules.Engine) bool { return true })
}

func count(r *rules.Rules, is func(string, rules.Engine) bool) (n int) {
	for id, e := range r.Engines {
		if e.Phase == rules.Active && is(id, e) {
			n++
		}
	}
	return n
}

// CheckForced tells whether all names are guards.
func CheckGuardNames(forced []string) error {
	for _, f := range forced {
		if !slices.Contains(GuardNames(), f) {
			return fmt.Errorf("forced: %q is no guard: %s", f, strings.Join(GuardNames(), ", "))
		}
	}
	return nil
}

// Say is the breaches in one line.
func ViolationsError(list []Violation) error {
	if len(list) == 0 {
		return nil
	}
	var text []string
	for _, b := range list {
		text = append(text, b.Message+" (force it by the name "+b.Guard+")")
	}
	return errors.New(strings.Join(text, "; "))
}

// Diff tells, a line a field, what differs between two sets of rules and who is the looser there.
func Diff(a, b *rules.Rules) (lines []string) {
	looser, tighter := map[string]bool{}, map[string]bool{}
	for _, f := range rules.Conflicts(b, a) {
		looser[f.Name] = true
	}
	for _, f := range rules.Conflicts(a, b) {
		tighter[f.Name] = true
	}
	one, other := fieldsOf(a), fieldsOf(b)
	for _, f := range rules.Fields() {
		if !looser[f.Name] && !tighter[f.Name] {
			continue
		}
		way := "looser"
		if tighter[f.Name] {
			way = "tighter"
		}
		if looser[f.Name] && tighter[f.Name] {
			way = "looser and tighter"
		}
		if string(one[f.Name]) == string(other[f.Name]) { // parts follow from the number of routers
			lines = append(lines, fmt.Sprintf("%s: %s, by the number of routers", f.Name, way))
			continue
		}
		lines = append(lines, fmt.Sprintf("%s: %s: %s -> %s", f.Name, way, short(one[f.Name]), short(other[f.Name])))
	}
	return lines
}

func fieldsOf(r *rules.Rules) (into map[string]json.RawMessage) {
	if err := json.Unmarshal(r.Canonical(), &into); err != nil {
		panic(err)
	}
	return into
}

func short(raw []byte) string {
	if len(raw) > 120 {
		return fmt.Sprintf("%s... (%d bytes)", raw[:100], len(raw))
	}
	return string(raw)
}

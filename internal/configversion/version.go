// Package configversion defines numbered versions of the fleet's configuration: the rules with their number, lineage and hash, the
// canonical encoding in which they are stored and sent, the guards that reject a version that is likely a mistake, and the description
// of the differences between two versions. It does no I/O and reads no clock.
package configversion

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"bankledge/internal/jsonerror"
	"bankledge/internal/rules"
	"bankledge/internal/strictjson"
)

// Version is a numbered version of the configuration. It is immutable: New creates it with its number and hash.
type Version struct {
	Number       uint64       `json:"number"`  // from 1, without gaps within a lineage
	Lineage      string       `json:"lineage"` // identifies the control group that created the version; generated at the group's bootstrap
	PreviousHash string       `json:"before"`  // hash of the previous version; empty in the first one
	ForcedGuards []string     `json:"forced"`  // sorted names of the guards that the author overrode
	Note         string       `json:"note"`    // the author's reason
	Rules        *rules.Rules `json:"rules"`
	Hash         string       `json:"hash"` // hexadecimal SHA-256 of the encoding with an empty hash
}

// Limits of an encoded version and its fields, in bytes.
const (
	MaxEncodedBytes = 1 << 20
	maxNoteBytes    = 1000
	maxLineageBytes = 100
)

// ErrHashMismatch is returned for a version that was modified or damaged after its hash was computed.
var ErrHashMismatch = errors.New("hash: it is not what was hashed")

var (
	errNumberTooLow   = errors.New("number: under 1")
	errLineageMissing = errors.New("lineage: missing")
	errNoteTooLong    = fmt.Errorf("note: over %d bytes", maxNoteBytes)
	errRulesMissing   = errors.New("rules: missing")
)

// New returns the version that follows previous, or the first version of the lineage if previous is nil. The rules must be valid.
func New(previous *Version, lineage string, r *rules.Rules, forcedGuards []string, note string) *Version {
	v := &Version{
		Number:       1,
		Lineage:      lineage,
		ForcedGuards: append([]string{}, forcedGuards...), // not nil, which would be encoded as null
		Note:         note,
		Rules:        r,
	}
	if previous != nil {
		v.Number = previous.Number + 1
		v.Lineage = previous.Lineage
		v.PreviousHash = previous.Hash
	}
	slices.Sort(v.ForcedGuards)
	v.Hash = v.computeHash()
	return v
}

func (v *Version) computeHash() string {
	withoutHash := *v
	withoutHash.Hash = ""
	sum := sha256.Sum256(withoutHash.Encode())
	return hex.EncodeToString(sum[:])
}

// Encode returns the canonical JSON encoding. Equal versions have equal encodings.
func (v *Version) Encode() []byte {
	raw, err := json.Marshal(v)
	if err != nil { // programming error: the numbers in valid rules are finite
		panic(err)
	}
	return raw
}

// publishedNames restores the former names of types in the texts of decoding errors. Routers send these texts to the control group, so they
// must not change when a type is renamed.
var publishedNames = strings.NewReplacer("configversion.Version", "version.Version")

// Decode decodes a version and checks its fields, rules and hash; the error names the invalid field. The hash also
// detects a version that was received only in part.
func Decode(raw []byte) (*Version, error) {
	if len(raw) > MaxEncodedBytes {
		return nil, fmt.Errorf("version: %d bytes, over %d", len(raw), MaxEncodedBytes)
	}
	v := new(Version)
	if err := strictjson.Decode(raw, v); err != nil {
		return nil, fmt.Errorf("version: %w", jsonerror.WithPublishedNames(err, publishedNames))
	}
	if err := v.checkFields(); err != nil {
		return nil, fmt.Errorf("version: %w", err)
	}
	if err := v.Rules.Validate(); err != nil {
		return nil, fmt.Errorf("version %d: rules: %w", v.Number, err)
	}
	if v.Hash != v.computeHash() {
		return nil, fmt.Errorf("version %d: %w", v.Number, ErrHashMismatch)
	}
	return v, nil
}

func (v *Version) checkFields() error {
	switch {
	case v.Number < 1:
		return errNumberTooLow
	case v.Lineage == "" || len(v.Lineage) > maxLineageBytes:
		return errLineageMissing
	case len(v.Note) > maxNoteBytes:
		return errNoteTooLong
	case v.Rules == nil:
		return errRulesMissing
	}
	return nil
}

// CheckFollows returns an error if v contradicts previous: it has another lineage, it has the same number but another hash, or it has the
// next number but another predecessor. A gap between the numbers is allowed. If previous is nil, CheckFollows returns nil.
func (v *Version) CheckFollows(previous *Version) error {
	switch {
	case previous == nil:
		return nil
	case v.Lineage != previous.Lineage:
		return fmt.Errorf("lineage %s, this is %s: another group wrote it", v.Lineage, previous.Lineage)
	case v.Number == previous.Number+1 && v.PreviousHash != previous.Hash:
		return fmt.Errorf("version %d has another past than ours", v.Number)
	case v.Number == previous.Number && v.Hash != previous.Hash:
		return fmt.Errorf("there are two versions %d", v.Number)
	}
	return nil
}

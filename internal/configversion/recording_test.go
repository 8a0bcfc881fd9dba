package configversion

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-jsonnet"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/rules"
)

var update = flag.Bool("update", false, "rewrite the recorded files under testdata")

// recordedChangesHash is the hash of the guard violations and differences of 3,000 generated changes, computed at commit 05e118f.
const recordedChangesHash = "b816cf7e4c77a424a1071be5762a8d555bb743bf9d612b464567ae34ac106351"

// TestRecordedVersions compares the encodings of successive versions with those recorded at commit 05e118f, and decodes the recorded ones.
func TestRecordedVersions(t *testing.T) {
	deployed, err := jsonnet.MakeVM().EvaluateFile("../../deploy/rules.jsonnet")
	require.NoError(t, err)
	documents := []string{
		deployed,
		`{"routers": 3, "cold_multiple": 4, "engines": {"e1": {"phase": "active", "address": "h:1", "kind": "big"}, "e2": {"phase": "leaving", "address": "h:2", "cold": true}}}`,
		`{"routers": 3, "cold_multiple": 2.5, "parts": {"r1": 0.25}, "shares": {"a": 5}, "kept_off": {"7": ["e2", "e1"]}, "kinds": {"w": ["big"]}}`,
		`{"routers": 1}`,
	}
	forced := [][]string{nil, {"share-of-engines", "floor"}, {}, {"kind", "all-engines"}}
	notes := []string{"", "founded <&> é", "line\nbreak \u2028", "last"}
	var out bytes.Buffer
	var before *Version
	for i, document := range documents {
		r, err := rules.Parse([]byte(document))
		require.NoError(t, err)
		before = New(before, "lineage", r, forced[i], notes[i])
		fmt.Fprintf(&out, "%s\n", before.Encode())
	}
	compareWithFile(t, "testdata/versions.golden", out.Bytes())
	stored, err := os.ReadFile("testdata/versions.golden")
	require.NoError(t, err)
	before = nil
	for line := range bytes.Lines(stored) {
		line = bytes.TrimSuffix(line, []byte("\n"))
		v, err := Decode(line)
		require.NoError(t, err)
		assert.NoError(t, v.CheckFollows(before))
		assert.Equal(t, string(line), string(v.Encode()))
		before = v
	}
}

// TestRecordedErrors compares the error texts of Decode, CheckFollows and CheckGuardNames with those recorded at commit 05e118f.
func TestRecordedErrors(t *testing.T) {
	var out bytes.Buffer
	record := func(name string, err error) { fmt.Fprintf(&out, "%s: %v\n", name, err) }
	good := New(nil, "lineage", rulesWithEngines(t, 2), nil, "note")
	decode := func(name string, change func(fields map[string]any)) {
		fields := map[string]any{}
		require.NoError(t, json.Unmarshal(good.Encode(), &fields))
		change(fields)
		raw, err := json.Marshal(fields)
		require.NoError(t, err)
		_, err = Decode(raw)
		record(name, err)
	}
	decode("same", func(map[string]any) {})
	for field, values := range map[string][]any{
		"number": {0, 2, -1, "1"}, "lineage": {"", "other", strings.Repeat("x", 101)}, "before": {"x"}, "forced": {nil, []string{"floor"}, "floor"},
		"note": {"other", strings.Repeat("x", 1001)}, "rules": {nil, map[string]any{"routers": 0}, map[string]any{"routers": 3}, map[string]any{"other": 1}, []int{}},
		"hash": {"", strings.Repeat("0", 64)}, "other": {1},
	} {
		for i, value := range values {
			decode(fmt.Sprint("decode ", field, i), func(fields map[string]any) { fields[field] = value })
		}
	}
	for _, raw := range []string{"", "{", "{} x", "null", `{"number": 1}`, string(good.Encode()) + " trailing", strings.Repeat(" ", 1<<20+1)} {
		_, err := Decode([]byte(raw))
		record(fmt.Sprintf("decode %.20q", raw), err)
	}
	next := New(good, "", rulesWithEngines(t, 3), nil, "")
	for name, pair := range map[string][2]*Version{
		"none": {next, nil}, "next": {next, good}, "older": {good, next}, "later": {New(next, "", rulesWithEngines(t, 4), nil, ""), good}, "lineage": {New(nil, "m", rulesWithEngines(t, 2), nil, ""), good},
		"past": {New(New(nil, "lineage", rulesWithEngines(t, 9), nil, ""), "", rulesWithEngines(t, 2), nil, ""), good}, "twice": {New(nil, "lineage", rulesWithEngines(t, 9), nil, ""), good},
	} {
		record("follows "+name, pair[0].CheckFollows(pair[1]))
	}
	for _, list := range [][]string{nil, {"floor", "kind"}, {"floor", "any"}, {""}} {
		record(fmt.Sprintf("forced %q", list), CheckGuardNames(list))
	}
	lines := slices.Sorted(strings.Lines(out.String()))
	compareWithFile(t, "testdata/errors.golden", []byte(strings.Join(lines, "")))
}

// TestRecordedChanges generates changes of the rules and hashes the guards that each change violates, the error text and the difference.
func TestRecordedChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(45, 2))
	hash := sha256.New()
	floor, before := changeRandomly(t, random, rulesWithEngines(t, 6)), changeRandomly(t, random, rulesWithEngines(t, 6))
	for i := range 3000 {
		next := changeRandomly(t, random, before)
		if i%100 == 0 {
			floor, next = next, rulesWithEngines(t, 6)
		}
		var forced []string
		if random.IntN(4) == 0 {
			forced = []string{GuardNames()[random.IntN(len(GuardNames()))]}
		}
		guards := Guards{MaxRemovedShare: float64(random.IntN(4)) / 4}
		for _, against := range []struct{ previous, floor *rules.Rules }{{before, floor}, {nil, nil}} {
			for _, violation := range guards.Violations(against.previous, against.floor, next, forced) {
				fmt.Fprintf(hash, "%s ", violation.Guard)
			}
			fmt.Fprintf(hash, "%v\n", guards.Check(against.previous, against.floor, next, forced))
		}
		fmt.Fprintf(hash, "%q\n", Diff(before, next))
		before = next
	}
	assert.Equal(t, recordedChangesHash, hex.EncodeToString(hash.Sum(nil)))
}

// changeRandomly returns a copy of rules with a few random changes.
func changeRandomly(t *testing.T, random *rand.Rand, from *rules.Rules) *rules.Rules {
	t.Helper()
	fields := map[string]any{}
	require.NoError(t, json.Unmarshal(from.Canonical(), &fields))
	engines, _ := fields["engines"].(map[string]any)
	if engines == nil {
		engines = map[string]any{}
	}
	for range 1 + random.IntN(4) {
		name := fmt.Sprintf("e%d", random.IntN(6))
		engine := map[string]any{"address": name + ":1", "kind": []string{"big", "small"}[random.IntN(2)], "phase": []string{"active", "leaving", "left"}[random.IntN(3)]}
		switch random.IntN(8) {
		case 0:
			fields["routers"] = 4 + random.IntN(3)
		case 1:
			fields["cold_multiple"] = random.IntN(5)
		case 2:
			fields["kinds"] = map[string]any{"load": [][]string{{"big"}, {"small"}, {"tiny"}}[random.IntN(3)]}
		case 3:
			fields["kept_off"] = map[string]any{"7": []string{name, "e1", "e2", "e3", "e4", "e5"}[:random.IntN(6)]}
		case 4:
			fields["shares"] = map[string]any{strings.Repeat("a", 1+random.IntN(200)): random.IntN(3)}
		case 5, 6:
			engines[name] = engine
			fields["engines"] = engines
		case 7:
			if random.IntN(10) == 0 {
				fields["engines"] = nil
			}
		}
	}
	raw, err := json.Marshal(fields)
	require.NoError(t, err)
	r, err := rules.Parse(raw)
	require.NoError(t, err)
	return r
}

func compareWithFile(t *testing.T, path string, got []byte) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got))
}

package rules

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the recorded files under testdata")

// recordedPairsHash is the hash of the conflicts and intersections of 2,000 generated pairs of rules, computed at commit 05e118f.
const recordedPairsHash = "b048d97b189b0f0e9c29c53a7b226497b8439ae6710d09466c5d3ea2434e09d8"

// TestRecordedDocuments parses each line of testdata/documents.txt and compares the canonical encoding, or the error text, with the result
// recorded at commit 05e118f.
func TestRecordedDocuments(t *testing.T) {
	documents, err := os.ReadFile("testdata/documents.txt")
	require.NoError(t, err)
	var out bytes.Buffer
	for line := range strings.Lines(string(documents)) {
		if r, err := Parse([]byte(strings.TrimSuffix(line, "\n"))); err != nil {
			fmt.Fprintf(&out, "error %s\n", err)
		} else {
			fmt.Fprintf(&out, "%s\n", r.Canonical())
		}
	}
	for _, f := range Fields() {
		fmt.Fprintf(&out, "field %s | %s | %s\n", f.Name, f.Description, f.Consequence)
	}
	compareWithFile(t, "testdata/documents.golden", out.Bytes())
}

// TestRecordedPairs generates pairs of rules and hashes their conflicts and intersections.
func TestRecordedPairs(t *testing.T) {
	random := rand.New(rand.NewPCG(45, 1))
	hash := sha256.New()
	before := generateRules(t, random)
	for range 2000 {
		next := generateRules(t, random)
		for _, pair := range [][2]*Rules{{before, next}, {next, before}} {
			for _, f := range ConflictingFields(pair[0], pair[1]) {
				fmt.Fprintf(hash, "%s ", f.Name)
			}
			fmt.Fprintf(hash, "\n%s\n", Intersect(pair[0], pair[1]).Canonical())
		}
		before = next
	}
	assert.Equal(t, recordedPairsHash, hex.EncodeToString(hash.Sum(nil)))
}

// generateRules returns valid rules from few names and numbers, so that fields of two generated values are often equal.
func generateRules(t *testing.T, random *rand.Rand) *Rules {
	t.Helper()
	amount := func() string { return []string{"0", "0.25", "0.5", "1"}[random.IntN(4)] }
	list := func() string {
		names := []string{}
		for _, name := range []string{"a", "b", "c"} {
			if random.IntN(2) == 0 {
				names = append(names, fmt.Sprintf("%q", name))
			}
		}
		return "[" + strings.Join(names, ",") + "]"
	}
	object := func(value func() string) string {
		fields := []string{}
		for _, name := range []string{"a", "b", "c", "d"} {
			if random.IntN(2) == 0 {
				fields = append(fields, fmt.Sprintf("%q:%s", name, value()))
			}
		}
		return "{" + strings.Join(fields, ",") + "}"
	}
	engine := func() string {
		return fmt.Sprintf(`{"phase":%q,"cold":%v,"address":"h:%d","kind":%q}`,
			[]string{"active", "leaving", "left"}[random.IntN(3)], random.IntN(2) == 0, random.IntN(1<<30), []string{"k", "l"}[random.IntN(2)])
	}
	fields := []string{fmt.Sprintf(`"routers":%d`, 5+random.IntN(4))}
	add := func(name, value string) { fields = append(fields, fmt.Sprintf("%q:%s", name, value)) }
	add("parts", object(func() string { return []string{"0", "0.05", "0.1"}[random.IntN(3)] }))
	add("importance", object(amount))
	add("shares", object(amount))
	for _, name := range []string{"over_importance", "further_share", "further_free", "probes", "cold_share", "cold_multiple"} {
		add(name, amount())
	}
	for _, name := range []string{"further_window", "warm_after", "drain_grace", "key_rest"} {
		add(name, fmt.Sprint(random.IntN(4)))
	}
	add("may_turn_away", list())
	add("kept_off", object(list))
	add("kinds", object(list))
	if random.IntN(4) > 0 {
		add("engines", object(engine))
	}
	r, err := Parse([]byte("{" + strings.Join(fields, ",") + "}"))
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

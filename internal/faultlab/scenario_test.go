package faultlab

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestLoadScenarioErrors(t *testing.T) {
	for text, want := range map[string]string{
		`{`:               "scenario: ",
		`{routers: 3}`:    "engines: 0 is not",
		`{routers: 3000}`: "routers: 3000 is not",
		`local s = {routers: 3, engines: 2, seconds: 5, load: 0.5}; s`:                                                                        "",
		`{routers: 3, engines: 2, seconds: 5, load: -1}`:                                                                                      "load: -1 is not",
		`{routers: 3, engines: 2, seconds: 5, load: 1, faults: [{kind: "x"}]}`:                                                                `faults[0].kind: unknown kind of fault "x"`,
		`{routers: 3, engines: 2, seconds: 5, load: 1, faults: [{kind: "kill", at: 6}]}`:                                                      "faults[0].at",
		`{routers: 3, engines: 2, seconds: 5, load: 1, faults: [{kind: "kill", at: 1, "for": 1}]}`:                                            "faults[0].routers: none given",
		`{routers: 3, engines: 2, seconds: 5, load: 1, faults: [{kind: "kill", at: 1, "for": 1, routers: [3]}]}`:                              "faults[0].routers: an index is not from 0 to 2",
		`{routers: 3, engines: 2, seconds: 5, load: 1, faults: [{kind: "lose", at: 1, "for": 1, engines: [-1]}]}`:                             "faults[0].engines: an index is not",
		`{routers: 3, engines: 2, seconds: 5, load: 1, faults: [{kind: "crawl", at: 1, "for": 1, engines: [0]}]}`:                             "faults[0].amount",
		`{routers: 3, engines: 2, seconds: 5, load: 1, faults: [{kind: "clock", at: 1, routers: [0]}]}`:                                       "faults[0].amount: 0",
		`{routers: 3, engines: 2, seconds: 5, load: 1, faults: [{kind: "clock", at: 1, routers: [0], amount: -7201}]}`:                        "faults[0].amount: absolute value of -7201 exceeds 7200",
		`{routers: 3, engines: 2, seconds: 5, load: 1, faults: [{kind: "clock", at: 1, routers: [0], amount: -3600}]}`:                        "",
		`{routers: 3, engines: 2, seconds: 5, load: 1, faults: [{kind: "accept-fails", at: 1, "for": 1, routers: [0], amount: -1}]}`:          "faults[0].amount: -1 is not above 0",
		`{routers: 3, engines: 2, seconds: 5, load: 1, leavers: 2}`:                                                                           "leavers",
		`{routers: 3, engines: 2, seconds: 5, load: 1, faults: [{kind: "cut", at: 1, routers: [0], engines: [0]}]}`:                           "faults[0].for: missing",
		`{routers: 3, engines: 2, seconds: 5, load: 1, faults: [{kind: "cut", at: 1, "for": 1, routers: [i for i in [0, 1]], engines: [0]}]}`: "",
	} {
		path := filepath.Join(t.TempDir(), "s.jsonnet")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := LoadScenario(path)
		if want == "" {
			assert.NoError(t, err, text)
		} else if assert.Error(t, err, text) {
			assert.Contains(t, err.Error(), want)
		}
	}
	_, err := LoadScenario("no/such/file")
	assert.Error(t, err)
}

func TestGeneratedScenariosRepeat(t *testing.T) {
	seen := map[FaultKind]bool{}
	for seed := range uint64(200) {
		s := GenerateScenario(seed, 12)
		require.NoError(t, s.Validate())
		require.Equal(t, s, GenerateScenario(seed, 12))
		assert.Less(t, s.FaultsEnd(), 8.0, "faults end before two thirds of the length")
		g := GenerateGroupScenario(seed, 12)
		require.NoError(t, g.Validate())
		require.Equal(t, g, GenerateGroupScenario(seed, 12))
		soak := GenerateSoakScenario(seed, 12)
		require.NoError(t, soak.Validate())
		require.Equal(t, soak, GenerateSoakScenario(seed, 12))
		shutdowns := GenerateShutdownSoakScenario(seed, 12)
		require.NoError(t, shutdowns.Validate())
		require.Equal(t, shutdowns, GenerateShutdownSoakScenario(seed, 12))
		for _, f := range slices.Concat(s.Faults, g.Faults, soak.Faults, shutdowns.Faults) {
			seen[f.Kind] = true
		}
	}
	seen["member-lose"] = true // never drawn, because it is permanent
	assert.Len(t, seen, len(faultKinds), "every kind of fault is drawn")
	assert.Len(t, FaultKinds(), len(faultKinds))
	path := filepath.Join(t.TempDir(), "s.json")
	require.NoError(t, GenerateScenario(7, 12).Save(path))
	again, err := LoadScenario(path)
	require.NoError(t, err)
	assert.Equal(t, GenerateScenario(7, 12), again)
}

// Histories and reports refer to scenarios by seed, so a seed must keep giving the same scenario and settings.
func TestGeneratedScenariosAreStable(t *testing.T) {
	recorded := sha256.New()
	for seed := range uint64(200) {
		for _, s := range []*Scenario{GenerateScenario(seed, 12), GenerateGroupScenario(seed, 7), GenerateSoakScenario(seed, 20)} {
			require.NoError(t, json.NewEncoder(recorded).Encode(s))
			recorded.Write([]byte(fleetSettings(s, 3)))
		}
	}
	assert.Equal(t, "3f8e58ffeab38644d28876bb0abecae554978b5c3ab990bdcdd3faeccb514fd5", hex.EncodeToString(recorded.Sum(nil)))
}

func TestShrink(t *testing.T) {
	s := &Scenario{Routers: 9, Engines: 8, Seconds: 12, Load: 0.5, Retries: 2, Faults: []Fault{
		{Kind: "stop", At: 1, For: 2, Routers: []int{0, 1, 2, 3}}, {Kind: "cut", At: 2, For: 3, Routers: []int{1, 4, 5}, Engines: []int{0, 3, 6}}, {Kind: "feed", At: 2, For: 1, Routers: []int{8}}}}
	runs := 0
	smallest := Shrink(s, func(c *Scenario) bool { // fails if the links between router 4 and engine 3 are blocked for at least a second
		runs++
		for _, f := range c.Faults {
			if f.Kind == "cut" && f.For >= 1 {
				for _, r := range f.Routers {
					for _, e := range f.Engines {
						if r == 4 && e == 3 {
							return true
						}
					}
				}
			}
		}
		return false
	})
	require.Len(t, smallest.Faults, 1)
	assert.Equal(t, Fault{Kind: "cut", At: 2, For: 1.5, Routers: []int{4}, Engines: []int{3}}, smallest.Faults[0])
	assert.Zero(t, smallest.Retries)
	assert.Len(t, s.Faults, 3, "the original scenario is unchanged")
	assert.Less(t, runs, 60)
}

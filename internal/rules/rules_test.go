package rules

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParseErrorNamesField(t *testing.T) {
	const valid = `"routers": 3, "engines": {"e": {"phase": "active", "address": "h:1"}}`
	for document, wantError := range map[string]string{
		`{`:                                                     "rules",
		`{"routers": 0}`:                                        "routers: 0",
		`{` + valid + `, "cold_share": 2}`:                      "cold_share: 2",
		`{` + valid + `, "no_such_field": 1}`:                   "no_such_field",
		`{` + valid + `} x`:                                     "rules",
		`{` + valid + `, "warm_after": -1}`:                     "warm_after",
		`{` + valid + `, "parts": {"a": 0.5}}`:                  "parts: all together",
		`{` + valid + `, "shares": {"": 1}}`:                    "shares",
		`{` + valid + `, "kinds": {"": ["k"]}}`:                 "kinds",
		`{` + valid + `, "may_turn_away": [""]}`:                "may_turn_away",
		`{"routers": 1, "engines": {"e": {"phase": "gone"}}}`:   "engines: e: phase",
		`{"routers": 1, "engines": {"e": {"phase": "active"}}}`: "engines: e: address",
		`{"routers": 1, "engines": {"e": {"phase": "active", "address": "h:1"}, "f": {"phase": "active", "address": "h:1"}}}`: "engines: f: address: e has it",
	} {
		t.Run(wantError, func(t *testing.T) {
			_, err := Parse([]byte(document))
			assert.ErrorContains(t, err, wantError, document)
		})
	}
}

func TestParseNormalizesLists(t *testing.T) {
	r, err := Parse([]byte(`{"routers": 3, "may_turn_away": ["b", "a", "b"]}`))
	require.NoError(t, err)
	assert.Equal(t, []string{"a", "b"}, r.SheddableWorkloads)
}

func TestValidateReturnsFieldError(t *testing.T) {
	err := (&Rules{Routers: 1, SlowStartShare: 2}).Validate()
	var fieldError *FieldError
	require.ErrorAs(t, err, &fieldError)
	assert.Equal(t, "cold_share", fieldError.Field)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"routers": 3, "engines": {"e": {"phase": "left"}}, "parts": {"a": 0.1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := Parse(raw)
		if err != nil {
			return
		}
		reparsed, err := Parse(r.Canonical())
		if err != nil || string(reparsed.Canonical()) != string(r.Canonical()) {
			t.Fatalf("%s: encoding changed in a round trip, or error: %v", raw, err)
		}
		if len(ConflictingFields(r, reparsed)) > 0 {
			t.Fatal("rules conflict with themselves")
		}
	})
}

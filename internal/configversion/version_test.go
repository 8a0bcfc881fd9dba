package configversion

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bankledge/internal/rules"
)

// rulesWithEngines returns rules with the active engines e0, e1 and so on, whose machine types alternate between big and small.
func rulesWithEngines(t testing.TB, engines int) *rules.Rules {
	t.Helper()
	r := &rules.Rules{Routers: 3, SlowStartMultiple: 4, SlowStartShare: 0.3, Engines: map[string]rules.Engine{}}
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		r.Engines[id] = rules.Engine{Phase: rules.Active, Address: id + ":1", MachineType: []string{"big", "small"}[i%2]}
	}
	require.NoError(t, r.Validate())
	return r
}

func TestEncodeAndDecode(t *testing.T) {
	first := New(nil, "l1", rulesWithEngines(t, 4), nil, "founded")
	second := New(first, "", rulesWithEngines(t, 5), []string{GuardMaxRemovedShare, GuardNoActiveEngine}, "one more")
	decoded, err := Decode(second.Encode())
	require.NoError(t, err)
	assert.Equal(t, second.Encode(), decoded.Encode())
	assert.Equal(t, uint64(2), decoded.Number)
	assert.Equal(t, "l1", decoded.Lineage)
	assert.NoError(t, decoded.CheckFollows(first))
}

func TestDecodeRejectsTruncatedVersion(t *testing.T) {
	encoded := New(nil, "l1", rulesWithEngines(t, 5), []string{GuardNoActiveEngine}, "a note").Encode()
	for size := range len(encoded) {
		_, err := Decode(encoded[:size])
		require.Error(t, err, "truncated to %d bytes", size)
	}
}

func TestDecodeRejectsModifiedVersion(t *testing.T) {
	modified := *New(nil, "l1", rulesWithEngines(t, 4), nil, "founded")
	modified.Note = "something else"
	_, err := Decode(modified.Encode())
	assert.ErrorIs(t, err, ErrHashMismatch)
	assert.ErrorContains(t, err, "hash")
}

func TestDecodeErrorNamesField(t *testing.T) {
	for wantError, encoded := range map[string]string{
		"number":         `{"number": 0}`,
		"lineage":        `{"number": 1}`,
		"rules: missing": `{"number": 1, "lineage": "l"}`,
		"unknown":        `{"unknown": 1}`,
	} {
		t.Run(wantError, func(t *testing.T) {
			_, err := Decode([]byte(encoded))
			assert.ErrorContains(t, err, wantError)
		})
	}
}

func TestCheckFollows(t *testing.T) {
	first := New(nil, "l1", rulesWithEngines(t, 4), nil, "founded")
	otherFirst := New(nil, "l1", rulesWithEngines(t, 9), nil, "x")
	for wantError, v := range map[string]*Version{
		"another group":  New(nil, "l2", rulesWithEngines(t, 4), nil, ""),
		"another past":   New(otherFirst, "", rulesWithEngines(t, 4), nil, ""),
		"two versions 1": otherFirst,
	} {
		t.Run(wantError, func(t *testing.T) {
			assert.ErrorContains(t, v.CheckFollows(first), wantError)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(New(nil, "l", rulesWithEngines(f, 2), nil, "n").Encode())
	f.Fuzz(func(t *testing.T, raw []byte) {
		v, err := Decode(raw)
		if err != nil {
			return
		}
		redecoded, err := Decode(v.Encode())
		if err != nil || redecoded.Hash != v.Hash {
			t.Fatal("hash changed in a round trip, or error:", err)
		}
	})
}

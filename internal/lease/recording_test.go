package lease

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The recording tests step the state machines with generated events, and hash every action in a text form that does not depend on Go
// identifiers. The hashes were computed at commit 05e118f: a different hash is a change of behaviour.

const (
	ms            = time.Millisecond
	eventsPerSeed = 4000
)

// recording hashes the actions of one state machine.
type recording struct {
	t      *testing.T
	random *rand.Rand
	hash   hash.Hash
	now    time.Duration
	counts map[string]int // of the hashed lines, by kind
}

func newRecording(t *testing.T, seed uint64) *recording {
	return &recording{t: t, random: rand.New(rand.NewPCG(45, seed)), hash: sha256.New(), counts: map[string]int{}}
}

// line hashes one line and counts its kind.
func (r *recording) line(kind, format string, args ...any) {
	r.counts[kind]++
	fmt.Fprintf(r.hash, kind+" "+format+"\n", args...)
}

func (r *recording) sum() string { return hex.EncodeToString(r.hash.Sum(nil)) }

// chance returns true with the given probability.
func (r *recording) chance(probability float64) bool { return r.random.Float64() < probability }

// advance advances the time by a random duration: usually a short one, at times more than a lease duration.
func (r *recording) advance() {
	switch {
	case r.chance(0.5):
		r.now += time.Duration(r.random.IntN(20)) * ms
	case r.chance(0.97):
		r.now += time.Duration(r.random.IntN(300)) * ms
	default:
		r.now += time.Duration(r.random.IntN(5000)) * ms
	}
}

func (r *recording) json(value any) string {
	raw, err := json.Marshal(value)
	require.NoError(r.t, err)
	return string(raw)
}

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

// The recordings drive the state machines with generated events and hash every action, rendered in a form that does not depend on
// identifiers. The hashes were computed at commit 05e118f: a difference is a change of behaviour.

const (
	ms            = time.Millisecond
	eventsPerSeed = 4000
)

// recording hashes the rendered actions of one state machine.
type recording struct {
	t      *testing.T
	random *rand.Rand
	hash   hash.Hash
	now    time.Duration
	counts map[string]int // of each action, by its rendered name
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

// chance reports whether something of this probability happens.
func (r *recording) chance(probability float64) bool { return r.random.Float64() < probability }

// advance lets a random time pass: mostly short, at times more than a lease duration.
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

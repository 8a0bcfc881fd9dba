// Package detrand gives random numbers and hashes that repeat exactly: all derive from FNV-1a over what they are given, so
// that equal seeds give equal decisions at every router and in every run.
package detrand

import (
	"encoding/binary"
	"hash/fnv"
)

// mixer is 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing.
const mixer = 0x9E3779B97F4A7C15

// Source is a sequence of random numbers that its seed determines. One goroutine at a time may use it.
type Source struct {
	Seed  uint64
	count uint64
}

// Float64 returns the next number in [0, 1).
func (s *Source) Float64() float64 {
	s.count++
	return fraction(sum(nil, s.Seed, s.count))
}

// Hash returns a hash of a name and a key. Over many names it serves as their weights in rendezvous hashing.
func Hash(name string, key ...uint64) uint64 {
	return sum([]byte(name), key...)
}

// Fraction returns a number in [0, 1) that a name and a key determine.
func Fraction(name string, key ...uint64) float64 {
	return fraction(Hash(name, key...))
}

// fraction takes as many of the high bits as a float64 holds exactly.
func fraction(x uint64) float64 {
	return float64(x>>11) / (1 << 53)
}

func sum(name []byte, numbers ...uint64) uint64 {
	h := fnv.New64a()
	h.Write(name)
	for _, n := range numbers {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], n)
		h.Write(b[:])
	}
	// FNV mixes the last bytes little into the high bits: spread them.
	x := h.Sum64()
	x ^= x >> 32
	x *= mixer
	return x ^ x>>29
}

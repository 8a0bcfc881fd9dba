// Package detrand provides reproducible random numbers and hashes. All are derived from the FNV-1a hash of their
// inputs, so that equal seeds give equal decisions at every router and in every run.
package detrand

import (
	"encoding/binary"
	"hash/fnv"
)

// fibonacciMultiplier is 2^64 divided by the golden ratio, the multiplier used in Fibonacci hashing.
const fibonacciMultiplier = 0x9E3779B97F4A7C15

// Source is a sequence of random numbers determined by its seed. It is not safe for concurrent use.
type Source struct {
	Seed  uint64
	count uint64
}

// Float64 returns the next number in [0, 1).
func (s *Source) Float64() float64 {
	s.count++
	return fraction(hash64(nil, s.Seed, s.count))
}

// Hash returns a hash of a name and a key. The hashes of many names serve as weights in rendezvous hashing.
func Hash(name string, key ...uint64) uint64 {
	return hash64([]byte(name), key...)
}

// Fraction returns a number in [0, 1) determined by a name and a key.
func Fraction(name string, key ...uint64) float64 {
	return fraction(Hash(name, key...))
}

// fraction converts the 53 high bits of x, as many as a float64 holds exactly, to a number in [0, 1).
func fraction(x uint64) float64 {
	return float64(x>>11) / (1 << 53)
}

func hash64(name []byte, numbers ...uint64) uint64 {
	h := fnv.New64a()
	h.Write(name)
	for _, n := range numbers {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], n)
		h.Write(b[:])
	}
	// In FNV the last bytes hardly affect the high bits, so mix them in.
	x := h.Sum64()
	x ^= x >> 32
	x *= fibonacciMultiplier
	return x ^ x>>29
}

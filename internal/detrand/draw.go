// Package draw makes all chance and all hashing repeatable: FNV over what it is given.
package detrand

import (
	"encoding/binary"
	"hash/fnv"
)

// Source draws numbers from a seed and a counter.
type Source struct {
	Seed, count uint64
}

// Float returns the next number in [0, 1).
func (s *Source) Float64() float64 {
	s.count++
	return float64(sum(nil, s.Seed, s.count)>>11) / (1 << 53)
}

// Rank is the rendezvous weight of a name for a key.
func Hash(name string, key ...uint64) uint64 { return sum([]byte(name), key...) }

// Part is a number in [0, 1) by a name and a key.
func Fraction(name string, key ...uint64) float64 { return float64(Hash(name, key...)>>11) / (1 << 53) }

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
	x *= 0x9E3779B97F4A7C15
	return x ^ x>>29
}

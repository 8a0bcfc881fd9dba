// Package draw makes all chance and all hashing repeatable: FNV over what it is given.
package draw

import (
	"encoding/binary"
	"hash/fnv"
)

// Source draws numbers from a seed and a counter.
type Source struct {
	Seed, count uint64
}

// Float returns the next number in [0, 1).
func (s *Source) Float() float64 {
	s.count++
	return float64(sum(nil, s.Seed, s.count)>>11) / (1 << 53)
}

// Rank is the rendezvous weight of a name for a key.
func Rank(name string, key ...uint64) uint64 { return sum([]byte(name), key...) }

// Place is a member's place in its group, 0 first, by its rank for a name and a key.
func Place(name string, key uint64, member, group int) int {
	place, own := 0, Rank(name, key, uint64(member))
	for other := range group {
		if rank := Rank(name, key, uint64(other)); rank > own || rank == own && other < member {
			place++
		}
	}
	return place
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
	x *= 0x9E3779B97F4A7C15
	return x ^ x>>29
}

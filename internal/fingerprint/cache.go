// Package fingerprint remembers how statements of one fingerprint have run: how long, how that compares with their
// estimates, what memory they needed, and how each declared workload fared among them. A fingerprint is a hash of a
// statement's normalized text (package sqltext), the same for texts that differ only in literals.
//
// It learns only from ends of attempts. The records are bounded in bytes, and fingerprints seen once do not evict frequent ones. The
// package makes no decisions and has no clock.
package fingerprint

import (
	"encoding/binary"

	"github.com/vmihailenco/go-tinylfu"
)

const (
	// RecordBytes is the memory of one record with all its parts and its place in the cache, at most.
	RecordBytes = 2300

	minCacheSize = 16 // records

	// frequencySamplesPerRecord times the cache's size is the number of accesses after which the cache halves the
	// access frequencies that decide about eviction.
	frequencySamplesPerRecord = 10
)

// Cache stores the records of the most frequent fingerprints. It is not safe for concurrent use.
type Cache struct {
	size   int
	lfu    *tinylfu.T
	hits   int64
	misses int64
	key    [8]byte // buffer for the key of the latest fingerprint
}

// NewCache returns a cache of at most maxBytes, but of at least a few records.
func NewCache(maxBytes int64) *Cache {
	size := max(minCacheSize, int(maxBytes/RecordBytes))
	return &Cache{size: size, lfu: tinylfu.New(size, frequencySamplesPerRecord*size)}
}

// Size returns the maximum number of records.
func (c *Cache) Size() int { return c.size }

// Counts returns how often Lookup found a record, and how often not.
func (c *Cache) Counts() (hits, misses int64) { return c.hits, c.misses }

// Lookup notes that a statement with a fingerprint has arrived, and returns the fingerprint's record, or nil.
func (c *Cache) Lookup(fingerprint uint64) *Record {
	record := c.get(fingerprint)
	if record == nil {
		c.misses++
	} else {
		c.hits++
	}
	return record
}

// RecordFor returns the record of a fingerprint of which a run has ended, a new one if necessary. A new one is stored
// only if its fingerprint is looked up more often than the one that it would evict.
func (c *Cache) RecordFor(fingerprint uint64) *Record {
	if record := c.get(fingerprint); record != nil {
		return record
	}
	record := &Record{}
	c.lfu.Set(&tinylfu.Item{Key: string(c.key[:]), Value: record})
	return record
}

// get returns a fingerprint's record, or nil, and leaves the fingerprint's key in c.key.
func (c *Cache) get(fingerprint uint64) *Record {
	binary.LittleEndian.PutUint64(c.key[:], fingerprint)
	found, ok := c.lfu.Get(string(c.key[:]))
	if !ok {
		return nil
	}
	return found.(*Record)
}

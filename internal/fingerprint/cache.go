// Package fingerprint records run times and needed memory of statements by fingerprint: how long they ran, in all and by
// declared workload, and how run time and memory compare with the clients' estimates. A fingerprint is a hash of a
// statement's normalized text (package sqltext), the same for texts that differ only in literals.
//
// Records are updated only when attempts end. A cache bounds the memory of all records; in it, fingerprints seen once do
// not evict frequent ones. The package makes no decisions and reads no clock.
package fingerprint

import (
	"encoding/binary"

	"github.com/vmihailenco/go-tinylfu"
)

const (
	// RecordBytes is an upper bound of the memory of one record, including all its parts and its cache entry.
	RecordBytes = 2300

	minCacheSize = 16 // records

	// frequencySamplesPerRecord times the cache's size is the number of accesses after which the cache halves the access
	// frequencies by which it selects the records to evict.
	frequencySamplesPerRecord = 10
)

// Cache stores the records of the most frequent fingerprints. It is not safe for concurrent use.
type Cache struct {
	size   int
	lfu    *tinylfu.T
	hits   int64
	misses int64
	key    [8]byte // buffer for the key of the last fingerprint looked up
}

// NewCache returns a cache that uses at most maxBytes, but has capacity for at least minCacheSize records.
func NewCache(maxBytes int64) *Cache {
	size := max(minCacheSize, int(maxBytes/RecordBytes))
	return &Cache{size: size, lfu: tinylfu.New(size, frequencySamplesPerRecord*size)}
}

// Size returns the maximum number of records.
func (c *Cache) Size() int { return c.size }

// Counts returns how often Lookup found a record, and how often not.
func (c *Cache) Counts() (hits, misses int64) { return c.hits, c.misses }

// Lookup returns the record of an arrived statement's fingerprint, or nil, and counts the access.
func (c *Cache) Lookup(fingerprint uint64) *Record {
	record := c.get(fingerprint)
	if record == nil {
		c.misses++
	} else {
		c.hits++
	}
	return record
}

// RecordFor returns the record of a fingerprint, a new one if the cache has none. If the cache is full, it stores a new
// record only if its fingerprint has been looked up more often than the one that would be evicted.
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

package store

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/cockroachdb/pebble/v2"
	"google.golang.org/protobuf/proto"
)

// Keys of the database. The key of an entry is the prefix followed by the index in big-endian order, so that entries are sorted by index.
const entryPrefix = byte('l')

var (
	entriesEnd   = []byte{entryPrefix + 1}
	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snapshot")
	ownerKey     = []byte("id")
	sequenceKey  = []byte("seq")
)

const (
	uint64Bytes   = 8
	checksumBytes = 4
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

func entryKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte{entryPrefix}, index)
}

func isEntryKey(key []byte, index uint64) bool {
	return len(key) == 1+uint64Bytes && binary.BigEndian.Uint64(key[1:]) == index
}

// putRecord adds a record to a batch: the big-endian checksum, followed by the encoded message. It panics on an error, which can't happen:
// the library's messages can always be encoded, and a batch is in memory.
func putRecord(batch *pebble.Batch, key []byte, message proto.Message) {
	raw, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	record := binary.BigEndian.AppendUint32(nil, crc32.Checksum(raw, checksumTable))
	record = append(record, raw...)
	if err := batch.Set(key, record, nil); err != nil {
		panic(err)
	}
}

// decodeRecord verifies a record's checksum and decodes its message.
func decodeRecord(record []byte, message proto.Message) error {
	if len(record) < checksumBytes {
		return ErrCorrupted
	}
	raw := record[checksumBytes:]
	if binary.BigEndian.Uint32(record) != crc32.Checksum(raw, checksumTable) {
		return ErrCorrupted
	}
	return proto.Unmarshal(raw, message)
}

package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// sequenceFile is a file with the number of the last synced change and the checksum of the number, both big-endian. The file itself is not
// synced: after a crash it may hold an older number, which only makes the check weaker.
type sequenceFile struct{ file vfs.File }

const sequenceFileBytes = uint64Bytes + checksumBytes

// read returns the number. ok is false if the file holds no valid number, which does not imply that the database is damaged.
func (f *sequenceFile) read() (number uint64, ok bool) {
	raw := make([]byte, sequenceFileBytes)
	n, err := f.file.ReadAt(raw, 0)
	if err != nil || n != len(raw) {
		return 0, false
	}
	if binary.BigEndian.Uint32(raw[uint64Bytes:]) != crc32.Checksum(raw[:uint64Bytes], checksumTable) {
		return 0, false
	}
	return binary.BigEndian.Uint64(raw), true
}

func (f *sequenceFile) write(number uint64) error {
	raw := binary.BigEndian.AppendUint64(nil, number)
	raw = binary.BigEndian.AppendUint32(raw, crc32.Checksum(raw, checksumTable))
	_, err := f.file.WriteAt(raw, 0)
	return err
}

func (f *sequenceFile) close() { f.file.Close() }

// openSequence reads the number of the last change from the database, and rejects a database with a lower number than the one in the
// file, since it has lost synced changes.
func (s *Store) openSequence(fs vfs.FS, path string) error {
	if err := s.readSequence(); err != nil {
		return wrapCorruption(err)
	}
	file, err := fs.OpenReadWrite(path, vfs.WriteCategoryUnspecified)
	if err != nil {
		return err
	}
	s.sequenceFile = &sequenceFile{file: file}
	synced, ok := s.sequenceFile.read()
	if ok && synced > s.sequence {
		return fmt.Errorf("%w: last stored change is %d, but change %d was synced", ErrCorrupted, s.sequence, synced)
	}
	return nil
}

func (s *Store) readSequence() error {
	raw, closer, err := s.db.Get(sequenceKey)
	if errors.Is(err, pebble.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	defer closer.Close()
	if len(raw) != uint64Bytes {
		return ErrCorrupted
	}
	s.sequence = binary.BigEndian.Uint64(raw)
	return nil
}

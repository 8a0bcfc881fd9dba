// Package store keeps one process's replica of the Raft log on disk, in the embedded key-value store Pebble. Each change is one batch that
// is synced before Save returns, so acknowledged changes survive a crash at any point.
//
// Pebble verifies a checksum of each block that it reads, and drops the tail of its log that was not synced. In addition each record here
// has its own checksum. Damage near the end of Pebble's log looks like an unsynced tail. To detect it, changes are numbered, and the number
// of the last synced change is written to a separate file: a database whose last change has a lower number has lost synced data.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"bankledge/internal/consensus"
)

// Names of the database's folder and of the sequence file in a process's folder.
const (
	databaseName = "log"
	sequenceName = "mark"
)

const (
	folderMode    = 0o700
	memTableBytes = 4 << 20
)

// ErrCorrupted reports that stored data was damaged, or that synced data is missing.
var ErrCorrupted = errors.New("stored data is damaged: remove this process from the group, and add it again with an empty folder")

// errOtherOwner reports that a folder belongs to a process with another id.
var errOtherOwner = errors.New("folder belongs to a process with another id")

// Store is one process's replica of the log on disk. It is not safe for concurrent use.
type Store struct {
	db           *pebble.DB
	sequence     uint64 // number of the last change
	sequenceFile *sequenceFile
}

// Open opens or creates the store of the process with this id in a folder. It fails if another process has the folder open, if the
// folder belongs to another id, and with ErrCorrupted if the stored data is damaged.
func Open(dir string, id uint64) (*Store, error) { return OpenFS(vfs.Default, dir, id) }

// OpenFS is Open on a given file system, such as one that injects faults in a test.
func OpenFS(fs vfs.FS, dir string, id uint64) (store *Store, err error) {
	defer recoverError(&err)
	if fs == vfs.Default {
		if err := os.MkdirAll(dir, folderMode); err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
	}
	db, err := pebble.Open(filepath.Join(dir, databaseName), &pebble.Options{
		FS:           fs,
		Logger:       panicLogger{},
		MemTableSize: memTableBytes,
		// The newest format distinguishes damaged synced data from a tail that was never synced.
		FormatMajorVersion: pebble.FormatNewest,
	})
	switch {
	case pebble.IsCorruptionError(err):
		return nil, fmt.Errorf("store: %w: %w", ErrCorrupted, err)
	case err != nil:
		return nil, fmt.Errorf("store: cannot open the database, another process may have it open: %w", err)
	}
	s := &Store{db: db}
	ownerErr := s.ensureOwner(id)
	sequenceErr := s.openSequence(fs, filepath.Join(dir, sequenceName))
	if err := errors.Join(ownerErr, sequenceErr); err != nil {
		s.Close()
		return nil, fmt.Errorf("store: %w", err)
	}
	return s, nil
}

// ensureOwner writes the owner's id to a new store, and rejects a store that belongs to another process.
func (s *Store) ensureOwner(id uint64) error {
	raw, closer, err := s.db.Get(ownerKey)
	if errors.Is(err, pebble.ErrNotFound) {
		return s.db.Set(ownerKey, binary.BigEndian.AppendUint64(nil, id), pebble.Sync)
	}
	if err != nil {
		return wrapCorruption(err)
	}
	defer closer.Close()
	if len(raw) != uint64Bytes || binary.BigEndian.Uint64(raw) != id {
		return errOtherOwner
	}
	return nil
}

// Load reads and verifies the stored state. Entries that the snapshot covers are left out.
func (s *Store) Load() (state consensus.PersistentState, err error) {
	defer recoverError(&err)
	if state, err = s.readState(); err != nil {
		return consensus.PersistentState{}, fmt.Errorf("store: %w", err)
	}
	snapshotIndex := state.Snapshot.GetMetadata().GetIndex()
	if len(state.Entries) > 0 && state.Entries[0].GetIndex() > snapshotIndex+1 {
		return consensus.PersistentState{}, fmt.Errorf("store: first entry is %d, but the snapshot ends at %d: %w", state.Entries[0].GetIndex(), snapshotIndex, ErrCorrupted)
	}
	for len(state.Entries) > 0 && state.Entries[0].GetIndex() <= snapshotIndex {
		state.Entries = state.Entries[1:]
	}
	return state, nil
}

func (s *Store) readState() (state consensus.PersistentState, err error) {
	hardState := new(pb.HardState)
	found, err := s.readRecord(hardStateKey, hardState)
	if err != nil {
		return state, err
	}
	if found {
		state.HardState = hardState
	}
	snapshot := new(pb.Snapshot)
	found, err = s.readRecord(snapshotKey, snapshot)
	if err != nil {
		return state, err
	}
	if found {
		state.Snapshot = snapshot
	}
	state.Entries, err = s.readEntries()
	return state, err
}

// readRecord reads the record of a key. found is false if there is none.
func (s *Store) readRecord(key []byte, message proto.Message) (found bool, err error) {
	raw, closer, err := s.db.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return false, nil
	}
	if err == nil {
		err = decodeRecord(raw, message)
		closer.Close()
	}
	if err != nil {
		return false, fmt.Errorf("read record %q: %w", key, wrapCorruption(err))
	}
	return true, nil
}

// readEntries reads all entries, and checks that their indexes are consecutive.
func (s *Store) readEntries() ([]*pb.Entry, error) {
	iterator, err := s.db.NewIter(&pebble.IterOptions{LowerBound: entryKey(0), UpperBound: entriesEnd})
	if err != nil {
		return nil, wrapCorruption(err)
	}
	defer iterator.Close()
	var entries []*pb.Entry
	for valid := iterator.First(); valid; valid = iterator.Next() {
		entry := new(pb.Entry)
		if err := decodeRecord(iterator.Value(), entry); err != nil {
			return nil, fmt.Errorf("decode entry: %w", err)
		}
		isConsecutive := len(entries) == 0 || entry.GetIndex() == entries[len(entries)-1].GetIndex()+1
		if !isConsecutive || !isEntryKey(iterator.Key(), entry.GetIndex()) {
			return nil, fmt.Errorf("entry %d is not consecutive, or stored under another index: %w", entry.GetIndex(), ErrCorrupted)
		}
		entries = append(entries, entry)
	}
	return entries, wrapCorruption(iterator.Error())
}

// Save writes a change, and syncs it before it returns. A snapshot replaces the entries that it covers; entries replace all entries from
// the index of the first one on. After an error the process must not send anything that depends on the change.
func (s *Store) Save(change consensus.PersistentState) (err error) {
	defer recoverError(&err)
	batch := s.db.NewBatch()
	defer batch.Close()
	if change.Snapshot != nil {
		putRecord(batch, snapshotKey, change.Snapshot)
		firstKept := change.Snapshot.GetMetadata().GetIndex() + 1
		batch.DeleteRange(entryKey(0), entryKey(firstKept), nil)
	}
	if change.HardState != nil {
		putRecord(batch, hardStateKey, change.HardState)
	}
	if len(change.Entries) > 0 {
		batch.DeleteRange(entryKey(change.Entries[0].GetIndex()), entriesEnd, nil)
	}
	for _, entry := range change.Entries {
		putRecord(batch, entryKey(entry.GetIndex()), entry)
	}
	s.sequence++
	if err := batch.Set(sequenceKey, binary.BigEndian.AppendUint64(nil, s.sequence), nil); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := batch.Commit(pebble.Sync); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := s.sequenceFile.write(s.sequence); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// Size returns the number of bytes that the store takes on disk.
func (s *Store) Size() uint64 { return s.db.Metrics().DiskSpaceUsage() }

// Close closes the database and the sequence file.
func (s *Store) Close() (err error) {
	defer recoverError(&err)
	if s.sequenceFile != nil {
		s.sequenceFile.close()
	}
	return s.db.Close()
}

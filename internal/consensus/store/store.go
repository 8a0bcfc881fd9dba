// Package store keeps one process's part of the replicated log on disk, in the embedded key-value store Pebble. Each change is one
// batch that is synced before Save returns, so whatever was acknowledged survives a crash at any point.
//
// Pebble verifies checksums on all that it reads and drops a tail of its log that was not synced; each record here has a checksum of
// its own in addition. Damage near the end of Pebble's log looks like an unsynced tail, so changes are numbered, and the number of
// the last one that was synced is written to a file beside the database: a database that ends before it has lost synced data.
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

// Names in a process's folder.
const (
	databaseName = "log"
	sequenceName = "mark"
)

const (
	folderMode    = 0o700
	memTableBytes = 4 << 20
)

// ErrCorrupted reports that stored data was damaged, or that synced data is missing.
var ErrCorrupted = errors.New("the store is damaged: remove this process from the group, and add it anew with an empty folder")

// errOtherOwner is returned for a folder that belongs to a process with another id.
var errOtherOwner = errors.New("it is another process's: its id differs")

// Store is one process's part of the log on disk. It is used by one goroutine.
type Store struct {
	db           *pebble.DB
	sequence     uint64 // number of the last change
	sequenceFile *sequenceFile
}

// Open opens or creates the store of the process with this id in a folder. It fails if another process has the folder open, if the
// folder belongs to another id, and with ErrCorrupted if the stored data is damaged.
func Open(dir string, id uint64) (*Store, error) { return OpenFS(vfs.Default, dir, id) }

// OpenFS is Open on another file system, such as one that fails in a test.
func OpenFS(fs vfs.FS, dir string, id uint64) (store *Store, err error) {
	defer recoverError(&err)
	if fs == vfs.Default {
		if err := os.MkdirAll(dir, folderMode); err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
	}
	db, err := pebble.Open(filepath.Join(dir, databaseName), &pebble.Options{
		FS:           fs,
		Logger:       fatalLogger{},
		MemTableSize: memTableBytes,
		// The newest format tells synced data that is damaged from a tail that was never synced.
		FormatMajorVersion: pebble.FormatNewest,
	})
	switch {
	case pebble.IsCorruptionError(err):
		return nil, fmt.Errorf("store: %w: %w", ErrCorrupted, err)
	case err != nil:
		return nil, fmt.Errorf("store: is it another process's? %w", err)
	}
	s := &Store{db: db}
	ownerErr := s.claim(id)
	sequenceErr := s.openSequence(fs, filepath.Join(dir, sequenceName))
	if err := errors.Join(ownerErr, sequenceErr); err != nil {
		s.Close()
		return nil, fmt.Errorf("store: %w", err)
	}
	return s, nil
}

// claim writes the owner's id to a new store, and rejects a store that belongs to another process.
func (s *Store) claim(id uint64) error {
	raw, closer, err := s.db.Get(ownerKey)
	if errors.Is(err, pebble.ErrNotFound) {
		return s.db.Set(ownerKey, binary.BigEndian.AppendUint64(nil, id), pebble.Sync)
	}
	if err != nil {
		return corruption(err)
	}
	defer closer.Close()
	if len(raw) != uint64Bytes || binary.BigEndian.Uint64(raw) != id {
		return errOtherOwner
	}
	return nil
}

// Load reads and verifies all that is stored. Entries that the snapshot covers are left out.
func (s *Store) Load() (state consensus.PersistentState, err error) {
	defer recoverError(&err)
	if state, err = s.readState(); err != nil {
		return consensus.PersistentState{}, fmt.Errorf("store: %w", err)
	}
	snapshotIndex := state.Snapshot.GetMetadata().GetIndex()
	if len(state.Entries) > 0 && state.Entries[0].GetIndex() > snapshotIndex+1 {
		return consensus.PersistentState{}, fmt.Errorf("store: entries from %d, the snapshot ends at %d: %w", state.Entries[0].GetIndex(), snapshotIndex, ErrCorrupted)
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

// readRecord reads the record of a key; found is false if there is none.
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
		return false, fmt.Errorf("%s: %w", key, corruption(err))
	}
	return true, nil
}

// readEntries reads all entries; their indexes have to follow on each other.
func (s *Store) readEntries() ([]*pb.Entry, error) {
	iterator, err := s.db.NewIter(&pebble.IterOptions{LowerBound: entryKey(0), UpperBound: entriesEnd})
	if err != nil {
		return nil, corruption(err)
	}
	defer iterator.Close()
	var entries []*pb.Entry
	for valid := iterator.First(); valid; valid = iterator.Next() {
		entry := new(pb.Entry)
		if err := decodeRecord(iterator.Value(), entry); err != nil {
			return nil, fmt.Errorf("entry: %w", err)
		}
		follows := len(entries) == 0 || entry.GetIndex() == entries[len(entries)-1].GetIndex()+1
		if !follows || !isEntryKey(iterator.Key(), entry.GetIndex()) {
			return nil, fmt.Errorf("entry %d: %w", entry.GetIndex(), ErrCorrupted)
		}
		entries = append(entries, entry)
	}
	return entries, corruption(iterator.Error())
}

// Save writes a change and syncs it before it returns: a snapshot replaces the entries that it covers, entries replace all from the
// index of the first one on. After an error nothing that depends on the change may leave the process.
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

// Size is how many bytes the store takes on disk.
func (s *Store) Size() uint64 { return s.db.Metrics().DiskSpaceUsage() }

// Close closes the files.
func (s *Store) Close() (err error) {
	defer recoverError(&err)
	if s.sequenceFile != nil {
		s.sequenceFile.close()
	}
	return s.db.Close()
}

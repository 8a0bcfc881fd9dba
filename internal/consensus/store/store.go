// Package store keeps one process's part of the replicated log on disk, in an embedded store (Pebble): each change is one batch that
// is synced before Save returns, so that what was acknowledged outlives a crash at any byte. Pebble checks all that it reads by
// checksums and drops a tail that was not synced; each record has one more, over what was written as a whole. Damage near the end of its
// log looks like such a tail, so each change has a number, which is noted in a file beside it once the change is synced: a store that
// ends before that number has lost what it had kept.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"bankledge/internal/consensus"
)

var (
	logKeys = byte('l') // and the index, big-endian
	hardKey = []byte("hard")
	snapKey = []byte("snapshot")
	idKey   = []byte("id")
	seqKey  = []byte("seq")
	table   = crc32.MakeTable(crc32.Castagnoli)
)

// ErrDamaged tells that what was read is not what was written.
var ErrCorrupted = errors.New("the store is damaged: remove this process from the group, and add it anew with an empty folder")

// Store is one process's disk. It is used by one goroutine.
type Store struct {
	db   *pebble.DB
	seq  uint64   // of the last change
	mark vfs.File // its number, once it is synced
}

// Open opens or makes the store of a process in a folder. Two processes can't have the same one, nor one process another's.
func Open(dir string, id uint64) (*Store, error) { return OpenFS(vfs.Default, dir, id) }

// OpenOn does so on a file system, such as one that fails in a test.
func OpenFS(fs vfs.FS, dir string, id uint64) (s *Store, err error) {
	defer recovered(&err)
	if fs == vfs.Default {
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
	}
	db, err := pebble.Open(filepath.Join(dir, "log"), &pebble.Options{FS: fs, Logger: quiet{}, MemTableSize: 4 << 20,
		FormatMajorVersion: pebble.FormatNewest}) // with it, what was synced and is damaged is told from a tail that was not synced
	switch {
	case pebble.IsCorruptionError(err):
		return nil, fmt.Errorf("store: %w: %w", ErrCorrupted, err)
	case err != nil:
		return nil, fmt.Errorf("store: is it another process's? %w", err)
	}
	s = &Store{db: db}
	if err := errors.Join(s.own(id), s.marked(fs, filepath.Join(dir, "mark"))); err != nil {
		s.Close()
		return nil, fmt.Errorf("store: %w", err)
	}
	return s, nil
}

// marked compares the number of the last change with the one that was noted. A note that can't be read says nothing.
func (s *Store) marked(fs vfs.FS, path string) error {
	raw, done, err := s.db.Get(seqKey)
	if err == nil {
		s.seq = binary.BigEndian.Uint64(append(make([]byte, 8), raw...)[len(raw):])
		err = done.Close()
	}
	if err != nil && !errors.Is(err, pebble.ErrNotFound) {
		return damaged(err)
	}
	if s.mark, err = fs.OpenReadWrite(path, vfs.WriteCategoryUnspecified); err != nil {
		return err
	}
	noted := make([]byte, 12)
	if n, err := s.mark.ReadAt(noted, 0); n == len(noted) && err == nil && binary.BigEndian.Uint32(noted[8:]) == crc32.Checksum(noted[:8], table) {
		if number := binary.BigEndian.Uint64(noted); number > s.seq {
			return fmt.Errorf("%w: it ends at change %d, and %d was synced", ErrCorrupted, s.seq, number)
		}
	}
	return nil
}

// note notes that the last change is synced. It need not be synced itself: an older note asks for less.
func (s *Store) note() error {
	raw := binary.BigEndian.AppendUint64(nil, s.seq)
	_, err := s.mark.WriteAt(binary.BigEndian.AppendUint32(raw, crc32.Checksum(raw, table)), 0)
	return err
}

// own notes whose store it is, or finds out that it is another process's.
func (s *Store) own(id uint64) error {
	raw, done, err := s.db.Get(idKey)
	switch {
	case errors.Is(err, pebble.ErrNotFound):
		return s.db.Set(idKey, binary.BigEndian.AppendUint64(nil, id), pebble.Sync)
	case err != nil:
		return damaged(err)
	}
	defer done.Close()
	if len(raw) != 8 || binary.BigEndian.Uint64(raw) != id {
		return errors.New("it is another process's: its id differs")
	}
	return nil
}

// quiet drops what the embedded store says of its files; what it can't go on from ends the process that has it.
type quiet struct{}

func (quiet) Infof(string, ...any)           {}
func (quiet) Errorf(string, ...any)          {}
func (quiet) Fatalf(format string, a ...any) { panic(fmt.Sprintf(format, a...)) }

// recovered turns what the embedded store can't go on from into an error.
func recovered(err *error) {
	if p := recover(); p != nil {
		*err = fmt.Errorf("store: %v", p)
	}
}

func damaged(err error) error {
	if pebble.IsCorruptionError(err) {
		return fmt.Errorf("%w: %w", ErrCorrupted, err)
	}
	return err
}

// Load reads all that is kept, checked.
func (s *Store) Load() (kept consensus.PersistentState, err error) {
	defer recovered(&err)
	if kept, err = s.load(); err != nil {
		return consensus.PersistentState{}, fmt.Errorf("store: %w", err)
	}
	snap := kept.Snapshot.GetMetadata().GetIndex()
	if len(kept.Entries) > 0 && kept.Entries[0].GetIndex() > snap+1 {
		return consensus.PersistentState{}, fmt.Errorf("store: entries from %d, the snapshot ends at %d: %w", kept.Entries[0].GetIndex(), snap, ErrCorrupted)
	}
	for len(kept.Entries) > 0 && kept.Entries[0].GetIndex() <= snap { // kept for those who are behind only as long as the process runs
		kept.Entries = kept.Entries[1:]
	}
	return kept, nil
}

func (s *Store) load() (kept consensus.PersistentState, err error) {
	hard, snap := new(pb.HardState), new(pb.Snapshot)
	for key, into := range map[string]proto.Message{string(hardKey): hard, string(snapKey): snap} {
		raw, done, err := s.db.Get([]byte(key))
		if errors.Is(err, pebble.ErrNotFound) {
			continue
		}
		if err == nil {
			err = open(raw, into)
			done.Close()
		}
		if err != nil {
			return kept, fmt.Errorf("%s: %w", key, damaged(err))
		}
		if into == hard {
			kept.HardState = hard
		} else {
			kept.Snapshot = snap
		}
	}
	entries, err := s.db.NewIter(&pebble.IterOptions{LowerBound: index(0), UpperBound: []byte{logKeys + 1}})
	if err != nil {
		return kept, damaged(err)
	}
	defer entries.Close()
	next := uint64(0)
	for ok := entries.First(); ok; ok = entries.Next() {
		e := new(pb.Entry)
		if err := open(entries.Value(), e); err != nil {
			return kept, fmt.Errorf("entry: %w", err)
		}
		if key := entries.Key(); len(key) != 9 || binary.BigEndian.Uint64(key[1:]) != e.GetIndex() || next != 0 && e.GetIndex() != next {
			return kept, fmt.Errorf("entry %d: %w", e.GetIndex(), ErrCorrupted)
		}
		next = e.GetIndex() + 1
		kept.Entries = append(kept.Entries, e)
	}
	return kept, damaged(entries.Error())
}

// Save keeps a change; it has been synced when this returns. After an error nothing may be said to anybody that rests on it.
func (s *Store) Save(change consensus.PersistentState) (err error) {
	defer recovered(&err)
	b := s.db.NewBatch()
	defer b.Close()
	if change.Snapshot != nil {
		put(b, snapKey, change.Snapshot)
		b.DeleteRange(index(0), index(change.Snapshot.GetMetadata().GetIndex()+1), nil)
	}
	if change.HardState != nil {
		put(b, hardKey, change.HardState)
	}
	if len(change.Entries) > 0 { // what was written from there on before is replaced
		b.DeleteRange(index(change.Entries[0].GetIndex()), []byte{logKeys + 1}, nil)
	}
	for _, e := range change.Entries {
		put(b, index(e.GetIndex()), e)
	}
	s.seq++
	if err := b.Set(seqKey, binary.BigEndian.AppendUint64(nil, s.seq), nil); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := b.Commit(pebble.Sync); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	if err := s.note(); err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

// Size is how many bytes the store has on disk.
func (s *Store) Size() uint64 { return s.db.Metrics().DiskSpaceUsage() }

// Close gives the files back.
func (s *Store) Close() (err error) {
	defer recovered(&err)
	if s.mark != nil {
		s.mark.Close()
	}
	return s.db.Close()
}

func index(i uint64) []byte { return binary.BigEndian.AppendUint64([]byte{logKeys}, i) }

// put writes a record behind its checksum. The library's messages can always be written, and a batch is memory.
func put(b *pebble.Batch, key []byte, m proto.Message) {
	raw, err := proto.Marshal(m)
	if err == nil {
		err = b.Set(key, append(binary.BigEndian.AppendUint32(nil, crc32.Checksum(raw, table)), raw...), nil)
	}
	if err != nil {
		panic(err)
	}
}

// open reads a record and checks it.
func open(raw []byte, into proto.Message) error {
	if len(raw) < 4 || binary.BigEndian.Uint32(raw) != crc32.Checksum(raw[4:], table) {
		return ErrCorrupted
	}
	return proto.Unmarshal(raw[4:], into)
}

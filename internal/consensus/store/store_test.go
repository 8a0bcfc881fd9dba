package store

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"bankledge/internal/consensus"
)

func entries(first, last, term uint64) []*pb.Entry {
	var list []*pb.Entry
	for index := first; index <= last; index++ {
		list = append(list, &pb.Entry{
			Index: proto.Uint64(index),
			Term:  proto.Uint64(term),
			Data:  []byte{byte(index), byte(term)},
		})
	}
	return list
}

func snapshot(index uint64) *pb.Snapshot {
	return &pb.Snapshot{
		Data: []byte("state"),
		Metadata: &pb.SnapshotMetadata{
			Index:     proto.Uint64(index),
			Term:      proto.Uint64(1),
			ConfState: &pb.ConfState{Voters: []uint64{1}},
		},
	}
}

func hardState(term, commit uint64) *pb.HardState {
	return &pb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(1), Commit: proto.Uint64(commit)}
}

// save saves changes, and fails the test on an error.
func save(t *testing.T, s *Store, changes ...consensus.PersistentState) {
	t.Helper()
	for _, change := range changes {
		require.NoError(t, s.Save(change))
	}
}

// Load returns everything that was saved and not replaced later; a snapshot replaces the entries that it covers.
func TestSaveAndLoad(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir, 1)
	require.NoError(t, err)
	save(t, s,
		consensus.PersistentState{Snapshot: snapshot(1), HardState: hardState(1, 1)},
		consensus.PersistentState{Entries: entries(2, 9, 1)},
		consensus.PersistentState{Entries: entries(6, 7, 2), HardState: hardState(2, 5)},
		consensus.PersistentState{Snapshot: snapshot(3)},
	)
	_, err = Open(dir, 1)
	assert.ErrorContains(t, err, "another process may have it open")
	require.NoError(t, s.Close())
	_, err = Open(dir, 2)
	assert.ErrorIs(t, err, errOtherOwner)
	assert.ErrorContains(t, err, "belongs to a process with another id")

	s, err = Open(dir, 1)
	require.NoError(t, err)
	defer s.Close()
	loaded, err := s.Load()
	require.NoError(t, err)
	var indexes, terms []uint64
	for _, entry := range loaded.Entries {
		indexes = append(indexes, entry.GetIndex())
		terms = append(terms, entry.GetTerm())
	}
	assert.Equal(t, []uint64{4, 5, 6, 7}, indexes)
	assert.Equal(t, []uint64{1, 1, 2, 2}, terms)
	assert.Equal(t, uint64(3), loaded.Snapshot.GetMetadata().GetIndex())
	assert.Equal(t, uint64(2), loaded.HardState.GetTerm())
	assert.Greater(t, s.Size(), uint64(0))
}

// Save returns an error if a write or a sync fails, and data that was synced before is not lost.
func TestFailingDisk(t *testing.T) {
	var fails atomic.Bool
	memory := vfs.NewCrashableMem()
	fs := errorfs.Wrap(memory, errorfs.InjectorFunc(func(op errorfs.Op) error {
		if !fails.Load() {
			return nil
		}
		switch op.Kind {
		case errorfs.OpFileSync, errorfs.OpFileSyncData, errorfs.OpFileSyncTo, errorfs.OpFileWrite:
			return errors.New("no space left on device")
		}
		return nil
	}))
	s, err := OpenFS(fs, "d", 1)
	require.NoError(t, err)
	save(t, s, consensus.PersistentState{Entries: entries(1, 3, 1)})
	fails.Store(true)
	assert.ErrorContains(t, s.Save(consensus.PersistentState{Entries: entries(4, 5, 1)}), "no space left")

	s, err = OpenFS(memory.CrashClone(vfs.CrashCloneCfg{}), "d", 1)
	require.NoError(t, err)
	defer s.Close()
	loaded, err := s.Load()
	require.NoError(t, err)
	assert.GreaterOrEqual(t, len(loaded.Entries), 3)
}

// Open returns an error if the folder can't be created.
func TestFolderIsAFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	_, err := Open(file, 1)
	assert.ErrorContains(t, err, "store")
}

// After a power loss Load returns all changes for which Save had returned, whichever unsynced data the disk has lost.
func TestPowerLoss(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 60 {
		memory := vfs.NewCrashableMem()
		s, err := OpenFS(memory, "d", 1)
		require.NoError(t, err)
		lastIndex, snapshotIndex := uint64(0), uint64(0)
		for range 1 + random.IntN(30) {
			count := 1 + random.Uint64N(20)
			save(t, s, consensus.PersistentState{Entries: entries(lastIndex+1, lastIndex+count, 1)})
			lastIndex += count
			if random.IntN(5) == 0 {
				snapshotIndex = lastIndex - random.Uint64N(count)
				save(t, s, consensus.PersistentState{Snapshot: snapshot(snapshotIndex)})
			}
		}
		crashed := memory.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: random.IntN(101), RNG: random})
		s.Close()

		reopened, err := OpenFS(crashed, "d", 1)
		require.NoError(t, err)
		loaded, err := reopened.Load()
		require.NoError(t, err)
		assert.Equal(t, snapshotIndex, loaded.Snapshot.GetMetadata().GetIndex())
		assert.Len(t, loaded.Entries, int(lastIndex-snapshotIndex))
		require.NoError(t, reopened.Close())
	}
}

// loadsWithFile reports whether a copy of a stored folder can be loaded after the content of one file was replaced. If so, the loaded entries
// have to be the stored ones: 2 to 60.
func loadsWithFile(t *testing.T, dir, name string, content []byte) bool {
	t.Helper()
	folder := t.TempDir()
	require.NoError(t, os.CopyFS(folder, os.DirFS(dir)))
	require.NoError(t, os.WriteFile(filepath.Join(folder, databaseName, name), content, 0o600))
	s, err := Open(folder, 1)
	if err != nil {
		return false
	}
	defer s.Close()
	loaded, err := s.Load()
	if err != nil {
		return false
	}
	for i, entry := range loaded.Entries {
		require.Equal(t, []byte{byte(i + 2), 1}, entry.GetData(), name)
	}
	require.Len(t, loaded.Entries, 59, "%s: synced entries are lost without an error", name)
	return true
}

// A truncated file or a changed byte is detected, or has no effect on the loaded data: synced data is never returned with other values, and
// never lost without an error.
func TestDamagedFiles(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir, 1)
	require.NoError(t, err)
	save(t, s, consensus.PersistentState{Snapshot: snapshot(1), HardState: hardState(1, 1), Entries: entries(2, 60, 1)})
	require.NoError(t, s.Close())
	files, err := filepath.Glob(filepath.Join(dir, databaseName, "*"))
	require.NoError(t, err)
	detected := 0
	for _, file := range files {
		content, err := os.ReadFile(file)
		require.NoError(t, err)
		name := filepath.Base(file)
		require.True(t, loadsWithFile(t, dir, name, content), name)
		content = bytes.TrimRight(content, "\x00") // preallocated space
		if len(content) <= 12 {
			continue
		}
		for quarter := range 4 {
			at := len(content) * quarter / 4
			if !loadsWithFile(t, dir, name, content[:at]) {
				detected++
			}
			changed := bytes.Clone(content)
			changed[at] ^= 0x5a
			if !loadsWithFile(t, dir, name, changed) {
				detected++
			}
		}
	}
	assert.Greater(t, detected, 5)
}

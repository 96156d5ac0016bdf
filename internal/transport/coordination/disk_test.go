package coordination

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"aniseloft/internal/consensus"
	"aniseloft/internal/testdir"
)

// drawUpdate draws an update that a replica may persist while its log ends at lastIndex, with the update's compact
// index and the log's new last index.
func drawUpdate(rt *rapid.T, lastIndex uint64) (update consensus.PersistentState, compactIndex, newLastIndex uint64) {
	if rapid.Bool().Draw(rt, "hard") {
		update.HardState = &raftpb.HardState{Term: new(rapid.Uint64().Draw(rt, "term"))}
	}
	switch kind := rapid.IntRange(0, 3).Draw(rt, "snapshot"); {
	case kind == 1 && lastIndex > 0: // the replica's own snapshot of applied entries
		compactIndex = uint64(rapid.IntRange(1, int(lastIndex)).Draw(rt, "compact"))
		update.Snapshot = &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{Index: new(compactIndex)}}
	case kind == 2: // the leader's snapshot, which replaces the log
		lastIndex += 5
		update.Snapshot = &raftpb.Snapshot{Metadata: &raftpb.SnapshotMetadata{Index: new(lastIndex)}}
	}
	count := rapid.IntRange(0, 4).Draw(rt, "entries")
	if count == 0 {
		return update, compactIndex, lastIndex
	}
	firstIndex := lastIndex + 1
	if update.Snapshot == nil && lastIndex > 2 && rapid.Bool().Draw(rt, "again") {
		firstIndex = lastIndex - 1 // a new leader overwrites entries that were not committed
	}
	for i := range uint64(count) {
		update.Entries = append(update.Entries, &raftpb.Entry{Index: new(firstIndex + i), Term: new(rapid.Uint64().Draw(rt, "t")), Data: []byte("x")})
	}
	return update, compactIndex, firstIndex + uint64(count) - 1
}

// After any sequence of saves openDisk must return the state that PersistentState.Merge computes from them.
func TestDiskRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir, err := os.MkdirTemp(testdir.Dir(t), "replica")
		require.NoError(rt, err)
		d, want, err := openDisk(dir, 7)
		require.NoError(rt, err)
		lastIndex := uint64(0)
		for range rapid.IntRange(1, 8).Draw(rt, "saves") {
			var update consensus.PersistentState
			var compactIndex uint64
			update, compactIndex, lastIndex = drawUpdate(rt, lastIndex)
			require.NoError(rt, d.save(&update, compactIndex))
			want = want.Merge(update, compactIndex)
		}
		replicaID := d.replicaID
		require.NoError(rt, d.close())
		d, got, err := openDisk(dir, 7)
		require.NoError(rt, err)
		require.Equal(rt, replicaID, d.replicaID)
		require.True(rt, proto.Equal(want.HardState, got.HardState) || want.HardState == nil && got.HardState == nil)
		require.True(rt, proto.Equal(want.Snapshot, got.Snapshot) || want.Snapshot == nil && got.Snapshot == nil)
		require.Len(rt, got.Entries, len(want.Entries))
		for i := range want.Entries {
			require.True(rt, proto.Equal(want.Entries[i], got.Entries[i]))
		}
		require.NoError(rt, d.close())
	})
}

func TestOpenDiskRejectsForeignOrDamagedDatabase(t *testing.T) {
	dir := testdir.Dir(t)
	d, _, err := openDisk(dir, 7)
	require.NoError(t, err)
	_, _, err = openDisk(dir, 7)
	require.ErrorContains(t, err, "in use by another process")
	require.NoError(t, d.close())
	_, _, err = openDisk(dir, 8)
	require.ErrorContains(t, err, "belongs to another installation")
	removedID := d.replicaID
	require.NoError(t, d.remove())
	d, _, err = openDisk(dir, 8)
	require.NoError(t, err)
	require.NotEqual(t, removedID, d.replicaID, "a new database must have a new replica ID")
	require.NoError(t, d.close())
	require.NoError(t, os.WriteFile(filepath.Join(dir, dbFileName), []byte("not a database, but long enough to be looked at"), 0o600))
	_, _, err = openDisk(dir, 8)
	require.ErrorContains(t, err, "move it away")
}

package coordination

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"aniseloft/internal/consensus"
	"aniseloft/internal/fleetconf"
	"aniseloft/internal/lease"
	"aniseloft/internal/protocol/fleet"
	"aniseloft/internal/testdir"
	"aniseloft/internal/transport/leasebackend"
)

// The files under testdata were written by the release before the types stored in them were first renamed, with
//
//	go test ./internal/transport/coordination -run 'TestStored|TestRaftMessage|TestPublication' -update
var update = flag.Bool("update", false, "rewrite the fixtures")

// golden returns the content of a fixture, after writing it if -update is set.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.WriteFile(path, got, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	return want
}

const storedInstallation = 7

var storedJobs = []string{lease.JobPruneRecord, lease.JobReadJournal}

// startStored starts the only replica of a group from a stored state.
func startStored(t *testing.T, replicaID uint64, state consensus.PersistentState) *consensus.Replica {
	t.Helper()
	r, err := consensus.NewReplica(consensus.Config{Name: "n0", ReplicaID: replicaID, Replicas: []string{"n0"}, Generation: 3, Jobs: storedJobs,
		Timing: lease.DefaultTiming(), Rand: rand.New(rand.NewPCG(1, 2)), State: state})
	require.NoError(t, err)
	return r
}

// writeDataDir runs a group of one replica until its log has been compacted, and leaves the data directory in dir.
func writeDataDir(t *testing.T, dir string) {
	t.Helper()
	d, savedState, err := openDisk(dir, storedInstallation)
	require.NoError(t, err)
	timing := lease.DefaultTiming()
	r := startStored(t, d.replicaID, savedState)
	persist := func() {
		if ready := r.Ready(); ready.Persist != nil {
			require.NoError(t, d.save(ready.Persist, ready.CompactIndex))
		}
	}
	now := 0.0
	client := lease.Holder{Name: "n1", Incarnation: 0x7f3a}
	for step := range 700 {
		now += timing.Tick
		r.Tick(now)
		persist()
		r.HandleKeepAlive(now, lease.KeepAliveRequest{Holder: client, SentAt: now, Capacity: 1, Jobs: storedJobs})
		persist()
		r.HandleAdmin(now, lease.AdminRequest{ID: uint64(step + 1), Operation: lease.AdminMove, Job: lease.JobPruneRecord, Target: "n1"})
		persist()
	}
	require.NoError(t, d.close())
}

// describeDataDir returns the content of a data directory as JSON.
func describeDataDir(t *testing.T, replicaID uint64, savedState consensus.PersistentState) []byte {
	t.Helper()
	type entry struct {
		Index, Term uint64
		Type        string
		Data        string
	}
	content := struct {
		Number             uint64
		Term, Vote, Commit uint64
		SnapshotIndex      uint64
		SnapshotTerm       uint64
		Voters             []uint64
		Snapshot           json.RawMessage
		Entries            []entry
	}{replicaID, savedState.HardState.GetTerm(), savedState.HardState.GetVote(), savedState.HardState.GetCommit(), savedState.Snapshot.GetMetadata().GetIndex(),
		savedState.Snapshot.GetMetadata().GetTerm(), savedState.Snapshot.GetMetadata().GetConfState().GetVoters(), savedState.Snapshot.GetData(), nil}
	for _, e := range savedState.Entries {
		content.Entries = append(content.Entries, entry{e.GetIndex(), e.GetTerm(), e.GetType().String(), string(e.GetData())})
	}
	raw, err := json.MarshalIndent(content, "", " ")
	require.NoError(t, err)
	return append(raw, '\n')
}

// readBuckets returns every key and value of a database.
func readBuckets(t *testing.T, path string) map[string]string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
	require.NoError(t, err)
	defer func() { require.NoError(t, db.Close()) }()
	all := map[string]string{}
	require.NoError(t, db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				all[fmt.Sprintf("%s/%x", name, k)] = hex.EncodeToString(v)
				return nil
			})
		})
	}))
	return all
}

// The data directory of an earlier release must be read completely, a replica must start from it, and the same state
// must be stored in the same form.
func TestStoredDataDirectoryRoundTrip(t *testing.T) {
	const fixture = "testdata/council.db"
	if *update {
		dir := t.TempDir()
		writeDataDir(t, dir)
		raw, err := os.ReadFile(filepath.Join(dir, dbFileName))
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(fixture, raw, 0o644))
	}
	raw, err := os.ReadFile(fixture)
	require.NoError(t, err)
	dir := testdir.Dir(t)
	require.NoError(t, os.WriteFile(filepath.Join(dir, dbFileName), raw, 0o600))
	d, savedState, err := openDisk(dir, storedInstallation)
	require.NoError(t, err)
	storedID := d.replicaID
	require.NoError(t, d.close())
	got := describeDataDir(t, storedID, savedState)
	require.Equal(t, string(golden(t, "council.json", got)), string(got))

	r := startStored(t, storedID, savedState)
	for now := 0.0; now < 5000 && !r.IsLeader(); now += 50 {
		r.Tick(now)
	}
	require.True(t, r.IsLeader())
	responses := struct {
		Status  *lease.Status
		History []lease.HistoryEntry
	}{Status: r.Status()}
	r.HandleAdmin(5000, lease.AdminRequest{Operation: lease.AdminHistory})
	for _, a := range r.Ready().AdminResults {
		responses.History = a.Response.History
	}
	state, err := json.MarshalIndent(responses, "", " ")
	require.NoError(t, err)
	require.Equal(t, string(golden(t, "council-state.json", state)), string(state))

	copyDir := testdir.Dir(t)
	d, _, err = openDisk(copyDir, storedInstallation)
	require.NoError(t, err)
	require.NoError(t, d.save(&savedState, savedState.Snapshot.GetMetadata().GetIndex()))
	require.NoError(t, d.close())
	want, written := readBuckets(t, filepath.Join(dir, dbFileName)), readBuckets(t, filepath.Join(copyDir, dbFileName))
	idKey := fmt.Sprintf("meta/%x", "number") // the replica ID is random in each database
	require.NotEmpty(t, written[idKey])
	delete(want, idKey)
	delete(written, idKey)
	require.Equal(t, want, written)
}

// The fences that a coordinator has followed must be read from an earlier release's file and stored in the same form.
func TestStoredFencesRoundTrip(t *testing.T) {
	dir := testdir.Dir(t)
	conf := fleetconf.Config{Installation: "here", Generation: 1, Directory: dir, Jobs: []string{lease.JobPruneRecord, lease.JobReadJournal},
		Replicas: []fleetconf.Replica{{Name: "far", Addr: "127.0.0.1:1"}}}
	assignments := map[string]lease.Assignment{}
	for n, job := range conf.Jobs {
		assignments[job] = lease.Assignment{GrantID: lease.GrantID{Job: job, Fence: lease.Fence(4 + n)}, HolderName: fmt.Sprint("n", n+1)}
	}
	c, err := New(conf, "n7", monotonicClock(), slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	for _, a := range assignments {
		raw, err := codec.Marshal(leasebackend.Publication{Assignment: a})
		require.NoError(t, err)
		require.NoError(t, c.handlePublication(raw))
	}
	written, err := os.ReadFile(filepath.Join(dir, fencesFileName))
	require.NoError(t, err)
	want := golden(t, fencesFileName, written)
	require.Equal(t, string(want), string(written))

	require.NoError(t, os.WriteFile(filepath.Join(dir, fencesFileName), want, 0o600))
	c, err = New(conf, "n7", monotonicClock(), slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	c.With(func(client *lease.Client) {
		for job, a := range assignments {
			require.Equal(t, a, client.LatestAssignment(job))
		}
	})
}

func TestRaftMessageBytesUnchanged(t *testing.T) {
	m := &raftpb.Message{Type: raftpb.MsgApp.Enum(), To: new(uint64(2)), From: new(uint64(1)), Term: new(uint64(5)), LogTerm: new(uint64(4)),
		Index: new(uint64(17)), Commit: new(uint64(16)), Entries: []*raftpb.Entry{{Type: raftpb.EntryNormal.Enum(), Term: new(uint64(5)), Index: new(uint64(18)),
			Data: []byte(`{"k":"assign","j":"prune-record","f":7,"h":{"name":"n1","boot":32570},"w":"by hand"}`)}}}
	got := hex.EncodeToString(fleet.Append(nil, fleet.InstallationID("here"), fleet.Frame{Kind: fleet.RaftMessage, GroupID: 12, Payload: consensus.EncodeMessage(m)})) + "\n"
	want := golden(t, "raft-message.hex", []byte(got))
	require.Equal(t, string(want), got)
	raw, err := hex.DecodeString(strings.TrimSpace(string(want)))
	require.NoError(t, err)
	frames, err := fleet.NewDecoder(fleet.InstallationID("here")).Feed(raw)
	require.NoError(t, err)
	require.Len(t, frames, 1)
	require.EqualValues(t, 12, frames[0].GroupID)
	read, err := consensus.DecodeMessage(frames[0].Payload)
	require.NoError(t, err)
	require.True(t, proto.Equal(m, read))
}

func TestPublicationJSONUnchanged(t *testing.T) {
	p := leasebackend.Publication{Assignment: lease.Assignment{GrantID: lease.GrantID{Job: lease.JobReadJournal, Fence: 4}, HolderName: "n1"}, Seq: 9, Data: []byte(`{"whole":true}`)}
	written, err := codec.Marshal(p)
	require.NoError(t, err)
	want := golden(t, "published.json", append(written, '\n'))
	require.Equal(t, string(want), string(written)+"\n")
	var read leasebackend.Publication
	require.NoError(t, codec.Unmarshal(want, &read))
	require.Equal(t, p, read)
}

package coordination

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"aniseloft/internal/consensus"
)

const (
	dbFileName  = "council.db" // a replica's database in its directory
	dbVersion   = 1            // database format that this release writes, and the newest that it reads
	lockTimeout = time.Second  // how long to wait for another process to close the database
)

// Buckets and keys of the database. Numbers are stored as 8 bytes, big-endian, so that log entries are in order.
var (
	bucketMeta  = []byte("meta")
	bucketState = []byte("state")
	bucketLog   = []byte("log") // raft entries by index

	keyVersion      = []byte("form")
	keyInstallation = []byte("installation")
	keyReplicaID    = []byte("number")
	keyHardState    = []byte("hard")
	keySnapshot     = []byte("snapshot")
)

// Errors of openDisk. Their texts tell the operator what to do.
var (
	ErrDiskInUse   = errors.New("in use by another process; each replica needs a directory of its own")
	ErrForeignDisk = errors.New("it belongs to another installation; give this one a directory of its own")
)

// DiskVersionError is returned for a database that a later release has written.
type DiskVersionError struct{ Version uint64 }

func (e DiskVersionError) Error() string {
	return fmt.Sprintf("it has format %d, but this release reads only formats up to %d", e.Version, dbVersion)
}

// disk is the database of a replica's persistent state. It is not safe for concurrent use.
type disk struct {
	path         string
	installation uint64
	database     *bbolt.DB
	replicaID    uint64       // random, chosen when the database was created
	injectFault  func() error // injected fault: runs before each save, which fails with the error of injectFault; nil: none
}

// openDisk opens a replica's database in dir, or creates it. It returns an error wrapping ErrDiskInUse,
// ErrForeignDisk or a DiskVersionError, or an error that says where the database is damaged.
func openDisk(dir string, installation uint64) (*disk, consensus.PersistentState, error) {
	var state consensus.PersistentState
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, state, fmt.Errorf("consensus: create the data directory: %w", err)
	}
	d := &disk{path: filepath.Join(dir, dbFileName), installation: installation}
	db, err := bbolt.Open(d.path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, state, fmt.Errorf("consensus: %s is %w", d.path, ErrDiskInUse)
	}
	if err != nil {
		return nil, state, fmt.Errorf("consensus: %s: %w; if it cannot be repaired, move it away: the replica is then added to the group again", d.path, err)
	}
	d.database = db
	if err := db.Update(func(tx *bbolt.Tx) error { return d.load(tx, &state) }); err != nil {
		_ = db.Close()
		return nil, state, fmt.Errorf("consensus: %s: %w", d.path, err)
	}
	return d, state, nil
}

// load creates missing buckets, checks that the database belongs to this installation and reads the state.
func (d *disk) load(tx *bbolt.Tx, state *consensus.PersistentState) error {
	if err := d.loadMeta(tx); err != nil {
		return err
	}
	stateBucket, err := tx.CreateBucketIfNotExists(bucketState)
	if err != nil {
		return fmt.Errorf("create bucket: %w", err)
	}
	if state.HardState, err = loadMessage(stateBucket, keyHardState, &raftpb.HardState{}); err != nil {
		return fmt.Errorf("decode the hard state: %w", err)
	}
	if state.Snapshot, err = loadMessage(stateBucket, keySnapshot, &raftpb.Snapshot{}); err != nil {
		return fmt.Errorf("decode the snapshot: %w", err)
	}
	entries, err := tx.CreateBucketIfNotExists(bucketLog)
	if err != nil {
		return fmt.Errorf("create bucket: %w", err)
	}
	return entries.ForEach(func(_, raw []byte) error {
		entry := &raftpb.Entry{}
		if err := proto.Unmarshal(raw, entry); err != nil {
			return fmt.Errorf("decode a log entry: %w", err)
		}
		state.Entries = append(state.Entries, entry)
		return nil
	})
}

func (d *disk) loadMeta(tx *bbolt.Tx) error {
	meta, err := tx.CreateBucketIfNotExists(bucketMeta)
	if err != nil {
		return fmt.Errorf("create bucket: %w", err)
	}
	if meta.Get(keyVersion) == nil {
		if err := d.createMeta(meta); err != nil {
			return err
		}
	}
	if version := binary.BigEndian.Uint64(meta.Get(keyVersion)); version > dbVersion {
		return DiskVersionError{version}
	}
	if binary.BigEndian.Uint64(meta.Get(keyInstallation)) != d.installation {
		return ErrForeignDisk
	}
	d.replicaID = binary.BigEndian.Uint64(meta.Get(keyReplicaID))
	return nil
}

// createMeta initializes a new database with a random replica ID. 0 is not a valid ID.
func (d *disk) createMeta(meta *bbolt.Bucket) error {
	var replicaID uint64
	for replicaID == 0 {
		replicaID = rand.Uint64() >> 1
	}
	return errors.Join(
		meta.Put(keyVersion, encodeNumber(dbVersion)),
		meta.Put(keyInstallation, encodeNumber(d.installation)),
		meta.Put(keyReplicaID, encodeNumber(replicaID)),
	)
}

// save makes an update of the replica's state durable. When it returns nil, the update survives a kill of the process
// and a crash of the machine.
func (d *disk) save(update *consensus.PersistentState, compactIndex uint64) error {
	if d.injectFault != nil {
		if err := d.injectFault(); err != nil {
			return fmt.Errorf("consensus: %s: %w", d.path, err)
		}
	}
	err := d.database.Update(func(tx *bbolt.Tx) error {
		if err := saveState(tx.Bucket(bucketState), update); err != nil {
			return err
		}
		return saveEntries(tx.Bucket(bucketLog), update, compactIndex)
	})
	if err != nil {
		return fmt.Errorf("consensus: %s: %w", d.path, err)
	}
	return nil
}

func saveState(state *bbolt.Bucket, update *consensus.PersistentState) error {
	if update.HardState != nil {
		if err := saveMessage(state, keyHardState, update.HardState); err != nil {
			return err
		}
	}
	if update.Snapshot != nil {
		return saveMessage(state, keySnapshot, update.Snapshot)
	}
	return nil
}

// saveEntries deletes the entries that a snapshot replaces, and writes new ones. A new entry invalidates all stored
// entries from its index on.
func saveEntries(log *bbolt.Bucket, update *consensus.PersistentState, compactIndex uint64) error {
	if update.Snapshot != nil {
		lastReplaced := update.Snapshot.GetMetadata().GetIndex()
		if compactIndex == 0 { // the leader's snapshot replaces the whole log
			lastReplaced = ^uint64(0)
		}
		if err := deleteEntries(log, 0, lastReplaced); err != nil {
			return err
		}
	}
	if len(update.Entries) == 0 {
		return nil
	}
	if err := deleteEntries(log, update.Entries[0].GetIndex(), ^uint64(0)); err != nil {
		return err
	}
	for _, entry := range update.Entries {
		if err := saveMessage(log, encodeNumber(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntries deletes the entries with an index from first to last, both included.
func deleteEntries(log *bbolt.Bucket, first, last uint64) error {
	cursor := log.Cursor()
	for key, _ := cursor.Seek(encodeNumber(first)); key != nil && binary.BigEndian.Uint64(key) <= last; key, _ = cursor.Next() {
		if err := cursor.Delete(); err != nil {
			return fmt.Errorf("delete log entry: %w", err)
		}
	}
	return nil
}

func encodeNumber(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// loadMessage decodes a key's value into m. It returns nil if the key is absent.
func loadMessage[M proto.Message](b *bbolt.Bucket, key []byte, m M) (loaded M, err error) {
	raw := b.Get(key)
	if raw == nil {
		return loaded, nil
	}
	return m, proto.Unmarshal(raw, m)
}

func saveMessage(b *bbolt.Bucket, key []byte, m proto.Message) error {
	raw, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode %s: %w", key, err)
	}
	return b.Put(key, raw)
}

func (d *disk) close() error { return d.database.Close() }

// remove closes and deletes the database. A database that is created afterwards gets a new replica ID.
func (d *disk) remove() error {
	_ = d.database.Close()
	return os.Remove(d.path)
}

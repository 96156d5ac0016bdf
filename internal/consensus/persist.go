package consensus

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// PersistentState is the state that a replica needs after a restart, or an update of it.
type PersistentState struct {
	HardState *raftpb.HardState // nil: none, or unchanged
	Snapshot  *raftpb.Snapshot  // nil: none, or unchanged
	Entries   []*raftpb.Entry   // entries of the log; in an update, those that are new
}

// Merge returns s with an update from Ready applied, which is the content of the disk after the update is written. The
// parameter compactIndex is the CompactIndex of the same Ready. Neither argument is changed.
func (s PersistentState) Merge(update PersistentState, compactIndex uint64) PersistentState {
	if update.HardState != nil {
		s.HardState = update.HardState
	}
	if update.Snapshot != nil {
		s.Snapshot = update.Snapshot
		if compactIndex == 0 { // a snapshot from the leader replaces the log
			s.Entries = nil
		}
		compactIndex = update.Snapshot.GetMetadata().GetIndex()
	}
	if compactIndex > 0 {
		s.Entries = slices.DeleteFunc(slices.Clone(s.Entries), func(e *raftpb.Entry) bool { return e.GetIndex() <= compactIndex })
	}
	if len(update.Entries) > 0 {
		s.Entries = append(slices.Clone(entriesBefore(s.Entries, update.Entries[0].GetIndex())), update.Entries...)
	}
	return s
}

// entriesBefore returns the entries below an index. New entries from that index on replace the rest of the log.
func entriesBefore(entries []*raftpb.Entry, index uint64) []*raftpb.Entry {
	endIndex := slices.IndexFunc(entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= index })
	if endIndex < 0 {
		endIndex = len(entries)
	}
	return entries[:endIndex]
}

// EncodeMessage encodes a raft message.
func EncodeMessage(m *raftpb.Message) []byte {
	encoded, _ := proto.Marshal(m) // cannot fail: the message was made by the library
	return encoded
}

// DecodeMessage decodes a raft message that EncodeMessage has encoded.
func DecodeMessage(encoded []byte) (*raftpb.Message, error) {
	m := &raftpb.Message{}
	return m, unmarshal(encoded, m)
}

func unmarshal(encoded []byte, m proto.Message) error {
	if err := proto.Unmarshal(encoded, m); err != nil {
		return fmt.Errorf("consensus: decode raft message: %w", err)
	}
	return nil
}

package discovery

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/lease"
	"aniseloft/internal/protocol/journal"
	"aniseloft/internal/transport/leasebackend"
)

// follower is a lease backend of a coordinator that holds no job.
type follower struct{ leasebackend.Backend }

func (follower) Subscribe(func(leasebackend.Publication)) {}

func (follower) Begin(string) (lease.Fence, string, bool) { return 0, "", false }

// holder is a lease backend of a coordinator that holds every job. It records the published messages.
type holder struct {
	leasebackend.Backend
	fence     lease.Fence
	published []string
}

func (h *holder) Begin(string) (lease.Fence, string, bool) { return h.fence, "n1/1", true }

func (h *holder) Subscribe(func(leasebackend.Publication)) {}

func (h *holder) End(string, lease.Fence) {}

func (h *holder) Publish(_ string, fence lease.Fence, seq uint64, data []byte) {
	h.published = append(h.published, fmt.Sprintf("%d/%d %s", fence, seq, data))
}

// The first message of a watching coordinator is a snapshot, and further snapshots follow at intervals. The other messages are
// changes and heartbeats.
func TestWatcherPublishesSnapshotFirst(t *testing.T) {
	h := &holder{fence: 4}
	l := NewSharedList(h, "n1", slog.New(slog.DiscardHandler))
	l.Update(true, []journal.Endpoint{{ID: "a", State: "active"}})
	l.Update(false, []journal.Endpoint{{ID: "b", State: "active"}})
	l.PublishHeartbeat()
	require.Len(t, h.published, 3)
	require.Contains(t, h.published[0], `4/1 {"whole":true`)
	require.Contains(t, h.published[1], `"id":"b"`)
	require.NotContains(t, h.published[1], "whole")
	require.Equal(t, "4/3 {}", h.published[2])
	l.snapshotAt = time.Now().Add(-2 * activeSnapshotInterval)
	l.PublishHeartbeat()
	require.Contains(t, h.published[3], `"whole":true`, "the list has just changed, so a snapshot is due")
	l.changedAt, l.snapshotAt = time.Now().Add(-2*idleAfter), time.Now().Add(-2*activeSnapshotInterval)
	l.PublishHeartbeat()
	require.Equal(t, "4/5 {}", h.published[4], "the list is idle, so no snapshot is due")
	h.fence = 6
	l.PublishHeartbeat()
	require.Contains(t, h.published[5], `6/1 {"whole":true`, "the first message under a new fence is a snapshot")
}

// Covers the merging of published updates: snapshots in which engines are missing, updates that are lost or out of order, and
// invalid ones.
func TestPublishedUpdatesMerge(t *testing.T) {
	l := NewSharedList(follower{}, "n1", slog.New(slog.DiscardHandler))
	var delivered []string
	l.deliver = func(listed []journal.Endpoint) {
		for _, s := range listed {
			delivered = append(delivered, s.ID+" "+s.State)
		}
	}
	publish := func(fence, seq int, data string) string {
		delivered = nil
		raw := fmt.Sprintf(`{"job":"read-journal","fence":%d,"name":"n2","seq":%d,"data":%s}`, fence, seq, data)
		var p leasebackend.Publication
		require.NoError(t, codec.UnmarshalFromString(raw, &p))
		l.receive(p)
		return strings.Join(delivered, ", ")
	}
	require.Equal(t, "a active", publish(1, 5, `{"servers":[{"id":"a","state":"active"}]}`))
	require.True(t, l.hasGap, "earlier messages are unknown, so a snapshot is needed first")
	require.Equal(t, "b active", publish(1, 6, `{"whole":true,"servers":[{"id":"a","state":"active"},{"id":"b","state":"active"}]}`))
	require.False(t, l.hasGap)
	require.Equal(t, "", publish(1, 6, `{"servers":[{"id":"a","state":"left"}]}`), "a duplicate message")
	require.Equal(t, "", publish(1, 4, `{"servers":[{"id":"a","state":"left"}]}`), "a message that is older than the latest one")
	require.Equal(t, "a leaving", publish(1, 7, `{"servers":[{"id":"a","state":"leaving"}]}`))
	require.Equal(t, "", publish(1, 9, `{}`))
	require.True(t, l.hasGap, "the missed message may have announced a drain")
	require.Equal(t, "a left", publish(1, 10, `{"whole":true,"servers":[{"id":"b","state":"active"}]}`))
	require.False(t, l.hasGap)
	// A state that the coordinator has just read itself takes precedence over a published one, which may be older.
	l.Update(false, []journal.Endpoint{{ID: "b", State: "leaving"}})
	require.Equal(t, "", publish(1, 11, `{"whole":true,"servers":[{"id":"b","state":"active"}]}`))
	require.Equal(t, "b active", publish(1, 12, `{"servers":[{"id":"b","state":"active","started_ms":5}]}`), "a later start of the engine is accepted")
	require.Equal(t, "", publish(1, 13, `{"servers":"spoilt"}`))
}

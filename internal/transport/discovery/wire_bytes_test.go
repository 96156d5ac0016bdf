package discovery

import (
	"context"
	"log/slog"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/golden"
	"aniseloft/internal/lease"
	"aniseloft/internal/protocol/journal"
	"aniseloft/internal/transport/leasebackend"
	"aniseloft/internal/transport/transporttest"
)

// The golden files of these tests hold every byte that the package writes. To rewrite them:
// go test ./internal/transport/discovery -run WireBytes -update

// Covers the messages that the coordinator that watches for all publishes.
func TestSharedListWireBytes(t *testing.T) {
	h := &holder{fence: 4}
	l := NewSharedList(h, "n1", slog.New(slog.DiscardHandler))
	l.Update(true, []journal.Endpoint{{ID: "one", Address: "127.0.0.1:1", Zone: "a", Kind: "k", Cell: 2, State: "active", StartedAtMS: 5}})
	l.Update(false, []journal.Endpoint{{ID: "one", Address: "127.0.0.1:1", Zone: "a", Kind: "k", Cell: 2, State: "left", StartedAtMS: 5}})
	l.PublishHeartbeat()
	out, err := codec.Marshal(leasebackend.Publication{Assignment: lease.Assignment{GrantID: lease.GrantID{Job: lease.JobReadJournal, Fence: 4}, HolderName: "n1"}, Seq: 2, Data: []byte(`{}`)})
	require.NoError(t, err)
	golden.Equal(t, "testdata/shared-list.txt", []byte(strings.Join(append(h.published, string(out)), "\n")+"\n"))
}

// Covers the first poll of the discovery service, and a poll from a later position.
func TestDiscoveryWireBytes(t *testing.T) {
	dispatcher, _ := transporttest.Dispatcher(t, false)
	addr, out := transporttest.TranscriptServer(t, pollAnswer(1, entry(1, true, oneActive)))
	out.Patterns = map[*regexp.Regexp]string{regexp.MustCompile(`max_wait=\d+`): "max_wait=(ms)"}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); NewWatcher(addr, dispatcher, slog.New(slog.DiscardHandler)).Run(ctx) }()
	require.Eventually(t, func() bool { return strings.Count(out.String(), "> \"GET") >= 2 }, transporttest.WaitTimeout, time.Millisecond)
	cancel()
	<-ended
	calls := strings.SplitAfter(out.String(), "> \"\\r\\n\"\n")
	golden.Equal(t, "testdata/discovery.txt", []byte(strings.Join(calls[:2], "")))
}

package coordination

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/fleetconf"
	"aniseloft/internal/lease"
	"aniseloft/internal/protocol/fleet"
	"aniseloft/internal/testdir"
	"aniseloft/internal/transport/leasebackend"
)

// syncBuffer is a buffer that a logger may write to while a test reads it.
type syncBuffer struct {
	mu  sync.Mutex
	buf strings.Builder
}

func (l *syncBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

func monotonicClock() func() lease.Millis {
	start := time.Now()
	return func() lease.Millis { return float64(time.Since(start)) / float64(time.Millisecond) }
}

// freeAddr returns a loopback address that nothing listens on.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	return addr
}

// startSingleNode runs a consensus group of one on loopback until its client holds a lease. It returns the node, its
// configuration and its log.
func startSingleNode(t *testing.T) (*Node, fleetconf.Config, *syncBuffer) {
	t.Helper()
	addr := freeAddr(t)
	conf := fleetconf.Config{Installation: "here", Generation: 1, Directory: testdir.Dir(t), Jobs: []string{lease.JobPruneRecord, lease.JobReadJournal},
		Replicas: []fleetconf.Replica{{Name: "n0", Addr: addr}}}
	log := &syncBuffer{}
	n, err := New(conf, "n0", monotonicClock(), slog.New(slog.NewTextHandler(log, nil)))
	require.NoError(t, err)
	go n.Run(t.Context())
	require.Eventually(t, func() bool { return n.Holds(lease.JobPruneRecord) }, 10*time.Second, 10*time.Millisecond)
	return n, conf, log
}

// A connection with foreign, corrupted or incomplete frames must be counted and closed without a change of any lease.
func TestNodeRejectsForeignFrames(t *testing.T) {
	n, conf, log := startSingleNode(t)
	responseBefore, err := Admin(t.Context(), conf, "", lease.AdminRequest{Operation: lease.AdminHistory}, 5*time.Second)
	require.NoError(t, err)
	request := lease.KeepAliveRequest{Holder: lease.Holder{Name: "intruder", Incarnation: 1}, SentAt: 1, Capacity: 1e9, Jobs: conf.Jobs, HigherFences: []lease.GrantID{{Job: "no-such-job", Fence: 99}}}
	wholeFrame := fleet.AppendJSON(nil, fleet.InstallationID("here"), fleet.KeepAliveRequest, request)
	otherVersion := bytes.Clone(wholeFrame)
	otherVersion[3]++
	for name, raw := range map[string][]byte{
		"http":                   []byte("GET /journal?tail=0&max_wait=1 HTTP/1.1\r\nHost: a\r\n\r\n"),
		"another installation":   fleet.AppendJSON(nil, fleet.InstallationID("there"), fleet.KeepAliveRequest, request),
		"another version":        otherVersion,
		"malformed":              fleet.Append(nil, fleet.InstallationID("here"), fleet.Frame{Kind: fleet.KeepAliveRequest, Payload: []byte("{")}),
		"malformed raft message": fleet.Append(nil, fleet.InstallationID("here"), fleet.Frame{Kind: fleet.RaftMessage, Payload: []byte{0xff}}),
		"cut short":              wholeFrame[:len(wholeFrame)-3],
	} {
		conn := dialAndWrite(t, conf.Replicas[0].Addr, raw)
		if name == "cut short" {
			require.NoError(t, conn.Close())
			continue
		}
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		n, err := conn.Read(make([]byte, 64))
		require.Zero(t, n, name)
		require.Error(t, err, name)
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "%s: the connection stays open", name)
		_ = conn.Close()
	}
	// A well-formed publication under a stale fence must be dropped.
	stalePublication := leasebackend.Publication{Assignment: lease.Assignment{GrantID: lease.GrantID{Job: lease.JobReadJournal}, HolderName: "intruder"}}
	conn := dialAndWrite(t, conf.Replicas[0].Addr, fleet.AppendJSON(nil, fleet.InstallationID("here"), fleet.Publication, stalePublication))
	require.Eventually(t, func() bool { return strings.Contains(log.String(), "its fence is stale") }, 10*time.Second, 10*time.Millisecond)
	_ = conn.Close()
	responseAfter, err := Admin(t.Context(), conf, "", lease.AdminRequest{Operation: lease.AdminHistory}, 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, responseBefore.History, responseAfter.History)
	require.True(t, n.Holds(lease.JobPruneRecord))
	require.GreaterOrEqual(t, n.counters.rejectedConns.Load(), int64(5))
}

func dialAndWrite(t *testing.T, addr string, raw []byte) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp4", addr)
	require.NoError(t, err)
	_, err = conn.Write(raw)
	require.NoError(t, err)
	return conn
}

// A publication under a stale fence must be dropped after a restart too, even if no replica can be reached.
func TestFollowedFencesSurviveRestart(t *testing.T) {
	dir := testdir.Dir(t)
	conf := fleetconf.Config{Installation: "here", Generation: 1, Directory: dir, Jobs: []string{lease.JobReadJournal},
		Replicas: []fleetconf.Replica{{Name: "far", Addr: "127.0.0.1:1"}}}
	// deliveries publishes under a fence and returns how often the publication reaches the subscriber.
	deliveries := func(n *Node, fence lease.Fence, holder string) int {
		count := 0
		n.Subscribe(func(leasebackend.Publication) { count++ })
		raw, err := codec.Marshal(leasebackend.Publication{Assignment: lease.Assignment{GrantID: lease.GrantID{Job: lease.JobReadJournal, Fence: fence}, HolderName: holder}})
		require.NoError(t, err)
		require.NoError(t, n.handlePublication(raw))
		return count
	}
	log := slog.New(slog.DiscardHandler)
	n, err := New(conf, "n7", monotonicClock(), log)
	require.NoError(t, err)
	require.Equal(t, 1, deliveries(n, 4, "n1"))
	require.Equal(t, 0, deliveries(n, 3, "n2"), "an older fence")
	require.Equal(t, 0, deliveries(n, 4, "n2"), "the same fence of another holder")
	n, err = New(conf, "n7", monotonicClock(), log)
	require.NoError(t, err)
	require.Equal(t, 0, deliveries(n, 3, "n2"), "an older fence, after a restart")
	require.Equal(t, 1, deliveries(n, 4, "n1"))
	require.NoError(t, os.WriteFile(filepath.Join(dir, fencesFileName), []byte("{"), 0o600))
	_, err = New(conf, "n7", monotonicClock(), log)
	require.ErrorContains(t, err, "move it away")
}

// A move must set the preferred holder. The response to a request that cannot be carried out must state the reason.
func TestNodeAnswersAdminRequests(t *testing.T) {
	_, conf, _ := startSingleNode(t)
	for _, c := range []struct {
		request   lease.AdminRequest
		wantError string
	}{
		{lease.AdminRequest{Operation: "dance"}, "is no call"},
		{lease.AdminRequest{Operation: lease.AdminMove, Job: "no-such-job"}, "is no job"},
		{lease.AdminRequest{Operation: lease.AdminMove, Job: lease.JobPruneRecord, Target: "n9"}, "nothing is heard of"},
		{lease.AdminRequest{Operation: lease.AdminStepDown}, "no other seat"},
	} {
		a, err := Admin(t.Context(), conf, "", c.request, 5*time.Second)
		require.NoError(t, err)
		require.Contains(t, a.Error, c.wantError)
	}
	a, err := Admin(t.Context(), conf, "n0", lease.AdminRequest{Operation: lease.AdminMove, Job: lease.JobPruneRecord, Target: "n0"}, 5*time.Second)
	require.NoError(t, err)
	require.Empty(t, a.Error)
	require.Equal(t, "n0", a.Status.Jobs[0].Preferred)
	_, err = Admin(t.Context(), conf, "n5", lease.AdminRequest{Operation: lease.AdminStatus}, time.Second)
	require.ErrorContains(t, err, "is not a replica")
	conf.Replicas[0].Addr = "127.0.0.1:1"
	_, err = Admin(t.Context(), conf, "", lease.AdminRequest{Operation: lease.AdminStatus}, time.Second)
	require.ErrorIs(t, err, ErrNoReplica)
	require.ErrorContains(t, err, fmt.Sprintf("seat n0 at %s", conf.Replicas[0].Addr))
}

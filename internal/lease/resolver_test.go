package lease

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const testInterval = testTTL / KeepAlivesPerLease

func newTestResolver() *LeaderResolver {
	return NewLeaderResolver([]string{"n0", "n1", "n2"}, 1, testTTL)
}

func requireDue(t *testing.T, r *LeaderResolver, now Millis, want string) {
	t.Helper()
	replica, due := r.Due(now)
	require.True(t, due, "at %v ms", now)
	require.Equal(t, want, replica, "at %v ms", now)
}

func TestResolverAsksOneReplicaPerInterval(t *testing.T) {
	r := newTestResolver()
	requireDue(t, r, 0, "n1")
	_, due := r.Due(testInterval - 1)
	require.False(t, due)
	r.HandleResponse(10, KeepAliveResponse{})
	requireDue(t, r, testInterval, "n1")
}

func TestResolverMovesOnFromAnUnresponsiveReplica(t *testing.T) {
	r := newTestResolver()
	requireDue(t, r, 0, "n1")
	requireDue(t, r, testInterval, "n1")
	requireDue(t, r, 2*testInterval, "n1")
	requireDue(t, r, 3*testInterval, "n2")
}

func TestResolverFollowsARedirectAtOnce(t *testing.T) {
	r := newTestResolver()
	requireDue(t, r, 0, "n1")
	r.HandleResponse(5, KeepAliveResponse{RedirectTo: "n0"})
	requireDue(t, r, 5, "n0")
}

func TestResolverTriesTheNextReplicaOnAnUnknownLeader(t *testing.T) {
	r := newTestResolver()
	requireDue(t, r, 0, "n1")
	r.HandleResponse(5, KeepAliveResponse{RedirectTo: "n9"})
	require.Equal(t, "n2", r.Current())
	_, due := r.Due(6)
	require.False(t, due, "no request is due before the interval is over")
}

func TestResolverLeavesARedirectLoop(t *testing.T) {
	r := newTestResolver()
	now := 0.0
	for n := range 3 { // the first len(replicas) redirects are followed at once
		requireDue(t, r, now, []string{"n1", "n0", "n1"}[n])
		r.HandleResponse(now, KeepAliveResponse{RedirectTo: []string{"n0", "n1", "n0"}[n]})
	}
	requireDue(t, r, now, "n0")
	r.HandleResponse(now, KeepAliveResponse{RedirectTo: "n1"})
	_, due := r.Due(now)
	require.False(t, due)
}

func TestSendNowMakesTheNextRequestDue(t *testing.T) {
	r := newTestResolver()
	requireDue(t, r, 0, "n1")
	r.SendNow(3)
	requireDue(t, r, 3, "n1")
}

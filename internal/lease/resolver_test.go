package lease

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const testInterval = testTTL / KeepAlivesPerLease

func newTestResolver() *LeaderResolver {
	return NewLeaderResolver([]string{"n0", "n1", "n2"}, 1, testTTL)
}

func requireDue(t *testing.T, resolver *LeaderResolver, now Millis, wantReplica string) {
	t.Helper()
	replica, due := resolver.Due(now)
	require.True(t, due, "at %v ms", now)
	require.Equal(t, wantReplica, replica, "at %v ms", now)
}

func TestResolverAsksOneReplicaPerInterval(t *testing.T) {
	resolver := newTestResolver()
	requireDue(t, resolver, 0, "n1")
	_, due := resolver.Due(testInterval - 1)
	require.False(t, due)
	resolver.HandleResponse(10, KeepAliveResponse{})
	requireDue(t, resolver, testInterval, "n1")
}

func TestResolverMovesOnFromAnUnresponsiveReplica(t *testing.T) {
	resolver := newTestResolver()
	requireDue(t, resolver, 0, "n1")
	requireDue(t, resolver, testInterval, "n1")
	requireDue(t, resolver, 2*testInterval, "n1")
	requireDue(t, resolver, 3*testInterval, "n2")
}

func TestResolverFollowsARedirectAtOnce(t *testing.T) {
	resolver := newTestResolver()
	requireDue(t, resolver, 0, "n1")
	resolver.HandleResponse(5, KeepAliveResponse{RedirectTo: "n0"})
	requireDue(t, resolver, 5, "n0")
}

func TestResolverTriesTheNextReplicaOnAnUnknownLeader(t *testing.T) {
	resolver := newTestResolver()
	requireDue(t, resolver, 0, "n1")
	resolver.HandleResponse(5, KeepAliveResponse{RedirectTo: "n9"})
	require.Equal(t, "n2", resolver.Current())
	_, due := resolver.Due(6)
	require.False(t, due, "no request is due before the interval is over")
}

func TestResolverLeavesARedirectLoop(t *testing.T) {
	resolver := newTestResolver()
	now := 0.0
	for requestIndex := range 3 { // the first len(replicas) redirects are followed at once
		requireDue(t, resolver, now, []string{"n1", "n0", "n1"}[requestIndex])
		resolver.HandleResponse(now, KeepAliveResponse{RedirectTo: []string{"n0", "n1", "n0"}[requestIndex]})
	}
	requireDue(t, resolver, now, "n0")
	resolver.HandleResponse(now, KeepAliveResponse{RedirectTo: "n1"})
	_, due := resolver.Due(now)
	require.False(t, due)
}

func TestSendNowMakesTheNextRequestDue(t *testing.T) {
	resolver := newTestResolver()
	requireDue(t, resolver, 0, "n1")
	resolver.SendNow(3)
	requireDue(t, resolver, 3, "n1")
}

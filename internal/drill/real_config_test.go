package drill

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/emulator/loopback"
)

// Coordinators listen with SO_REUSEPORT, so two runs that chose the same address would receive each other's connections.
// Each run must therefore use its own hosts for replicas and REST listeners.
func TestConcurrentRealRunsShareNoHost(t *testing.T) {
	runOf := map[string]int{} // number of the run that uses a host, by host
	for run := range 3 {
		network, err := loopback.Claim()
		require.NoError(t, err)
		t.Cleanup(network.Release)
		r := &realRun{drill: &Drill{Members: 5, Replicas: 3}, directory: t.TempDir(), network: network, replicaRelays: map[link]*Relay{}}
		t.Cleanup(r.closeRelays)
		require.NoError(t, r.prepare())
		for _, address := range append(r.replicaAddresses, r.restAddresses...) {
			host := netip.MustParseAddrPort(address).Addr().String()
			require.NotContains(t, runOf, host, "used by this run or an earlier one")
			runOf[host] = run
		}
	}
	require.Len(t, runOf, 3*2*5)
}

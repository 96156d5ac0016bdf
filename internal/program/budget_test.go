package program

import (
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
	"aniseloft/internal/config"
	"aniseloft/internal/millis"
	"aniseloft/internal/protocol/engine"
)

func TestDivideSockets(t *testing.T) {
	for _, testCase := range []struct {
		socketLimit        int
		hasGossip, hasREST bool
		wantBudget         connectionBudget
	}{
		{64, false, false, connectionBudget{maxClients: 21, maxAdmin: 1, maxUpstream: 19}},
		{384, false, false, connectionBudget{maxClients: 128, maxAdmin: 8, maxUpstream: 228}},
		{1024, false, false, connectionBudget{maxClients: 341, maxAdmin: 16, maxUpstream: 647}},
		{1024, true, false, connectionBudget{maxClients: 341, maxAdmin: 16, maxUpstream: 646}},
		{1024, true, true, connectionBudget{maxClients: 256, maxRESTClients: 85, maxAdmin: 16, maxUpstream: 646}},
	} {
		require.Equal(t, testCase.wantBudget, divideSockets(testCase.socketLimit, testCase.hasGossip, testCase.hasREST), testCase)
	}
}

func TestMaxInFlightIsLimitedByConnectionsAndMemory(t *testing.T) {
	p := &Program{config: &config.Coordinator{Limits: config.Limits{MemoryMB: 4096}}}
	require.Equal(t, 555, p.maxInFlight(647), "0.88 of the connections that may carry requests")
	p.config.Limits.MemoryMB = 32
	require.Equal(t, int(p.memoryFraction(resultMemoryFraction)/engine.MaxResultBytes), p.maxInFlight(647))
	require.Less(t, p.maxInFlight(647), 555)
}

func TestUpstreamIdleTimeoutIsShorterThanEndpoints(t *testing.T) {
	connectTimeout, idleTimeout := upstreamTimeouts(decide.Settings{})
	require.Equal(t, defaultConnectTimeout, connectTimeout)
	require.Equal(t, defaultIdleTimeout, idleTimeout)
	connectTimeout, idleTimeout = upstreamTimeouts(decide.Settings{ConnectTimeout: 100, IdleConnectionTimeout: 15000})
	require.Equal(t, millis.Duration(100), connectTimeout)
	require.Equal(t, millis.Duration(12000), idleTimeout)
}

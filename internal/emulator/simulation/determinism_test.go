package simulation_test

import (
	"encoding/json"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/emulator/simulation"
	"aniseloft/scenarios"
)

// reportJSON simulates a scenario, for its full duration if durationMS is 0, and returns the encoded report.
func reportJSON(t *testing.T, name string, seed uint64, policyName string, durationMS float64) string {
	s, err := scenarios.Load(name)
	require.NoError(t, err)
	if durationMS > 0 {
		s.DurationMS = durationMS
	}
	r, err := simulation.Run(s, simulation.Options{Seed: seed, Policy: policyName})
	require.NoError(t, err)
	b, err := json.Marshal(r)
	require.NoError(t, err)
	return string(b)
}

// Equal seeds must give equal reports on any number of cores. Large scenarios are simulated for a part of their duration.
func TestReportsAreDeterministicOnAnyNumberOfCores(t *testing.T) {
	previous := runtime.GOMAXPROCS(0)
	defer runtime.GOMAXPROCS(previous)
	for _, name := range scenarios.Names() {
		var shortMS float64
		if strings.HasPrefix(name, "fleet-") {
			shortMS = map[string]float64{"fleet-100": 3000, "fleet-1000": 400}[name]
		}
		runtime.GOMAXPROCS(1)
		want := reportJSON(t, name, 7, "module", shortMS)
		runtime.GOMAXPROCS(8)
		require.Equal(t, want, reportJSON(t, name, 7, "module", shortMS), name)
		if shortMS == 0 {
			require.NotEqual(t, want, reportJSON(t, name, 8, "module", shortMS), "another seed gives another report: %s", name)
		}
	}
}

// An additional fault must not change the queries, except for their time of arrival in a burst.
func TestFaultLeavesArrivalsUnchanged(t *testing.T) {
	calm, err := scenarios.Load("calm-weekday")
	require.NoError(t, err)
	burst, err := scenarios.Load("rush-hour-burst")
	require.NoError(t, err)
	burst.Load = calm.Load
	a, b := calm.Arrivals(3, calm.Timeline(3)), burst.Arrivals(3, burst.Timeline(3))
	anyEarlier := false
	for range 5000 {
		x, ok := a.Next()
		require.True(t, ok)
		y, ok := b.Next()
		require.True(t, ok)
		anyEarlier = anyEarlier || y.ArrivesAt < x.ArrivesAt
		y.ArrivesAt = x.ArrivesAt
		require.Equal(t, x, y)
	}
	require.True(t, anyEarlier, "the burst makes them arrive earlier")
}

package failover

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// requireSameMessage strictly decodes a recorded message, compares it with the wanted value and requires that encoding
// it gives the same bytes.
func requireSameMessage[T any](t *testing.T, fileName string, wantMessage T) {
	t.Helper()
	fixture, err := os.ReadFile(filepath.Join("testdata", fileName))
	require.NoError(t, err)
	fixture = bytes.TrimSpace(fixture)
	var decodedMessage T
	decoder := json.NewDecoder(bytes.NewReader(fixture))
	decoder.DisallowUnknownFields()
	require.NoError(t, decoder.Decode(&decodedMessage))
	require.Equal(t, wantMessage, decodedMessage)
	encoded, err := json.Marshal(decodedMessage)
	require.NoError(t, err)
	require.Equal(t, string(fixture), string(encoded))
}

func TestMessagesKeepTheirBytes(t *testing.T) {
	t.Run("report", func(t *testing.T) {
		requireSameMessage(t, "report.json", Report{Coordinator: "aniseloft-3", Zone: 1, Sequence: 42, OfferedWork: []float64{1200.5, 0, 8},
			Observations: []Observation{{Answers: 20, CapacityRejections: 2, LatencyLogRatio: 0.25}, {Failures: 7}}})
	})
	t.Run("placement", func(t *testing.T) {
		requireSameMessage(t, "placement.json", Placement{Fence: 7, Epoch: 12, TTL: 3000,
			Split: [][][]float64{{{1, 0}, {0.25, 0.75}}, {{0, 1}, {0.5, 0.25}}}, Panic: true})
	})
	t.Run("placement without panic", func(t *testing.T) {
		requireSameMessage(t, "placement-calm.json", Placement{Fence: 1, Epoch: 1, TTL: 1500, Split: [][][]float64{{{1}}}})
	})
	t.Run("override", func(t *testing.T) {
		requireSameMessage(t, "override.json", Override{Kind: Evacuate, Zone: 2, RampDown: 5000, TTL: 60000})
	})
	t.Run("override without a TTL", func(t *testing.T) {
		requireSameMessage(t, "override-freeze.json", Override{Kind: Freeze})
	})
}

func TestConstantsKeepTheirEncodedValues(t *testing.T) {
	require.Equal(t, []OverrideKind{"evacuate", "return", "freeze", "thaw"}, []OverrideKind{Evacuate, Return, Freeze, Thaw})
	require.Equal(t, []HealthState{"well", "slow", "dead", "empty", "unsure"}, []HealthState{Healthy, Slow, Unreachable, NoEndpoints, Unknown})
}

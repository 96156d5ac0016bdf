package failover

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// The error names the first invalid field as messages and settings name it.
func TestInvalidFieldsAreNamed(t *testing.T) {
	for field, invalidate := range map[string]func(s *Settings){
		"zones":           func(s *Settings) { s.Zones = nil },
		"zones[1].way":    func(s *Settings) { s.Zones[1].LatencyTo = nil },
		"zones[0].way[0]": func(s *Settings) { s.Zones[0].LatencyTo[0] = 1 },
		"zones[0].way[1]": func(s *Settings) { s.Zones[0].LatencyTo[1] = math.NaN() },
		"classes":         func(s *Settings) { s.Classes = nil },
		"classes[2]":      func(s *Settings) { s.Classes[2].MeanWork = 0 },
		"classes[0]":      func(s *Settings) { s.Classes[0].AllowedZones = []int{2} },
		"life":            func(s *Settings) { s.PlacementTTL = 2 * period },
	} {
		s := testSettings(2)
		invalidate(&s)
		_, err := NewDecider(s, 1)
		require.ErrorIs(t, err, ErrInvalidSettings, field)
		var invalid *FieldError
		require.ErrorAs(t, err, &invalid)
		require.Equal(t, field, invalid.Field)
	}
}

func TestInvalidReportNamesCoordinatorAndField(t *testing.T) {
	s := testSettings(2)
	decider, err := NewDecider(s, 1)
	require.NoError(t, err)
	err = decider.ReceiveReport(0, Report{Coordinator: "n3", OfferedWork: []float64{0, 0, 0}, Observations: []Observation{{}, {CapacityRejections: 1}}})
	require.ErrorIs(t, err, ErrInvalidReport)
	require.ErrorContains(t, err, "n3")
	var invalid *FieldError
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, "seen[1]", invalid.Field)
}

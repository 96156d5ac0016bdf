package fleetconf

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/lease"
)

// testdata/fleet.json sets every field that operators may set. It was written by hand from schema/fleet.schema.json,
// and the release before these types were first renamed reads and writes it in the same form.
func TestFileRoundTrip(t *testing.T) {
	raw, err := os.ReadFile("testdata/fleet.json")
	require.NoError(t, err)
	want := Config{Schema: "../schema/fleet.schema.json", Installation: "harbour-east", Generation: 4, Backend: BackendConsensus,
		Replicas: []Replica{{Name: "n0", Addr: "127.0.0.1:7400"}}, Directory: "/var/lib/aniseloft/fleet",
		Jobs: []string{lease.JobPruneRecord, lease.JobReadJournal}, LeaseMS: 3000, DriftBound: 0.02, Capacity: 2.5}
	parsedConfig, err := Parse(raw)
	require.NoError(t, err)
	require.Equal(t, want, parsedConfig)
	written, err := json.Marshal(parsedConfig)
	require.NoError(t, err)
	require.Equal(t, string(raw), string(written)+"\n")
}

// testdata/fault.json is a FieldError as aniseloftctl check fleet prints it.
func TestFieldErrorJSONUnchanged(t *testing.T) {
	want, err := os.ReadFile("testdata/fault.json")
	require.NoError(t, err)
	written, err := json.Marshal(FieldError{Pointer: "/seats", Problem: "2 seats", Remedy: "name 1, 3 or 5"})
	require.NoError(t, err)
	require.Equal(t, string(want), string(written)+"\n")
}

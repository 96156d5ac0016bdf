package fleetconf

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/lease"
)

// testdata/fleet.json names every field that operators may set; it was written by hand from schema/fleet.schema.json
// and is read and written alike by the release before the first rename of these types.
func TestFileIsReadAndWrittenAlike(t *testing.T) {
	raw, err := os.ReadFile("testdata/fleet.json")
	require.NoError(t, err)
	want := Config{Schema: "../schema/fleet.schema.json", Installation: "harbour-east", Generation: 4, Backend: BackendConsensus,
		Replicas: []Replica{{Name: "n0", Addr: "127.0.0.1:7400"}}, Directory: "/var/lib/aniseloft/fleet",
		Jobs: []string{lease.JobPruneRecord, lease.JobReadJournal}, LeaseMS: 3000, DriftBound: 0.02, Capacity: 2.5}
	read, err := Parse(raw)
	require.NoError(t, err)
	require.Equal(t, want, read)
	wrote, err := json.Marshal(read)
	require.NoError(t, err)
	require.Equal(t, string(raw), string(wrote)+"\n")
}

// testdata/fault.json is a fault as aniseloftctl check fleet prints it.
func TestFaultKeepsItsJSON(t *testing.T) {
	kept, err := os.ReadFile("testdata/fault.json")
	require.NoError(t, err)
	wrote, err := json.Marshal(FieldError{Pointer: "/seats", Problem: "2 seats", Remedy: "name 1, 3 or 5"})
	require.NoError(t, err)
	require.Equal(t, string(kept), string(wrote)+"\n")
}

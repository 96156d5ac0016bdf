package journal

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/golden"
	"aniseloft/internal/protocol/httpmsg"
)

// testdata/batch.json is a response of the journal service. testdata/poll.golden was written at commit d9ce9f6 by
// go test ./internal/protocol/journal -update
func TestParseRecordedBatch(t *testing.T) {
	raw, err := os.ReadFile("testdata/batch.json")
	require.NoError(t, err)
	var snapshot, change Event
	snapshot.Position, change.Position = 41, 42
	snapshot.Update.Snapshot = true
	snapshot.Update.Endpoints = []Endpoint{{ID: "s-00000001", Address: "127.0.0.1:9001", Zone: "east", Kind: "std-16", Cell: 3, State: "ready", StartedAtMS: 1796119200000}}
	change.Update.Endpoints = []Endpoint{{ID: "s-00000002", Address: "127.0.0.1:9002", Zone: "west", Kind: "big-32", Cell: 4, State: "draining"}}
	want := Batch{Position: 42, Events: []Event{snapshot, change}}
	got, err := ParseBatch(raw)
	require.NoError(t, err)
	require.Equal(t, want, got)
	batch, keepConnection, err := NewPollParser().Feed(httpmsg.AppendResponse(nil, 200, "OK", nil, raw))
	require.NoError(t, err)
	require.True(t, keepConnection)
	require.Equal(t, &want, batch)
}

func TestEncodePollMatchesGolden(t *testing.T) {
	golden.Equal(t, "testdata/poll.golden", EncodePoll("127.0.0.1:8500", 42, 30000))
}

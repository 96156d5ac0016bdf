package wire

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
	"aniseloft/internal/golden"
)

// testdata/messages.jsonl holds the simulator's messages to a balancer, testdata/batches.jsonl complete lines of input.
// The golden files were written at commit d9ce9f6 by: go test ./internal/wire -update

// TestRecordedMessagesAreDecodedCompletely checks that each field of each kind of message is decoded.
func TestRecordedMessagesAreDecodedCompletely(t *testing.T) {
	h := NewHost()
	_, err := h.Batch([]byte(`{"timeMs":1,"round":1,"in":[{"what":"List","bank":5,"hosts":[` +
		`{"engine":7,"rackZone":1,"model":2,"cohort":3,"condition":2,"launchedMs":4.5}]}]}`))
	require.NoError(t, err)
	raw, err := os.ReadFile("testdata/messages.jsonl")
	require.NoError(t, err)
	var got []decide.Event
	for line := range bytes.Lines(raw) {
		var m message
		require.NoError(t, json.Unmarshal(line, &m))
		ev, err := h.decodeEvent(&m)
		require.NoError(t, err)
		got = append(got, ev)
	}
	load := &decide.LoadReport{InFlight: 7, Queue: 2, Utilization: 0.61, Latency: 12.5, Memory: 0.5, Disk: 0.25}
	require.Equal(t, []decide.Event{
		decide.EndpointUpdate{Kind: decide.UpdateIncremental, Entries: []decide.EndpointInfo{{ID: 7, Zone: 1, Kind: 2, Cell: 3, State: decide.EndpointDraining, StartedAt: 4.5}}},
		decide.EndpointUpdate{Kind: decide.UpdateFailed},
		decide.RequestArrived{ID: "c:a", Class: 1, Tenant: 2, Group: 11, Key: 12, HasKey: true, TimeLeft: 2000, EstimatedWork: 120.5, EstimatedMemoryMB: 64, IsRetry: true},
		decide.RequestArrived{ID: "c:b", TimeLeft: 900},
		decide.AnswerBegan{ID: "c:a", Attempt: 1},
		decide.AttemptProgress{ID: "c:a", Attempt: 1, Kind: decide.ProgressSpilled, Value: 0.5},
		decide.AttemptEnded{ID: "c:a", Attempt: 1, Endpoint: 7, Outcome: decide.OutcomeReset, Latency: 30.5, RequestClosed: true, ActualWork: 120, ActualMemoryMB: 64, Load: load},
		decide.ClientDisconnected{ID: "c:a"},
		decide.TimerFired{Token: "tick"},
		decide.ProbeEnded{Endpoint: 7, Outcome: decide.OutcomeSucceeded, Latency: 1.5, Load: load},
		decide.GossipReceived{From: 4, Data: []byte("hello")},
	}, got)
}

func TestActionsAreEncodedAsRecorded(t *testing.T) {
	actions := []decide.Action{
		decide.StartAttempt{ID: "c:a", Endpoint: 7, Timeout: 900.5},
		decide.StartAttempt{ID: "c:a", Endpoint: 7},
		decide.CancelAttempt{ID: "c:a", Attempt: 1},
		decide.Reject{ID: "c:a", RetryAfter: 120.5},
		decide.Reject{ID: "c:b"},
		decide.Fail{ID: "c:a"},
		decide.SetAttemptResources{ID: "c:a", GrantMB: 63.2, Priority: 2},
		decide.StartTimer{After: 5, Token: "tick"},
		decide.Probe{Endpoint: 7},
		decide.SendGossip{To: 0, Data: []byte("hello")},
		decide.SendGossip{To: decide.AllPeers, Data: []byte("hello")},
		decide.Log{Message: decide.LogEndpointRestored, Endpoint: 7},
		decide.Log{Message: decide.LogEndpointEjected, Endpoint: 7, Reason: decide.EjectedConnectFailed},
		decide.Log{Message: decide.LogEndpointEjected, Endpoint: 7, Reason: decide.EjectedDomainUnreachable},
		decide.Log{Message: decide.LogEndpointEjected, Endpoint: 7, Reason: decide.EjectedErrors},
		decide.Log{Message: decide.LogEndpointEjected, Endpoint: 7, Reason: decide.EjectedTrialFailed},
		decide.Log{Message: decide.LogEndpointEjected, Endpoint: 7, Reason: decide.EjectedUnresponsive},
		decide.Log{Message: decide.LogEndpointEjected, Endpoint: 7, Reason: decide.EjectedProbeTimeout},
		decide.Subscribe{},
		nil,
	}
	var out []byte
	for _, a := range actions {
		line, err := json.Marshal(encodeAction(3, a))
		require.NoError(t, err)
		out = append(append(out, line...), '\n')
	}
	golden.Equal(t, "testdata/actions.golden", out)
}

func TestRecordedBatchesAreAnsweredAsRecorded(t *testing.T) {
	raw, err := os.ReadFile("testdata/batches.jsonl")
	require.NoError(t, err)
	h := NewHost()
	var out []byte
	for line := range bytes.Lines(raw) {
		answer, err := h.Batch(line)
		require.NoError(t, err)
		out = append(append(out, answer...), '\n')
	}
	golden.Equal(t, "testdata/batches.golden", out)
}

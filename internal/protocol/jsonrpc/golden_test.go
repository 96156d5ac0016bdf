package jsonrpc

import (
	"os"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/golden"
)

// testdata/messages.jsonl holds messages of clients. testdata/answers.golden was written at commit d9ce9f6 by
// go test ./internal/protocol/jsonrpc -update
func TestParseRecordedMessages(t *testing.T) {
	raw, err := os.ReadFile("testdata/messages.jsonl")
	require.NoError(t, err)
	got, err := (&Parser{}).Feed(raw)
	require.NoError(t, err)
	require.Equal(t, []Message{
		Request{ID: "7", Method: "trip-lookup", CallID: "9b1f03aa5c7e2d41", TimeoutMS: 1500, EstimatedWorkMS: 120.5, EstimatedMemoryMB: 64, IdempotencyKey: "once-17", IsRetry: true,
			Statement: []byte("select * from sales_17.orders")},
		Request{ID: "8", Method: "ridership-report", CallID: "9b1f03aa5c7e2d42", TimeoutMS: 9000, EstimatedWorkMS: 0, EstimatedMemoryMB: 0, Statement: []byte{}},
		Cancel{ID: "7"},
		HealthCheck{ID: "9"},
	}, got[:4])
	var refusals []byte
	for _, message := range got[4:] {
		refusals = append(refusals, message.(Invalid).Response...)
	}
	golden.Equal(t, "testdata/refusals.golden", refusals)
}

func TestResponsesMatchGolden(t *testing.T) {
	golden.Equal(t, "testdata/answers.golden", slices.Concat(
		EncodeResult("7", []byte("1\tvienna\t17.5\n")),
		EncodeResult("8", nil),
		EncodeHealth("9", true),
		EncodeHealth("10", false),
		EncodeRejection("11", "refused: trying again is harmless", 120.9),
		EncodeRejection("12", "refused", -1),
		EncodeError("13", CodeFailed, `failed: "it" may have run`),
		EncodeError("null", CodeParseError, "parse error"),
		EncodeError("14", CodeInvalidRequest, "invalid request"),
		EncodeError("15", CodeMethodNotFound, "method not found"),
		EncodeError("16", CodeInvalidParams, "invalid params"),
		EncodeError("17", CodeRejected, "refused"),
	))
}

package rest

import (
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/protocol/httpmsg"
)

const (
	queuedResponse  = `{"id":"q","nextUri":"http://e/v1/statement/q/1","stats":{"state":"QUEUED"}}`
	runningResponse = `{"id":"q","nextUri":"http://e/v1/statement/q/2","stats":{"state":"RUNNING"}}`
	firstRows       = `{"id":"q","nextUri":"http://e/v1/statement/q/2","data":[["a","b","c"]],"stats":{"state":"RUNNING"}}`
	secondRows      = `{"id":"q","nextUri":"http://e/v1/statement/q/3","data":[["d","e","f"]],"stats":{"state":"RUNNING"}}`
	lastResponse    = `{"id":"q","data":[["g","h","i"]],"stats":{"state":"FINISHED"}}`
)

// feedAll feeds a new query with responses, of which only the last may be invalid.
func feedAll(t *testing.T, responses ...string) (*UpstreamQuery, Step, error) {
	t.Helper()
	q := NewUpstreamQuery("e", StartRequest{})
	q.EncodeStart()
	var step Step
	var err error
	for _, response := range responses {
		require.NoError(t, err)
		step, err = q.Feed(httpmsg.AppendResponse(nil, 200, "OK", nil, []byte(response)))
	}
	return q, step, err
}

// Guards against the reuse of a connection on which a response is due: one that names the requested page again may be a
// duplicate of the response before it.
func TestConnectionIsDroppedAfterAmbiguousResponse(t *testing.T) {
	_, step, err := feedAll(t, queuedResponse, runningResponse, lastResponse)
	require.NoError(t, err)
	require.True(t, step.KeepConnection)
	_, step, err = feedAll(t, queuedResponse, queuedResponse, runningResponse, lastResponse)
	require.NoError(t, err)
	require.NotNil(t, step.Result)
	require.False(t, step.KeepConnection)

	q, _, err := feedAll(t, queuedResponse, queuedResponse)
	require.NoError(t, err)
	q.EncodeResume() // a new connection
	step, err = q.Feed(httpmsg.AppendResponse(nil, 200, "OK", nil, []byte(lastResponse)))
	require.NoError(t, err)
	require.True(t, step.KeepConnection)
}

// Guards against taking the end of another query for that of this one, such as a rejection, which would prove that it never ran.
func TestResponseToAnotherQueryIsCorrupt(t *testing.T) {
	q, _, err := feedAll(t, queuedResponse, `{"id":"other","error":{"errorName":"QUERY_QUEUE_FULL"}}`)
	require.ErrorIs(t, err, errCorruptResponse)
	require.Contains(t, string(q.EncodeResume()), "GET /v1/statement/q/1 ")
}

// Guards against rows that come twice in a result: a duplicate of an earlier page is not the requested one, which is requested
// again.
func TestDuplicateOfEarlierPageIsCorrupt(t *testing.T) {
	for name, responses := range map[string][]string{
		"the page before":        {queuedResponse, firstRows, secondRows, secondRows},
		"an earlier page":        {queuedResponse, firstRows, secondRows, firstRows},
		"the first response":     {queuedResponse, firstRows, secondRows, queuedResponse},
		"after a repeated poll":  {queuedResponse, queuedResponse, firstRows, secondRows, secondRows},
		"after a page to come":   {queuedResponse, firstRows, runningResponse, secondRows, secondRows},
		"a page before the last": {queuedResponse, queuedResponse, queuedResponse, firstRows, secondRows, firstRows},
	} {
		q, _, err := feedAll(t, responses...)
		require.ErrorIs(t, err, errCorruptResponse, name)
		require.Contains(t, string(q.EncodeResume()), "GET /v1/statement/q/3 ", name)
		step, err := q.Feed(httpmsg.AppendResponse(nil, 200, "OK", nil, []byte(lastResponse)))
		require.NoError(t, err, name)
		require.Equal(t, "a\tb\tc\nd\te\tf\ng\th\ti\n", string(step.Result.Body), name)
	}
}

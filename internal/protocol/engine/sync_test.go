package engine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	acceptedResponse  = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
	failedResponse    = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	noContentResponse = "HTTP/1.1 204 No Content\r\n\r\n"
	onlyPageResponse  = "HTTP/1.1 200 OK\r\nX-Batches: 1\r\nContent-Length: 6\r\n\r\na\tb\tc\n"
	firstPageResponse = "HTTP/1.1 200 OK\r\nX-Batches: 2\r\nContent-Length: 6\r\n\r\na\tb\tc\n"
	lastPageResponse  = "HTTP/1.1 200 OK\r\nX-Batch: 1\r\nContent-Length: 6\r\n\r\nd\te\tf\n"
)

// Guards against the reuse of a connection on which an answer is due: after a 202, which an engine may have sent twice, only a
// call with an answer of its own shows that none is.
func TestConnectionNeedsSyncCallUnlessLastAnswerIsUnique(t *testing.T) {
	const syncCall = "PUT /data/9b1f03aa5c7e2d41 HTTP/1.1\r\nHost: e\r\nContent-Length: 1\r\n\r\n2"
	for name, c := range map[string]struct {
		responses      []string
		keepConnection bool
		syncCall       string
	}{
		"one answer":                  {[]string{onlyPageResponse}, true, ""},
		"a 202 before the only page":  {[]string{acceptedResponse, onlyPageResponse}, true, syncCall},
		"two 202":                     {[]string{acceptedResponse, acceptedResponse, onlyPageResponse}, true, syncCall},
		"a 202 before numbered pages": {[]string{acceptedResponse, firstPageResponse, lastPageResponse}, true, ""},
		"a 202 before a failure":      {[]string{acceptedResponse, failedResponse}, false, ""},
		"only a failure":              {[]string{failedResponse}, false, ""},
	} {
		q := NewQuery("e", StartRequest{CallID: "9b1f03aa5c7e2d41", Class: "k", Priority: 2})
		q.EncodeStart()
		var step Step
		for _, response := range c.responses {
			var err error
			step, err = q.Feed([]byte(response))
			require.NoError(t, err, name)
		}
		require.NotNil(t, step.Result, name)
		require.Equal(t, c.keepConnection, step.KeepConnection, name)
		require.Equal(t, c.syncCall, string(step.SyncCall), name)
	}
}

func TestIsSyncAnswer(t *testing.T) {
	require.True(t, IsSyncAnswer([]byte(noContentResponse)))
	for _, received := range []string{"", "HTTP/1.1 204 No", onlyPageResponse, failedResponse, acceptedResponse + noContentResponse, onlyPageResponse + noContentResponse,
		noContentResponse + noContentResponse, "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"} {
		require.False(t, IsSyncAnswer([]byte(received)), received)
	}
}

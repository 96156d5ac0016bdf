package engine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFeedParsesProgress(t *testing.T) {
	for head, want := range map[string]*Progress{
		"Outcome: so_far\r\nX-Num: 0.25\r\n":   {ProgressRatio, 0.25},
		"Outcome: lacking\r\nX-Num: 640\r\n":   {ProgressSpilled, 640},
		"Outcome: waiting\r\nX-Num: 2\r\n":     {ProgressWaiting, 2},
		"":                                     nil,
		"Outcome: so_far\r\n":                  nil,
		"Outcome: so_far\r\nX-Num: 7\r\n":      nil,
		"Outcome: lacking\r\nX-Num: NaN\r\n":   nil,
		"Outcome: lacking\r\nX-Num: -1\r\n":    nil,
		"Outcome: lacking\r\nX-Num: 1e999\r\n": nil,
		"Outcome: singing\r\nX-Num: 1\r\n":     nil,
	} {
		q := NewQuery("e", StartRequest{CallID: "c", Class: "k", Priority: -1})
		q.EncodeStart()
		step, err := q.Feed(fmt.Appendf(nil, "HTTP/1.1 202 Accepted\r\n%sContent-Length: 0\r\n\r\n", head))
		require.NoError(t, err)
		require.Equal(t, want, step.Progress, head)
		require.Equal(t, want == nil && head != "", step.InvalidProgress, head)
		require.NotEmpty(t, step.Send, "the query must continue whatever its progress")
	}
}

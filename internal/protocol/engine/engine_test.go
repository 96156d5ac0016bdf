package engine

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNotesOfARunningQueryAreRead(t *testing.T) {
	for head, want := range map[string]*Note{
		"Outcome: so_far\r\nX-Num: 0.25\r\n":   {SoFar, 0.25},
		"Outcome: lacking\r\nX-Num: 640\r\n":   {Lacking, 640},
		"Outcome: waiting\r\nX-Num: 2\r\n":     {Waiting, 2},
		"":                                     nil,
		"Outcome: so_far\r\n":                  nil,
		"Outcome: so_far\r\nX-Num: 7\r\n":      nil,
		"Outcome: lacking\r\nX-Num: NaN\r\n":   nil,
		"Outcome: lacking\r\nX-Num: -1\r\n":    nil,
		"Outcome: lacking\r\nX-Num: 1e999\r\n": nil,
		"Outcome: singing\r\nX-Num: 1\r\n":     nil,
	} {
		q := NewQuery("e", Start{Call: "c", Class: "k", Priority: -1})
		q.Begin()
		step, err := q.Feed([]byte(fmt.Sprintf("HTTP/1.1 202 Accepted\r\n%sContent-Length: 0\r\n\r\n", head)))
		require.NoError(t, err)
		require.Equal(t, want, step.Note, head)
		require.NotEmpty(t, step.Out, "it asks on, whatever the note")
	}
}

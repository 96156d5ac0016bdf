package admin

import (
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/golden"
)

// testdata/calls.txt holds commands of operators, one line per connection. testdata/answers.golden was written at
// commit d9ce9f6 by go test ./internal/protocol/admin -update
func TestRecordedCommandsMatchGolden(t *testing.T) {
	raw, err := os.ReadFile("testdata/calls.txt")
	require.NoError(t, err)
	var commands []Command
	var out []byte
	for line := range strings.Lines(string(raw)) {
		c, done, err := (&Parser{}).Feed([]byte(line))
		require.True(t, done, line)
		if err != nil {
			out = append(out, Nak(err.Error())...)
			continue
		}
		commands = append(commands, c)
		out = append(out, Ack(c.String())...)
	}
	require.Equal(t, []Command{{Verb: Status}, {Verb: Status}, {Verb: Suspend, EndpointID: "s-00000007"}, {Verb: Restore, EndpointID: "s-00000007"},
		{Verb: Pause}, {Verb: Resume}}, commands)
	unfinished := (&Parser{}).Finish()
	require.Error(t, unfinished)
	out = slices.Concat(out, Nak(unfinished.Error()), Ack(""), Ack("serving\npaused"), Nak(ErrTooLong.Error()))
	golden.Equal(t, "testdata/answers.golden", out)
}

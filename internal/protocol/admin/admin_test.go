package admin

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func feed(parser *Parser, parts ...string) (c Command, done bool, err error) {
	for _, p := range parts {
		if c, done, err = parser.Feed([]byte(p)); done {
			return
		}
	}
	return
}

func TestFeedReassemblesCommandFromAnyChunks(t *testing.T) {
	for line, want := range map[string]Command{
		"STATUS\n":             {Verb: Status},
		"status\r\n":           {Verb: Status},
		"SUSPEND s-00c41f7a\n": {Verb: Suspend, EndpointID: "s-00c41f7a"},
		"  RESTORE\ts-1  \n":   {Verb: Restore, EndpointID: "s-1"},
		"PAUSE\n":              {Verb: Pause},
		"Resume\n":             {Verb: Resume},
	} {
		for cut := range len(line) {
			var parser Parser
			c, done, err := feed(&parser, line[:cut], line[cut:])
			require.True(t, done, "%q cut at %d", line, cut)
			require.NoError(t, err)
			require.Equal(t, want, c)
		}
	}
}

func TestFeedRejectsInvalidLine(t *testing.T) {
	for line, want := range map[string]error{
		"FLY\n":             ErrUnknownVerb,
		"SUSPEND\n":         ErrMissingID,
		"RESTORE \n":        ErrMissingID,
		"PAUSE now\n":       ErrTooManyWords,
		"\n":                ErrEmpty,
		"STATUS\x00\n":      ErrNotText,
		"SUSPEND é\n":       ErrNotText,
		"SUSPEND s-1\x7f\n": ErrNotText,
	} {
		var parser Parser
		_, done, err := parser.Feed([]byte(line))
		require.True(t, done)
		require.ErrorIs(t, err, want, "%q", line)
	}
}

func TestFeedRejectsTooLongLineBeforeItsLineFeed(t *testing.T) {
	var parser Parser
	_, done, err := parser.Feed([]byte(strings.Repeat("x", MaxLineBytes-1)))
	require.False(t, done)
	require.NoError(t, err)
	_, done, err = parser.Feed([]byte("x"))
	require.True(t, done, "a line that is too long must be rejected before its end")
	require.ErrorIs(t, err, ErrTooLong)
	_, _, err = parser.Feed([]byte("\n"))
	require.Error(t, err, "a connection carries only one command")
}

func TestFinishRejectsIncompleteLine(t *testing.T) {
	var parser Parser
	_, done, _ := parser.Feed([]byte("STATUS"))
	require.False(t, done)
	require.ErrorIs(t, parser.Finish(), ErrIncomplete)
}

func TestResponseIsOneLine(t *testing.T) {
	require.Equal(t, "ACK serving\n", string(Ack("serving")))
	require.Equal(t, "NAK a b\n", string(Nak("a\nb")))
	require.Equal(t, "ACK\n", string(Ack("")))
}

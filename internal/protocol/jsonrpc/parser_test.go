package jsonrpc

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A discarded message ends at its line feed, wherever the bytes are split, and what follows is parsed as usual.
func TestDiscardedMessageEndsAtItsLineFeed(t *testing.T) {
	const beginning, rest = `{"jsonrpc":"2.0","params":{"id":3,"a":[1,{}]},"id":7,"doc":"`, "xx\"}\n" + `{"jsonrpc":"2.0","id":8,"method":"alive"}` + "\n"
	for split := range len(rest) {
		var p Parser
		messages, err := p.Feed([]byte(beginning))
		require.NoError(t, err)
		require.Empty(t, messages)
		require.True(t, p.Discard())
		require.Zero(t, p.Buffered())
		require.True(t, p.Incomplete())
		for _, part := range []string{rest[:split], rest[split:]} {
			more, err := p.Feed([]byte(part))
			require.NoError(t, err)
			messages = append(messages, more...)
		}
		require.Equal(t, []Message{Discarded{"7"}, HealthCheck{"8"}}, messages)
		require.False(t, p.Incomplete())
	}
}

// A message whose beginning has no usable ID can't be answered, so it is kept.
func TestMessageWithoutIDIsNotDiscarded(t *testing.T) {
	for _, beginning := range []string{"", "x", " ", `{"jsonrpc":"2.0"`, `{"id"`, `{"id":`, `{"id":7`, `{"id":-1,"a":1,`, `{"id":"7","a":1,`, `{"params":{"id":7,"doc":"`, `{"doc":"\"id\":7,`} {
		var p Parser
		_, err := p.Feed([]byte(beginning))
		require.NoError(t, err)
		require.False(t, p.Discard(), beginning)
		require.Equal(t, len(beginning), p.Buffered())
	}
}

// The limit of a line holds for discarded ones too.
func TestDiscardedMessageHasTheLimitOfALine(t *testing.T) {
	const beginning = `{"id":7,"doc":"`
	var p Parser
	_, err := p.Feed([]byte(beginning))
	require.NoError(t, err)
	require.True(t, p.Discard())
	_, err = p.Feed([]byte(strings.Repeat("x", MaxLineBytes-len(beginning))))
	require.NoError(t, err)
	_, err = p.Feed([]byte("x"))
	require.ErrorIs(t, err, ErrLineTooLong)
}

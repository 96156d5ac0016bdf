package httpmsg

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNextReassemblesResponsesFromAnyChunks(t *testing.T) {
	const stream = "HTTP/1.1 100 Continue\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nhello\r\n6\r\n world\r\n0\r\nTrailer: x\r\n\r\n" +
		"HTTP/1.1 200 OK\nContent-Length: 3\nConnection: close\n\nabc" +
		"HTTP/1.0 204 No Content\r\n\r\n"
	for size := 1; size <= len(stream); size++ {
		p := NewResponseParser(MaxBodyBytes)
		var bodies []string
		var closes []bool
		for rest := stream; rest != ""; rest = rest[min(size, len(rest)):] {
			p.Feed([]byte(rest[:min(size, len(rest))]))
			for {
				m, err := p.Next()
				require.NoError(t, err)
				if m == nil {
					break
				}
				bodies, closes = append(bodies, string(m.Body)), append(closes, m.Close)
			}
		}
		require.Equal(t, []string{"hello world", "abc", ""}, bodies)
		require.Equal(t, []bool{false, true, true}, closes)
		require.True(t, p.Idle())
	}
}

func TestNextRejectsAmbiguousAndOversizedMessages(t *testing.T) {
	for stream, want := range map[string]error{
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":          ErrMalformed,
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n": ErrMalformed,
		"HTTP/1.1 200 OK\r\n\r\n":                                                           ErrMalformed,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n":                                          ErrMalformed,
		strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 9):                                  ErrMalformed,
		"HTTP/1.1 20 OK\r\n\r\n":                                                            ErrMalformed,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n":                        ErrMalformed,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n":                                      ErrTooLarge,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n5\r\nabcde\r\n": ErrTooLarge,
		strings.Repeat("x", MaxHeadBytes+1):                                                 ErrTooLarge,
	} {
		p := NewResponseParser(8)
		p.Feed([]byte(stream))
		_, err := p.Next()
		require.ErrorIs(t, err, want, stream)
		p.Feed([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
		_, laterErr := p.Next()
		require.Equal(t, err, laterErr, "the error must be final")
	}
}

// Guards against holding bytes of an unfinished message that are not counted, such as the chunks of a body.
func TestBufferedSizeCountsHeadAndChunks(t *testing.T) {
	head := "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
	p := NewRequestParser(100)
	bufferedAfter := func(b string) int {
		p.Feed([]byte(b))
		_, err := p.Next()
		require.NoError(t, err)
		return p.BufferedSize()
	}
	require.Equal(t, len(head), bufferedAfter(head))
	require.Equal(t, len(head)+len("abcd"), bufferedAfter("4\r\nabcd\r\n"))
	require.Equal(t, len(head)+len("abcd")+len("ef"), bufferedAfter("3\r\nef"))
	require.Zero(t, bufferedAfter("g\r\n0\r\n\r\n"))
}

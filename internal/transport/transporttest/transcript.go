package transporttest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Transcript records the messages of two sides as text. It is safe for concurrent use.
type Transcript struct {
	mu   sync.Mutex
	text bytes.Buffer
	// Replaced and Patterns replace text that differs from run to run. Patterns holds the replacement of each pattern.
	Replaced *strings.Replacer
	Patterns map[*regexp.Regexp]string
}

// Add adds a message, line by line. Each line begins with the mark of the side that sent the message.
func (r *Transcript) Add(side, message string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Replaced != nil {
		message = r.Replaced.Replace(message)
	}
	for pattern, replacement := range r.Patterns {
		message = pattern.ReplaceAllString(message, replacement)
	}
	for _, line := range strings.SplitAfter(message, "\n") {
		if line != "" {
			fmt.Fprintf(&r.text, "%s %q\n", side, line)
		}
	}
}

// String returns the text recorded so far.
func (r *Transcript) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// ByteReader returns one byte per read, so that a buffered reader on it reads no bytes beyond one message.
type ByteReader struct{ From io.Reader }

// Read reads one byte.
func (r *ByteReader) Read(b []byte) (int, error) { return r.From.Read(b[:1]) }

// TranscriptServer starts an HTTP server that records each call and sends the next of the answers. An empty answer closes the
// connection, as does a call after the last answer. In an answer, "(engine)" stands for the server's address and "(length)" for
// the length of the body.
func TranscriptServer(t *testing.T, answers ...string) (addr string, out *Transcript) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	addr = l.Addr().String()
	out = &Transcript{Replaced: strings.NewReplacer(addr, "(engine)"),
		Patterns: map[*regexp.Regexp]string{regexp.MustCompile(`(?i)(timeout(?:-ms)?: ?)[0-9.]+`): "${1}(ms)", regexp.MustCompile(`max_execution_time=\d+`): "max_execution_time=(ms)"}}
	var calls atomic.Int64 // number of calls so far; the calls of all connections are made one after the other
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		for {
			var rawRequest bytes.Buffer
			req, err := http.ReadRequest(bufio.NewReader(io.TeeReader(&ByteReader{From: c}, &rawRequest)))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			out.Add(">", rawRequest.String())
			n := int(calls.Add(1)) - 1
			if n >= len(answers) {
				return
			}
			answer := answers[n]
			out.Add("<", answer)
			if answer == "" { // closes the connection
				return
			}
			head, body, _ := strings.Cut(strings.ReplaceAll(answer, "(engine)", addr), "\r\n\r\n")
			_, _ = io.WriteString(c, strings.ReplaceAll(head, "(length)", strconv.Itoa(len(body)))+"\r\n\r\n"+body)
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return addr, out
}

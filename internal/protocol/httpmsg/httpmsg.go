// Package httpmsg frames HTTP/1.1 messages: a state machine that is fed bytes
// and knows no socket. Every line, header and body is bounded.
package httpmsg

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
)

// What a peer may make this program hold.
const (
	MaxHead = 16 << 10
	MaxBody = 1 << 20

	maxInterim = 8 // 1xx heads in front of an answer
)

// Errors of framing; after any of them the connection is of no more use.
var (
	ErrTooLarge  = errors.New("http: message too large")
	ErrMalformed = errors.New("http: malformed message")
)

// readers are buffers for heads: a new one of 4 KB for each message kept the collector busy.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 1024) }}

// Message is one request or response.
type Message struct {
	Proto  string
	Method string // requests only
	Target string // requests only
	Status int    // responses only
	Header textproto.MIMEHeader
	Body   []byte
	Close  bool // the sender closes after it
}

type phase int

const (
	readingHead phase = iota
	readingBody
	readingChunkSize
	readingChunk
	readingTrailer
	broken
)

// Machine cuts a stream of bytes into messages.
type Machine struct {
	responses bool
	maxBody   int
	phase     phase
	buf       []byte
	msg       *Message
	left      int
	skipped   int // 1xx heads in front of the message to come
	err       error
}

// NewResponses returns a machine that reads responses.
func NewResponses(maxBody int) *Machine { return &Machine{responses: true, maxBody: maxBody} }

// NewRequests returns a machine that reads requests.
func NewRequests(maxBody int) *Machine { return &Machine{maxBody: maxBody} }

// Feed takes bytes as they come; Next tells what they made whole.
func (m *Machine) Feed(b []byte) { m.buf = append(m.buf, b...) }

// Idle tells whether nothing of a message has come yet.
func (m *Machine) Idle() bool { return m.phase == readingHead && len(m.buf) == 0 }

// Rest is what has come behind the last message that Next returned.
func (m *Machine) Rest() []byte { return m.buf }

// Next returns the next whole message, or nil while more bytes are needed.
func (m *Machine) Next() (*Message, error) {
	for m.err == nil {
		var more bool
		msg, more, err := m.step()
		if err != nil {
			m.phase, m.err, m.buf = broken, err, nil
			break
		}
		if msg != nil {
			return msg, nil
		}
		if more {
			return nil, nil
		}
	}
	return nil, m.err
}

// step moves one phase on, or asks for more bytes.
func (m *Machine) step() (msg *Message, more bool, err error) {
	switch m.phase {
	case readingHead:
		return m.head()
	case readingBody:
		if len(m.buf) < m.left {
			return nil, true, nil
		}
		m.msg.Body = m.buf[:m.left:m.left] // what comes later is appended behind it
		m.buf = m.buf[m.left:]
		return m.done(), false, nil
	case readingChunkSize:
		line, ok, err := m.line()
		if !ok || err != nil {
			return nil, true, err
		}
		size, _, _ := strings.Cut(line, ";")
		n, perr := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if perr != nil {
			return nil, false, fmt.Errorf("%w: chunk size", ErrMalformed)
		}
		if len(m.msg.Body)+int(n) > m.maxBody {
			return nil, false, ErrTooLarge
		}
		if m.phase, m.left = readingChunk, int(n); n == 0 {
			m.phase = readingTrailer
		}
		return nil, false, nil
	case readingChunk:
		if len(m.buf) < m.left+2 {
			return nil, true, nil
		}
		m.msg.Body = append(m.msg.Body, m.buf[:m.left]...)
		m.buf, m.phase = m.buf[m.left+2:], readingChunkSize
		return nil, false, nil
	case readingTrailer:
		line, ok, err := m.line()
		if !ok || err != nil {
			return nil, true, err
		}
		if line == "" {
			return m.done(), false, nil
		}
		return nil, false, nil
	}
	return nil, false, ErrMalformed
}

// line takes one line of the chunked form.
func (m *Machine) line() (string, bool, error) {
	i := bytes.IndexByte(m.buf, '\n')
	if i < 0 {
		if len(m.buf) > MaxHead {
			return "", false, ErrTooLarge
		}
		return "", false, nil
	}
	line := strings.TrimRight(string(m.buf[:i]), "\r")
	m.buf = m.buf[i+1:]
	return line, true, nil
}

func (m *Machine) head() (*Message, bool, error) {
	for len(m.buf) > 0 && (m.buf[0] == '\r' || m.buf[0] == '\n') {
		m.buf = m.buf[1:] // blank lines before a message are let pass
	}
	i := bytes.Index(m.buf, []byte("\r\n\r\n"))
	end := i + 4
	if j := bytes.Index(m.buf, []byte("\n\n")); j >= 0 && (i < 0 || j < i) {
		i, end = j, j+2
	}
	if i < 0 && len(m.buf) > MaxHead || i > MaxHead {
		return nil, false, ErrTooLarge
	}
	if i < 0 {
		return nil, true, nil
	}
	src := bytes.NewReader(m.buf[:end])
	buffer := readers.Get().(*bufio.Reader)
	buffer.Reset(src)
	defer readers.Put(buffer)
	r := textproto.NewReader(buffer)
	first, err := r.ReadLine()
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	head, err := r.ReadMIMEHeader()
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	m.buf = m.buf[end:]
	m.msg = &Message{Header: head}
	if err := m.firstLine(first); err != nil {
		return nil, false, err
	}
	return m.framing()
}

func (m *Machine) firstLine(line string) error {
	a, rest, ok := strings.Cut(line, " ")
	b, c, _ := strings.Cut(rest, " ")
	if !ok {
		return fmt.Errorf("%w: first line", ErrMalformed)
	}
	if m.responses {
		n, err := strconv.Atoi(b)
		if err != nil || len(b) != 3 || !strings.HasPrefix(a, "HTTP/1.") {
			return fmt.Errorf("%w: status line", ErrMalformed)
		}
		m.msg.Proto, m.msg.Status = a, n
	} else {
		if a == "" || b == "" || !strings.HasPrefix(c, "HTTP/1.") {
			return fmt.Errorf("%w: request line", ErrMalformed)
		}
		m.msg.Method, m.msg.Target, m.msg.Proto = a, b, c
	}
	conn := strings.ToLower(m.msg.Header.Get("Connection"))
	m.msg.Close = conn == "close" || m.msg.Proto == "HTTP/1.0" && conn != "keep-alive"
	return nil
}

// framing finds out how the body ends. Two lengths, or a length beside chunks,
// are refused: parties that read them differently could be played off.
func (m *Machine) framing() (*Message, bool, error) {
	if m.responses && m.msg.Status < 200 {
		return nil, false, m.interim()
	}
	lengths, te := m.msg.Header["Content-Length"], m.msg.Header["Transfer-Encoding"]
	switch {
	case len(te) > 0:
		if len(te) > 1 || len(lengths) > 0 || !strings.EqualFold(te[0], "chunked") {
			return nil, false, fmt.Errorf("%w: transfer encoding", ErrMalformed)
		}
		m.phase = readingChunkSize
	case len(lengths) > 0:
		n, err := strconv.ParseUint(lengths[0], 10, 31)
		if err != nil || len(lengths) > 1 {
			return nil, false, fmt.Errorf("%w: content length", ErrMalformed)
		}
		if int(n) > m.maxBody {
			return nil, false, ErrTooLarge
		}
		m.phase, m.left = readingBody, int(n)
	case !m.responses || m.msg.Status == 204 || m.msg.Status == 304:
		return m.done(), false, nil
	default: // its end would be the connection's: whether it is whole could not be told
		return nil, false, fmt.Errorf("%w: no length", ErrMalformed)
	}
	return nil, false, nil
}

// interim passes over a 1xx head: the answer is still to come. Nothing here asks
// for another protocol, so 101 is no answer at all.
func (m *Machine) interim() error {
	if m.skipped++; m.msg.Status == 101 || m.skipped > maxInterim {
		return fmt.Errorf("%w: status %d", ErrMalformed, m.msg.Status)
	}
	m.msg = nil
	return nil
}

func (m *Machine) done() *Message {
	msg := m.msg
	m.msg, m.left, m.phase, m.skipped = nil, 0, readingHead, 0
	if len(m.buf) == 0 {
		m.buf = nil
	}
	return msg
}

// Field is one header of a message to be written.
type Field struct{ Name, Value string }

// AppendRequest writes a request.
func AppendRequest(b []byte, method, target, host string, fields []Field, body []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\n"...)
	withBody := body != nil || method == "POST" || method == "PUT"
	return appendRest(b, fields, body, withBody)
}

// AppendResponse writes a response.
func AppendResponse(b []byte, status int, reason string, fields []Field, body []byte) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	b = append(b, "\r\n"...)
	return appendRest(b, fields, body, status != 204)
}

func appendRest(b []byte, fields []Field, body []byte, withBody bool) []byte {
	for _, f := range fields {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	if withBody {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}

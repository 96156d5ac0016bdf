package httpmsg

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Bounds on the data of one message that a peer can make this program buffer.
const (
	MaxHeadBytes = 16 << 10
	MaxBodyBytes = 1 << 20

	maxInterimResponses = 8 // 1xx heads before one response
)

// Errors of framing. After any of them the connection cannot be used any more.
var (
	ErrTooLarge  = errors.New("http: message too large")
	ErrMalformed = errors.New("http: malformed message")
)

type phase int

const (
	readingHead phase = iota
	readingBody
	readingChunkSize
	readingChunk
	readingTrailer
	parseFailed
)

// Parser splits a stream of bytes into messages. It is not safe for concurrent use.
type Parser struct {
	parsesResponses bool // the stream consists of responses; false: of requests
	maxBodyBytes    int  // larger bodies are rejected
	phase           phase
	buffer          []byte   // received bytes that are not parsed yet
	message         *Message // the message being read
	headBytes       int      // size of the head of the message being read
	remaining       int      // size in bytes of the body or chunk that is read next
	interimCount    int      // 1xx heads before the next response
	err             error    // error that was found in the stream; set if phase is parseFailed
}

// NewResponseParser returns a parser of responses with bodies of at most maxBodyBytes.
func NewResponseParser(maxBodyBytes int) *Parser {
	return &Parser{parsesResponses: true, maxBodyBytes: maxBodyBytes}
}

// NewRequestParser returns a parser of requests with bodies of at most maxBodyBytes.
func NewRequestParser(maxBodyBytes int) *Parser { return &Parser{maxBodyBytes: maxBodyBytes} }

// Feed takes bytes as they come; Next returns the messages that they complete.
func (p *Parser) Feed(b []byte) { p.buffer = append(p.buffer, b...) }

// Idle reports whether no byte of the next message has been received.
func (p *Parser) Idle() bool { return p.phase == readingHead && len(p.buffer) == 0 }

// Buffered returns the received bytes after the last message that Next returned.
func (p *Parser) Buffered() []byte { return p.buffer }

// BufferedSize returns the size in bytes of the unfinished message that the parser holds: its head, the chunks of its body, and
// what is not parsed yet.
func (p *Parser) BufferedSize() int {
	size := len(p.buffer) + p.headBytes
	if p.message != nil {
		size += len(p.message.Body)
	}
	return size
}

// Next returns the next complete message, or nil while more bytes are needed. Errors are ErrTooLarge and ErrMalformed,
// wrapped; each later call returns the same error.
func (p *Parser) Next() (*Message, error) {
	for p.err == nil {
		m, needsBytes, err := p.step()
		if err != nil {
			p.phase, p.err, p.buffer, p.message, p.headBytes = parseFailed, err, nil, nil, 0
			break
		}
		if m != nil || needsBytes {
			return m, nil
		}
	}
	return nil, p.err
}

// step advances by one phase, unless it needs more bytes.
func (p *Parser) step() (m *Message, needsBytes bool, err error) {
	switch p.phase {
	case readingHead:
		return p.readHead()
	case readingBody:
		return p.readBody()
	case readingChunkSize:
		return p.readChunkSize()
	case readingChunk:
		return p.readChunk()
	case readingTrailer:
		return p.readTrailer()
	}
	return nil, false, ErrMalformed
}

func (p *Parser) readBody() (m *Message, needsBytes bool, err error) {
	if len(p.buffer) < p.remaining {
		return nil, true, nil
	}
	p.message.Body = p.buffer[:p.remaining:p.remaining] // capped: an append to the body must not overwrite later bytes
	p.buffer = p.buffer[p.remaining:]
	return p.finishMessage(), false, nil
}

func (p *Parser) readChunkSize() (m *Message, needsBytes bool, err error) {
	line, ok, err := p.nextLine()
	if !ok || err != nil {
		return nil, true, err
	}
	sizeText, _, _ := strings.Cut(line, ";")
	size, parseErr := strconv.ParseUint(strings.TrimSpace(sizeText), 16, 31)
	if parseErr != nil {
		return nil, false, fmt.Errorf("%w: chunk size", ErrMalformed)
	}
	if len(p.message.Body)+int(size) > p.maxBodyBytes {
		return nil, false, ErrTooLarge
	}
	p.phase, p.remaining = readingChunk, int(size)
	if size == 0 {
		p.phase = readingTrailer
	}
	return nil, false, nil
}

func (p *Parser) readChunk() (m *Message, needsBytes bool, err error) {
	withLineEnd := p.remaining + len("\r\n")
	if len(p.buffer) < withLineEnd {
		return nil, true, nil
	}
	p.message.Body = append(p.message.Body, p.buffer[:p.remaining]...)
	p.buffer, p.phase = p.buffer[withLineEnd:], readingChunkSize
	return nil, false, nil
}

func (p *Parser) readTrailer() (m *Message, needsBytes bool, err error) {
	line, ok, err := p.nextLine()
	if !ok || err != nil {
		return nil, true, err
	}
	if line == "" {
		return p.finishMessage(), false, nil
	}
	return nil, false, nil
}

// nextLine consumes one line of the chunked encoding; ok is false while the line is incomplete.
func (p *Parser) nextLine() (line string, ok bool, err error) {
	lineEnd := bytes.IndexByte(p.buffer, '\n')
	if lineEnd < 0 {
		if len(p.buffer) > MaxHeadBytes {
			return "", false, ErrTooLarge
		}
		return "", false, nil
	}
	line = strings.TrimRight(string(p.buffer[:lineEnd]), "\r")
	p.buffer = p.buffer[lineEnd+1:]
	return line, true, nil
}

func (p *Parser) finishMessage() *Message {
	m := p.message
	p.message, p.headBytes, p.remaining, p.phase, p.interimCount = nil, 0, 0, readingHead, 0
	if len(p.buffer) == 0 {
		p.buffer = nil // the body of the message may still use it
	}
	return m
}

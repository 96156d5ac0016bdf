package httpmsg

import (
	"bufio"
	"bytes"
	"fmt"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
)

// headReaders holds readers for reuse, to avoid the allocation of a buffer for each message on the request path.
var headReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 1024) }}

// readHead parses the first line and the headers once they are complete.
func (p *Parser) readHead() (m *Message, needsBytes bool, err error) {
	p.skipBlankLines()
	size, err := p.headSize()
	if size == 0 || err != nil {
		return nil, true, err
	}
	firstLine, header, err := parseHead(p.buffer[:size])
	if err != nil {
		return nil, false, err
	}
	p.buffer, p.headBytes = p.buffer[size:], size
	p.message = &Message{Header: header}
	if err := p.parseFirstLine(firstLine); err != nil {
		return nil, false, err
	}
	return p.chooseFraming()
}

// skipBlankLines drops line ends before a message: some senders add one after a body.
func (p *Parser) skipBlankLines() {
	for len(p.buffer) > 0 && (p.buffer[0] == '\r' || p.buffer[0] == '\n') {
		p.buffer = p.buffer[1:]
	}
}

// headSize returns the size in bytes of the head with its blank line, or 0 while the blank line has not been received.
func (p *Parser) headSize() (int, error) {
	headEnd, size := bytes.Index(p.buffer, []byte("\r\n\r\n")), 0
	if headEnd >= 0 {
		size = headEnd + len("\r\n\r\n")
	}
	if bareHeadEnd := bytes.Index(p.buffer, []byte("\n\n")); bareHeadEnd >= 0 && (headEnd < 0 || bareHeadEnd < headEnd) {
		headEnd, size = bareHeadEnd, bareHeadEnd+len("\n\n")
	}
	if headEnd < 0 && len(p.buffer) > MaxHeadBytes || headEnd > MaxHeadBytes {
		return 0, ErrTooLarge
	}
	return size, nil
}

func parseHead(b []byte) (firstLine string, header textproto.MIMEHeader, err error) {
	buffered := headReaders.Get().(*bufio.Reader)
	buffered.Reset(bytes.NewReader(b))
	defer headReaders.Put(buffered)
	r := textproto.NewReader(buffered)
	if firstLine, err = r.ReadLine(); err != nil {
		return "", nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	if header, err = r.ReadMIMEHeader(); err != nil {
		return "", nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return firstLine, header, nil
}

func (p *Parser) parseFirstLine(firstLine string) error {
	firstWord, afterFirstWord, ok := strings.Cut(firstLine, " ")
	secondWord, thirdWord, _ := strings.Cut(afterFirstWord, " ")
	if !ok {
		return fmt.Errorf("%w: first line", ErrMalformed)
	}
	m := p.message
	if p.parsesResponses {
		status, err := strconv.Atoi(secondWord)
		if err != nil || len(secondWord) != 3 || !strings.HasPrefix(firstWord, "HTTP/1.") {
			return fmt.Errorf("%w: status line", ErrMalformed)
		}
		m.Proto, m.Status = firstWord, status
	} else {
		if firstWord == "" || secondWord == "" || !strings.HasPrefix(thirdWord, "HTTP/1.") {
			return fmt.Errorf("%w: request line", ErrMalformed)
		}
		m.Method, m.Target, m.Proto = firstWord, secondWord, thirdWord
	}
	connection := strings.ToLower(m.Header.Get("Connection"))
	m.Close = connection == "close" || m.Proto == "HTTP/1.0" && connection != "keep-alive"
	return nil
}

// chooseFraming determines how the body ends. Two lengths, or a length together with a chunked encoding, are rejected:
// parties that interpret them differently would disagree on where the next message begins.
func (p *Parser) chooseFraming() (m *Message, needsBytes bool, err error) {
	if p.parsesResponses && p.message.Status < 200 {
		return nil, false, p.skipInterim()
	}
	lengths, encodings := p.message.Header["Content-Length"], p.message.Header["Transfer-Encoding"]
	switch {
	case len(encodings) > 0:
		if len(encodings) > 1 || len(lengths) > 0 || !strings.EqualFold(encodings[0], "chunked") {
			return nil, false, fmt.Errorf("%w: transfer encoding", ErrMalformed)
		}
		p.phase = readingChunkSize
	case len(lengths) > 0:
		length, err := strconv.ParseUint(lengths[0], 10, 31)
		if err != nil || len(lengths) > 1 {
			return nil, false, fmt.Errorf("%w: content length", ErrMalformed)
		}
		if int(length) > p.maxBodyBytes {
			return nil, false, ErrTooLarge
		}
		p.phase, p.remaining = readingBody, int(length)
	case !p.parsesResponses || p.message.Status == 204 || p.message.Status == 304:
		return p.finishMessage(), false, nil
	default: // the body would end with the connection, so that a truncated body could not be detected
		return nil, false, fmt.Errorf("%w: no length", ErrMalformed)
	}
	return nil, false, nil
}

// skipInterim drops a 1xx head, which precedes the response. This program never requests a switch of protocols, so 101
// is malformed.
func (p *Parser) skipInterim() error {
	p.interimCount++
	if p.message.Status == 101 || p.interimCount > maxInterimResponses {
		return fmt.Errorf("%w: status %d", ErrMalformed, p.message.Status)
	}
	p.message, p.headBytes = nil, 0
	return nil
}

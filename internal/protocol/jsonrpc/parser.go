// Package jsonrpc implements the platform's client protocol: JSON-RPC 2.0 with one message per line.
//
// It does no I/O: the parser is fed bytes. The protocol's field names appear only here, in the tags of params; all
// other code uses the names of Request.
package jsonrpc

import (
	"bytes"
	"errors"
)

// MaxLineBytes bounds one message without its line feed.
const MaxLineBytes = 256 << 10

// ErrLineTooLong is returned for a message of more than MaxLineBytes. The connection cannot be used any more.
var ErrLineTooLong = errors.New("jsonrpc: line too long")

// Parser splits the bytes of one connection into messages. It is not safe for concurrent use.
type Parser struct {
	buffer       []byte // an unfinished line
	scannedBytes int    // number of bytes at the start of buffer that are known to hold no line feed
}

// Buffered returns the size of the unfinished message in bytes.
func (p *Parser) Buffered() int { return len(p.buffer) }

// Feed takes bytes and returns the messages that they complete. With ErrLineTooLong it returns the messages
// before the long line.
func (p *Parser) Feed(b []byte) ([]Message, error) {
	p.buffer = append(p.buffer, b...)
	var messages []Message
	unparsed := p.buffer
	for {
		lineEnd := bytes.IndexByte(unparsed[p.scannedBytes:], '\n')
		if lineEnd < 0 {
			break
		}
		lineEnd += p.scannedBytes
		if lineEnd > MaxLineBytes {
			return messages, ErrLineTooLong
		}
		line := bytes.TrimSpace(unparsed[:lineEnd])
		unparsed, p.scannedBytes = unparsed[lineEnd+1:], 0
		if len(line) > 0 {
			messages = append(messages, parseMessage(line))
		}
	}
	p.scannedBytes = len(unparsed)
	if len(unparsed) > MaxLineBytes {
		return messages, ErrLineTooLong
	}
	p.storeUnfinished(unparsed)
	return messages, nil
}

// storeUnfinished stores the unfinished line. It copies the line only if complete lines before it were consumed, so
// that a long line is not copied at each read.
func (p *Parser) storeUnfinished(unfinishedLine []byte) {
	switch {
	case len(unfinishedLine) == 0:
		p.buffer = nil
	case len(unfinishedLine) < len(p.buffer):
		p.buffer = append([]byte(nil), unfinishedLine...)
	}
}

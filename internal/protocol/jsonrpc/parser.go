// Package jsonrpc implements the platform's client protocol: JSON-RPC 2.0 with one message per line.
//
// It does no I/O: the parser is fed bytes. The protocol's field names appear only here, in the tags of params; all
// other code uses the names of Request.
package jsonrpc

import (
	"bytes"
	"errors"

	jsoniter "github.com/json-iterator/go"
)

// MaxLineBytes bounds one message without its line feed.
const MaxLineBytes = 256 << 10

// ErrLineTooLong is returned for a message of more than MaxLineBytes. The connection cannot be used any more.
var ErrLineTooLong = errors.New("jsonrpc: line too long")

// Parser splits the bytes of one connection into messages. It is not safe for concurrent use.
type Parser struct {
	buffer       []byte // an unfinished line
	scannedBytes int    // number of bytes at the start of buffer that are known to hold no line feed
	discarded    *discardedLine
}

// discardedLine is a message whose bytes are not kept.
type discardedLine struct {
	id   string
	size int // bytes received
}

// Buffered returns the size of the unfinished message in bytes.
func (p *Parser) Buffered() int { return len(p.buffer) }

// Incomplete reports whether a part of a message has been received and its end has not.
func (p *Parser) Incomplete() bool { return len(p.buffer) > 0 || p.discarded != nil }

// Discarding reports whether the unfinished message is being discarded.
func (p *Parser) Discarding() bool { return p.discarded != nil }

// Discard drops the unfinished message and what is still to come of it. At its end Feed returns a Discarded with its ID.
// Where the part received so far holds no usable ID nothing is dropped and Discard returns false, as the message could not
// be answered.
func (p *Parser) Discard() bool {
	id := findID(p.buffer)
	if !validID(id) {
		return false
	}
	p.discarded = &discardedLine{id: string(id), size: len(p.buffer)}
	p.buffer, p.scannedBytes = nil, 0
	return true
}

// findID returns the ID of the message of which line is the beginning, or nil. The ID counts only where another field
// follows, as its last digits may be missing otherwise.
func findID(line []byte) (id []byte) {
	iterator := codec.BorrowIterator(line)
	defer codec.ReturnIterator(iterator)
	var lastID []byte
	iterator.ReadObjectCB(func(iterator *jsoniter.Iterator, key string) bool {
		if id = lastID; id != nil {
			return false
		}
		if key != "id" {
			iterator.Skip()
			return true
		}
		lastID = iterator.SkipAndReturnBytes()
		return true
	})
	return id
}

// feedDiscarded takes bytes of a message that is being discarded, and returns the bytes after it and, at its end, the
// message.
func (p *Parser) feedDiscarded(b []byte) (rest []byte, messages []Message, err error) {
	lineEnd := bytes.IndexByte(b, '\n')
	if lineEnd < 0 {
		lineEnd = len(b)
	} else {
		rest = b[lineEnd+1:]
		messages = []Message{Discarded{p.discarded.id}}
	}
	p.discarded.size += lineEnd
	if p.discarded.size > MaxLineBytes {
		return nil, nil, ErrLineTooLong
	}
	if messages != nil {
		p.discarded = nil
	}
	return rest, messages, nil
}

// Feed takes bytes and returns the messages that they complete. With ErrLineTooLong it returns the messages
// before the long line.
func (p *Parser) Feed(b []byte) ([]Message, error) {
	var messages []Message
	if p.discarded != nil {
		var err error
		if b, messages, err = p.feedDiscarded(b); err != nil || len(b) == 0 {
			return messages, err
		}
	}
	p.buffer = append(p.buffer, b...)
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

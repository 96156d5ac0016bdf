package admin

import (
	"bytes"
	"errors"
)

// MaxLineBytes bounds a command with its line feed. The longest command is a verb and an endpoint ID.
const MaxLineBytes = 512

var errAlreadyRead = errors.New("admin: the call was read already")

// Parser reads the only command line of a connection. It is not safe for concurrent use.
type Parser struct {
	buffer []byte // the incomplete line
	done   bool   // the line was complete or too long, or Finish was called
}

// Feed takes bytes as they come. It returns done once the line is complete or too long; err then says why the line is
// not a valid command, if it is not. Later bytes are ignored.
func (p *Parser) Feed(b []byte) (c Command, done bool, err error) {
	if p.done {
		return Command{}, true, errAlreadyRead
	}
	lineEnd := bytes.IndexByte(b, '\n')
	lineBytes := len(b)
	if lineEnd >= 0 {
		lineBytes = lineEnd
	}
	if len(p.buffer)+lineBytes >= MaxLineBytes {
		p.done = true
		return Command{}, true, ErrTooLong
	}
	p.buffer = append(p.buffer, b[:lineBytes]...)
	if lineEnd < 0 {
		return Command{}, false, nil
	}
	p.done = true
	c, err = Parse(string(bytes.TrimSuffix(p.buffer, []byte{'\r'})))
	return c, true, err
}

// Finish must be called when the connection has ended or timed out. It returns ErrIncomplete if Feed has not returned
// done, as a line without a line feed is not a command, else nil.
func (p *Parser) Finish() error {
	if p.done {
		return nil
	}
	p.done = true
	return ErrIncomplete
}

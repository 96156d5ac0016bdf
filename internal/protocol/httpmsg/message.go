// Package httpmsg parses and encodes HTTP/1.1 messages. It does no I/O: the parser is fed bytes. The size of every
// line, header and body is bounded.
package httpmsg

import (
	"net/textproto"
	"strconv"
)

// Message is one request or response.
type Message struct {
	Proto  string
	Method string // requests only
	Target string // requests only
	Status int    // responses only
	Header textproto.MIMEHeader
	Body   []byte
	Close  bool // the sender closes the connection after the message
}

// HeaderField is one header of a message to be written.
type HeaderField struct{ Name, Value string }

// AppendRequest appends a request to b. A POST or PUT has a Content-Length even without a body.
func AppendRequest(b []byte, method, target, host string, fields []HeaderField, body []byte) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\n"...)
	withLength := body != nil || method == "POST" || method == "PUT"
	return appendHeadersAndBody(b, fields, body, withLength)
}

// AppendResponse appends a response to b.
func AppendResponse(b []byte, status int, reason string, fields []HeaderField, body []byte) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	b = append(b, "\r\n"...)
	return appendHeadersAndBody(b, fields, body, status != 204)
}

func appendHeadersAndBody(b []byte, fields []HeaderField, body []byte, withLength bool) []byte {
	for _, f := range fields {
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	if withLength {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}

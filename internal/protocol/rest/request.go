// Package rest implements the paged REST query protocol, which follows the public Trino client protocol: requests of
// clients and the responses to them, and the same protocol towards engines. It does no I/O: the parsers are fed bytes.
package rest

import (
	"errors"
	"math"
	"strconv"
	"strings"

	"aniseloft/internal/protocol/httpmsg"
)

// MaxStatementBytes bounds a statement.
const MaxStatementBytes = 192 << 10

// Headers that this program adds to those of the public protocol.
const (
	HeaderTimeout        = "X-Aniseloft-Timeout-Ms"
	HeaderWork           = "X-Aniseloft-Work-Ms"
	HeaderMemory         = "X-Aniseloft-Memory-Mb"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Headers of the public protocol that are read or written here.
const (
	headerUser       = "X-Trino-User"
	headerSource     = "X-Trino-Source"
	headerTraceToken = "X-Trino-Trace-Token"
	headerSession    = "X-Trino-Session"
)

const (
	maxUserBytes = 128
	maxKeyBytes  = 128
	// maxNumber is the largest value of a numeric header: an hour in ms.
	maxNumber = 3600e3
)

// Request is what a client sent: a SubmitRequest, PageRequest, CancelRequest, InfoRequest or InvalidRequest.
// Close says that the client closes the connection after the response.
type Request interface{ request() }

type (
	// SubmitRequest starts a query.
	SubmitRequest struct {
		User, Class, IdempotencyKey, Host string
		Statement                         []byte
		TimeoutMS                         float64 // time until the client gives up; 0: the deadline of the class
		EstimatedWorkMS                   float64 // estimated work in ms on one core; 0: no estimate
		EstimatedMemoryMB                 float64 // estimated memory in MB; 0: no estimate
		Close                             bool
	}
	// PageRequest asks for the page with number Token of a query's result. Slug is the secret part of the address
	// of the query's pages.
	PageRequest struct {
		ID, Slug, Host string
		Token          int
		Close          bool
	}
	// CancelRequest cancels a query.
	CancelRequest struct {
		ID, Slug string
		Close    bool
	}
	// InfoRequest asks whether the coordinator accepts queries.
	InfoRequest struct{ Close bool }
	// InvalidRequest is a request that cannot be accepted. Response is the response to it.
	InvalidRequest struct {
		Response []byte
		Close    bool
	}
)

func (SubmitRequest) request()  {}
func (PageRequest) request()    {}
func (CancelRequest) request()  {}
func (InfoRequest) request()    {}
func (InvalidRequest) request() {}

// RequestParser splits the bytes of one connection into requests. It is not safe for concurrent use.
type RequestParser struct{ parser *httpmsg.Parser }

// NewRequestParser returns a parser for a new connection.
func NewRequestParser() *RequestParser {
	return &RequestParser{httpmsg.NewRequestParser(MaxStatementBytes)}
}

// MaxRequestBytes bounds a request: its head and its statement.
const MaxRequestBytes = httpmsg.MaxHeadBytes + MaxStatementBytes

// BufferedSize returns the size of the unfinished request in bytes.
func (p *RequestParser) BufferedSize() int { return p.parser.BufferedSize() }

// Feed takes bytes and returns the requests that they complete. After an error of httpmsg the connection cannot be
// used any more; the last request is then an InvalidRequest with the error response.
func (p *RequestParser) Feed(b []byte) ([]Request, error) {
	p.parser.Feed(b)
	var requests []Request
	for {
		m, err := p.parser.Next()
		switch {
		case errors.Is(err, httpmsg.ErrTooLarge):
			return append(requests, InvalidRequest{EncodeText(413, "request too large"), true}), err
		case err != nil:
			return append(requests, InvalidRequest{EncodeText(400, "malformed request"), true}), err
		case m == nil:
			return requests, nil
		}
		requests = append(requests, parseRequest(m))
	}
}

func invalid(m *httpmsg.Message, status int, text string) InvalidRequest {
	return InvalidRequest{EncodeText(status, text), m.Close}
}

func parseRequest(m *httpmsg.Message) Request {
	path, _, _ := strings.Cut(m.Target, "?")
	switch {
	case path == "/v1/info" && m.Method == "GET":
		return InfoRequest{m.Close}
	case path == "/v1/statement" && m.Method == "POST":
		return parseSubmit(m)
	case path == "/v1/statement":
		return invalid(m, 405, "method not allowed")
	}
	parts := strings.Split(strings.Trim(path, "/"), "/")
	if len(parts) == 6 && parts[0] == "v1" && parts[1] == "statement" && (parts[2] == "queued" || parts[2] == "executing") {
		return parsePageRequest(m, parts[3], parts[4], parts[5])
	}
	return invalid(m, 404, "no such resource")
}

// parsePageRequest parses a request to the address of a page: GET fetches the page, DELETE cancels its query.
func parsePageRequest(m *httpmsg.Message, id, slug, tokenText string) Request {
	token, err := strconv.Atoi(tokenText)
	if err != nil || token < 0 {
		return invalid(m, 404, "no such page")
	}
	switch m.Method {
	case "GET":
		return PageRequest{id, slug, m.Header.Get("Host"), token, m.Close}
	case "DELETE":
		return CancelRequest{id, slug, m.Close}
	}
	return invalid(m, 405, "method not allowed")
}

func parseSubmit(m *httpmsg.Message) Request {
	s := SubmitRequest{
		User: m.Header.Get(headerUser), Class: m.Header.Get(headerSource), IdempotencyKey: m.Header.Get(HeaderIdempotencyKey),
		Host: m.Header.Get("Host"), Statement: m.Body, Close: m.Close,
	}
	switch {
	case s.User == "" || len(s.User) > maxUserBytes:
		return invalid(m, 400, headerUser+" is needed")
	case len(s.IdempotencyKey) > maxKeyBytes:
		return invalid(m, 400, HeaderIdempotencyKey+" is too long")
	case len(strings.TrimSpace(string(m.Body))) == 0:
		return invalid(m, 400, "the statement is empty")
	}
	for _, number := range []struct {
		header string
		value  *float64
	}{{HeaderTimeout, &s.TimeoutMS}, {HeaderWork, &s.EstimatedWorkMS}, {HeaderMemory, &s.EstimatedMemoryMB}} {
		text := m.Header.Get(number.header)
		if text == "" {
			continue
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(v) || v < 0 || v > maxNumber || number.header == HeaderTimeout && v <= 0 {
			return invalid(m, 400, number.header+" is not a usable number")
		}
		*number.value = v
	}
	return s
}

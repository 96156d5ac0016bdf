package rest

import (
	"fmt"
	"math"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"aniseloft/internal/protocol/httpmsg"
)

var codec = jsoniter.ConfigCompatibleWithStandardLibrary

// Column describes one column of the data.
type Column struct {
	Name      string        `json:"name"`
	Type      string        `json:"type"`
	Signature TypeSignature `json:"typeSignature"`
}

// TypeSignature is a column's type in the form that clients parse.
type TypeSignature struct {
	RawType   string `json:"rawType"`
	Arguments []any  `json:"arguments"`
}

// Stats is the state of a query.
type Stats struct {
	State  string `json:"state"`
	Queued bool   `json:"queued"`
}

// QueryError describes why a query failed.
type QueryError struct {
	Message   string `json:"message"`
	ErrorCode int    `json:"errorCode"`
	ErrorName string `json:"errorName"`
	ErrorType string `json:"errorType"`
}

// QueryResults is one response of the protocol.
type QueryResults struct {
	ID      string      `json:"id"`
	InfoURI string      `json:"infoUri"`
	NextURI string      `json:"nextUri,omitempty"`
	Columns []Column    `json:"columns,omitempty"`
	Data    [][]string  `json:"data,omitempty"`
	Stats   Stats       `json:"stats"`
	Error   *QueryError `json:"error,omitempty"`
}

// Errors of a query, with the names and codes of the public protocol.
var (
	ErrorRejected = QueryError{"refused: trying again is harmless", 0x20002, "QUERY_QUEUE_FULL", "INSUFFICIENT_RESOURCES"}
	ErrorFailed   = QueryError{"failed: it may have run", 0x10000, "GENERIC_INTERNAL_ERROR", "INTERNAL_ERROR"}
	ErrorCanceled = QueryError{"canceled by the client", 0x0003, "USER_CANCELED", "USER_ERROR"}
	ErrorExpired  = QueryError{"the result is no longer kept", 0x0002, "ABANDONED_QUERY", "USER_ERROR"}
)

// PageURI returns the address of a query's page with the given token.
func PageURI(host, id, slug string, token int) string {
	return "http://" + host + "/v1/statement/executing/" + id + "/" + slug + "/" + strconv.Itoa(token)
}

var jsonContent = httpmsg.HeaderField{Name: "Content-Type", Value: "application/json"}

// EncodeResults returns a response. A retryAfter above 0 adds Retry-After, in whole seconds rounded up.
func EncodeResults(status int, q QueryResults, retryAfter time.Duration) []byte {
	body, err := codec.Marshal(q)
	if err != nil {
		return EncodeText(500, "answer not writable")
	}
	fields := []httpmsg.HeaderField{jsonContent}
	if retryAfter > 0 {
		seconds := int(math.Ceil(retryAfter.Seconds()))
		fields = append(fields, httpmsg.HeaderField{Name: "Retry-After", Value: strconv.Itoa(seconds)})
	}
	return httpmsg.AppendResponse(nil, status, reasonPhrase(status), fields, body)
}

// EncodeText returns a response with one line of text.
func EncodeText(status int, text string) []byte {
	fields := []httpmsg.HeaderField{{Name: "Content-Type", Value: "text/plain; charset=utf-8"}}
	return httpmsg.AppendResponse(nil, status, reasonPhrase(status), fields, []byte(text+"\n"))
}

// EncodeNoContent returns the response to a CancelRequest.
func EncodeNoContent() []byte { return httpmsg.AppendResponse(nil, 204, reasonPhrase(204), nil, nil) }

// EncodeInfo returns the response to an InfoRequest; a coordinator that is starting accepts no queries.
func EncodeInfo(starting bool) []byte {
	body := fmt.Appendf(nil, `{"starting":%t,"coordinator":true}`, starting)
	return httpmsg.AppendResponse(nil, 200, reasonPhrase(200), []httpmsg.HeaderField{jsonContent}, body)
}

var reasonPhrases = map[int]string{
	200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict",
	413: "Content Too Large", 429: "Too Many Requests", 500: "Internal Server Error",
}

func reasonPhrase(status int) string {
	if phrase, ok := reasonPhrases[status]; ok {
		return phrase
	}
	return "Status"
}

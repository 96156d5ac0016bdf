package jsonrpc

import (
	"encoding/base64"
	"fmt"
	"strconv"
)

// Error codes of JSON-RPC and of the platform.
const (
	CodeParseError     = -32700
	CodeInvalidRequest = -32600
	CodeMethodNotFound = -32601
	CodeInvalidParams  = -32602
	CodeRejected       = -32000 // the query never ran: a retry is harmless
	CodeFailed         = -32001 // the query may have run
)

// EncodeError returns the line of an error response without data.
func EncodeError(id string, code int, text string) []byte {
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%s,"error":{"code":%d,"message":%s}}`+"\n", id, code, strconv.Quote(text))
}

// EncodeRejection returns the line of a rejection. The client should wait for retryAfterMS before it repeats the
// request.
func EncodeRejection(id, text string, retryAfterMS float64) []byte {
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%s,"error":{"code":%d,"message":%s,"data":{"pushback":%d}}}`+"\n",
		id, CodeRejected, strconv.Quote(text), int64(max(retryAfterMS, 0)))
}

// EncodeResult returns the line of a response with a request's result.
func EncodeResult(id string, body []byte) []byte {
	b := make([]byte, 0, 64+len(id)+base64.StdEncoding.EncodedLen(len(body)))
	b = append(b, `{"jsonrpc":"2.0","id":`...)
	b = append(b, id...)
	b = append(b, `,"result":{"doc":"`...)
	b = base64.StdEncoding.AppendEncode(b, body)
	return append(b, "\"}}\n"...)
}

// EncodeHealth returns the line of the response to a HealthCheck.
func EncodeHealth(id string, healthy bool) []byte {
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%s,"result":{"pass":%t}}`+"\n", id, healthy)
}

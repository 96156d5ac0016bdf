package jsonrpc

import (
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"strconv"

	jsoniter "github.com/json-iterator/go"
)

var codec = jsoniter.Config{CaseSensitive: true, EscapeHTML: false}.Froze()

// Message is a message from a client: a Request, Cancel, HealthCheck, Invalid or Discarded.
type Message interface{ message() }

type (
	// Request is a query. ID is the JSON text that the client sent.
	Request struct {
		ID                string
		Method            string
		CallID            string  // 16 hex digits
		TimeoutMS         float64 // time until the client gives up
		EstimatedWorkMS   float64 // estimated work in ms on one core
		EstimatedMemoryMB float64 // estimated memory in MB
		IdempotencyKey    string  // the same for all attempts of one request; empty: none
		IsRetry           bool    // the client has marked the request as a retry
		Statement         []byte
	}
	// Cancel cancels the open request with the ID.
	Cancel struct{ ID string }
	// HealthCheck asks whether the coordinator accepts requests.
	HealthCheck struct{ ID string }
	// Discarded is a message that was not kept, see Parser.Discard.
	Discarded struct{ ID string }
	// Invalid is a message that cannot be accepted. ID is "null" if the message has no usable ID; Response is the
	// response line.
	Invalid struct {
		ID       string
		Response []byte
	}
)

func (Request) message()     {}
func (Cancel) message()      {}
func (HealthCheck) message() {}
func (Discarded) message()   {}
func (Invalid) message()     {}

// noID is the ID in the response to a message without a usable ID.
const noID = "null"

// Methods that are not the name of a class of requests.
const (
	methodCancel      = "cancelRequest"
	methodHealthCheck = "alive"
)

// envelope holds the protocol's fields that all messages share.
type envelope struct {
	Version string              `json:"jsonrpc"`
	ID      jsoniter.RawMessage `json:"id"`
	Method  *string             `json:"method"`
	Params  jsoniter.RawMessage `json:"params"`
}

// params holds the protocol's fields of a request. Pointers distinguish an absent field from 0.
type params struct {
	CallID            string              `json:"call"`
	TimeoutMS         *float64            `json:"ttl"`
	EstimatedWorkMS   *float64            `json:"work"`
	EstimatedMemoryMB *float64            `json:"ram"`
	Statement         *string             `json:"doc"` // base64
	IdempotencyKey    jsoniter.RawMessage `json:"dedupe"`
	IsRetry           jsoniter.RawMessage `json:"rep"`
}

// invalidError says why a message cannot be accepted, with the error code of the protocol.
type invalidError struct {
	code int
	text string
}

func (e invalidError) Error() string { return e.text }

func invalidRequest(text string) error { return invalidError{CodeInvalidRequest, text} }
func invalidParams(text string) error  { return invalidError{CodeInvalidParams, text} }

// parseMessage parses one line. For a line that cannot be accepted it returns an Invalid with its response.
func parseMessage(line []byte) Message {
	var e envelope
	if err := codec.Unmarshal(line, &e); err != nil {
		return invalid(noID, syntaxError(line))
	}
	id := noID
	if validID(e.ID) {
		id = string(e.ID)
	}
	m, err := e.decode(id)
	if err != nil {
		return invalid(id, err)
	}
	return m
}

func invalid(id string, err error) Invalid {
	reason := invalidError{CodeInvalidRequest, "invalid request"}
	_ = errors.As(err, &reason)
	return Invalid{id, EncodeError(id, reason.code, reason.text)}
}

// syntaxError distinguishes malformed JSON from valid JSON that is not a message: json-iterator reports a bare number
// as malformed.
func syntaxError(line []byte) error {
	if json.Valid(line) {
		return invalidRequest("invalid request")
	}
	return invalidError{CodeParseError, "parse error"}
}

func (e *envelope) decode(id string) (Message, error) {
	switch {
	case e.Version != "2.0" || e.Method == nil || *e.Method == "":
		return nil, invalidRequest("invalid request")
	case *e.Method == methodCancel:
		return e.decodeCancel()
	case id == noID:
		return nil, invalidRequest("invalid request: a request needs an id")
	case *e.Method == methodHealthCheck:
		return HealthCheck{id}, nil
	}
	return e.decodeRequest(id)
}

// decodeCancel decodes the ID of the request to cancel from the params: a cancellation is a notification and has no ID
// of its own.
func (e *envelope) decodeCancel() (Message, error) {
	var p struct {
		ID jsoniter.RawMessage `json:"id"`
	}
	if len(e.Params) == 0 || codec.Unmarshal(e.Params, &p) != nil || !validID(p.ID) {
		return nil, invalidParams("invalid params: id")
	}
	return Cancel{string(p.ID)}, nil
}

func (e *envelope) decodeRequest(id string) (Message, error) {
	var p params
	if len(e.Params) == 0 || codec.Unmarshal(e.Params, &p) != nil {
		return nil, invalidParams("invalid params")
	}
	switch {
	case !validCallID(p.CallID):
		return nil, invalidParams("invalid params: call")
	case p.TimeoutMS == nil || p.EstimatedWorkMS == nil || p.EstimatedMemoryMB == nil:
		return nil, invalidParams("invalid params: ttl, work and ram are needed")
	case p.Statement == nil:
		return nil, invalidParams("invalid params: doc")
	}
	statement, err := base64.StdEncoding.DecodeString(*p.Statement)
	if err != nil {
		return nil, invalidParams("invalid params: doc")
	}
	key, ok := parseIdempotencyKey(p.IdempotencyKey)
	if !ok {
		return nil, invalidParams("invalid params: dedupe")
	}
	isRetry, ok := parseRetryMark(p.IsRetry)
	if !ok {
		return nil, invalidParams("invalid params: rep")
	}
	return Request{
		ID: id, Method: *e.Method, CallID: p.CallID, TimeoutMS: *p.TimeoutMS,
		EstimatedWorkMS: *p.EstimatedWorkMS, EstimatedMemoryMB: *p.EstimatedMemoryMB,
		IdempotencyKey: key, IsRetry: isRetry, Statement: statement,
	}, nil
}

// maxKeyBytes bounds an idempotency key, which is sent to engines in a header. The platform's keys have 32 digits.
const maxKeyBytes = 64

// parseIdempotencyKey parses the optional key. It must be visible ASCII, which a header carries unchanged.
func parseIdempotencyKey(raw []byte) (key string, ok bool) {
	if len(raw) == 0 {
		return "", true
	}
	if codec.Unmarshal(raw, &key) != nil || key == "" || len(key) > maxKeyBytes {
		return "", false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] >= 0x7f {
			return "", false
		}
	}
	return key, true
}

// parseRetryMark parses the optional mark of a retry. The protocol does not specify whether 1 is a string or a number,
// so both are accepted.
func parseRetryMark(raw []byte) (isRetry, ok bool) {
	switch string(raw) {
	case `"1"`, "1":
		return true, true
	case "":
		return false, true
	}
	return false, false
}

// validCallID reports whether id has 16 hex digits. It is sent to engines in a header, unchanged.
func validCallID(id string) bool {
	_, err := hex.DecodeString(id)
	return err == nil && len(id) == 16
}

// validID reports whether raw is an integer of at least 1.
func validID(raw []byte) bool {
	n, err := strconv.ParseInt(string(raw), 10, 64)
	return err == nil && n > 0 && raw[0] != '+'
}

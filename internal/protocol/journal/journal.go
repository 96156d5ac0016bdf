// Package journal implements the protocol of the journal service, which is used to discover engines: numbered events
// that change the list of endpoints, fetched by long polls. It does no I/O: the parser is fed bytes.
//
// The service's field names appear only here, in the struct tags.
package journal

import (
	"errors"
	"fmt"
	"strconv"

	jsoniter "github.com/json-iterator/go"

	"aniseloft/internal/protocol/httpmsg"
)

// maxBatchBytes bounds one response: a snapshot holds all endpoints of an installation.
const maxBatchBytes = 4 * httpmsg.MaxBodyBytes

var codec = jsoniter.Config{CaseSensitive: true}.Froze()

// Endpoint is one engine in the list.
type Endpoint struct {
	ID          string  `json:"id"`
	Address     string  `json:"addr"` // host and port
	Zone        string  `json:"zone"`
	Kind        string  `json:"kind"`
	Cell        int     `json:"cell"`
	State       string  `json:"state"`
	StartedAtMS float64 `json:"started_ms"` // start of the engine, Unix time in ms; 0: long ago
}

// Update is a change of the endpoint list.
type Update struct {
	Snapshot  bool       `json:"full"` // Endpoints is the complete list; otherwise it holds the endpoints that changed
	Endpoints []Endpoint `json:"servers"`
}

// Event is one update with its position in the sequence of events.
type Event struct {
	Position int64  `json:"pos"`
	Update   Update `json:"hosts"`
}

// Batch is the response to one poll. The endpoint list in the configuration has the same form.
type Batch struct {
	Position int64   `json:"pos"` // position of the last event
	Events   []Event `json:"entries"`
}

// ParseBatch parses a batch.
func ParseBatch(b []byte) (Batch, error) {
	var batch Batch
	if err := codec.Unmarshal(b, &batch); err != nil {
		return Batch{}, fmt.Errorf("journal: %w", err)
	}
	return batch, nil
}

// EncodePoll returns the request of a long poll for the events after afterPosition. The service answers within waitMS.
func EncodePoll(host string, afterPosition int64, waitMS int) []byte {
	target := "/journal?tail=" + strconv.FormatInt(afterPosition, 10) + "&max_wait=" + strconv.Itoa(waitMS)
	return httpmsg.AppendRequest(nil, "GET", target, host, nil, nil)
}

// ErrUnexpectedStatus is returned for a response other than 200.
var ErrUnexpectedStatus = errors.New("journal: unexpected status")

// PollParser parses the responses to long polls on one connection.
type PollParser struct{ parser *httpmsg.Parser }

// NewPollParser returns a parser for a new connection.
func NewPollParser() *PollParser {
	return &PollParser{httpmsg.NewResponseParser(maxBatchBytes)}
}

// Feed takes bytes. The batch is nil until a response is complete; keepConnection says that the connection can carry
// another poll.
func (p *PollParser) Feed(b []byte) (batch *Batch, keepConnection bool, err error) {
	p.parser.Feed(b)
	m, err := p.parser.Next()
	if err != nil || m == nil {
		return nil, false, err
	}
	if m.Status != 200 {
		return nil, false, fmt.Errorf("%w %d", ErrUnexpectedStatus, m.Status)
	}
	parsed, err := ParseBatch(m.Body)
	if err != nil {
		return nil, false, err
	}
	// Bytes after a response would be parsed as the start of the next one.
	return &parsed, !m.Close && p.parser.Idle(), nil
}

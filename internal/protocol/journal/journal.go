// Package journal reads the journal service's events: the list of engines and
// its changes. It is a state machine that is fed bytes and knows no socket.
package journal

import (
	"errors"
	"fmt"
	"strconv"

	jsoniter "github.com/json-iterator/go"

	"aniseloft/internal/protocol/httpmsg"
)

var lists = jsoniter.Config{CaseSensitive: true}.Froze()

// Server is one engine as the journal service tells of it.
type Server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Started float64 `json:"started_ms"`
}

// Entry is one numbered event.
type Entry struct {
	Pos   int64 `json:"pos"`
	Hosts struct {
		Full    bool     `json:"full"`
		Servers []Server `json:"servers"`
	} `json:"hosts"`
}

// Batch is what one call brings, and what the configuration knows.
type Batch struct {
	Pos     int64   `json:"pos"`
	Entries []Entry `json:"entries"`
}

// Parse reads a batch.
func Parse(b []byte) (Batch, error) {
	var out Batch
	if err := lists.Unmarshal(b, &out); err != nil {
		return Batch{}, fmt.Errorf("journal: %w", err)
	}
	return out, nil
}

// Ask gives the bytes of a long poll for what comes after tail.
func Ask(host string, tail int64, waitMS int) []byte {
	target := "/journal?tail=" + strconv.FormatInt(tail, 10) + "&max_wait=" + strconv.Itoa(waitMS)
	return httpmsg.AppendRequest(nil, "GET", target, host, nil, nil)
}

// ErrStatus is an answer other than 200.
var ErrStatus = errors.New("journal: unexpected status")

// Poll reads answers to long polls on one connection.
type Poll struct{ http *httpmsg.Machine }

// NewPoll returns a machine for a new connection.
func NewPoll() *Poll { return &Poll{httpmsg.NewResponses(4 * httpmsg.MaxBody)} }

// Feed takes bytes; the batch is nil until an answer is whole.
func (p *Poll) Feed(b []byte) (batch *Batch, keep bool, err error) {
	p.http.Feed(b)
	m, err := p.http.Next()
	if err != nil || m == nil {
		return nil, false, err
	}
	if m.Status != 200 {
		return nil, false, fmt.Errorf("%w %d", ErrStatus, m.Status)
	}
	out, err := Parse(m.Body)
	if err != nil {
		return nil, false, err
	}
	// What is left behind an answer would be taken for the next one.
	return &out, !m.Close && p.http.Idle(), nil
}

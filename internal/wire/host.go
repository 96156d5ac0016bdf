// Package wire translates the decision module's events and actions from and to the simulator's JSON protocol, and
// decodes the settings that the simulator and the coordinator's configuration share. It makes no decisions.
//
// The field names and words of the wire and of the settings occur only in this package, in struct tags and in
// the constants beside them; docs/glossary.md lists them with the terms that the code uses.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"

	"aniseloft/decide"
)

// ErrMalformed is wrapped by the errors of Host.Batch for lines that can't be handled. Their texts name the message and
// the field.
var ErrMalformed = errors.New("malformed line")

// malformed is an error that wraps ErrMalformed without adding its text.
type malformed struct{ error }

func (m malformed) Unwrap() []error { return []error{m.error, ErrMalformed} }

func malformedf(format string, args ...any) error { return malformed{fmt.Errorf(format, args...)} }

// Host runs all balancers of one process. The balancers share nothing but the endpoint lists. A Host is
// not safe for concurrent use.
type Host struct {
	balancers map[int]*decide.Balancer      // started balancers by index
	lists     map[int][]decide.EndpointInfo // endpoint lists by the number that the List message gives them
}

// NewHost returns a host without balancers.
func NewHost() *Host {
	return &Host{balancers: map[int]*decide.Balancer{}, lists: map[int][]decide.EndpointInfo{}}
}

// batch is one line of input: the messages that arrive at one time.
type batch struct {
	NowMS    *float64          `json:"timeMs"` // time of all messages of the batch
	Round    *int64            `json:"round"`  // number of the batch, repeated in the reply
	Messages []json.RawMessage `json:"in"`
}

// batchReply is one line of output: the actions that follow from a batch.
type batchReply struct {
	Round   int64 `json:"round"`
	Actions []any `json:"decisions"`
}

// Batch handles one line of input and returns one line of output. Its errors for input wrap ErrMalformed.
func (h *Host) Batch(line []byte) ([]byte, error) {
	var b batch
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, malformedf("batch: %w", describeJSONError(err))
	}
	if b.NowMS == nil || b.Round == nil {
		return nil, malformedf("batch: field timeMs or round is missing")
	}
	reply := batchReply{Round: *b.Round, Actions: []any{}}
	for _, encodedMessage := range b.Messages {
		actions, err := h.handle(*b.NowMS, encodedMessage)
		if err != nil {
			return nil, err
		}
		reply.Actions = append(reply.Actions, actions...)
	}
	replyLine, err := json.Marshal(reply)
	if err != nil {
		return nil, fmt.Errorf("reply %d: %w", *b.Round, err)
	}
	return replyLine, nil
}

// handle handles one message of a batch and returns the encoded actions.
func (h *Host) handle(nowMS float64, encodedMessage json.RawMessage) ([]any, error) {
	var m message
	if err := json.Unmarshal(encodedMessage, &m); err != nil {
		messageName := m.Kind
		if messageName == "" {
			messageName = "message"
		}
		return nil, malformedf("%s: %w", messageName, describeJSONError(err))
	}
	switch m.Kind {
	case messageList:
		return nil, h.storeList(&m)
	case messageStart:
		return nil, h.start(&m)
	case messageStop:
		if err := m.require(field{"gateway", m.Balancer == nil}); err != nil {
			return nil, err
		}
		delete(h.balancers, *m.Balancer)
		return nil, nil
	}
	event, err := h.decodeEvent(&m)
	if err != nil {
		return nil, err
	}
	balancer := h.balancers[*m.Balancer]
	if balancer == nil {
		return nil, malformedf("%s: field gateway: instance %d was not started", m.Kind, *m.Balancer)
	}
	return handleEvent(balancer, *m.Balancer, nowMS, event), nil
}

// handleEvent passes an event to a balancer and returns the encoded actions. It turns a panic of the balancer into the
// wire's fault action, so that the other balancers continue.
func handleEvent(balancer *decide.Balancer, index int, nowMS float64, event decide.Event) (encoded []any) {
	defer func() {
		if p := recover(); p != nil {
			encoded = []any{textAction{actionFault, index, fmt.Sprint(p)}}
		}
	}()
	for _, action := range balancer.Handle(nowMS, event) {
		encoded = append(encoded, encodeAction(index, action))
	}
	return encoded
}

// storeList stores an endpoint list for the updates that refer to it.
func (h *Host) storeList(m *message) error {
	if err := m.require(field{"bank", m.List == nil}); err != nil {
		return err
	}
	entries := make([]decide.EndpointInfo, 0, len(m.Endpoints))
	for _, e := range m.Endpoints {
		info, err := e.decode(m.Kind)
		if err != nil {
			return err
		}
		entries = append(entries, info)
	}
	h.lists[*m.List] = entries
	return nil
}

// start starts a balancer with the settings and the seed of the message.
func (h *Host) start(m *message) error {
	if err := m.require(field{"gateway", m.Balancer == nil}, field{"prng", m.Seed == nil}); err != nil {
		return err
	}
	settings, err := Settings(m.Params)
	if err != nil {
		return malformedf("%s: params: %w", m.Kind, err)
	}
	balancer, err := decide.New(settings, *m.Seed)
	if err != nil {
		return malformedf("%s: params: %w", m.Kind, err)
	}
	h.balancers[*m.Balancer] = balancer
	return nil
}

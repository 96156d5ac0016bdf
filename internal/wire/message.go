package wire

import (
	"encoding/json"
	"errors"
	"fmt"

	"aniseloft/decide"
)

// The kinds of incoming messages, as the wire names them.
const (
	messageList            = "List"            // defines an endpoint list and its number
	messageStart           = "Boot"            // starts a balancer
	messageStop            = "Halt"            // stops a balancer
	messageEndpointUpdate  = "BackendsChanged" // decide.EndpointUpdate
	messageRequestArrived  = "Knock"           // decide.RequestArrived
	messageAnswerBegan     = "HeadReceived"    // decide.AnswerBegan
	messageAttemptProgress = "Progress"        // decide.AttemptProgress
	messageAttemptEnded    = "AttemptEnd"      // decide.AttemptEnded
	messageDisconnected    = "Abandoned"       // decide.ClientDisconnected
	messageTimerFired      = "TickDue"         // decide.TimerFired
	messageProbeEnded      = "ProbeDone"       // decide.ProbeEnded
	messageGossip          = "Heard"           // decide.GossipReceived
)

// message is any incoming message; a nil pointer is an absent field.
type message struct {
	Kind              string             `json:"what"`
	Balancer          *int               `json:"gateway"`
	List              *int               `json:"bank"`
	Endpoints         []listedEndpoint   `json:"hosts"`
	Seed              *uint64            `json:"prng"`
	Params            json.RawMessage    `json:"params"`
	UpdateKind        *int               `json:"mode"`
	RequestID         *string            `json:"ref"`
	TimeLeftMS        *float64           `json:"remainingMs"`
	Class             *int               `json:"cls"`
	Tenant            int                `json:"project"`
	Group             uint64             `json:"schemaNo"`
	EstimatedWorkMS   float64            `json:"estCostMs"`
	Key               *uint64            `json:"relation"`
	EstimatedMemoryMB float64            `json:"estMemoryMb"`
	IsRetry           bool               `json:"retry"`
	Attempt           *int               `json:"try"`
	Endpoint          *uint64            `json:"engine"`
	Outcome           *int               `json:"result"`
	LatencyMS         float64            `json:"spentMs"`
	RequestClosed     bool               `json:"complete"`
	ActualCost        uint64             `json:"usedUp"` // see actualCost
	Load              map[string]float64 `json:"usage"`
	ProgressKind      *int               `json:"sort"`
	ProgressValue     float64            `json:"x"`
	TimerToken        *string            `json:"cookie"`
	Sender            *int               `json:"from"`
	Gossip            *string            `json:"contents"` // base64
}

// listedEndpoint is one entry of an endpoint list.
type listedEndpoint struct {
	ID          *uint64 `json:"engine"`
	Zone        int     `json:"rackZone"`
	Kind        int     `json:"model"`
	Cell        int     `json:"cohort"`
	State       int     `json:"condition"`
	StartedAtMS float64 `json:"launchedMs"`
}

// decode converts the entry to a decide.EndpointInfo. kind is the kind of the message, for error texts.
func (e listedEndpoint) decode(kind string) (decide.EndpointInfo, error) {
	if e.ID == nil {
		return decide.EndpointInfo{}, malformedf("%s: field hosts.engine is missing", kind)
	}
	if e.State < int(decide.EndpointRemoved) || e.State > int(decide.EndpointDraining) {
		return decide.EndpointInfo{}, malformedf("%s: field hosts.condition: %d is unknown", kind, e.State)
	}
	return decide.EndpointInfo{
		ID: decide.EndpointID(*e.ID), Zone: e.Zone, Kind: e.Kind, Cell: e.Cell,
		State: decide.EndpointState(e.State), StartedAt: e.StartedAtMS,
	}, nil
}

// field is a required field of a message.
type field struct {
	name   string // name of the field on the wire
	absent bool
}

// require returns an error for the first of the fields that is absent.
func (m *message) require(fields ...field) error {
	for _, f := range fields {
		if f.absent {
			return malformedf("%s: field %s is missing", m.Kind, f.name)
		}
	}
	return nil
}

// describeJSONError reduces a JSON error for a value of the wrong type to the field and that type.
func describeJSONError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return fmt.Errorf("field %s: a %s does not fit", typeError.Field, typeError.Value)
	}
	return err
}

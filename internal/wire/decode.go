package wire

import (
	"encoding/base64"

	"aniseloft/decide"
)

// decodeEvent decodes a message to one balancer into the event that it carries.
func (h *Host) decodeEvent(m *message) (decide.Event, error) {
	if err := m.require(field{"gateway", m.Balancer == nil}); err != nil {
		return nil, err
	}
	switch m.Kind {
	case messageEndpointUpdate:
		return h.decodeEndpointUpdate(m)
	case messageRequestArrived:
		return decodeRequestArrived(m)
	case messageAnswerBegan:
		return decodeAnswerBegan(m)
	case messageAttemptProgress:
		return decodeAttemptProgress(m)
	case messageAttemptEnded:
		return decodeAttemptEnded(m)
	case messageDisconnected:
		return decodeDisconnected(m)
	case messageTimerFired:
		return decodeTimerFired(m)
	case messageProbeEnded:
		return decodeProbeEnded(m)
	case messageGossip:
		return decodeGossip(m)
	}
	return nil, malformedf("message %q: unknown", m.Kind)
}

func (h *Host) decodeEndpointUpdate(m *message) (decide.Event, error) {
	if err := m.require(field{"mode", m.UpdateKind == nil}); err != nil {
		return nil, err
	}
	kind := decide.UpdateKind(*m.UpdateKind)
	if kind < decide.UpdateIncremental || kind > decide.UpdateFailed {
		return nil, malformedf("%s: field mode: %d is unknown", m.Kind, *m.UpdateKind)
	}
	if kind == decide.UpdateFailed {
		return decide.EndpointUpdate{Kind: kind}, nil
	}
	if err := m.require(field{"bank", m.List == nil}); err != nil {
		return nil, err
	}
	entries, ok := h.lists[*m.List]
	if !ok {
		return nil, malformedf("%s: field bank: list %d was not sent", m.Kind, *m.List)
	}
	return decide.EndpointUpdate{Kind: kind, Entries: entries}, nil
}

func decodeRequestArrived(m *message) (decide.Event, error) {
	err := m.require(field{"ref", m.RequestID == nil}, field{"remainingMs", m.TimeLeftMS == nil}, field{"cls", m.Class == nil})
	if err != nil {
		return nil, err
	}
	event := decide.RequestArrived{
		ID: decide.RequestID(*m.RequestID), Class: *m.Class, Tenant: m.Tenant, Group: m.Group,
		TimeLeft: *m.TimeLeftMS, EstimatedWork: m.EstimatedWorkMS, EstimatedMemoryMB: m.EstimatedMemoryMB,
		IsRetry: m.IsRetry,
	}
	if m.Key != nil {
		event.Key, event.HasKey = *m.Key, true
	}
	return event, nil
}

func decodeAnswerBegan(m *message) (decide.Event, error) {
	if err := m.require(field{"ref", m.RequestID == nil}, field{"try", m.Attempt == nil}); err != nil {
		return nil, err
	}
	return decide.AnswerBegan{ID: decide.RequestID(*m.RequestID), Attempt: *m.Attempt}, nil
}

func decodeAttemptProgress(m *message) (decide.Event, error) {
	err := m.require(field{"ref", m.RequestID == nil}, field{"try", m.Attempt == nil}, field{"sort", m.ProgressKind == nil})
	if err != nil {
		return nil, err
	}
	return decide.AttemptProgress{
		ID: decide.RequestID(*m.RequestID), Attempt: *m.Attempt,
		Kind: decide.ProgressKind(*m.ProgressKind), Value: m.ProgressValue,
	}, nil
}

func decodeAttemptEnded(m *message) (decide.Event, error) {
	err := m.require(field{"ref", m.RequestID == nil}, field{"try", m.Attempt == nil},
		field{"engine", m.Endpoint == nil}, field{"result", m.Outcome == nil})
	if err != nil {
		return nil, err
	}
	outcome, err := decodeOutcome(m)
	if err != nil {
		return nil, err
	}
	workMS, memoryMB := actualCost(m.ActualCost)
	return decide.AttemptEnded{
		ID: decide.RequestID(*m.RequestID), Attempt: *m.Attempt, Endpoint: decide.EndpointID(*m.Endpoint),
		Outcome: outcome, Latency: m.LatencyMS, RequestClosed: m.RequestClosed,
		ActualWork: workMS, ActualMemoryMB: memoryMB, Load: decodeLoad(m.Load),
	}, nil
}

func decodeDisconnected(m *message) (decide.Event, error) {
	if err := m.require(field{"ref", m.RequestID == nil}); err != nil {
		return nil, err
	}
	return decide.ClientDisconnected{ID: decide.RequestID(*m.RequestID)}, nil
}

func decodeTimerFired(m *message) (decide.Event, error) {
	if err := m.require(field{"cookie", m.TimerToken == nil}); err != nil {
		return nil, err
	}
	return decide.TimerFired{Token: *m.TimerToken}, nil
}

func decodeProbeEnded(m *message) (decide.Event, error) {
	if err := m.require(field{"engine", m.Endpoint == nil}, field{"result", m.Outcome == nil}); err != nil {
		return nil, err
	}
	outcome, err := decodeOutcome(m)
	if err != nil {
		return nil, err
	}
	return decide.ProbeEnded{
		Endpoint: decide.EndpointID(*m.Endpoint), Outcome: outcome, Latency: m.LatencyMS, Load: decodeLoad(m.Load),
	}, nil
}

func decodeGossip(m *message) (decide.Event, error) {
	if err := m.require(field{"from", m.Sender == nil}, field{"contents", m.Gossip == nil}); err != nil {
		return nil, err
	}
	data, err := base64.StdEncoding.DecodeString(*m.Gossip)
	if err != nil {
		return nil, malformedf("%s: field contents: %w", m.Kind, err)
	}
	return decide.GossipReceived{From: *m.Sender, Data: data}, nil
}

// outcomes maps the wire's numbers to outcomes. The wire has no number for decide.OutcomeAnswerLost.
var outcomes = map[int]decide.Outcome{
	10: decide.OutcomeSucceeded,
	20: decide.OutcomeError,
	30: decide.OutcomeOverloaded,
	40: decide.OutcomeTimeout,
	50: decide.OutcomeConnectFailed,
	60: decide.OutcomeReset,
	70: decide.OutcomeCancelled,
	80: decide.OutcomeNotSent,
}

func decodeOutcome(m *message) (decide.Outcome, error) {
	outcome, ok := outcomes[*m.Outcome]
	if !ok {
		return 0, malformedf("%s: field result: %d is unknown", m.Kind, *m.Outcome)
	}
	return outcome, nil
}

const (
	costMemorySteps  = 4096 // number of values of an actual cost's low part, the memory in steps
	costMemoryStepMB = 4    // memory of one step
)

// actualCost splits the wire's single number for an attempt's actual cost: memory in steps of 4 MB in the low 12 bits,
// work in ms on one core in the bits above.
func actualCost(cost uint64) (workMS, memoryMB float64) {
	return float64(cost / costMemorySteps), float64(cost%costMemorySteps) * costMemoryStepMB
}

// decodeLoad returns a load report, or nil if there is none. An absent value is -1.
func decodeLoad(usage map[string]float64) *decide.LoadReport {
	if len(usage) == 0 {
		return nil
	}
	fieldValue := func(name string) float64 {
		if v, ok := usage[name]; ok {
			return v
		}
		return -1
	}
	return &decide.LoadReport{
		InFlight: fieldValue("inflight"), Queue: fieldValue("queue"), Utilization: fieldValue("util"),
		Latency: fieldValue("latency_ms"), Memory: fieldValue("x0"), Disk: fieldValue("x1"),
	}
}

package consensus

import "aniseloft/internal/lease"

// EventKind is the kind of an event and the message of its log line.
type EventKind string

// Events of a replica.
const (
	EventBootstrapped   EventKind = "consensus group bootstrapped"
	EventLeaderElected  EventKind = "consensus leader elected"
	EventReplicaAdded   EventKind = "consensus replica added"
	EventReplicaRemoved EventKind = "consensus replica removed"
	EventDiskRegressed  EventKind = "consensus disk regressed"
	EventLeaseGranted   EventKind = "consensus lease granted"
	EventLeaseReleased  EventKind = "consensus lease released"
	EventFenceRaised    EventKind = "consensus fence raised"
	EventPreferenceSet  EventKind = "consensus preferred holder set"
)

// commandEvents maps the kind of an applied command to the event that the leader reports.
var commandEvents = map[commandKind]EventKind{
	commandGrant:      EventLeaseGranted,
	commandRelease:    EventLeaseReleased,
	commandRaiseFence: EventFenceRaised,
	commandPrefer:     EventPreferenceSet,
}

// Event is a change of the group that the caller logs.
type Event struct {
	Kind    EventKind
	Job     string      // set for lease events
	Fence   lease.Fence // set for lease events
	Holder  string      // set for lease events, name and incarnation; empty: the job is free
	Replica string      // set for events that concern a replica
	Term    uint64      // set for EventLeaderElected
	Reason  string      // reason of the command, or details of a regressed disk; empty: none
}

func (r *Replica) emit(e Event) { r.pendingReady.Events = append(r.pendingReady.Events, e) }

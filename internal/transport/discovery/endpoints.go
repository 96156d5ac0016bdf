package discovery

import (
	"hash/fnv"
	"net"
	"slices"

	"aniseloft/decide"
	"aniseloft/internal/protocol/journal"
	"aniseloft/internal/routing"
)

// States of an engine in the discovery service's protocol.
const (
	wireActive  = "active"
	wireLeaving = "leaving"
	wireLeft    = "left"
)

var endpointStates = map[string]decide.EndpointState{
	wireActive:  decide.EndpointReady,
	wireLeaving: decide.EndpointDraining,
	wireLeft:    decide.EndpointRemoved,
}

// mergeEvents merges new events into one update, with the latest state of each engine, and advances the
// position. Events up to the current position are skipped, so that a replay never restores a removed engine.
func (w *Watcher) mergeEvents(events []journal.Event) (snapshot bool, listed []journal.Endpoint) {
	latestByID := map[string]journal.Endpoint{}
	var ids []string // in the order of the first event of each engine
	for _, e := range events {
		if e.Position <= w.position {
			continue
		}
		if e.Position > w.position+1 && !e.Update.Snapshot {
			w.log.Warn("discovery events missing", "after", w.position, "next", e.Position)
			w.position = 0 // polls again from the first event, which is a snapshot
			break
		}
		if w.position = e.Position; e.Update.Snapshot {
			clear(latestByID)
			snapshot, ids = true, nil
		}
		for _, listedEndpoint := range e.Update.Endpoints {
			if _, ok := latestByID[listedEndpoint.ID]; !ok {
				ids = append(ids, listedEndpoint.ID)
			}
			latestByID[listedEndpoint.ID] = listedEndpoint
		}
	}
	for _, id := range ids {
		listed = append(listed, latestByID[id])
	}
	return snapshot, listed
}

// endpoints converts the engines of the protocol to endpoints, without those that can't be used.
func (w *Watcher) endpoints(listed []journal.Endpoint) (endpoints []routing.Endpoint) {
	for _, listedEndpoint := range listed {
		if e, ok := w.endpoint(listedEndpoint); ok {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// endpoint converts an engine of the protocol to an endpoint; ok is false for one that can't be used.
func (w *Watcher) endpoint(listed journal.Endpoint) (_ routing.Endpoint, ok bool) {
	state, ok := endpointStates[listed.State]
	if !ok || listed.ID == "" {
		w.log.Warn("discovery event invalid: no id, or unknown state", "endpoint", listed.ID, "state", listed.State)
		return routing.Endpoint{}, false
	}
	if state != decide.EndpointRemoved {
		if _, _, err := net.SplitHostPort(listed.Address); err != nil {
			w.log.Warn("discovery event invalid: bad address", "endpoint", listed.ID, "err", err)
			return routing.Endpoint{}, false
		}
	}
	return routing.Endpoint{Name: listed.ID, Address: listed.Address, EndpointInfo: decide.EndpointInfo{ID: endpointID(listed.ID),
		Zone: nameIndex(w.settings.ZoneNames, listed.Zone), Kind: nameIndex(w.settings.KindNames, listed.Kind), Cell: listed.Cell, State: state, StartedAt: listed.StartedAtMS}}, true
}

// nameIndex returns the index of a zone's or kind's name in the settings. A name that is not in the settings
// must match no name there, so that no class that is confined to some zones or kinds is placed on its engines:
// it gets a negative index that depends on the name alone. Where the settings have no names, every name has
// index 0.
func nameIndex(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 || len(names) == 0 {
		return max(i, 0)
	}
	return -1 - int(endpointID(name)>>33)
}

// endpointID returns the number that identifies an engine in the decision module. It is a hash of the name, so that all
// coordinators use the same number, and no table of removed engines is needed.
func endpointID(name string) decide.EndpointID {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return decide.EndpointID(h.Sum64())
}

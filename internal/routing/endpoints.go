package routing

import (
	"sync/atomic"

	"aniseloft/decide"
)

// listedEndpoint is an endpoint of the endpoint list together with the client that sends attempts to it.
type listedEndpoint struct {
	Endpoint           // as passed to the balancer: the list entry with the admin override applied
	listEntry Endpoint // the list entry without the override
	upstream  Upstream
	ready     atomic.Bool // whether attempts may start; checked before the first byte of an attempt is sent
}

// UpdateEndpoints queues an update of the endpoint list.
func (d *Dispatcher) UpdateEndpoints(kind decide.UpdateKind, entries []Endpoint) {
	d.post(func() { d.applyUpdate(kind, entries) })
}

// applyUpdate updates the endpoint table and then passes the update to the balancer.
func (d *Dispatcher) applyUpdate(kind decide.UpdateKind, entries []Endpoint) {
	event := decide.EndpointUpdate{Kind: kind}
	listedIDs := map[decide.EndpointID]bool{}
	for _, entry := range entries {
		d.log.Debug("endpoint listed", "endpoint", entry.Name, "state", int(entry.State), "started_ms", entry.StartedAt, "zone", entry.Zone)
		event.Entries = append(event.Entries, d.updateEndpoint(entry))
		listedIDs[entry.ID] = true
	}
	if kind != decide.UpdateIncremental {
		d.removeAbsent(listedIDs)
	}
	d.handle(event)
}

// removeAbsent removes the endpoints that are not part of a complete list.
func (d *Dispatcher) removeAbsent(listedIDs map[decide.EndpointID]bool) {
	for id, e := range d.endpoints {
		if !listedIDs[id] {
			d.removeEndpoint(id)
			d.overrides.setUnlisted(e.Name)
		}
	}
}

// updateEndpoint applies one list entry to the table and returns it with the admin override applied, for the balancer.
func (d *Dispatcher) updateEndpoint(entry Endpoint) decide.EndpointInfo {
	e := d.endpoints[entry.ID]
	listEntry := entry
	entry.EndpointInfo = d.overrides.apply(entry)
	if entry.State == decide.EndpointRemoved {
		d.removeEndpoint(entry.ID)
		return entry.EndpointInfo
	}
	// A new address or a later start time means a new process, so the connections to the old one are closed.
	if e != nil && (entry.Address != "" && e.Address != entry.Address || entry.StartedAt > e.StartedAt) {
		if entry.Address == "" {
			entry.Address, listEntry.Address = e.Address, e.Address
		}
		d.removeEndpoint(entry.ID)
		e = nil
	}
	if e == nil {
		e = &listedEndpoint{Endpoint: entry, upstream: d.upstreams.Upstream(entry)}
		d.endpoints[entry.ID] = e
	}
	e.listEntry = listEntry
	e.State, e.StartedAt = entry.State, max(e.StartedAt, entry.StartedAt)
	e.ready.Store(entry.State == decide.EndpointReady)
	return entry.EndpointInfo
}

func (d *Dispatcher) removeEndpoint(id decide.EndpointID) {
	if e := d.endpoints[id]; e != nil {
		e.ready.Store(false)
		e.upstream.Close()
		delete(d.endpoints, id)
	}
}

// reapplyOverrides passes every endpoint to the balancer again, after an override has changed.
func (d *Dispatcher) reapplyOverrides() {
	var entries []Endpoint
	for _, e := range d.endpoints {
		entries = append(entries, e.listEntry)
	}
	if len(entries) > 0 {
		d.applyUpdate(decide.UpdateIncremental, entries)
	}
}

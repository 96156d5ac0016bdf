// Package overrides tracks the endpoints that operators have suspended, independently of the
// endpoint list, and encodes them as a state file, so that suspensions survive the process. It does
// no I/O and does not read the clock: callers pass in the time, the list and the file content.
package overrides

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"aniseloft/decide"
)

// ErrUnknownEndpoint is returned for a name that is neither listed nor suspended.
var ErrUnknownEndpoint = errors.New("no engine has that id")

// Suspension describes a suspended endpoint. The endpoint is identified by its name on the endpoint
// list, not by its decide.EndpointID.
type Suspension struct {
	EndpointName string        `json:"id"`
	Calls        int           `json:"calls"`    // number of SUSPEND calls; one RESTORE ends the suspension
	Since        decide.Millis `json:"since_ms"` // time of the first SUSPEND call, in Unix milliseconds
}

// Restoration records that the suspension of an endpoint has ended. The endpoint may have been
// restarted meanwhile, so it is treated as started at the restoration and warms up again.
type Restoration struct {
	EndpointName string        `json:"id"`
	RestoredAt   decide.Millis `json:"at_ms"` // time of the RESTORE call, in Unix milliseconds
}

// restorationTTL is how long a restoration overrides the start time on the endpoint list, in
// milliseconds. It is longer than the warm-up of any endpoint.
const restorationTTL decide.Millis = 10 * 60 * 1000

// Set holds the admin overrides of a coordinator by endpoint name. A suspension lasts until it is
// restored, even if the endpoint leaves the list; State carries it over to the next process. A Set
// is not safe for concurrent use.
type Set struct {
	suspensions  map[string]*Suspension
	restorations map[string]Restoration
	listedNames  map[string]bool // names of the endpoints on the endpoint list
	sequence     uint64          // counts changes across processes; the state with the higher sequence is the newer one
}

// New returns an empty Set.
func New() *Set {
	return &Set{suspensions: map[string]*Suspension{}, restorations: map[string]Restoration{}, listedNames: map[string]bool{}}
}

// SetListed records whether an endpoint is on the endpoint list.
func (s *Set) SetListed(endpointName string, isListed bool) {
	if isListed {
		s.listedNames[endpointName] = true
	} else {
		delete(s.listedNames, endpointName)
	}
}

// Known reports whether an endpoint is listed or suspended.
func (s *Set) Known(endpointName string) bool {
	return s.listedNames[endpointName] || s.Suspended(endpointName)
}

// Suspended reports whether an endpoint is suspended.
func (s *Set) Suspended(endpointName string) bool { return s.suspensions[endpointName] != nil }

// Suspend suspends an endpoint and returns the number of SUSPEND calls since it was last restored.
// For an unknown name it returns ErrUnknownEndpoint.
func (s *Set) Suspend(endpointName string, now decide.Millis) (suspendCalls int, err error) {
	if !s.Known(endpointName) {
		return 0, fmt.Errorf("%w: %s", ErrUnknownEndpoint, endpointName)
	}
	suspension := s.suspensions[endpointName]
	if suspension == nil {
		suspension = &Suspension{EndpointName: endpointName, Since: now}
		s.suspensions[endpointName] = suspension
	}
	suspension.Calls++
	s.sequence++
	return suspension.Calls, nil
}

// Restore ends the suspension of an endpoint, regardless of the number of SUSPEND calls, and reports
// whether the endpoint was suspended. A restored endpoint is treated as started now. For an unknown
// name Restore returns ErrUnknownEndpoint.
func (s *Set) Restore(endpointName string, now decide.Millis) (wasSuspended bool, err error) {
	if !s.Known(endpointName) {
		return false, fmt.Errorf("%w: %s", ErrUnknownEndpoint, endpointName)
	}
	if !s.Suspended(endpointName) {
		return false, nil
	}
	delete(s.suspensions, endpointName)
	s.restorations[endpointName] = Restoration{EndpointName: endpointName, RestoredAt: now}
	s.expireRestorations(now)
	s.sequence++
	return true, nil
}

// expireRestorations removes the restorations that are older than restorationTTL.
func (s *Set) expireRestorations(now decide.Millis) {
	for endpointName, restoration := range s.restorations {
		if restoration.RestoredAt < now-restorationTTL {
			delete(s.restorations, endpointName)
		}
	}
}

// Suspensions returns the suspensions, sorted by endpoint name.
func (s *Set) Suspensions() []Suspension {
	sorted := make([]Suspension, 0, len(s.suspensions))
	for _, suspension := range s.suspensions {
		sorted = append(sorted, *suspension)
	}
	slices.SortFunc(sorted, func(a, b Suspension) int { return cmp.Compare(a.EndpointName, b.EndpointName) })
	return sorted
}

// Apply returns an entry of the endpoint list with the overrides applied: a suspended endpoint is
// draining, and a restored endpoint started no earlier than its restoration. A removed endpoint stays
// removed.
func (s *Set) Apply(endpointName string, entry decide.EndpointInfo) decide.EndpointInfo {
	if entry.State == decide.EndpointRemoved {
		return entry
	}
	if s.Suspended(endpointName) {
		entry.State = decide.EndpointDraining
	}
	if restoration, ok := s.restorations[endpointName]; ok {
		entry.StartedAt = max(entry.StartedAt, restoration.RestoredAt)
	}
	return entry
}

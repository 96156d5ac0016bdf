package overrides

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"aniseloft/decide"
)

// StateVersion is the version of the state file format that this program writes and reads.
const StateVersion = 1

// State is the content of the state file, which the old and the new process of an upgrade share.
type State struct {
	Version      int           `json:"version"`
	Sequence     uint64        `json:"seq"`        // the state with the higher sequence is the newer one, whichever process wrote it
	WrittenAt    decide.Millis `json:"written_ms"` // when the state was encoded, in Unix milliseconds
	Suspensions  []Suspension  `json:"bans"`
	Restorations []Restoration `json:"back"`
}

// Errors of Decode for a state file that can't be used.
var (
	ErrStateVersion = errors.New("unsupported state file version")
	ErrStateCorrupt = errors.New("corrupt state file")
)

// Encode returns the content of the state file.
func (s *Set) Encode(now decide.Millis) []byte {
	state := State{
		Version: StateVersion, Sequence: s.sequence, WrittenAt: now,
		Suspensions: s.Suspensions(), Restorations: make([]Restoration, 0, len(s.restorations)),
	}
	for _, restoration := range s.restorations {
		state.Restorations = append(state.Restorations, restoration)
	}
	slices.SortFunc(state.Restorations, func(a, b Restoration) int { return cmp.Compare(a.EndpointName, b.EndpointName) })
	content, _ := json.Marshal(state) // can't fail: the fields are strings and finite numbers
	return append(content, '\n')
}

// Decode parses the content of a state file. It returns ErrStateCorrupt for truncated or invalid
// content and ErrStateVersion for another version of the format.
func Decode(content []byte) (State, error) {
	var state State
	if err := json.Unmarshal(content, &state); err != nil {
		return State{}, fmt.Errorf("%w: %w", ErrStateCorrupt, err)
	}
	if state.Version != StateVersion {
		return State{}, fmt.Errorf("%w: %d, this program reads version %d", ErrStateVersion, state.Version, StateVersion)
	}
	for _, suspension := range state.Suspensions {
		if suspension.EndpointName == "" || suspension.Calls < 1 {
			return State{}, fmt.Errorf("%w: suspension without id or calls in \"bans\"", ErrStateCorrupt)
		}
	}
	for _, restoration := range state.Restorations {
		if restoration.EndpointName == "" {
			return State{}, fmt.Errorf("%w: restoration without id in \"back\"", ErrStateCorrupt)
		}
	}
	return state, nil
}

// Sequence returns the number of changes so far, counted across processes.
func (s *Set) Sequence() uint64 { return s.sequence }

// Adopt replaces the overrides by a state that another process wrote, if that state is newer, and
// reports whether it did. The listed names are not part of the state and don't change.
func (s *Set) Adopt(state State) bool {
	if state.Sequence <= s.sequence {
		return false
	}
	s.replace(state)
	return true
}

// replace replaces the sequence and the overrides by those of a state.
func (s *Set) replace(state State) {
	s.sequence = state.Sequence
	clear(s.suspensions)
	for _, suspension := range state.Suspensions {
		s.suspensions[suspension.EndpointName] = &suspension
	}
	clear(s.restorations)
	for _, restoration := range state.Restorations {
		s.restorations[restoration.EndpointName] = restoration
	}
}

// Change is a suspension or restoration of an endpoint.
type Change struct {
	EndpointName string
	Restore      bool // true: the endpoint was restored; false: it was suspended
}

// Reconcile replaces the overrides by the state from the file, whichever process wrote it last, and
// reapplies the changes that this process made without the file lock. This way the changes of neither
// process are lost. It reports whether the file lacks any of the reapplied changes.
func (s *Set) Reconcile(state State, changes []Change, now decide.Millis) (fileOutdated bool) {
	previousSequence := s.sequence
	s.replace(state)
	for _, change := range changes {
		switch isSuspended := s.Suspended(change.EndpointName); {
		case change.Restore && isSuspended:
			_, _ = s.Restore(change.EndpointName, now) // can't fail: a suspended endpoint is known
			fileOutdated = true
		case !change.Restore && !isSuspended:
			_, err := s.Suspend(change.EndpointName, now) // fails if the endpoint is no longer listed
			fileOutdated = fileOutdated || err == nil
		}
	}
	s.sequence = max(s.sequence, previousSequence)
	if fileOutdated {
		s.sequence = max(s.sequence, previousSequence+1)
	}
	return fileOutdated
}

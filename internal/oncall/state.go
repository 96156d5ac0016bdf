package oncall

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"aniseloft/decide"
)

// Version is the form of the state file that this program writes and reads.
const Version = 1

// State is what must outlive a process: the file in $TMPDIR that the old and the
// new process of an upgrade share.
type State struct {
	Version int           `json:"version"`
	Seq     uint64        `json:"seq"`        // the higher is the later, whichever process wrote it
	Written decide.Millis `json:"written_ms"` // Unix ms
	Bans    []Ban         `json:"bans"`
	Back    []Back        `json:"back"`
}

// The ways a state file can't be used. The caller reports them and starts with
// nobody out, as nothing else is known.
var (
	ErrVersion = errors.New("state file of another version")
	ErrCorrupt = errors.New("state file corrupt")
)

// Encode is the state as the file holds it.
func (h *Overrides) Encode(now decide.Millis) []byte {
	s := State{Version: Version, Seq: h.seq, Written: now, Bans: h.Bans(), Back: make([]Back, 0, len(h.back))}
	for _, b := range h.back {
		s.Back = append(s.Back, b)
	}
	slices.SortFunc(s.Back, func(a, b Back) int { return cmpString(a.ID, b.ID) })
	out, _ := json.Marshal(s) // plain fields: it can't fail
	return append(out, '\n')
}

// Decode reads a state file. A half-written or foreign file is ErrCorrupt, one of
// another form ErrVersion.
func Decode(b []byte) (State, error) {
	var s State
	if err := json.Unmarshal(b, &s); err != nil {
		return State{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if s.Version != Version {
		return State{}, fmt.Errorf("%w: %d, this program reads %d", ErrVersion, s.Version, Version)
	}
	for _, b := range s.Bans {
		if b.ID == "" || b.Calls < 1 {
			return State{}, fmt.Errorf("%w: a ban without id or calls", ErrCorrupt)
		}
	}
	for _, b := range s.Back {
		if b.ID == "" {
			return State{}, fmt.Errorf("%w: a call back without id", ErrCorrupt)
		}
	}
	return s, nil
}

// Seq counts the changes.
func (h *Overrides) Seq() uint64 { return h.seq }

// Adopt takes a state that another process wrote, where it is later than what this
// one holds; it tells whether it did. The list that this process follows stays its own.
func (h *Overrides) Adopt(s State) bool {
	if s.Seq <= h.seq {
		return false
	}
	h.take(s)
	return true
}

func (h *Overrides) take(s State) {
	h.seq = s.Seq
	clear(h.bans)
	for _, b := range s.Bans {
		h.bans[b.ID] = &Ban{ID: b.ID, Calls: b.Calls, Since: b.Since}
	}
	clear(h.back)
	for _, b := range s.Back {
		h.back[b.ID] = b
	}
}

// Change is one that was made by hand: an engine out, or back.
type Change struct {
	ID   string
	Back bool
}

// Rejoin takes what the file holds, whichever process wrote it last, and makes those changes over it that this
// process made while another one held the file: neither's are lost then. It tells whether the file lacks anything.
func (h *Overrides) Rejoin(s State, owed []Change, now decide.Millis) (lacks bool) {
	was := h.seq
	h.take(s)
	for _, c := range owed {
		switch {
		case c.Back && h.Out(c.ID):
			_, _ = h.Restore(c.ID, now) // out, so known
			lacks = true
		case !c.Back && !h.Out(c.ID):
			_, err := h.Suspend(c.ID, now)
			lacks = lacks || err == nil // else nobody has that engine any more
		}
	}
	if h.seq = max(h.seq, was); lacks {
		h.seq = max(h.seq, was+1)
	}
	return lacks
}

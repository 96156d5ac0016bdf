package spool

import (
	"errors"
	"fmt"
)

// States of a result, as Inspect reports them.
const (
	stateSealed  = "sealed"
	stateOpen    = "open"
	stateDropped = "dropped"
)

// ResultInfo describes one result of a spool. Name, Owner, Class, Bytes and SealedAt are read from its seal.
type ResultInfo struct {
	Name     string  `json:"name"`
	ID       string  `json:"id"` // hexadecimal
	Owner    string  `json:"owner"`
	Class    string  `json:"class"`
	Pages    int     `json:"pages"`
	Bytes    int64   `json:"bytes"`
	SealedAt float64 `json:"sealed_at_ms"` // Unix ms
	State    string  `json:"state"`        // sealed, open or dropped
}

// Inspection describes the contents of a spool.
type Inspection struct {
	Results  []ResultInfo `json:"results"`
	Segments int          `json:"segments"`
	Bytes    int64        `json:"bytes"`
	Damage   []Damage     `json:"damage"`
}

// Inspect reads a spool without changing it; the spool may be in use meanwhile. If verifyPages is set, every page is
// read and verified too.
func Inspect(m Medium, verifyPages bool) (Inspection, error) {
	index, inspection, err := scanMedium(m, verifyPages)
	if err != nil {
		return inspection, err
	}
	nameByID := map[string]string{}
	for _, id := range index.orderedIDs {
		info, damage := index.describe(id)
		inspection.Results = append(inspection.Results, info)
		inspection.Damage = append(inspection.Damage, damage...)
		if info.Name != "" {
			nameByID[info.ID] = info.Name
		}
	}
	for i, d := range inspection.Damage {
		if name, known := nameByID[d.Result]; known {
			inspection.Damage[i].Result = name
		}
	}
	return inspection, nil
}

// describe returns the description of a result, and a damage if the result is sealed but lacks pages.
func (c *contents) describe(id ID) (info ResultInfo, damage []Damage) {
	r := c.results[id]
	info = ResultInfo{
		Name: r.Name, ID: fmt.Sprintf("%x", id), Owner: r.Owner, Class: r.Class,
		Pages: len(r.pageLocations), Bytes: r.Bytes, SealedAt: r.SealedAtMS, State: stateOpen,
	}
	pages, isComplete := r.completePages()
	_, wasDropped := c.tombstones[id]
	switch {
	case wasDropped:
		info.State = stateDropped
	case isComplete:
		info.State, info.Pages = stateSealed, len(pages)
	case r.sealLocation != nil:
		damage = []Damage{{r.sealLocation.segment, r.sealLocation.offset, r.Name, int(r.pageCount), "the result is sealed, but some of its pages are missing"}}
	}
	return info, damage
}

// scanMedium reads all segments. It does not fill in the Results of the Inspection.
func scanMedium(m Medium, verifyPages bool) (*contents, Inspection, error) {
	var inspection Inspection
	numbers, err := m.List()
	if err != nil {
		return nil, inspection, err
	}
	index := newContents()
	for _, number := range numbers {
		file, err := m.Open(number)
		if err != nil {
			return nil, inspection, err
		}
		size, err := file.Size()
		if err == nil {
			_, damage := scan(number, file, size, verifyPages, index.add)
			inspection.Damage = append(inspection.Damage, damage...)
			inspection.Bytes += size
		}
		if err = errors.Join(err, file.Close()); err != nil {
			return nil, inspection, err
		}
	}
	inspection.Segments = len(numbers)
	return index, inspection, nil
}

// ReadPage reads one page of a sealed result and verifies its checksum; the spool may be in use meanwhile. Errors are
// ErrNotFound, ErrNoPage, ErrMedium, ErrCorruptPage and those of the medium.
func ReadPage(m Medium, name string, page int) ([]byte, error) {
	index, _, err := scanMedium(m, false)
	if err != nil {
		return nil, err
	}
	id := IDFromName(name)
	r := index.results[id]
	if _, wasDropped := index.tombstones[id]; r == nil || wasDropped {
		return nil, ErrNotFound
	}
	pages, isComplete := r.completePages()
	if !isComplete {
		return nil, fmt.Errorf("%w: the result is not sealed", ErrNotFound)
	}
	if page < 0 || page >= len(pages) {
		return nil, fmt.Errorf("%w: the result has %d pages, numbered from 0", ErrNoPage, len(pages))
	}
	at := pages[page]
	file, err := m.Open(at.segment)
	if err != nil {
		return nil, err
	}
	stored := make([]byte, at.length)
	_, err = file.ReadAt(stored, at.payloadOffset())
	if err = errors.Join(err, file.Close()); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMedium, err)
	}
	pageBytes, err := decompress(at, stored)
	if err != nil {
		return nil, fmt.Errorf("%w: segment %016x, page %d, offset %d: %w", ErrCorruptPage, at.segment, page, at.offset, err)
	}
	return pageBytes, nil
}

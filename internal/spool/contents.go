package spool

// contents indexes the results that a medium's records describe. If a page is stored twice, for example because a crash
// interrupted a compaction, the later record counts.
type contents struct {
	results    map[ID]*foundResult
	orderedIDs []ID // IDs of the results, in the order of their first records
	tombstones map[ID]location
}

// foundResult is one result as its records describe it.
type foundResult struct {
	pageLocations map[uint32]location
	pageCount     uint32    // number of pages of the complete result, as the seal states it
	sealLocation  *location // where the seal is stored; nil: the result is not sealed
	sealRecord
}

func newContents() *contents {
	return &contents{results: map[ID]*foundResult{}, tombstones: map[ID]location{}}
}

// add indexes one record. A seal that cannot be parsed leaves its result unsealed.
func (c *contents) add(h header, at location, payload []byte) {
	r := c.results[h.resultID]
	if r == nil {
		r = &foundResult{pageLocations: map[uint32]location{}}
		c.results[h.resultID] = r
		c.orderedIDs = append(c.orderedIDs, h.resultID)
	}
	switch h.kind {
	case kindPage:
		r.pageLocations[h.page] = at
	case kindSeal:
		if seal, err := parseSeal(payload); err == nil {
			r.sealLocation, r.pageCount, r.sealRecord = &at, h.page, seal
		}
	case kindTombstone:
		c.tombstones[h.resultID] = at
	}
}

// completePages returns the pages of a sealed result in order. ok is false if the result is not sealed or lacks a page.
func (r *foundResult) completePages() (pages []location, ok bool) {
	if r.sealLocation == nil {
		return nil, false
	}
	for number := range r.pageCount {
		page, ok := r.pageLocations[number]
		if !ok {
			return nil, false
		}
		pages = append(pages, page)
	}
	return pages, true
}

package spool

// Recovery reports what Open found on the medium.
type Recovery struct {
	Sealed    int      // complete results, which can be read again
	Discarded int      // incomplete results, which are lost; their clients are told so
	Damage    []Damage // records that could not be read
}

// recover rebuilds the store from the medium's segments. Nothing is appended to these segments later, as each may end
// in a truncated record.
func (s *Store) recover() (recovery Recovery, err error) {
	numbers, err := s.medium.List()
	if err != nil {
		return recovery, err
	}
	index := newContents()
	for _, number := range numbers {
		damage, err := s.recoverSegment(number, index)
		if err != nil {
			return recovery, err
		}
		recovery.Damage = append(recovery.Damage, damage...)
	}
	s.tombstones = index.tombstones
	for _, id := range index.orderedIDs {
		s.recoverResult(id, index.results[id], &recovery)
	}
	return recovery, s.reclaim()
}

// recoverSegment opens a segment and indexes its records.
func (s *Store) recoverSegment(number uint64, index *contents) ([]Damage, error) {
	file, err := s.medium.Open(number)
	if err != nil {
		return nil, err
	}
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	seg := &segment{number: number, file: file, recordCounts: map[ID]int{}, isRetired: true}
	s.segments[number], s.nextSegmentNumber = seg, number+1
	endOffset, damage := scan(number, file, size, false, func(h header, at location, payload []byte) {
		seg.recordCounts[h.resultID]++
		index.add(h, at, payload)
	})
	seg.size = endOffset
	return damage, nil
}

// recoverResult restores a result, if it is complete and was not dropped.
func (s *Store) recoverResult(id ID, r *foundResult, recovery *Recovery) {
	if tombstone, dropped := s.tombstones[id]; dropped {
		s.segments[tombstone.segment].liveBytes += tombstone.size()
		return
	}
	pages, complete := r.completePages()
	if !complete {
		recovery.Discarded++
		return
	}
	sealed := &result{name: r.Name, resultID: id, owner: r.Owner, class: r.Class, sealLocation: r.sealLocation, storedBytes: r.Bytes, pageLocations: pages}
	s.results[id] = sealed
	s.ledger.Restore(r.Name, r.Owner, r.Class, r.Bytes, r.SealedAtMS)
	recovery.Sealed++
	sealed.eachRecord(func(at location) { s.segments[at.segment].liveBytes += at.size() })
}

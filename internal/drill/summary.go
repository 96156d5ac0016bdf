package drill

// Summary sums up the virtual runs of one drill.
type Summary struct {
	Name       string        `json:"name"`
	Runs       int           `json:"plays"`
	Failed     []uint64      `json:"failed"` // seeds of the runs with violations
	Violations []Violation   `json:"broken"` // of the first failed run
	OwnedRatio float64       `json:"owned"`  // mean ratio of the time in which the jobs had an owner
	Writes     int           `json:"acts"`
	Rejected   int           `json:"refused"`
	Grants     int           `json:"grants"`
	Messages   int           `json:"messages"`
	Syncs      int           `json:"syncs"`
	Unowned    []UnownedTime `json:"gaps"`

	unowned unownedTimes
}

// Add adds the result of a run, and may keep and modify its histograms.
func (s *Summary) Add(r *VirtualResult) {
	if s.unowned == nil {
		s.unowned = unownedTimes{}
	}
	if len(r.Violations) > 0 {
		s.Failed = append(s.Failed, r.Seed)
		if s.Violations == nil {
			s.Violations = r.Violations
		}
	}
	s.OwnedRatio = (s.OwnedRatio*float64(s.Runs) + r.OwnedRatio) / float64(s.Runs+1)
	s.Runs++
	s.Writes += r.Writes
	s.Rejected += r.Rejected
	s.Grants += r.Grants
	s.Messages += r.Messages
	s.Syncs += r.Syncs
	s.unowned.merge(r.unowned)
	s.Unowned = s.unowned.rows()
}

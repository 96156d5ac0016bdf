package drill

// Summary sums up the virtual runs of one drill.
type Summary struct {
	Name       string        `json:"name"`
	Runs       int           `json:"plays"`
	Failed     []uint64      `json:"failed"` // seeds of the runs with violations
	Violations []Violation   `json:"broken"` // violations of the first failed run
	OwnedRatio float64       `json:"owned"`  // mean part of the time, from 0 to 1, in which the jobs had an owner
	Writes     int           `json:"acts"`
	Rejected   int           `json:"refused"`
	Grants     int           `json:"grants"`
	Messages   int           `json:"messages"`
	Syncs      int           `json:"syncs"`
	Unowned    []UnownedTime `json:"gaps"`

	unownedByCause unownedTimes
}

// Add adds the result of a run to the summary. The summary may keep and modify the histograms of that result.
func (s *Summary) Add(r *VirtualResult) {
	if s.unownedByCause == nil {
		s.unownedByCause = unownedTimes{}
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
	s.unownedByCause.merge(r.unownedByCause)
	s.Unowned = s.unownedByCause.rows()
}

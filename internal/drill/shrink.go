package drill

import "slices"

// Shrink drops faults one after another for as long as the failure stays, and returns the least plan that
// was found to fail. Fails plays a plan and tells whether it fails.
func Shrink(d *Drill, seed uint64, fails func(*Drill) bool) *Drill {
	least := *d
	least.Faults, least.Drawn = d.drawn(seed), 0
	for again := true; again; {
		again = false
		for i := range least.Faults {
			less := least
			less.Faults = slices.Delete(slices.Clone(least.Faults), i, i+1)
			if fails(&less) {
				least, again = less, true
				break
			}
		}
	}
	for i := range least.Faults { // then what is left is made short
		for least.Faults[i].ForMS > 100 {
			less := least
			less.Faults = slices.Clone(least.Faults)
			less.Faults[i].ForMS /= 2
			if !fails(&less) {
				break
			}
			least = less
		}
	}
	return &least
}

// Sum is what many plays of one drill came to.
type Sum struct {
	Name     string   `json:"name"`
	Plays    int      `json:"plays"`
	Failed   []uint64 `json:"failed"` // their seeds
	Broken   []Broken `json:"broken"` // of the first that failed
	Owned    float64  `json:"owned"`
	Acts     int      `json:"acts"`
	Refused  int      `json:"refused"`
	Grants   int      `json:"grants"`
	Messages int      `json:"messages"`
	Syncs    int      `json:"syncs"`
	Gaps     []GapRow `json:"gaps"`

	gaps gaps
}

// Add takes a play into the sum.
func (s *Sum) Add(p *Play) {
	if s.gaps == nil {
		s.gaps = gaps{}
	}
	if len(p.Broken) > 0 {
		if s.Failed = append(s.Failed, p.Seed); s.Broken == nil {
			s.Broken = p.Broken
		}
	}
	s.Owned = (s.Owned*float64(s.Plays) + p.Owned) / float64(s.Plays+1)
	s.Plays++
	s.Acts, s.Refused, s.Grants = s.Acts+p.Acts, s.Refused+p.Refused, s.Grants+p.Grants
	s.Messages, s.Syncs = s.Messages+p.Messages, s.Syncs+p.Syncs
	for cause, h := range p.gaps {
		if s.gaps[cause] == nil {
			s.gaps[cause] = h
		} else {
			s.gaps[cause].Merge(h)
		}
	}
	s.Gaps = s.gaps.rows()
}

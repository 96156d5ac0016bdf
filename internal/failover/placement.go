package failover

import "fmt"

// maxSplitError is the largest amount by which the ratios of a split may exceed a total of 1, to allow for rounding.
const maxSplitError = 1e-6

// Split is a traffic split: ratios between 0 and 1, indexed by zone of entry, class and destination zone. Where the
// ratios of an entry zone and class add up to less than 1, the rest is rejected at once.
type Split [][][]float64

// Placement is a decision of where coordinators send work until the placement's TTL ends or a newer placement arrives.
type Placement struct {
	Fence uint64 `json:"fence"` // fencing token of the decider's lease
	Epoch uint64 `json:"epoch"` // incremented with each decision under the same fencing token
	TTL   Millis `json:"life"`  // in ms, counted from the arrival at the follower
	Split Split  `json:"shares"`
	Panic bool   `json:"panic,omitempty"` // the evidence is distrusted and all zones are used
}

// NewerThan reports whether p was decided after other.
func (p Placement) NewerThan(other Placement) bool {
	if p.Fence != other.Fence {
		return p.Fence > other.Fence
	}
	return p.Epoch > other.Epoch
}

// ValidatePlacement returns a FieldError of kind ErrInvalidPlacement for the first field that is out of its range or
// does not fit the settings.
func (s Settings) ValidatePlacement(p Placement) error {
	if len(p.Split) != len(s.Zones) {
		return invalidField(ErrInvalidPlacement, "shares", "has %d entries for %d zones of entry", len(p.Split), len(s.Zones))
	}
	for entry, byClass := range p.Split {
		field := fmt.Sprintf("shares[%d]", entry)
		if len(byClass) != len(s.Classes) {
			return invalidField(ErrInvalidPlacement, field, "has %d entries for %d classes", len(byClass), len(s.Classes))
		}
		for class, ratios := range byClass {
			if err := s.validateRatios(fmt.Sprintf("%s[%d]", field, class), ratios); err != nil {
				return err
			}
		}
	}
	if !(p.TTL > 0) {
		return invalidField(ErrInvalidPlacement, "life", "%v is not above 0", p.TTL)
	}
	return nil
}

// validateRatios checks the ratios of one zone of entry and class.
func (s Settings) validateRatios(field string, ratios []float64) error {
	if len(ratios) != len(s.Zones) {
		return invalidField(ErrInvalidPlacement, field, "has %d entries for %d zones", len(ratios), len(s.Zones))
	}
	for zone, ratio := range ratios {
		if !(ratio >= 0) || ratio > 1 {
			return invalidField(ErrInvalidPlacement, fmt.Sprintf("%s[%d]", field, zone), "%v is not between 0 and 1", ratio)
		}
	}
	if total := sum(ratios); total > 1+maxSplitError {
		return invalidField(ErrInvalidPlacement, field, "the ratios add up to %v, which is more than 1", total)
	}
	return nil
}

// newSplit returns a split that rejects all work.
func (s Settings) newSplit() Split {
	split := make(Split, len(s.Zones))
	for entry := range split {
		split[entry] = make([][]float64, len(s.Classes))
		for class := range split[entry] {
			split[entry][class] = make([]float64, len(s.Zones))
		}
	}
	return split
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

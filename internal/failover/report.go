package failover

import (
	"fmt"
	"math"
)

// Observation holds one coordinator's measurements of one zone since its last report.
type Observation struct {
	Answers            int     `json:"answers"` // number of attempts that were answered with a result or an error
	Failures           int     `json:"fails"`   // number of refused or lost connections and of attempts without an answer
	CapacityRejections int     `json:"full"`    // number of the answers that rejected the attempt for lack of capacity
	LatencyLogRatio    float64 `json:"stretch"` // mean of ln(latency / the zone's best latency)
}

// Report is the message that a coordinator sends to the Decider once per period.
type Report struct {
	Coordinator  string        `json:"from"`
	Zone         int           `json:"zone"`    // zone where the coordinator runs and its clients enter
	Sequence     uint64        `json:"seq"`     // grows with each report of a coordinator
	OfferedWork  []float64     `json:"offered"` // work of first attempts by class, in core-ms per second
	Observations []Observation `json:"seen"`    // by zone
}

// receivedReport is a report with the time of its arrival.
type receivedReport struct {
	Report
	receivedAt Millis
}

// totalOfferedWork returns the offered work of all classes, in core-ms per second.
func (r Report) totalOfferedWork() float64 { return sum(r.OfferedWork) }

// validateReport returns a FieldError of kind ErrInvalidReport for the first field that is out of its range.
func (s Settings) validateReport(r Report) error {
	invalid := func(field, format string, args ...any) error {
		return fmt.Errorf("report of %s: %w", r.Coordinator, invalidField(ErrInvalidReport, field, format, args...))
	}
	if !s.hasZone(r.Zone) {
		return invalid("zone", "zone %d does not exist", r.Zone)
	}
	if len(r.OfferedWork) != len(s.Classes) {
		return invalid("offered", "has %d entries for %d classes", len(r.OfferedWork), len(s.Classes))
	}
	if len(r.Observations) != len(s.Zones) {
		return invalid("seen", "has %d entries for %d zones", len(r.Observations), len(s.Zones))
	}
	for class, work := range r.OfferedWork {
		if !(work >= 0) || math.IsInf(work, 0) {
			return invalid(fmt.Sprintf("offered[%d]", class), "work %v must be finite and not negative", work)
		}
	}
	for zone, observation := range r.Observations {
		if !observation.valid() {
			return invalid(fmt.Sprintf("seen[%d]", zone), "%+v is out of range", observation)
		}
	}
	return nil
}

func (o Observation) valid() bool {
	if o.Answers < 0 || o.Failures < 0 {
		return false
	}
	if o.CapacityRejections < 0 || o.CapacityRejections > o.Answers {
		return false
	}
	return !math.IsNaN(o.LatencyLogRatio) && !math.IsInf(o.LatencyLogRatio, 0)
}

package failover

import (
	"fmt"
	"math"
	"slices"
)

// Millis is a duration, or a time by the caller's clock, in milliseconds.
type Millis = float64

// minTTLPeriods is the minimum TTL of a placement, in periods: the loss of two messages must not end a placement.
const minTTLPeriods = 3

// Zone is a failure domain with engines and coordinators.
type Zone struct {
	Name   string
	Region int
	// LatencyTo is the round-trip time that a request to each zone adds, indexed by zone; 0 to the zone itself.
	LatencyTo []Millis
}

// Class is a class of queries with equal weight and a common latency objective.
type Class struct {
	Name             string
	Weight           float64 // priority weight of one query
	MeanWork         Millis  // mean work of one query, in ms on one core
	LatencyObjective Millis  // in ms; an answer that takes longer is worth little
	AllowedZones     []int   // zones that may run the class; nil: all
}

// weightPerWork returns the priority weight that a core-millisecond spent on the class earns.
func (c Class) weightPerWork() float64 {
	const minWork = 1e-9 // avoids a division by zero
	return c.Weight / math.Max(c.MeanWork, minWork)
}

// Settings configures a Decider and its Followers, which must all use the same settings.
type Settings struct {
	Zones        []Zone
	Classes      []Class
	Period       Millis // interval between decisions, and between the reports of a coordinator
	PlacementTTL Millis // how long a placement is applied if no newer one arrives
	// WarmupInitialRatio is the part of its full capacity that an endpoint has when it becomes ready.
	WarmupInitialRatio float64
	// WarmupDuration is the time after which an endpoint has its full capacity.
	WarmupDuration Millis
}

// Validate returns a FieldError of kind ErrInvalidSettings for the first field that is out of its range.
func (s Settings) Validate() error {
	if err := s.validateZones(); err != nil {
		return err
	}
	if err := s.validateClasses(); err != nil {
		return err
	}
	if !(s.Period > 0) || s.PlacementTTL < minTTLPeriods*s.Period {
		return invalidField(ErrInvalidSettings, "life", "placement TTL of %v ms must be at least %d periods of %v ms, and the period must be above 0", s.PlacementTTL, minTTLPeriods, s.Period)
	}
	return nil
}

func (s Settings) validateZones() error {
	if len(s.Zones) == 0 {
		return invalidField(ErrInvalidSettings, "zones", "at least one zone is required")
	}
	for i, zone := range s.Zones {
		field := fmt.Sprintf("zones[%d].way", i)
		if len(zone.LatencyTo) != len(s.Zones) {
			return invalidField(ErrInvalidSettings, field, "has %d entries for %d zones", len(zone.LatencyTo), len(s.Zones))
		}
		for j, latency := range zone.LatencyTo {
			if !(latency >= 0) || i == j && latency != 0 {
				return invalidField(ErrInvalidSettings, fmt.Sprintf("%s[%d]", field, j), "latency %v ms must not be negative, and must be 0 from a zone to itself", latency)
			}
		}
	}
	return nil
}

func (s Settings) validateClasses() error {
	if len(s.Classes) == 0 {
		return invalidField(ErrInvalidSettings, "classes", "at least one class is required")
	}
	for i, class := range s.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		if !(class.MeanWork > 0) || !(class.Weight >= 0) || !(class.LatencyObjective > 0) {
			return invalidField(ErrInvalidSettings, field, "mean work and latency objective must be above 0, and weight must not be negative")
		}
		for _, zone := range class.AllowedZones {
			if !s.hasZone(zone) {
				return invalidField(ErrInvalidSettings, field, "zone %d does not exist", zone)
			}
		}
	}
	return nil
}

func (s Settings) hasZone(zone int) bool { return zone >= 0 && zone < len(s.Zones) }

// permitted reports whether work of a class may be sent from a zone of entry to a destination. A class runs only in its
// AllowedZones, and is not sent where the added latency alone reaches its latency objective.
func (s Settings) permitted(class Class, entry, destination int) bool {
	if class.AllowedZones != nil && !slices.Contains(class.AllowedZones, destination) {
		return false
	}
	return entry == destination || s.Zones[entry].LatencyTo[destination] < class.LatencyObjective
}

package failover

import (
	"math"
	"slices"
)

// OverrideKind is the kind of an operator's override.
type OverrideKind string

// Kinds of overrides. Their values are part of messages and operators' commands.
const (
	Evacuate OverrideKind = "evacuate" // reduces a zone's capacity to 0 over RampDown
	Return   OverrideKind = "return"   // ends an evacuation; work returns along the recovery ramp
	Freeze   OverrideKind = "freeze"   // keeps the last traffic split in effect
	Thaw     OverrideKind = "thaw"     // ends a freeze
)

// Override is an operator's command that takes precedence over the evidence in reports.
type Override struct {
	Kind     OverrideKind `json:"kind"`
	Zone     int          `json:"zone"`           // used by Evacuate and Return
	RampDown Millis       `json:"over,omitempty"` // used by Evacuate: time in ms over which the capacity falls to 0; 0: at once
	TTL      Millis       `json:"for,omitempty"`  // time in ms after which the override ends; 0: no limit
}

// isFreezeOrThaw reports whether o starts or ends a freeze.
func (o Override) isFreezeOrThaw() bool { return o.Kind == Freeze || o.Kind == Thaw }

// replaces reports whether o replaces an earlier override: a freeze or thaw replaces a freeze or thaw, and any other
// override replaces that of the same zone.
func (o Override) replaces(earlier Override) bool {
	if o.isFreezeOrThaw() || earlier.isFreezeOrThaw() {
		return o.isFreezeOrThaw() == earlier.isFreezeOrThaw()
	}
	return o.Zone == earlier.Zone
}

func (s Settings) validateOverride(o Override) error {
	if !slices.Contains([]OverrideKind{Evacuate, Return, Freeze, Thaw}, o.Kind) {
		return invalidField(ErrInvalidOverride, "kind", "%q is unknown; must be evacuate, return, freeze or thaw", o.Kind)
	}
	if !s.hasZone(o.Zone) {
		return invalidField(ErrInvalidOverride, "zone", "zone %d does not exist", o.Zone)
	}
	return nil
}

// activeOverride is an evacuation or a freeze that is in effect.
type activeOverride struct {
	Override
	startedAt Millis // when the override was set
}

// overrideSet holds at most one freeze and one evacuation for each zone.
type overrideSet []activeOverride

// set applies a validated override.
func (s *overrideSet) set(now Millis, o Override) {
	*s = slices.DeleteFunc(*s, func(active activeOverride) bool { return o.replaces(active.Override) })
	if o.Kind == Evacuate || o.Kind == Freeze {
		*s = append(*s, activeOverride{o, now})
	}
}

func (s *overrideSet) expire(now Millis) {
	*s = slices.DeleteFunc(*s, func(active activeOverride) bool { return active.TTL > 0 && now-active.startedAt >= active.TTL })
}

func (s overrideSet) frozen() bool {
	return slices.ContainsFunc(s, func(active activeOverride) bool { return active.Kind == Freeze })
}

// capacityRatio returns the part of a zone's capacity that remains usable under the overrides.
func (s overrideSet) capacityRatio(now Millis, zone int) float64 {
	for _, active := range s {
		if active.Kind != Evacuate || active.Zone != zone {
			continue
		}
		if active.RampDown <= 0 {
			return 0
		}
		return math.Max(1-(now-active.startedAt)/active.RampDown, 0)
	}
	return 1
}

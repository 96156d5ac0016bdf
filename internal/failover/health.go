package failover

import "math"

// slowLatencyRatio is the latency, as a multiple of the zone's best latency, above which a zone counts as slow and its
// capacity is reduced.
const slowLatencyRatio = 2.0

// HealthState is the state of a zone as the fleet sees it. A zone that only some zones can reach is not unreachable:
// only the links from the zones that cannot reach it fail over.
type HealthState string

// Health states. Their values are part of messages.
const (
	Healthy     HealthState = "well"
	Slow        HealthState = "slow"   // the zone answers slowly, so its capacity is reduced
	Unreachable HealthState = "dead"   // all zones with evidence about the zone have failed over from it
	NoEndpoints HealthState = "empty"  // the endpoint list has no capacity in the zone
	Unknown     HealthState = "unsure" // there is no recent evidence about the zone
)

// assessment holds the evidence at one time and the health states that follow from it.
type assessment struct {
	reports []receivedReport
	votes   [][]tally     // number of votes, by zone of the voting coordinators and zone voted on
	health  []HealthState // health state of each zone
}

// assess derives the zones' health states from reports and votes. It does not change the decider.
func (d *Decider) assess(reports []receivedReport, votes [][]tally) assessment {
	a := assessment{reports: reports, votes: votes, health: make([]HealthState, len(d.settings.Zones))}
	for zone := range a.health {
		a.health[zone] = d.healthOf(zone, reports, votes)
	}
	return a
}

func (d *Decider) healthOf(zone int, reports []receivedReport, votes [][]tally) HealthState {
	if d.settings.capacity(d.listedCapacities[zone]) <= 0 {
		return NoEndpoints
	}
	evidenceZoneCount, failedOverCount := 0, 0
	for entry := range d.links {
		linkFailedOver := d.links[entry][zone].failedOver
		if votes[entry][zone].empty() && !linkFailedOver {
			continue
		}
		evidenceZoneCount++
		if linkFailedOver {
			failedOverCount++
		}
	}
	switch {
	case evidenceZoneCount == 0:
		return Unknown
	case failedOverCount == evidenceZoneCount:
		return Unreachable
	case medianLatencyLogRatio(zone, reports) > math.Log(slowLatencyRatio):
		return Slow
	}
	return Healthy
}

package failover

import "math"

// usableCoreRatio is the core utilization at which a zone counts as full; above it, queues grow quickly.
const usableCoreRatio = 0.85

// coreMillisPerSecond is the work that one busy core does, in core-ms per second.
const coreMillisPerSecond = 1000

// ListedCapacity is the capacity of a zone according to the endpoint list.
type ListedCapacity struct {
	WarmCores float64           // total cores of the ready endpoints that have warmed up
	WarmingUp []WarmingEndpoint // ready endpoints that are still warming up
}

// WarmingEndpoint is an endpoint that is warming up.
type WarmingEndpoint struct {
	Cores float64
	Age   Millis // time since the endpoint became ready
}

// capacity returns the work that a zone can do, in core-ms per second. The capacity of a warming-up endpoint grows
// linearly from WarmupInitialRatio to its full capacity over WarmupDuration.
func (s Settings) capacity(listed ListedCapacity) float64 {
	cores := listed.WarmCores
	for _, endpoint := range listed.WarmingUp {
		ratio := s.WarmupInitialRatio
		if s.WarmupDuration > 0 {
			ratio += (1 - s.WarmupInitialRatio) * math.Min(math.Max(endpoint.Age/s.WarmupDuration, 0), 1)
		}
		cores += endpoint.Cores * ratio
	}
	return cores * usableCoreRatio * coreMillisPerSecond
}

// usableCapacities returns the listed capacity of each zone, reduced by evacuations and, where the zone's median
// latency is above slowLatencyRatio, in inverse proportion to that latency.
func (d *Decider) usableCapacities(now Millis, reports []receivedReport) []float64 {
	capacities := make([]float64, len(d.settings.Zones))
	for zone := range capacities {
		capacities[zone] = d.settings.capacity(d.listedCapacities[zone])
		excessLogRatio := medianLatencyLogRatio(zone, reports) - math.Log(slowLatencyRatio)
		if excessLogRatio > 0 {
			capacities[zone] *= math.Exp(-excessLogRatio)
		}
		capacities[zone] *= d.overrides.capacityRatio(now, zone)
	}
	return capacities
}

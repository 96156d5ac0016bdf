package failover

// panicCapacityRatio is the panic threshold. If a smaller part of the listed capacity is reachable, wrong evidence is
// more likely than the loss of that many engines, and all zones are used.
const panicCapacityRatio = 0.5

// inPanic reports whether the reachable part of the listed capacity is below the panic threshold.
func (d *Decider) inPanic(health []HealthState) bool {
	listedCapacity, reachableCapacity := 0.0, 0.0
	for zone, state := range health {
		capacity := d.settings.capacity(d.listedCapacities[zone])
		listedCapacity += capacity
		if state != Unreachable {
			reachableCapacity += capacity
		}
	}
	return listedCapacity > 0 && reachableCapacity < panicCapacityRatio*listedCapacity
}

// panicSplit splits all work in proportion to the zones' capacities, regardless of their health.
func (s Settings) panicSplit(capacities []float64) Split {
	split := s.newSplit()
	for entry, byClass := range split {
		for class, ratios := range byClass {
			s.splitByCapacity(ratios, s.Classes[class], entry, capacities)
		}
	}
	return split
}

// splitByCapacity sets the ratios of one zone of entry and class in proportion to the capacities of the permitted
// zones.
func (s Settings) splitByCapacity(ratios []float64, class Class, entry int, capacities []float64) {
	permittedCapacity := 0.0
	for zone, capacity := range capacities {
		if s.permitted(class, entry, zone) {
			permittedCapacity += capacity
		}
	}
	if permittedCapacity <= 0 {
		return
	}
	for zone, capacity := range capacities {
		if s.permitted(class, entry, zone) {
			ratios[zone] = capacity / permittedCapacity
		}
	}
}

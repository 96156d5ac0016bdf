package failover

import (
	"cmp"
	"slices"
)

// minPeriodRatio is the part of Settings.Period after which Decide counts the votes of reports again. It is below 1 so
// that no period is skipped if a timer fires slightly early.
const minPeriodRatio = 0.9

// Decider makes placements. The lease holder creates one for each lease and discards it when the lease ends.
type Decider struct {
	settings         Settings
	fence            uint64                    // fencing token of the lease
	epoch            uint64                    // number of decisions so far
	reports          map[string]receivedReport // newest report of each coordinator, by name
	listedCapacities []ListedCapacity          // capacity of each zone according to the endpoint list
	links            [][]link                  // state of each link, by zone of entry and destination zone
	overrides        overrideSet
	lastPlacement    Placement // latest decision, or else the adopted placement; the zero value if there is neither
	votesCountedAt   Millis    // when votes were last counted; below 0: never
}

// NewDecider returns a decider whose placements carry the fencing token of a lease. It starts without evidence and with
// all links fully usable. The error is of kind ErrInvalidSettings.
func NewDecider(settings Settings, fence uint64) (*Decider, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	zoneCount := len(settings.Zones)
	d := &Decider{
		settings: settings, fence: fence, votesCountedAt: -1,
		reports:          map[string]receivedReport{},
		listedCapacities: make([]ListedCapacity, zoneCount),
	}
	for range zoneCount {
		linkRow := make([]link, zoneCount)
		for zone := range linkRow {
			linkRow[zone].recoveredRatio = 1
		}
		d.links = append(d.links, linkRow)
	}
	return d, nil
}

// AdoptPlacement continues from the placement of an earlier lease, so that a frozen split stays in effect when the
// lease holder changes. It ignores a placement that is invalid or not from an earlier lease.
func (d *Decider) AdoptPlacement(placement Placement) {
	if placement.Fence < d.fence && d.settings.ValidatePlacement(placement) == nil {
		d.lastPlacement = placement
	}
}

// ReceiveReport stores a coordinator's report. For an invalid report it returns an error of kind ErrInvalidReport and
// keeps the coordinator's last report. A report that is not newer than the last one is ignored unless the last one has
// expired, because a restarted coordinator starts its sequence numbers again.
func (d *Decider) ReceiveReport(now Millis, report Report) error {
	if err := d.settings.validateReport(report); err != nil {
		return err
	}
	lastReport, ok := d.reports[report.Coordinator]
	if ok && report.Sequence <= lastReport.Sequence && now-lastReport.receivedAt < d.settings.PlacementTTL {
		return nil
	}
	d.reports[report.Coordinator] = receivedReport{report, now}
	return nil
}

// UpdateEndpoints sets the capacity of each zone according to the endpoint list.
func (d *Decider) UpdateEndpoints(byZone []ListedCapacity) { d.listedCapacities = slices.Clone(byZone) }

// SetOverride applies an operator's override. The error is of kind ErrInvalidOverride.
func (d *Decider) SetOverride(now Millis, override Override) error {
	if err := d.settings.validateOverride(override); err != nil {
		return err
	}
	d.overrides.set(now, override)
	if override.Kind == Return {
		for entry := range d.links {
			d.links[entry][override.Zone].recoveredRatio = 0
		}
	}
	return nil
}

// Health returns the state of each zone.
func (d *Decider) Health(now Millis) []HealthState {
	reports := d.freshReports(now)
	return d.assess(reports, d.settings.countVotes(reports)).health
}

// Decide returns the placement of this period. Repeated calls within a period make a new decision each, but count the
// votes only once.
func (d *Decider) Decide(now Millis) Placement {
	d.overrides.expire(now)
	reports := d.freshReports(now)
	votes := d.settings.countVotes(reports)
	if d.votesCountedAt < 0 || now-d.votesCountedAt >= d.settings.Period*minPeriodRatio {
		d.updateLinks(now, votes)
		d.votesCountedAt = now
	}
	d.epoch++
	placement := Placement{Fence: d.fence, Epoch: d.epoch, TTL: d.settings.PlacementTTL}
	if d.overrides.frozen() && d.lastPlacement.Split != nil {
		placement.Split, placement.Panic = d.lastPlacement.Split, d.lastPlacement.Panic
	} else {
		placement.Split, placement.Panic = d.split(now, d.assess(reports, votes))
	}
	d.lastPlacement = placement
	return placement
}

// PlanWithoutZone returns the split that would be decided now if a zone had no capacity, and the ratio of the offered
// priority weight that it would reject. Operators check it before an evacuation. If the zone does not exist, the plan
// uses all zones.
func (d *Decider) PlanWithoutZone(now Millis, zone int) (split Split, rejectedRatio float64) {
	reports := d.freshReports(now)
	capacities := d.usableCapacities(now, reports)
	if d.settings.hasZone(zone) {
		capacities[zone] = 0
	}
	offered := d.offeredWork(reports)
	assessment := d.assess(reports, d.settings.countVotes(reports))
	split = d.allocateToReachable(offered, capacities, assessment.health)
	return split, d.settings.rejectedWeightRatio(split, offered)
}

// split returns the traffic split and whether it is a panic split.
func (d *Decider) split(now Millis, a assessment) (split Split, isPanic bool) {
	capacities := d.usableCapacities(now, a.reports)
	if d.inPanic(a.health) {
		return d.settings.panicSplit(capacities), true
	}
	offered := d.offeredWork(a.reports)
	limitUnconfirmedOverload(offered, capacities, a.reports)
	split = d.allocateToReachable(offered, capacities, a.health)
	d.addTrialTraffic(split, a.health)
	return split, false
}

// allocateToReachable sets the capacities of unreachable zones to 0 and then allocates the offered work.
func (d *Decider) allocateToReachable(offered [][]float64, capacities []float64, health []HealthState) Split {
	for zone, state := range health {
		if state == Unreachable {
			capacities[zone] = 0
		}
	}
	return d.settings.allocate(offered, capacities, func(entry, destination int) float64 {
		return d.links[entry][destination].usableRatio()
	})
}

func (d *Decider) updateLinks(now Millis, votes [][]tally) {
	for entry := range d.links {
		for zone := range d.links[entry] {
			d.links[entry][zone].update(now, votes[entry][zone], d.settings.Period)
		}
	}
}

// freshReports deletes expired reports and returns the others, ordered by the coordinators' names so that
// floating-point sums do not depend on the iteration order of the map.
func (d *Decider) freshReports(now Millis) []receivedReport {
	var unexpiredReports []receivedReport
	for coordinator, report := range d.reports {
		if now-report.receivedAt > d.settings.PlacementTTL {
			delete(d.reports, coordinator)
			continue
		}
		unexpiredReports = append(unexpiredReports, report)
	}
	slices.SortFunc(unexpiredReports, func(a, b receivedReport) int { return cmp.Compare(a.Coordinator, b.Coordinator) })
	return unexpiredReports
}

// rejectedWeightRatio returns the part of the offered priority weight that a split rejects.
func (s Settings) rejectedWeightRatio(split Split, offered [][]float64) float64 {
	totalWeight, servedWeight := 0.0, 0.0
	for entry, byClass := range split {
		for class, ratios := range byClass {
			weight := offered[entry][class] * s.Classes[class].weightPerWork()
			totalWeight += weight
			for _, ratio := range ratios {
				servedWeight += weight * ratio
			}
		}
	}
	if totalWeight <= 0 {
		return 0
	}
	return 1 - servedWeight/totalWeight
}

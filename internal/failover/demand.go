package failover

import (
	"math"
	"slices"
)

const (
	// maxReportMultiple limits the offered work of one report, as a multiple of the median report: some coordinators do
	// get several times the usual traffic, but a wrong report must not move a zone's work away.
	maxReportMultiple = 8.0
	// minReportsForLimit is the number of reports from which their median is representative and the limit applies.
	minReportsForLimit = 3
	// overloadLatencyRatio is the latency, as a multiple of the zone's best latency, above which a coordinator's
	// observation confirms an overload.
	overloadLatencyRatio = 1.5
)

// offeredWork returns the sum of the reports' offered work by zone of entry and class, in core-ms per second. It scales
// down reports above maxReportMultiple times the median.
func (d *Decider) offeredWork(reports []receivedReport) [][]float64 {
	workByReport := make([]float64, len(reports))
	for i, report := range reports {
		workByReport[i] = report.totalOfferedWork()
	}
	workLimit := maxReportMultiple * median(slices.Clone(workByReport))
	offered := make([][]float64, len(d.settings.Zones))
	for entry := range offered {
		offered[entry] = make([]float64, len(d.settings.Classes))
	}
	for i, report := range reports {
		ratio := 1.0
		if len(reports) >= minReportsForLimit && workByReport[i] > workLimit {
			ratio = workLimit / workByReport[i]
		}
		for class, work := range report.OfferedWork {
			offered[report.Zone][class] += work * ratio
		}
	}
	return offered
}

// limitUnconfirmedOverload reduces the work offered in a zone to the zone's capacity unless most of the coordinators
// with answers from the zone confirm the overload. Otherwise a few wrong reports could move a zone's work to other
// zones.
func limitUnconfirmedOverload(offered [][]float64, capacities []float64, reports []receivedReport) {
	for entry, byClass := range offered {
		totalWork := sum(byClass)
		if totalWork <= capacities[entry] || capacities[entry] <= 0 || overloadConfirmed(entry, reports) {
			continue
		}
		for class := range byClass {
			byClass[class] *= capacities[entry] / totalWork
		}
	}
}

// overloadConfirmed reports whether a majority of the coordinators with answers from a zone observed capacity
// rejections or increased latency there.
func overloadConfirmed(zone int, reports []receivedReport) bool {
	confirmingCount, answeredCount := 0, 0
	for _, report := range reports {
		observation := report.Observations[zone]
		if observation.Answers == 0 {
			continue
		}
		answeredCount++
		if observation.CapacityRejections > 0 || observation.LatencyLogRatio > math.Log(overloadLatencyRatio) {
			confirmingCount++
		}
	}
	return 2*confirmingCount > answeredCount
}

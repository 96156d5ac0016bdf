package failover

import "slices"

// Thresholds from which a zone counts as unreachable to one coordinator in one period.
const (
	minFailures          = 2   // minimum number of failures; a single failure may be coincidence
	minFailuresPerAnswer = 4.0 // minimum ratio of failures to answers; a zone that answers more often is overloaded rather than unreachable
)

// vote is the verdict of one report on one zone.
type vote int

const (
	voteAbstain vote = iota // too few attempts for a verdict
	voteReachable
	voteUnreachable
)

// vote returns the vote that follows from an observation.
func (o Observation) vote() vote {
	if o.Failures >= minFailures && float64(o.Failures) >= minFailuresPerAnswer*float64(o.Answers) {
		return voteUnreachable
	}
	if o.Answers > 0 {
		return voteReachable
	}
	return voteAbstain
}

// isolated reports whether the coordinator itself is probably disconnected: it has a verdict on at least two zones and
// reaches none of them.
func (r Report) isolated() bool {
	verdictCount, unreachableCount := 0, 0
	for _, observation := range r.Observations {
		switch observation.vote() {
		case voteUnreachable:
			verdictCount++
			unreachableCount++
		case voteReachable:
			verdictCount++
		case voteAbstain:
		}
	}
	return verdictCount >= 2 && unreachableCount == verdictCount
}

// tally counts the votes of a zone's coordinators on another zone.
type tally struct {
	reachableVotes, unreachableVotes int
}

func (t *tally) add(v vote) {
	switch v {
	case voteReachable:
		t.reachableVotes++
	case voteUnreachable:
		t.unreachableVotes++
	case voteAbstain:
	}
}

func (t tally) empty() bool { return t.reachableVotes+t.unreachableVotes == 0 }

// countVotes returns the votes by zone of the voters and zone voted on. Each coordinator has one vote, so that a single
// wrong report does not decide. Isolated coordinators have no vote while others of their zone are not isolated.
func (s Settings) countVotes(reports []receivedReport) [][]tally {
	zoneHasConnected := make([]bool, len(s.Zones)) // by zone: whether any coordinator of the zone is not isolated
	isIsolated := make([]bool, len(reports))       // by report: whether the report's coordinator is isolated
	for i, report := range reports {
		isIsolated[i] = report.isolated()
		if !isIsolated[i] {
			zoneHasConnected[report.Zone] = true
		}
	}
	votes := make([][]tally, len(s.Zones))
	for zone := range votes {
		votes[zone] = make([]tally, len(s.Zones))
	}
	for i, report := range reports {
		if isIsolated[i] && zoneHasConnected[report.Zone] {
			continue
		}
		for zone, observation := range report.Observations {
			votes[report.Zone][zone].add(observation.vote())
		}
	}
	return votes
}

// medianLatencyLogRatio returns the median of the coordinators' log latency ratios for a zone, which one wrong report
// cannot change much. It returns 0 without answers from the zone.
func medianLatencyLogRatio(zone int, reports []receivedReport) float64 {
	var ratios []float64
	for _, report := range reports {
		if observation := report.Observations[zone]; observation.Answers > 0 {
			ratios = append(ratios, observation.LatencyLogRatio)
		}
	}
	return median(ratios)
}

// median returns the upper median, or 0 without values. It sorts the values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

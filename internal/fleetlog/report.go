package fleetlog

import (
	"cmp"
	"math"
	"slices"
)

// Report sums up all logs. Its JSON names must not change, as operators' scripts read them.
type Report struct {
	Coordinators    int              `json:"coordinators"`
	Lines           int              `json:"lines"`
	SkippedLines    int              `json:"lines_passed_over"`
	Rates           []Rate           `json:"rates"`
	AttemptsEnded   map[string]int   `json:"attempts_ended"`    // by outcome
	Answers         map[string]int   `json:"answers"`           // by kind and reason
	Endpoints       []*Endpoint      `json:"engines"`           // the busiest first
	Updates         []EndpointUpdate `json:"notices"`           // those with the most attempts after them first
	BusiestOverMean float64          `json:"busiest_over_mean"` // answers of the busiest coordinator, as a multiple of the mean
}

// Rate is the rate of one event over the whole fleet.
type Rate struct {
	Event         string  `json:"deed"`
	Total         int     `json:"total"`
	MeanPerSecond float64 `json:"mean_s"` // mean over the seconds from the first event to the last
	MaxPerSecond  int     `json:"worst_s"`
	MaxAtUnix     int64   `json:"worst_at_unix_s"` // the first of the busiest seconds, in Unix seconds
}

// Endpoint counts the operations of the whole fleet on one endpoint.
type Endpoint struct {
	Name               string         `json:"engine"`
	Attempts           int            `json:"sends"`
	Dials              int            `json:"dials"`
	DialsFailed        int            `json:"dials_failed"`
	Probes             int            `json:"probes"`
	AttemptsEnded      map[string]int `json:"ends"`                        // by outcome
	StartedMS          float64        `json:"started_ms,omitempty"`        // start of the endpoint, Unix ms; 0: unknown or long ago
	MaxWarmingAttempts float64        `json:"cold_peak_sends_s,omitempty"` // attempts in the busiest second of the warm-up
}

// EndpointUpdate describes how one update of the endpoint list spread among the coordinators.
type EndpointUpdate struct {
	Endpoint      string  `json:"engine"`
	State         string  `json:"state"`          // StateRemoved, StateReady or StateDraining
	Coordinators  int     `json:"heard_by"`       // number of coordinators that received the update
	SpreadMS      float64 `json:"spread_ms"`      // time from the first receipt to the last
	AttemptsAfter int     `json:"sent_after"`     // attempts by coordinators that had received the update; 0 for StateReady
	LastAttemptMS float64 `json:"latest_send_ms"` // longest time in ms from a receipt to such an attempt
}

// Report returns the sums of the logs read so far.
func (s *Summary) Report() *Report {
	s.findWarmingPeaks()
	return &Report{
		Coordinators:    len(s.coordinators),
		Lines:           s.lines,
		SkippedLines:    s.skippedLines,
		Rates:           s.rates(),
		AttemptsEnded:   s.attemptsEnded,
		Answers:         s.answers,
		Endpoints:       s.endpointsByOperations(),
		Updates:         s.updatesByAttemptsAfter(),
		BusiestOverMean: s.busiestOverMean(),
	}
}

func (s *Summary) rates() []Rate {
	var rates []Rate
	for _, event := range []string{EventAnswers, EventAttempts, EventDials, EventProbes} {
		rates = append(rates, rateOf(event, s.perSecond[event]))
	}
	return rates
}

func rateOf(event string, perSecond map[int64]int) Rate {
	rate := Rate{Event: event}
	firstSecond, lastSecond := int64(math.MaxInt64), int64(math.MinInt64)
	for second, count := range perSecond {
		rate.Total += count
		firstSecond, lastSecond = min(firstSecond, second), max(lastSecond, second)
		if count > rate.MaxPerSecond || count == rate.MaxPerSecond && second < rate.MaxAtUnix {
			rate.MaxPerSecond, rate.MaxAtUnix = count, second
		}
	}
	if rate.Total > 0 {
		rate.MeanPerSecond = float64(rate.Total) / float64(lastSecond-firstSecond+1)
	}
	return rate
}

func (s *Summary) endpointsByOperations() []*Endpoint {
	var endpoints []*Endpoint
	for _, e := range s.endpoints {
		endpoints = append(endpoints, e)
	}
	operationCount := func(e *Endpoint) int { return e.Attempts + e.Dials + e.Probes }
	slices.SortFunc(endpoints, func(a, b *Endpoint) int {
		return cmp.Or(cmp.Compare(operationCount(b), operationCount(a)), cmp.Compare(a.Name, b.Name))
	})
	return endpoints
}

func (s *Summary) updatesByAttemptsAfter() []EndpointUpdate {
	var updates []EndpointUpdate
	for key, receipts := range s.updates {
		update := EndpointUpdate{
			Endpoint:     key.endpoint,
			State:        key.state,
			Coordinators: len(receipts.receivedAt),
			SpreadMS:     float64(receipts.lastAt.Sub(receipts.firstAt).Microseconds()) / 1000,
		}
		if key.state != StateReady {
			update.AttemptsAfter, update.LastAttemptMS = s.attemptsAfter(key.endpoint, receipts)
		}
		updates = append(updates, update)
	}
	slices.SortFunc(updates, func(a, b EndpointUpdate) int {
		return cmp.Or(
			cmp.Compare(b.AttemptsAfter, a.AttemptsAfter),
			cmp.Compare(b.SpreadMS, a.SpreadMS),
			cmp.Compare(a.Endpoint, b.Endpoint),
			cmp.Compare(a.State, b.State))
	})
	return updates
}

// attemptsAfter counts attempts at an endpoint by coordinators that had received the update that it is draining or removed,
// and returns the longest time from a receipt to such an attempt. Attempts after a later update that it is ready do not count.
func (s *Summary) attemptsAfter(endpoint string, receipts *updateReceipts) (count int, lastMS float64) {
	readyReceipts := s.updates[updateKey{endpoint, StateReady}]
	for _, a := range s.attempts {
		receivedAt, ok := receipts.receivedAt[a.coordinator]
		if !ok || a.endpoint != endpoint || !a.startedAt.After(receivedAt) {
			continue
		}
		if readyReceipts != nil {
			readyAt := readyReceipts.receivedAt[a.coordinator]
			if readyAt.After(receivedAt) && a.startedAt.After(readyAt) {
				continue
			}
		}
		count++
		lastMS = max(lastMS, float64(a.startedAt.Sub(receivedAt).Microseconds())/1000)
	}
	return count, lastMS
}

// findWarmingPeaks sets MaxWarmingAttempts of each endpoint to the attempts in the busiest second of its warm-up.
func (s *Summary) findWarmingPeaks() {
	type endpointSecond struct {
		endpoint string
		second   int64
	}
	attemptCounts := map[endpointSecond]float64{}
	for _, a := range s.attempts {
		e := s.endpoint(a.endpoint)
		atMS := float64(a.startedAt.UnixMilli())
		if e.StartedMS <= 0 || atMS < e.StartedMS || atMS >= e.StartedMS+s.warmUpMS {
			continue
		}
		key := endpointSecond{a.endpoint, a.startedAt.Unix()}
		attemptCounts[key]++
		e.MaxWarmingAttempts = max(e.MaxWarmingAttempts, attemptCounts[key])
	}
}

// busiestOverMean returns the number of answers of the busiest coordinator over the mean of all, or 0 if there are none.
func (s *Summary) busiestOverMean() float64 {
	totalAnswers, maxAnswers := 0, 0
	for _, count := range s.answeredBy {
		totalAnswers += count
		maxAnswers = max(maxAnswers, count)
	}
	if totalAnswers == 0 {
		return 0
	}
	return float64(maxAnswers) * float64(max(len(s.coordinators), 1)) / float64(totalAnswers)
}

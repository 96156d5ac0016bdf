package observer

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// classTotals are the counts of the queries and tries of one class, and the sums of their weights.
type classTotals struct {
	offeredWeight, earnedWeight, lateFailedWeight float64
	firstTries, served, late                      int
	rejected, failed, lost, neverServed           int
	tries                                         int
	latency                                       *hdrhistogram.Histogram
}

// windowTotals are the counts of the queries and tries of one window of time, and the sums of their weights.
type windowTotals struct {
	offeredWeight, earnedWeight                 float64
	firstTries, tries, served, rejected, failed int
}

// Totals are the counts of a run.
type Totals struct {
	FirstTries    int     `json:"first_tries"`
	Retries       int     `json:"retries"`
	Attempts      int     `json:"attempts"`
	RetryAttempts int     `json:"further_attempts"`
	CrossZone     int     `json:"cross_hall"`
	Probes        int     `json:"probes"`
	Cancels       int     `json:"cancels"`
	Handshakes    int     `json:"handshakes"`
	GossipBytes   int     `json:"peer_bytes"` // bytes of datagrams that arrived
	Rejections    int     `json:"refusals"`
	Overloaded    int     `json:"fell_over"`  // number of engines that failed of overload
	WorkIn        float64 `json:"work_in_ms"` // work that engines admitted
	Served        float64 `json:"work_served_ms"`
	Wasted        float64 `json:"work_wasted_ms"`  // work done that served no request
	Dropped       float64 `json:"work_dropped_ms"` // admitted work that was cancelled or lost
	Left          float64 `json:"work_left_ms"`    // work not done by the end of the run
}

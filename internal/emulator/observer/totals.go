package observer

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// classTotals are the counts of one class.
type classTotals struct {
	offeredWeight, earnedWeight, lateFailedWeight float64
	first, served, late                           int
	rejected, failed, lost, neverServed           int
	tries                                         int
	latency                                       *hdrhistogram.Histogram
}

// windowTotals are the counts of one window of time.
type windowTotals struct {
	offeredWeight, earnedWeight            float64
	first, tries, served, rejected, failed int
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
	GossipBytes   int     `json:"peer_bytes"` // of datagrams that arrived
	Rejections    int     `json:"refusals"`
	Overloaded    int     `json:"fell_over"`
	WorkIn        float64 `json:"work_in_ms"`
	Served        float64 `json:"work_served_ms"`
	Wasted        float64 `json:"work_wasted_ms"`
	Dropped       float64 `json:"work_dropped_ms"`
	Left          float64 `json:"work_left_ms"`
}

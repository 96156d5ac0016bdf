package drill

import (
	"math"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the histograms of times in which a job had no owner.
const (
	minUnownedMS     = 1
	maxUnownedMS     = 600000
	histogramDigits  = 3                  // significant digits
	causeBeforeFault = FaultKind("start") // cause of a time without an owner that begins before any fault
)

// unownedTimes holds, for each cause, a histogram of the times in ms in which a job had no owner. The cause is the kind
// of the last fault before that time.
type unownedTimes map[FaultKind]*hdrhistogram.Histogram

// add records a time without an owner, in ms, under its cause.
func (u unownedTimes) add(cause FaultKind, ms float64) {
	if u[cause] == nil {
		u[cause] = hdrhistogram.New(minUnownedMS, maxUnownedMS, histogramDigits)
	}
	_ = u[cause].RecordValue(int64(math.Max(ms, minUnownedMS)))
}

// merge adds the times of other. It may keep and modify the histograms of other.
func (u unownedTimes) merge(other unownedTimes) {
	for cause, histogram := range other {
		if u[cause] == nil {
			u[cause] = histogram
		} else {
			u[cause].Merge(histogram)
		}
	}
}

// UnownedTime summarizes the times without an owner that have the same cause.
type UnownedTime struct {
	Cause FaultKind `json:"after"` // kind of the last fault before the times, or "start" if there was none
	Count int64     `json:"n"`
	P50   float64   `json:"p50_ms"`
	P95   float64   `json:"p95_ms"`
	Max   float64   `json:"most_ms"`
}

// rows returns a summary for each cause, sorted by cause.
func (u unownedTimes) rows() (rows []UnownedTime) {
	for cause, histogram := range u {
		rows = append(rows, UnownedTime{
			Cause: cause,
			Count: histogram.TotalCount(),
			P50:   float64(histogram.ValueAtQuantile(50)),
			P95:   float64(histogram.ValueAtQuantile(95)),
			Max:   float64(histogram.Max()),
		})
	}
	slices.SortFunc(rows, func(a, b UnownedTime) int { return strings.Compare(string(a.Cause), string(b.Cause)) })
	return rows
}

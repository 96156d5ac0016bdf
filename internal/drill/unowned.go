package drill

import (
	"math"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms of times without an owner.
const (
	minUnownedMS     = 1
	maxUnownedMS     = 600000
	histogramDigits  = 3 // significant digits
	causeBeforeFault = FaultKind("start")
)

// unownedTimes holds a histogram of the times in which a job had no owner, in ms, for each cause.
type unownedTimes map[FaultKind]*hdrhistogram.Histogram

func (u unownedTimes) add(cause FaultKind, ms float64) {
	if u[cause] == nil {
		u[cause] = hdrhistogram.New(minUnownedMS, maxUnownedMS, histogramDigits)
	}
	_ = u[cause].RecordValue(int64(math.Max(ms, minUnownedMS)))
}

// merge adds the times of other, whose histograms it may keep and modify.
func (u unownedTimes) merge(other unownedTimes) {
	for cause, histogram := range other {
		if u[cause] == nil {
			u[cause] = histogram
		} else {
			u[cause].Merge(histogram)
		}
	}
}

// UnownedTime summarizes the times without an owner that had one cause.
type UnownedTime struct {
	Cause FaultKind `json:"after"` // kind of the last fault before the time, or "start"
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

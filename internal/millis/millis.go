// Package millis converts between the types of package time and the milliseconds of package decide.
package millis

import (
	"time"

	"aniseloft/decide"
)

// FromTime returns t as Unix milliseconds, to the microsecond.
func FromTime(t time.Time) decide.Millis { return float64(t.UnixMicro()) / 1000 }

// Now returns the current time as Unix milliseconds, the unit in which endpoints report when they started.
func Now() decide.Millis { return FromTime(time.Now()) }

// Since returns the time elapsed since t, to the microsecond.
func Since(t time.Time) decide.Millis { return float64(time.Since(t).Microseconds()) / 1000 }

// Duration returns m milliseconds as a time.Duration.
func Duration(m decide.Millis) time.Duration { return time.Duration(m * float64(time.Millisecond)) }

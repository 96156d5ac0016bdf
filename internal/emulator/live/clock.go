package live

import (
	"sync/atomic"
	"time"
)

// Clock tells the time since the rehearsal began, in ms. It is set to 0 again once all coordinators serve.
type Clock struct {
	base   time.Time     // wall-clock and monotonic time of the clock's creation
	offset *atomic.Int64 // nanoseconds from base to the beginning of the rehearsal
}

func newClock() Clock { return Clock{time.Now(), &atomic.Int64{}} }

// begin sets the time to 0.
func (c Clock) begin() { c.offset.Store(int64(time.Since(c.base))) }

// Now returns the time of the rehearsal, in ms.
func (c Clock) Now() float64 {
	return float64(int64(time.Since(c.base))-c.offset.Load()) / float64(time.Millisecond)
}

// FromWallTime converts a wall-clock time of the recent past to the time of the rehearsal.
func (c Clock) FromWallTime(t time.Time) float64 {
	age := time.Now().Round(0).Sub(t) // measured by the wall clock alone, which may have been set since the rehearsal began
	return c.Now() - float64(age)/float64(time.Millisecond)
}

// WallTime converts a time of the rehearsal to wall-clock time.
func (c Clock) WallTime(ms float64) time.Time {
	return c.base.Add(time.Duration(c.offset.Load()) + time.Duration(ms*float64(time.Millisecond)))
}

// after calls f at a time of the rehearsal, in ms, or at once if that time has passed.
func (c Clock) after(ms float64, f func()) { time.AfterFunc(max(time.Until(c.WallTime(ms)), 0), f) }

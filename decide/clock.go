package decide

// Millis is a time or a duration on the caller's clock, in milliseconds.
type Millis = float64

// never is a time before all events. It stands for the time of something that has not happened.
const never = Millis(-1e18)

// housekeepingTicks is the period of housekeeping, in units of Settings.TickInterval.
const housekeepingTicks = 10.0

// clock holds the time of the current event and the units of durations. Only the Balancer writes it; all
// components read it.
type clock struct {
	now       Millis
	tick      Millis // Settings.TickInterval
	objective Millis // the shortest latency objective of all classes; many durations are multiples of it
	resumedAt Millis // time at which this process resumed from its last pause; never: no pause so far
}

// ticks returns the duration of n tick intervals.
func (c *clock) ticks(n float64) Millis { return n * c.tick }

// objectives returns n times the shortest latency objective.
func (c *clock) objectives(n float64) Millis { return n * c.objective }

// justResumed reports whether this process resumed from a pause less than one housekeeping period ago. Delays
// seen then are not caused by endpoints.
func (c *clock) justResumed() bool { return c.now-c.resumedAt < c.ticks(housekeepingTicks) }

// Package failover decides how work is split over zones when a zone is lost, slow, overloaded or unreachable from
// others.
//
// Each coordinator sends a Report once per period. The holder of the job's lease passes the reports to a Decider, which
// returns a Placement: a traffic split for each zone of entry and class. A Follower in each coordinator applies the
// newest placement until its TTL ends, and then falls back to a local rule.
//
// Decider and Follower are pure state machines: they do no I/O, start no goroutine, read no clock and draw no random
// numbers. The caller passes the time, and the same calls in the same order give the same results. Neither is safe for
// concurrent use.
//
// Zones and classes are identified by their index in Settings. Work is measured in core-milliseconds, and offered work
// and capacity in core-milliseconds per second.
package failover

// Package drain holds the rules by which a coordinator sends its clients away: paused by an
// operator, or terminated by SIGTERM. It reads no clock and does no I/O.
package drain

import "time"

// The platform's balancer stops new connections 0.2 s after a coordinator turns unready. Its open
// connections must be closed 4 s after, when only requests older than 2 s may still be open. After
// SIGTERM the process is killed no sooner than the longest deadline, counted as 3 s where it is
// longer, plus 0.7 s.
const (
	// AdmitFor is how long after a pause requests on open connections are still admitted. Later
	// ones are rejected at once, so that none younger than 2 s is open at the 4 s mark.
	AdmitFor = 1600 * time.Millisecond
	// RetryAfter is what a rejection while draining tells the client: a new connection reaches
	// another process at once.
	RetryAfter = 100 * time.Millisecond

	maxCountedDeadline = 3 * time.Second
	killAfterDeadline  = 700 * time.Millisecond
	// killMargin is for the way of the last answers (0.1 s), the lingering closes and the exit (0.1 s),
	// by a process that gets its processor late (0.2 s).
	killMargin = 400 * time.Millisecond
	// AnswerAllAfter is when, after SIGTERM, every open request is answered at the latest: the kill
	// must not cut an answer off.
	AnswerAllAfter = maxCountedDeadline + killAfterDeadline - killMargin
)

const (
	// workMargin is how many times its estimated work a request is likely to take at worst.
	workMargin = 1.5
	// baseDurationMS is what a request takes beside its work, in milliseconds.
	baseDurationMS = 50
)

// Drain is the drain state of a coordinator. While it drains, connections without an open request
// are closed. A Drain is not safe for concurrent use; the zero value is not draining.
type Drain struct {
	// LongestDeadline is that of all classes, which decides when the kill may come; 0: not known, and
	// counted as long.
	LongestDeadline time.Duration

	paused       bool
	pausedAt     time.Time // the first PAUSE since the last RESUME
	terminatedAt time.Time // the first SIGTERM; zero: none
}

// Pause starts a drain by the operator and reports whether one was on already; then its time
// runs on from the first call.
func (d *Drain) Pause(now time.Time) (wasPaused bool) {
	if d.paused {
		return true
	}
	d.paused, d.pausedAt = true, now
	return false
}

// Resume ends the operator's drain and reports whether one was on. It does not undo Terminate.
func (d *Drain) Resume() (wasPaused bool) {
	wasPaused, d.paused = d.paused, false
	return wasPaused
}

// Terminate starts the drain after SIGTERM, which nothing ends. A second call changes nothing.
func (d *Drain) Terminate(now time.Time) {
	if d.terminatedAt.IsZero() {
		d.terminatedAt = now
	}
}

// TerminatedAt returns when SIGTERM came; zero: it has not.
func (d *Drain) TerminatedAt() time.Time { return d.terminatedAt }

// Paused reports whether the operator's drain is on.
func (d *Drain) Paused() bool { return d.paused }

// Admit reports whether a request is admitted that is complete at now and is expected to take
// so long; otherwise it is rejected with RetryAfter. A paused coordinator admits for AdmitFor; a
// terminated one, whatever is expected to end before AnswerAllAt.
func (d *Drain) Admit(now time.Time, expected time.Duration) bool {
	if !d.terminatedAt.IsZero() && now.Add(expected).After(d.AnswerAllAt()) {
		return false
	}
	return !d.paused || now.Sub(d.pausedAt) < AdmitFor
}

// ExpectedDuration is how long a request is likely to take at worst. Its estimated work is in
// milliseconds on one core and is spread over the class's threads; without an estimate (0) it
// is the class's latency objective, in milliseconds.
func ExpectedDuration(workMS float64, threads int, objectiveMS float64) time.Duration {
	expectedMS := objectiveMS
	if workMS > 0 {
		expectedMS = workMargin*workMS/float64(max(threads, 1)) + baseDurationMS
	}
	return time.Duration(expectedMS * float64(time.Millisecond))
}

// Draining reports whether clients are sent away: a connection without an open request is closed.
func (d *Drain) Draining() bool { return d.paused || !d.terminatedAt.IsZero() }

// AnswerAllAfter returns when, after SIGTERM, every open request is to be answered.
func (d *Drain) AnswerAllAfter() time.Duration {
	if d.LongestDeadline <= 0 {
		return AnswerAllAfter
	}
	return min(d.LongestDeadline, maxCountedDeadline) + killAfterDeadline - killMargin
}

// AnswerAllAt returns when every open request is to be answered; zero before SIGTERM.
func (d *Drain) AnswerAllAt() time.Time {
	if d.terminatedAt.IsZero() {
		return time.Time{}
	}
	return d.terminatedAt.Add(d.AnswerAllAfter())
}

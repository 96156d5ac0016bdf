// Package drain defines how a coordinator drains its clients, either paused by an operator or
// terminated by SIGTERM. It does not read the clock and does no I/O.
package drain

import "time"

// The limits below follow from the platform. Its load balancer sends no new connections from 0.2 s
// after a coordinator becomes unready. Open connections must be closed 4 s after that moment; by then
// only requests older than 2 s may still be open. After SIGTERM the process is killed no sooner than
// the longest deadline, capped at 3 s, plus 0.7 s.
const (
	// PauseAdmissionPeriod is how long after a pause requests on open connections are still admitted.
	// Later requests are rejected immediately, so that 4 s after the pause no open request is younger
	// than 2 s.
	PauseAdmissionPeriod = 1600 * time.Millisecond
	// RetryAfter is the retry delay that a client is given when its request is rejected during a drain.
	// It is short because a new connection immediately reaches another process.
	RetryAfter = 100 * time.Millisecond

	// maxDeadlineBeforeKill caps the longest deadline, and killAfterDeadline is added to it, to get the
	// earliest time of the kill after SIGTERM.
	maxDeadlineBeforeKill = 3 * time.Second
	killAfterDeadline     = 700 * time.Millisecond
	// killMargin is the time reserved before the kill: for the transmission of the last answers (0.1 s),
	// for lingering connections and the exit (0.1 s), and for scheduling delays of the process (0.2 s).
	killMargin = 400 * time.Millisecond
	// MaxAnswerAllAfter is the longest time after SIGTERM until every open request is answered. It ends
	// before the kill, which would cut off an answer.
	MaxAnswerAllAfter = maxDeadlineBeforeKill + killAfterDeadline - killMargin
)

const (
	// worstWorkRatio is the ratio of the actual to the estimated work of a request that is assumed in the worst case.
	worstWorkRatio = 1.5
	// baseDurationMS is the assumed duration of a request in addition to its work, in milliseconds.
	baseDurationMS = 50
)

// Drain is the drain state of a coordinator. During a drain, connections without an open request
// are closed. A Drain is not safe for concurrent use; the zero value is not draining.
type Drain struct {
	// LongestDeadline is the longest deadline of all classes. It determines the earliest time of the
	// kill; 0 means unknown and is treated like a deadline above the cap.
	LongestDeadline time.Duration

	isPaused     bool
	pausedAt     time.Time // time of the first PAUSE since the last RESUME
	terminatedAt time.Time // time of the first SIGTERM; zero: not received
}

// Pause starts the operator's drain and reports whether it was already active. In that case the
// admission period still counts from the first call.
func (d *Drain) Pause(now time.Time) (wasPaused bool) {
	if d.isPaused {
		return true
	}
	d.isPaused, d.pausedAt = true, now
	return false
}

// Resume ends the operator's drain and reports whether it was active. It does not undo Terminate.
func (d *Drain) Resume() (wasPaused bool) {
	wasPaused, d.isPaused = d.isPaused, false
	return wasPaused
}

// Terminate starts the drain after SIGTERM, which can't be ended. Further calls have no effect.
func (d *Drain) Terminate(now time.Time) {
	if d.terminatedAt.IsZero() {
		d.terminatedAt = now
	}
}

// TerminatedAt returns the time of the first SIGTERM; zero if it was not received.
func (d *Drain) TerminatedAt() time.Time { return d.terminatedAt }

// Paused reports whether the operator's drain is active.
func (d *Drain) Paused() bool { return d.isPaused }

// Admit reports whether to admit a request that was completely received at now and is expected to
// take the given time; otherwise it is to be rejected with RetryAfter. A paused coordinator admits
// requests for PauseAdmissionPeriod; a terminated one admits those expected to end by AnswerAllAt.
func (d *Drain) Admit(now time.Time, expectedDuration time.Duration) bool {
	if !d.terminatedAt.IsZero() && now.Add(expectedDuration).After(d.AnswerAllAt()) {
		return false
	}
	return !d.isPaused || now.Sub(d.pausedAt) < PauseAdmissionPeriod
}

// ExpectedDuration returns an upper estimate of the duration of a request. workMS is its estimated
// work, in milliseconds on one core, which is divided by the class's threads. Without an estimate (0)
// the result is latencyObjectiveMS, the class's latency objective in milliseconds.
func ExpectedDuration(workMS float64, threads int, latencyObjectiveMS float64) time.Duration {
	expectedMS := latencyObjectiveMS
	if workMS > 0 {
		expectedMS = worstWorkRatio*workMS/float64(max(threads, 1)) + baseDurationMS
	}
	return time.Duration(expectedMS * float64(time.Millisecond))
}

// Draining reports whether a drain is active, during which connections without an open request are closed.
func (d *Drain) Draining() bool { return d.isPaused || !d.terminatedAt.IsZero() }

// AnswerAllAfter returns how long after SIGTERM every open request must have been answered.
func (d *Drain) AnswerAllAfter() time.Duration {
	if d.LongestDeadline <= 0 {
		return MaxAnswerAllAfter
	}
	return min(d.LongestDeadline, maxDeadlineBeforeKill) + killAfterDeadline - killMargin
}

// AnswerAllAt returns the time by which every open request must have been answered; zero before SIGTERM.
func (d *Drain) AnswerAllAt() time.Time {
	if d.terminatedAt.IsZero() {
		return time.Time{}
	}
	return d.terminatedAt.Add(d.AnswerAllAfter())
}

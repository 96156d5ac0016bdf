package oncall

import "time"

// The drain's times. The front stops new connections 0.2 s after it hears no; open ones
// must be gone by 4 s, and what is still open then must be older than 2 s. After SIGTERM
// the process is killed once the longest deadline (at most 5 s) and 0.7 s have passed,
// no sooner than 3.7 s on the older pages.
const (
	// TakeFor is how long requests on open connections are still taken; later ones are
	// refused at once, so that nothing new is open past 2 s and connections come free.
	TakeFor = 1600 * time.Millisecond
	// HandBackAfter is when, after SIGTERM, what is still open is answered: what may be
	// tried again is refused, so that its client tries elsewhere, and a load that runs is
	// told failed. An answer owed must not be cut off by the kill.
	HandBackAfter = 3500 * time.Millisecond
	// ComeBack is what a refusal of the drain tells: the client is to go elsewhere now,
	// and a new connection reaches another process.
	ComeBack = 100 * time.Millisecond
)

// Drain is the coordinator sending its clients away: by hand between PAUSE and RESUME,
// or for good after SIGTERM. While it is on, a connection that has nothing open is
// closed and requests that come after TakeFor are refused. Readiness is the caller's.
type Drain struct {
	on    bool
	since time.Time // the first PAUSE of this drain
	term  time.Time // SIGTERM; zero: none came
}

// Pause starts the drain by hand; again is true where it is on already, and then its
// time runs on from the first call.
func (d *Drain) Pause(now time.Time) (again bool) {
	if d.on {
		return true
	}
	d.on, d.since = true, now
	return false
}

// Resume ends the drain by hand; was tells whether one was on. It does not undo SIGTERM.
func (d *Drain) Resume() (was bool) {
	was, d.on = d.on, false
	return was
}

// Term starts the drain for good; a second SIGTERM changes nothing.
func (d *Drain) Term(now time.Time) {
	if d.term.IsZero() {
		d.term = now
	}
}

// On tells whether a drain by hand is on.
func (d *Drain) On() bool { return d.on }

// Take tells whether a request that came whole at now, and is expected to take so long,
// is taken; if not, it is refused with ComeBack. By hand nothing new is taken after
// TakeFor; after SIGTERM what can end before the hand-back is taken, as its client is
// best served here and a connection with nothing open goes anyway.
func (d *Drain) Take(now time.Time, expect time.Duration) bool {
	if !d.term.IsZero() && now.Add(expect).After(d.HandBack()) {
		return false
	}
	return !d.on || now.Sub(d.since) < TakeFor
}

// Expect is how long a request is taken to need, in the worst case that is likely:
// half as long again as its estimate of work, in ms on one core, spread over the class's
// threads, and no less than the class's aim, in ms, where there is no estimate.
func Expect(workMS float64, threads int, aimMS float64) time.Duration {
	ms := aimMS
	if workMS > 0 {
		ms = 1.5*workMS/float64(max(threads, 1)) + 50
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// Leaving tells whether clients are being sent away: a connection with nothing open is
// closed.
func (d *Drain) Leaving() bool { return d.on || !d.term.IsZero() }

// HandBack is when what is still open is to be answered; zero: never, no SIGTERM came.
func (d *Drain) HandBack() time.Time {
	if d.term.IsZero() {
		return time.Time{}
	}
	return d.term.Add(HandBackAfter)
}

package oncall

import "time"

// The drain's times, from the first PAUSE. The front stops new connections 0.2 s after
// it hears no; open ones must be gone by 4 s, and what is still open then must be older
// than 2 s.
const (
	// TakeFor is how long requests on open connections are still taken; later ones are
	// refused at once, so that nothing new is open past 2 s.
	TakeFor = 1600 * time.Millisecond
	// ComeBack is what a refusal of the drain tells: the client is to go elsewhere now,
	// and a new connection reaches another coordinator.
	ComeBack = 100 * time.Millisecond
)

// Drain is the coordinator sending its clients away by hand, between PAUSE and RESUME.
// While it is on, readiness is no, a connection that has nothing open is closed, and
// requests that come after TakeFor are refused.
type Drain struct {
	on    bool
	since time.Time // the first PAUSE of this drain
}

// Pause starts the drain; again is true where it is on already, and then its time
// runs on from the first call.
func (d *Drain) Pause(now time.Time) (again bool) {
	if d.on {
		return true
	}
	d.on, d.since = true, now
	return false
}

// Resume ends the drain; was tells whether one was on.
func (d *Drain) Resume() (was bool) {
	was, d.on = d.on, false
	return was
}

// On tells whether clients are being sent away.
func (d *Drain) On() bool { return d.on }

// Since is when the drain began; zero while none is on.
func (d *Drain) Since() time.Time {
	if !d.on {
		return time.Time{}
	}
	return d.since
}

// Take tells whether a request that came whole at now is taken; if not, it is refused
// with ComeBack.
func (d *Drain) Take(now time.Time) bool { return !d.on || now.Sub(d.since) < TakeFor }

// Leave tells whether a connection is to be closed: it has nothing open and no
// unfinished message, and the drain is on.
func (d *Drain) Leave(open int, half bool) bool { return d.on && open == 0 && !half }

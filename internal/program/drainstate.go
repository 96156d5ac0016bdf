package program

import (
	"sync"
	"time"

	"aniseloft/internal/drain"
)

// drainState shares the drain between listeners, operators' calls and the shutdown.
type drainState struct {
	mu    sync.Mutex
	state drain.Drain // guarded by mu
}

func (d *drainState) pause(now time.Time) (wasPaused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Pause(now)
}

func (d *drainState) resume() (wasPaused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Resume()
}

func (d *drainState) paused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Paused()
}

// setLongestDeadline tells when the kill may come; before the drain.
func (d *drainState) setLongestDeadline(deadline time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.LongestDeadline = deadline
}

// answerAllAfter returns when, after SIGTERM, every open request is to be answered.
func (d *drainState) answerAllAfter() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.AnswerAllAfter()
}

// terminatedAt returns when SIGTERM came; zero: it has not.
func (d *drainState) terminatedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.TerminatedAt()
}

// terminate starts the drain after SIGTERM and returns when every open request is to be answered.
func (d *drainState) terminate(now time.Time) (answerAllAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.Terminate(now)
	return d.state.AnswerAllAt()
}

func (d *drainState) admit(now time.Time, expected time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Admit(now, expected)
}

func (d *drainState) draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Draining()
}

// closeConnectionsAt returns when connections are closed after SIGTERM, whatever is open on them: all
// open requests have been answered a moment before.
func (d *drainState) closeConnectionsAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.AnswerAllAt().Add(closeAfterAnswers)
}

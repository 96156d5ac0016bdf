package program

import (
	"sync"
	"time"

	"aniseloft/internal/drain"
)

// drainState makes drain.Drain safe for concurrent use by listeners, operators' calls and the shutdown.
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

// setLongestDeadline sets the longest deadline of all classes, which determines when the platform kills the process
// after SIGTERM. It must be called before the drain starts.
func (d *drainState) setLongestDeadline(longestDeadline time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.LongestDeadline = longestDeadline
}

// answerAllAfter returns how long after SIGTERM every open request must have been answered.
func (d *drainState) answerAllAfter() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.AnswerAllAfter()
}

// terminatedAt returns the time of the first SIGTERM; zero if it was not received.
func (d *drainState) terminatedAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.TerminatedAt()
}

// terminate starts the drain after SIGTERM and returns the time by which every open request must be answered.
func (d *drainState) terminate(now time.Time) (answerAllAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.Terminate(now)
	return d.state.AnswerAllAt()
}

func (d *drainState) admit(now time.Time, expectedDuration time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Admit(now, expectedDuration)
}

func (d *drainState) draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Draining()
}

// closeConnectionsAt returns the time after SIGTERM at which all connections are closed. All open
// requests have been answered closeAfterAnswers earlier.
func (d *drainState) closeConnectionsAt() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.AnswerAllAt().Add(closeAfterAnswers)
}

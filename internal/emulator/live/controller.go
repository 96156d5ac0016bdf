package live

import (
	"context"
	"syscall"
	"time"

	"aniseloft/internal/emulator/observer"
)

// Controller injects faults into a rehearsal's coordinators. Its methods get a coordinator's index as n. Requests that a
// kill loses violate no rule, as in a crash.
type Controller struct {
	rehearsal *Rehearsal
	ctx       context.Context
}

// Now returns the time of the rehearsal, in ms.
func (r *Controller) Now() float64 { return r.rehearsal.clock.Now() }

// At calls f at a time of the rehearsal, in ms, unless the rehearsal has been stopped by then.
func (r *Controller) At(ms float64, f func()) {
	r.rehearsal.clock.after(ms, func() {
		if r.ctx.Err() == nil {
			f()
		}
	})
}

// Running reports whether a coordinator has been started, and its end has not been requested since.
func (r *Controller) Running(n int) bool { return !r.rehearsal.isDown(r.rehearsal.coordinators[n]) }

// Kill ends a coordinator with SIGKILL.
func (r *Controller) Kill(n int) { r.rehearsal.killCoordinator(n) }

// frontProxyDrainDelay is the time for which, after a coordinator's SIGTERM, the protocol lets the front proxy open
// connections to the coordinator.
const frontProxyDrainDelay = 300 * time.Millisecond

// Terminate shuts a coordinator down gracefully, and waits until it has ended.
func (r *Controller) Terminate(n int) {
	p := r.rehearsal.coordinators[n]
	if r.rehearsal.isDown(p) {
		return
	}
	r.rehearsal.note("coordinator %d is shut down with SIGTERM", n)
	time.AfterFunc(frontProxyDrainDelay, func() {
		r.rehearsal.frontProxyMu.Lock()
		defer r.rehearsal.frontProxyMu.Unlock()
		r.rehearsal.frontProxy.SetAlive(n, false)
	})
	r.rehearsal.stopCoordinator(p, syscall.SIGTERM)
	r.rehearsal.sharedObserver.with(func(o *observer.Observer) { o.CoordinatorStarted(n) })
}

// Start starts a coordinator again, waits until it serves, and has the front proxy send clients to it.
func (r *Controller) Start(n int) error {
	p := r.rehearsal.coordinators[n]
	if !r.rehearsal.isDown(p) {
		return nil
	}
	if err := r.rehearsal.startCoordinator(p); err != nil {
		return err
	}
	r.rehearsal.note("coordinator %d starts", n)
	if err := r.rehearsal.waitUntilServing(r.ctx, p); err != nil {
		return err
	}
	r.rehearsal.afterDetection(func() { r.rehearsal.frontProxy.SetAlive(n, true) })
	return nil
}

// Reload sends SIGHUP to a coordinator, which then reads its configuration files again.
func (r *Controller) Reload(n int) { r.signal(n, syscall.SIGHUP) }

// Pause stops a coordinator's process with SIGSTOP until Resume.
func (r *Controller) Pause(n int) {
	if r.signal(n, syscall.SIGSTOP) {
		r.rehearsal.note("coordinator %d is paused with SIGSTOP", n)
		r.setPaused(n, true)
		r.rehearsal.afterDetection(func() { r.rehearsal.frontProxy.SetAlive(n, false) })
	}
}

// Resume continues a paused coordinator with SIGCONT.
func (r *Controller) Resume(n int) {
	if r.signal(n, syscall.SIGCONT) {
		r.rehearsal.note("coordinator %d is resumed with SIGCONT", n)
		r.setPaused(n, false)
		// The coordinator may have been shut down or killed before the proxy detects that it is alive again.
		r.rehearsal.afterDetection(func() { r.rehearsal.frontProxy.SetAlive(n, !r.rehearsal.isDown(r.rehearsal.coordinators[n])) })
	}
}

// setPaused records whether a coordinator is paused, and excuses the deadlines of its open requests.
func (r *Controller) setPaused(n int, paused bool) {
	r.rehearsal.mu.Lock()
	r.rehearsal.paused[n] = paused
	r.rehearsal.mu.Unlock()
	r.rehearsal.sharedObserver.with(func(o *observer.Observer) { o.CoordinatorPaused(n) })
}

// signal sends a signal to a coordinator and reports whether the coordinator was running and got the signal.
func (r *Controller) signal(n int, sig syscall.Signal) bool {
	r.rehearsal.mu.Lock()
	defer r.rehearsal.mu.Unlock()
	p := r.rehearsal.coordinators[n]
	return !p.endRequested && p.cmd != nil && p.cmd.Process.Signal(sig) == nil
}

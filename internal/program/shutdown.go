package program

import (
	"slices"
	"time"

	"aniseloft/internal/drain"
	"aniseloft/internal/transport/listener"
)

const (
	// minDrain is the time after SIGTERM before which the process does not end: new connections come for up to
	// 0.4 s, and requests on open ones for 0.2 s more. drain.Admit rejects those that would end too late.
	minDrain = 900 * time.Millisecond
	// quietFor is how long no request must have been submitted before the program ends.
	quietFor = 300 * time.Millisecond
	// secondWakeAfter is when listeners are woken again, for connections that were between two reads.
	secondWakeAfter = 100 * time.Millisecond
	// closeAfterAnswers is how long after the answers to all open requests their connections are closed.
	closeAfterAnswers = 100 * time.Millisecond
	// leaseReleaseTimeout is how long the program waits to release its leases; later they expire.
	leaseReleaseTimeout = time.Second
)

// shutdownStep is a step of the graceful shutdown, as the log names it.
type shutdownStep string

// The steps, in their order.
const (
	stepOpenAnswered    shutdownStep = "open requests answered" // only where some were left
	stepDrained         shutdownStep = "drained"
	stepListenersClosed shutdownStep = "listeners closed"
	stepPartsStopped    shutdownStep = "parts stopped"
	stepFilesClosed     shutdownStep = "files closed"
)

// logStep logs when, after SIGTERM, a step of the shutdown was done: what a late end has waited for.
func (p *Program) logStep(step shutdownStep) {
	p.log.Info("shutdown", "step", string(step), "after_ms", time.Since(p.drain.terminatedAt()).Milliseconds())
}

// terminate starts the graceful shutdown after SIGTERM: clients are sent away, and every open request
// is answered before the process may be killed. Where another process of this coordinator runs, no
// connection is accepted any more: an upgrade's successor listens at the clients' address. Without
// one, connections are accepted until minDrain, longer than the platform sends them; a crowd that
// goes on connecting finds no listener then.
func (p *Program) terminate() {
	if p.Phase() != Serving { // a second signal changes nothing
		return
	}
	p.enter(Draining)
	answerAllAt := p.drain.terminate(time.Now())
	time.AfterFunc(time.Until(answerAllAt), func() {
		p.dispatcher.AnswerAllOpen(drain.RetryAfter)
		p.wakeListeners()
		p.logStep(stepOpenAnswered)
	})
	p.wakeListeners()
	if p.instance.othersRunning() {
		p.stopAccepting()
		p.log.Info("a successor serves at the clients' address: no new connections here")
	} else {
		time.AfterFunc(minDrain, p.stopAccepting)
	}
	if p.fleet != nil {
		p.fleet.Drain()
	}
}

func (p *Program) stopAccepting() {
	for _, l := range p.clientListeners() {
		l.StopAccepting()
	}
}

func (p *Program) clientListeners() []*listener.Listener {
	if p.restClients == nil {
		return []*listener.Listener{p.clients}
	}
	return []*listener.Listener{p.clients, p.restClients}
}

// wakeListeners makes the listeners close connections without an open request.
func (p *Program) wakeListeners() {
	for _, l := range p.clientListeners() {
		l.WakeReaders()
		time.AfterFunc(secondWakeAfter, l.WakeReaders)
	}
}

// drained reports whether a draining program may end: the platform sends nothing more, and what was open has ended.
func (p *Program) drained() bool {
	return p.Phase() == Draining && time.Since(p.phaseEntered) >= minDrain && p.idle() && p.quiet() && p.leasesReleased()
}

// idle reports whether no request is open and none waits to be recorded.
func (p *Program) idle() bool {
	return p.dispatcher.OpenRequests() == 0 && (p.rest == nil || p.rest.Live() == 0)
}

// quiet reports whether no request was submitted for a while and no client is writing one. Once every open request has
// been answered nothing more is taken, so that neither counts.
func (p *Program) quiet() bool {
	if time.Since(p.phaseEntered) >= p.drain.answerAllAfter() {
		return true
	}
	return time.Since(p.dispatcher.LastSubmitted()) >= quietFor && !slices.ContainsFunc(p.clientListeners(), (*listener.Listener).ReceivingMessage)
}

// leasesReleased reports whether this coordinator's leases are released, or the time for that is over.
func (p *Program) leasesReleased() bool {
	return p.fleet == nil || p.fleet.Idle() || time.Since(p.phaseEntered) > leaseReleaseTimeout
}

// close ends the parts in the order in which they feed each other: a request that arrives as the
// listeners close is answered before the dispatcher ends.
func (p *Program) close() {
	p.logStep(stepDrained)
	deadline := p.drain.closeConnectionsAt()
	for _, l := range p.clientListeners() {
		l.Close(deadline)
	}
	for !p.idle() && time.Now().Before(deadline) { // a REST query is bound to no connection
		time.Sleep(drainCheckInterval)
	}
	p.logStep(stepListenersClosed)
	p.stop()
	if p.admin != nil {
		p.admin.Close(deadline)
	}
	p.logStep(stepPartsStopped)
	if p.store != nil {
		if err := p.store.Close(); err != nil {
			p.log.Warn("record not closed", "err", err)
		}
	}
	if p.spool != nil {
		if err := p.spool.Close(); err != nil {
			p.log.Warn("spool not closed", "err", err)
		}
	}
	p.logStep(stepFilesClosed)
}

package program

import (
	"slices"
	"time"

	"aniseloft/internal/drain"
	"aniseloft/internal/transport/listener"
)

const (
	// minDrainDuration is the minimum time between SIGTERM and the end of the process: new connections arrive for
	// up to 0.4 s, and requests on open connections for another 0.2 s. Drain.Admit rejects requests that would end
	// too late.
	minDrainDuration = 900 * time.Millisecond
	// quietPeriod is the minimum time from the latest submitted request until a draining program may end.
	quietPeriod = 300 * time.Millisecond
	// secondWakeDelay is the time after which listeners are woken a second time, for connections that were between two
	// reads the first time.
	secondWakeDelay = 100 * time.Millisecond
	// closeAfterAnswers is the time from the answers to all open requests until the connections are closed.
	closeAfterAnswers = 100 * time.Millisecond
	// leaseReleaseTimeout is how long the program waits for the release of its leases. Leases not released by then expire.
	leaseReleaseTimeout = time.Second
)

// shutdownStep is a step of the graceful shutdown, by its name in the log.
type shutdownStep string

// The steps, in the order in which they occur.
const (
	stepOpenAnswered      shutdownStep = "open requests answered" // only if the process still runs at drain.Drain.AnswerAllAt
	stepDrained           shutdownStep = "drained"
	stepListenersClosed   shutdownStep = "listeners closed"
	stepComponentsStopped shutdownStep = "components stopped"
	stepFilesClosed       shutdownStep = "files closed"
)

// logStep logs a completed step of the shutdown and the time since SIGTERM, so that the cause of a late end can be found.
func (p *Program) logStep(step shutdownStep) {
	p.log.Info("shutdown", "step", string(step), "after_ms", time.Since(p.drain.terminatedAt()).Milliseconds())
}

// terminate starts the graceful shutdown after SIGTERM: clients are drained, and every open request is
// answered before the process may be killed. If another process of this coordinator is running, no
// further connections are accepted, as it is the successor in an upgrade and listens at the same
// address. Otherwise connections are accepted for minDrainDuration, which is longer than the platform
// sends new ones. After that the listeners are closed, even if clients keep connecting.
func (p *Program) terminate() {
	if p.Phase() != Serving { // a second signal has no effect
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
		go p.logSuccessor()
	} else {
		time.AfterFunc(minDrainDuration, p.stopAccepting)
	}
	if p.fleet != nil {
		p.fleet.Drain()
	}
}

// logSuccessor logs that a successor serves once this process accepts no more connections. It returns by the end of the
// shutdown, which closes the listeners.
func (p *Program) logSuccessor() {
	for _, l := range p.clientListeners() {
		<-l.AcceptingEnded()
	}
	p.log.Info("a successor serves at the clients' address; this process accepts no new connections")
}

// stopAccepting closes the client listeners for new connections.
func (p *Program) stopAccepting() {
	for _, l := range p.clientListeners() {
		l.StopAccepting()
	}
}

func (p *Program) clientListeners() []*listener.Listener {
	if p.restListener == nil {
		return []*listener.Listener{p.clientListener}
	}
	return []*listener.Listener{p.clientListener, p.restListener}
}

// wakeListeners makes the listeners close connections without an open request.
func (p *Program) wakeListeners() {
	for _, l := range p.clientListeners() {
		l.WakeReaders()
		time.AfterFunc(secondWakeDelay, l.WakeReaders)
	}
}

// drained reports whether a draining program may end: no further requests are expected, and all open ones have ended.
func (p *Program) drained() bool {
	return p.Phase() == Draining && time.Since(p.phaseEnteredAt) >= minDrainDuration && p.idle() && p.noNewRequests() && p.leasesReleased()
}

// idle reports whether no request is open and the end of every REST query has been written to the record (the SQL
// store of queries).
func (p *Program) idle() bool {
	return p.dispatcher.OpenRequests() == 0 && (p.restServer == nil || p.restServer.Live() == 0)
}

// noNewRequests reports whether no request was submitted within quietPeriod and no client is sending one. It is always
// true once every open request must have been answered, as further requests are rejected from then on.
func (p *Program) noNewRequests() bool {
	if time.Since(p.phaseEnteredAt) >= p.drain.answerAllAfter() {
		return true
	}
	return time.Since(p.dispatcher.LastSubmitted()) >= quietPeriod && !slices.ContainsFunc(p.clientListeners(), (*listener.Listener).ReceivingMessage)
}

// leasesReleased reports whether this coordinator's leases are released or leaseReleaseTimeout has passed.
func (p *Program) leasesReleased() bool {
	return p.fleet == nil || p.fleet.Idle() || time.Since(p.phaseEnteredAt) > leaseReleaseTimeout
}

// close stops the components in the order of the data flow, so that a request that arrives while the
// listeners close is answered before the dispatcher ends.
func (p *Program) close() {
	p.logStep(stepDrained)
	deadline := p.drain.closeConnectionsAt()
	for _, l := range p.clientListeners() {
		l.Close(deadline)
	}
	for !p.idle() && time.Now().Before(deadline) { // a REST query may still run after its connection is closed
		time.Sleep(drainCheckInterval)
	}
	p.logStep(stepListenersClosed)
	p.cancelComponents()
	if p.adminListener != nil {
		p.adminListener.Close(deadline)
	}
	p.logStep(stepComponentsStopped)
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

package program

import (
	"time"

	"aniseloft/internal/transport/clients"
)

// Phase is the lifecycle phase of the program.
type Phase int32

// The phases, in the order in which they occur.
const (
	Starting Phase = iota
	Serving
	Draining // after SIGTERM: open requests are finished
	Stopped  // all components are closed; the process exits
)

// String returns the name of the phase in the log and in answers to operators.
func (p Phase) String() string { return [...]string{"starting", "serving", "draining", "stopped"}[p] }

// Phase returns the program's current phase.
func (p *Program) Phase() Phase { return Phase(p.phase.Load()) }

// enter changes the phase and logs it.
func (p *Program) enter(next Phase) {
	p.phase.Store(int32(next))
	p.phaseEnteredAt = time.Now()
	p.log.Info("phase", "now", next.String())
}

// ready reports whether this process serves and accepts new clients.
func (p *Program) ready() bool { return p.Phase() == Serving && !p.drain.paused() }

// drainPolicy returns the rules by which the client servers admit requests and drain.
func (p *Program) drainPolicy() clients.DrainPolicy {
	return clients.DrainPolicy{Ready: p.ready, Admit: p.drain.admit, Draining: p.drain.draining}
}

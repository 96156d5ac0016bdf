package drill

import (
	"slices"

	"aniseloft/internal/consensus"
	"aniseloft/internal/lease"
)

// process is one simulated process with its clock and disk.
type process struct {
	sim           *simulation
	index         int
	name          string
	isDuplicate   bool // whether this is a second process with the same name
	running       bool
	paused        bool
	incarnation   int      // number of starts; callbacks of an earlier incarnation do nothing
	pendingInputs []func() // inputs that wait for a sync, or for the process to resume
	clockOffset   float64  // time of the clock when the virtual clock shows 0, in ms
	clockRate     float64  // ms of the clock per ms of the virtual clock

	client   *lease.Client
	resolver *lease.LeaderResolver

	replica        *consensus.Replica // replica of the consensus group that the process runs; nil: none
	replicaID      uint64             // identity of the replica on the disk; 0: the disk is new
	disk           consensus.PersistentState
	diskHistory    []consensus.PersistentState // earlier states, to which the disk may be rolled back
	diskFull       bool
	syncing        bool
	nextSyncMS     float64 // duration of the next disk sync; 0: random
	faultAfterVote *Fault  // fault that is injected once the process has voted for another replica

	pauseBeforeWrite bool    // the next write is delayed by a pause
	writePauseMS     float64 // duration of that pause
}

// clock returns the process's own time, in ms.
func (p *process) clock() float64 { return p.clockOffset + p.clockRate*p.sim.loop.Now() }

// alive reports whether the process still runs the incarnation that a callback belongs to.
func (p *process) alive(incarnation int) bool { return p.running && p.incarnation == incarnation }

// start begins a new incarnation of the process, whose replica has the state on the disk.
func (p *process) start() error {
	const writesPerLease = 20
	s := p.sim
	s.incarnations++
	p.incarnation++
	p.running, p.paused, p.syncing, p.pauseBeforeWrite = true, false, false, false
	p.pendingInputs = nil
	drift := s.timing.DriftBound
	if s.disabled.DriftAllowance {
		drift = 0
	}
	p.client = lease.NewClient(lease.Holder{Name: p.name, Incarnation: s.incarnations}, s.drill.Jobs, 1, drift)
	p.resolver = lease.NewLeaderResolver(s.replicas, p.index, s.timing.LeaseTTL)
	p.replica = nil
	if slices.Contains(s.replicas, p.name) && !p.isDuplicate {
		if err := p.openReplica(); err != nil {
			return err
		}
	}
	p.repeat(s.timing.Tick, p.tick)
	p.repeat(s.drill.LeaseMS/writesPerLease, p.writeJobs)
	return nil
}

// tick advances the replica's timers and sends a keep-alive if one is due.
func (p *process) tick() {
	if p.replica != nil {
		p.step(func() { p.replica.Tick(p.clock()) })
	}
	p.heartbeat()
}

// repeat calls f at the interval, with a jitter of 10%, until the incarnation ends. It skips the calls while the process is
// paused.
func (p *process) repeat(intervalMS float64, f func()) {
	incarnation := p.incarnation
	var next func()
	next = func() {
		if !p.alive(incarnation) {
			return
		}
		if !p.paused {
			f()
		}
		p.sim.loop.After(intervalMS*(0.9+0.2*p.sim.faultRand.Float64()), next)
	}
	p.sim.loop.After(intervalMS*p.sim.faultRand.Float64(), next)
}

// whenResumed calls f at once, or before all other pending inputs when the paused process resumes.
func (p *process) whenResumed(f func()) {
	if p.paused {
		p.pendingInputs = append([]func(){f}, p.pendingInputs...)
		return
	}
	f()
}

// pause stops the process for a duration, as SIGSTOP and SIGCONT do. Its clock keeps running.
func (p *process) pause(durationMS float64) {
	if p.paused {
		return
	}
	p.paused = true
	incarnation := p.incarnation
	p.sim.loop.After(durationMS, func() {
		if !p.alive(incarnation) {
			return
		}
		p.paused = false
		p.drain()
	})
}

// end kills the process, or shuts it down gracefully, as the fault says, and restarts it. A paused process is always
// killed.
func (p *process) end(f Fault) {
	if f.Kind == FaultKill || p.paused {
		p.kill(f)
		return
	}
	p.shutDown(f)
}

// kill ends the process at once, and restarts it after the fault's duration with the disk in the state that the fault names.
func (p *process) kill(f Fault) {
	const minRestartMS = 1
	p.running = false
	p.sim.loop.After(max(f.DurationMS, minRestartMS), func() {
		p.damageDisk(f.Disk)
		if !p.running {
			_ = p.start() // a process that fails to start stays down; the error is in the log
		}
	})
}

// damageDisk brings the disk into the given state.
func (p *process) damageDisk(state DiskState) {
	const maxRollback = 20 // number of the newest stored disk states from which a rollback draws one
	switch state {
	case DiskLost:
		p.loseDisk()
	case DiskRolledBack:
		if len(p.diskHistory) > 0 {
			p.sim.assumptionsHold = false
			p.disk = p.diskHistory[max(len(p.diskHistory)-1-p.sim.faultRand.IntN(maxRollback), 0)]
			p.diskHistory = nil
		}
	case DiskIntact:
	}
}

// loseDisk replaces the disk by a new, empty disk.
func (p *process) loseDisk() {
	p.disk, p.replicaID, p.diskHistory = consensus.PersistentState{}, 0, nil
}

// minShutdownMS is the minimum duration of a graceful shutdown, during which the process still serves and votes.
const minShutdownMS = 900

// shutDown releases the leases, and ends the process once they are released and minShutdownMS has passed, or at the latest
// after the duration of a lease.
func (p *process) shutDown(f Fault) {
	const pollMS = 5
	s := p.sim
	p.client.Drain(p.clock())
	p.resolver.SendNow(p.clock())
	incarnation := p.incarnation
	deadline := s.loop.Now() + s.drill.LeaseMS
	var poll func()
	poll = func() {
		if !p.alive(incarnation) {
			return
		}
		elapsed := s.loop.Now() - deadline + s.drill.LeaseMS
		if p.client.Idle() && elapsed >= minShutdownMS || s.loop.Now() > deadline {
			p.kill(f)
			return
		}
		s.loop.After(pollMS, poll)
	}
	poll()
}

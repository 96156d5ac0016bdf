package drill

import (
	"math"
	"slices"

	"aniseloft/internal/lease"
)

// resolveTarget returns the running process that a fault's target names now, chosen at random if there are several, or nil.
func (s *simulation) resolveTarget(target, job string) *process {
	var candidates []*process
	for _, p := range s.processes {
		if p.running && p.matches(target, job) {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[s.faultRand.IntN(len(candidates))]
}

// matches reports whether a target names the process. TargetOwner names the owner of the job.
func (p *process) matches(target, job string) bool {
	owner := p.owns(job)
	switch target {
	case "", TargetAny, p.name:
		return true
	case TargetOwner:
		return owner
	case TargetReplica:
		return p.replica != nil
	case TargetLeader:
		return p.replica != nil && p.replica.IsLeader()
	}
	return false
}

// inject starts a fault. A fault whose target does not exist now has no effect.
func (s *simulation) inject(f Fault) {
	job := s.drill.Jobs[s.faultRand.IntN(len(s.drill.Jobs))]
	target := s.resolveTarget(f.Target, job)
	peer := s.resolveTarget(f.Peer, job)
	if target == nil {
		return
	}
	s.logf("fault: %s (%s)", f, target.name)
	s.lastFault = f.Kind
	switch f.Kind {
	case FaultKill, FaultTerminate, FaultShutdown:
		target.end(f)
	case FaultKillAll:
		s.killAll(f)
	case FaultPause:
		target.pause(f.DurationMS)
	case FaultKillAfterVote:
		target.faultAfterVote = &Fault{Kind: FaultKill, DurationMS: f.DurationMS, Disk: DiskIntact}
	case FaultPauseBeforeWrite:
		target.pauseBeforeWrite, target.writePauseMS = true, f.DurationMS
	case FaultPartition:
		if !f.hasServicePeer() { // the journal service and the engines are not simulated
			s.partition(target, peer, f)
		}
	case FaultLossyNetwork:
		s.lossRatio = max(s.lossRatio, f.Magnitude)
		s.loop.After(f.DurationMS, func() { s.lossRatio = 0 })
	case FaultSlowDisk:
		target.nextSyncMS = f.DurationMS
	case FaultFullDisk:
		target.fillDisk(f.DurationMS)
	case FaultClockDrift, FaultClockStep:
		target.changeClock(f)
	case FaultStepDown:
		s.sendAdminRequest(job, lease.AdminRequest{Operation: lease.AdminStepDown, Job: job})
	case FaultMoveJob:
		s.sendAdminRequest(job, lease.AdminRequest{Operation: lease.AdminMove, Job: job, Target: target.name})
	case FaultResetConnections:
		for _, p := range s.processes {
			p.resolver.SendNow(p.clock())
		}
	case FaultCrowd: // clients are not simulated
	case FaultResize:
		s.resize(f.Replicas)
	case FaultDuplicateName:
		s.addDuplicate(target.name, f.DurationMS)
	}
}

// killAll kills each process at a random time within killWithinMS.
func (s *simulation) killAll(f Fault) {
	const killWithinMS = 100
	for _, p := range slices.Clone(s.processes) {
		s.loop.After(killWithinMS*s.faultRand.Float64(), func() {
			if p.running {
				p.end(Fault{Kind: FaultKill, DurationMS: f.DurationMS * s.faultRand.Float64(), Disk: DiskIntact})
			}
		})
	}
}

// fillDisk makes writes to the disk fail for a duration. After that, a process whose
// replica has ended opens it again.
func (p *process) fillDisk(durationMS float64) {
	p.diskFull = true
	p.sim.loop.After(durationMS, func() {
		p.diskFull = false
		if p.running && p.replica == nil && slices.Contains(p.sim.replicas, p.name) {
			_ = p.openReplica() // the error is in the log
		}
	})
}

// changeClock changes the clock's rate and steps its time. The clock's drift may then exceed the bound.
func (p *process) changeClock(f Fault) {
	withinBound := math.Abs(p.clockRate+f.Magnitude-1) <= p.sim.drill.DriftBound
	if f.Kind != FaultClockDrift || !withinBound {
		p.sim.assumptionsHold = false
	}
	now := p.clock()
	p.clockRate += f.Magnitude
	p.clockOffset = now + f.ClockStepMS - p.clockRate*p.sim.loop.Now()
}

// sendAdminRequest sends an operator's request to the leader, if there is one.
func (s *simulation) sendAdminRequest(job string, request lease.AdminRequest) {
	if leader := s.resolveTarget(TargetLeader, job); leader != nil {
		leader.step(func() { leader.replica.HandleAdmin(leader.clock(), request) })
	}
}

// addDuplicate runs a second process with the name of another for a duration. The second process has its own clock and
// disk.
func (s *simulation) addDuplicate(name string, durationMS float64) {
	const (
		maxClockOffsetMS  = 1e6
		incarnationOffset = 1000 // distinguishes the writes of the duplicate from those of the first process
	)
	p := &process{
		sim: s, index: len(s.processes), name: name, isDuplicate: true,
		clockOffset: s.faultRand.Float64() * maxClockOffsetMS, clockRate: 1, incarnation: incarnationOffset,
	}
	s.processes = append(s.processes, p)
	if p.start() == nil {
		s.loop.After(durationMS, func() { p.running = false })
	}
}

// resize gives each process a new configuration of the consensus group, at a random time within resizeWithinMS.
func (s *simulation) resize(replicas int) {
	const resizeWithinMS = 500
	s.replicas = processNames(replicas)
	s.generation++
	names, generation := s.replicas, s.generation
	for _, p := range s.processes {
		s.loop.After(resizeWithinMS*s.faultRand.Float64(), func() { p.reconfigure(names, generation) })
	}
}

// reconfigure gives the process a new list of replicas. A process that joins the list opens its replica.
func (p *process) reconfigure(replicas []string, generation uint64) {
	if !p.running {
		return
	}
	p.resolver = lease.NewLeaderResolver(replicas, p.index, p.sim.timing.LeaseTTL)
	if p.replica != nil {
		p.step(func() { p.replica.Reconfigure(replicas, generation) })
		return
	}
	if slices.Contains(replicas, p.name) {
		_ = p.openReplica() // the error is in the log
	}
}

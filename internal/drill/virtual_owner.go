package drill

import (
	"fmt"

	"aniseloft/internal/lease"
)

// heartbeat sends a keep-alive, if one is due, to the replica that is probably the leader.
func (p *process) heartbeat() {
	now := p.clock()
	if name, due := p.resolver.Due(now); due {
		keepAlive := p.client.KeepAlive(now)
		if to := p.sim.find(name); to != nil {
			p.sim.send(p, to, func() { to.step(func() { to.replica.HandleKeepAlive(to.clock(), keepAlive) }) })
		}
	}
	p.logClientEvents()
}

// receiveReply handles a replica's response to a keep-alive, or queues it while the process is paused.
func (p *process) receiveReply(reply lease.KeepAliveResponse) {
	if !p.running {
		return
	}
	if p.paused {
		p.pendingInputs = append(p.pendingInputs, func() { p.receiveReply(reply) })
		return
	}
	now := p.clock()
	p.resolver.HandleResponse(now, reply)
	if p.sim.disabled.LeaseFromRequest {
		reply.SentAt = now
	}
	p.client.HandleResponse(now, reply)
	p.logClientEvents()
	p.sim.checkSingleOwner(p)
}

func (p *process) logClientEvents() {
	for _, event := range p.client.TakeEvents() {
		p.sim.logf("%s: %s %s fence %d %s", p.name, event.Kind, event.Job, event.Fence, event.Reason)
	}
}

// writeJobs writes once to the target of each job that the process owns.
func (p *process) writeJobs() {
	s := p.sim
	for _, job := range s.drill.Jobs {
		fence, permitted := p.client.Begin(p.clock(), job)
		if !permitted {
			continue
		}
		write := FencedWrite{Job: job, Fence: fence, Holder: fmt.Sprintf("%s/%d", p.name, p.incarnation), CalledAtMS: s.loop.Now()}
		incarnation := p.incarnation
		if p.pauseBeforeWrite {
			p.pauseBeforeWrite = false
			p.pause(p.writePauseMS)
		}
		send := func() {
			if p.alive(incarnation) {
				s.loop.After(s.targetDelayMS(), func() { s.applyWrite(p, incarnation, write) })
			}
		}
		s.loop.After(s.networkRand.Float64(), func() { p.whenResumed(send) })
	}
}

// targetDelayMS draws the time that a message takes between a process and a job's target.
func (s *simulation) targetDelayMS() float64 { return 0.1 + s.networkRand.ExpFloat64() }

// applyWrite applies a write at its target, which checks the fencing token and writes in one step, and sends the outcome
// back.
func (s *simulation) applyWrite(p *process, incarnation int, write FencedWrite) {
	record := s.fenceRecords[write.Job]
	next, err := record.Admit(write.Job, write.Fence, write.Holder)
	write.AppliedAtMS = s.loop.Now()
	write.Admitted = err == nil || s.disabled.FenceCheck
	if err == nil {
		*record = next
	}
	if !s.disabled.FenceCheck {
		s.checkRefusals(write)
	}
	highest := record.Fence
	index := len(s.result.writes)
	s.result.writes = append(s.result.writes, write)
	s.loop.After(s.targetDelayMS(), func() {
		s.result.writes[index].ReturnedAtMS = s.loop.Now()
		if p.alive(incarnation) {
			p.whenResumed(func() { p.writeReturned(write, highest) })
		}
	})
}

// writeReturned handles the outcome of a write at its owner; highest is the target's highest fencing token.
func (p *process) writeReturned(write FencedWrite, highest lease.Fence) {
	now := p.clock()
	p.client.End(now, write.Job, write.Fence)
	if !write.Admitted {
		p.sim.logf("%s: write rejected by its target: %s fence %d, highest %d", p.name, write.Job, write.Fence, highest)
		p.client.ObserveHigherFence(write.Job, lease.StaleFenceError{Job: write.Job, Fence: write.Fence, Highest: highest})
		p.resolver.SendNow(now)
	}
	p.logClientEvents()
}

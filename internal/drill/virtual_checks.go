package drill

import (
	"fmt"
	"slices"

	"aniseloft/internal/lease"
)

// sampleIntervalMS is the interval between two checks for the owners of jobs. Times without an owner have this
// resolution.
const sampleIntervalMS = 10.0

// sampleOwners checks every sampleIntervalMS which jobs have a running owner, and that no job has two owners.
func (s *simulation) sampleOwners() {
	for _, job := range s.drill.Jobs {
		s.sampleOwner(job)
	}
	for _, p := range s.processes {
		if p.running && !p.paused {
			s.checkSingleOwner(p)
		}
	}
	s.loop.After(sampleIntervalMS, s.sampleOwners)
}

func (s *simulation) sampleOwner(job string) {
	now, unownedSince := s.loop.Now(), s.unownedSince[job]
	owned := slices.ContainsFunc(s.processes, func(p *process) bool { return p.running && !p.paused && p.owns(job) })
	if !owned {
		if unownedSince < 0 {
			s.unownedSince[job] = now
		}
		return
	}
	s.ownedSamples++
	if unownedSince >= 0 && now > unownedSince {
		s.result.unownedByCause.add(s.lastFault, now-unownedSince)
	}
	s.unownedSince[job] = -1
}

// owns reports whether the process holds a job's lease, by its own clock.
func (p *process) owns(job string) bool {
	_, owns := p.client.Held(p.clock(), job)
	return owns
}

// checkSingleOwner reports a violation if another running process owns a job that p owns. It reports at most one violation
// in a run.
func (s *simulation) checkSingleOwner(p *process) {
	if !s.assumptionsHold {
		return
	}
	for _, job := range s.drill.Jobs {
		fence, owns := p.client.Held(p.clock(), job)
		if !owns {
			continue
		}
		for _, other := range s.processes {
			if other == p || !other.running || other.paused {
				continue
			}
			otherFence, otherOwns := other.client.Held(other.clock(), job)
			if !otherOwns {
				continue
			}
			s.result.Violations = append(s.result.Violations, Violation{
				Rule: RuleSingleOwner, Process: p.name, AtMS: s.loop.Now(),
				Detail:   fmt.Sprintf("%s: also owned by %s", job, other.name),
				Evidence: []string{fmt.Sprintf("%s under fence %d", p.name, fence), fmt.Sprintf("%s under fence %d", other.name, otherFence)},
			})
			s.assumptionsHold = false
			return
		}
	}
}

// maxRefusedKeepAlives is the number of keep-alive intervals for which a grant may be renewed while its target rejects its
// writes. The holder reports the rejection with its next keep-alive.
const maxRefusedKeepAlives = 3

// refusedGrant is a grant under which the target has rejected each write since sinceMS, without a write under another
// grant in between.
type refusedGrant struct {
	fence    lease.Fence
	holder   string
	sinceMS  float64 // time of the first rejected write
	reported bool    // whether a violation has been reported for the grant
}

// checkRefusals reports a violation if a grant is renewed for too long while its target rejects its writes, because the job
// makes no progress meanwhile. A holder whose consensus group has no quorum gets no renewal, and stops writing.
func (s *simulation) checkRefusals(write FencedWrite) {
	if write.Admitted {
		delete(s.refusals, write.Job)
		return
	}
	now, refused := s.loop.Now(), s.refusals[write.Job]
	if refused == nil || refused.fence != write.Fence || refused.holder != write.Holder {
		s.refusals[write.Job] = &refusedGrant{fence: write.Fence, holder: write.Holder, sinceMS: now}
		return
	}
	limit := maxRefusedKeepAlives * s.timing.LeaseTTL / lease.KeepAlivesPerLease
	if refused.reported || now-refused.sinceMS <= limit {
		return
	}
	refused.reported = true
	s.result.Violations = append(s.result.Violations, Violation{
		Rule: RuleRefusal, Process: write.Holder, AtMS: now,
		Detail: fmt.Sprintf("%s: the target has rejected writes under fence %d since %.0f ms, but the grant is still renewed", write.Job, write.Fence, refused.sinceMS),
	})
}

package drill

import (
	"fmt"
	"slices"

	"aniseloft/internal/lease"
)

// sampleIntervalMS is the resolution of the times without an owner.
const sampleIntervalMS = 10.0

// sampleOwners measures each interval which jobs have an owner that runs.
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
	now, since := s.loop.Now(), s.unownedSince[job]
	owned := slices.ContainsFunc(s.processes, func(p *process) bool { return p.running && !p.paused && p.owns(job) })
	if !owned {
		if since < 0 {
			s.unownedSince[job] = now
		}
		return
	}
	s.ownedSamples++
	if since >= 0 && now > since {
		s.result.unowned.add(s.lastFault, now-since)
	}
	s.unownedSince[job] = -1
}

// owns reports whether the process holds a job's lease, by its own clock.
func (p *process) owns(job string) bool {
	_, owns := p.client.Held(p.clock(), job)
	return owns
}

// checkSingleOwner finds another running process that owns a job of this one. It reports one violation for each run.
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
				Detail:   fmt.Sprintf("%s: owned by %s too", job, other.name),
				Evidence: []string{fmt.Sprintf("%s under fence %d", p.name, fence), fmt.Sprintf("%s under fence %d", other.name, otherFence)},
			})
			s.assumptionsHold = false
			return
		}
	}
}

// maxRefusedKeepAlives is how many keep-alive intervals a grant may be renewed for while its target refuses it: the holder
// reports the refusal with the next one.
const maxRefusedKeepAlives = 3

// refusedGrant is a grant whose writes a target refuses, without another's in between.
type refusedGrant struct {
	fence    lease.Fence
	holder   string
	since    float64
	violated bool
}

// checkRefusals finds a grant that is renewed again and again while its target refuses it: the job stands still. A
// holder whose group has no quorum gets no renewal, and stops.
func (s *simulation) checkRefusals(write FencedWrite) {
	if write.Admitted {
		delete(s.refusals, write.Job)
		return
	}
	now, refused := s.loop.Now(), s.refusals[write.Job]
	if refused == nil || refused.fence != write.Fence || refused.holder != write.Holder {
		s.refusals[write.Job] = &refusedGrant{fence: write.Fence, holder: write.Holder, since: now}
		return
	}
	limit := maxRefusedKeepAlives * s.timing.LeaseTTL / lease.KeepAlivesPerLease
	if refused.violated || now-refused.since <= limit {
		return
	}
	refused.violated = true
	s.result.Violations = append(s.result.Violations, Violation{
		Rule: RuleRefusal, Process: write.Holder, AtMS: now,
		Detail: fmt.Sprintf("%s: fence %d is refused since %.0f ms and still renewed", write.Job, write.Fence, refused.since),
	})
}

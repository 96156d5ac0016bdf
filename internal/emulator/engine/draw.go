package engine

import (
	"math"
	"math/rand/v2"

	"aniseloft/internal/emulator/scenario"
)

// capacityUse is how busy the cores are at an engine's capacity.
const capacityUse = 0.85

// Draw takes one engine from a scenario's ranges; corePart is the part of the mix's
// work that is on cores.
func Draw(s *scenario.Scenario, rng *rand.Rand, corePart float64) Kind {
	e := s.Engines
	k := Kind{Cores: e.Cores, Disks: e.Disks, Speed: e.Speed.Draw(rng), MemoryMB: int64(e.MemoryMB),
		Knee: e.Knee.Draw(rng), Thrash: e.Thrash.Draw(rng), Seek: e.Seek.Draw(rng), Spill: e.Spill.Draw(rng), MostGrant: e.MostGrant,
		Sessions: e.Sessions, WarmSets: int(math.Round(e.WarmSets.Draw(rng))), WarmGain: e.WarmGain.Draw(rng),
		ColdFrom: e.ColdFrom.Draw(rng), ColdMS: e.ColdMS.Draw(rng), FallMultiple: s.Rules.FallMultiple, FallMS: s.Rules.FallMS,
		FallShare: capacityUse / corePart, ReportPeriodMS: e.ReportPeriodMS.Draw(rng), ReportDelayMS: e.ReportDelayMS.Draw(rng)}
	if e.MemoryShort == scenario.Overcommit {
		k.Overcommit, k.Page = true, e.Page.Draw(rng)
	}
	return k
}

// Plan is how many times its work an attempt of a class takes: a bad plan is drawn anew for each.
func Plan(c scenario.Class, rng *rand.Rand) float64 {
	if c.Runaway.Hi <= 0 {
		return 1
	}
	times := c.RunawayTimes.Draw(rng)
	if rng.Float64() >= (c.Runaway.Lo+c.Runaway.Hi)/2 {
		return 1
	}
	return max(times, 1)
}

// NewJob is what a client's query truly is at an engine.
func NewJob(s *scenario.Scenario, q scenario.Ask, usual float64) *Job {
	c := s.Classes[q.Class]
	return &Job{Class: q.Class, Group: q.Group, Work: q.Work, IO: q.IO, Threads: c.Threads, NeedMB: int64(math.Ceil(q.NeedMB)),
		Estimate: int64(q.GuessMB), UsualMB: int64(c.MemoryMB), Usual: usual, Load: c.Load, Waits: c.Waits}
}

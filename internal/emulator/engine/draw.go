package engine

import (
	"math"
	"math/rand/v2"

	"aniseloft/internal/emulator/scenario"
)

// capacityUtilization is the utilization of the cores at an engine's capacity.
const capacityUtilization = 0.85

// Draw draws the configuration of one engine from a scenario's ranges; coreWorkRatio is the
// part of all queries' work that is done on cores, and not on disks.
func Draw(s *scenario.Scenario, rng *rand.Rand, coreWorkRatio float64) Config {
	e := s.Engines
	config := Config{Cores: e.Cores, Disks: e.Disks, Speed: e.Speed.Draw(rng), MemoryMB: int64(e.MemoryMB),
		SaturationThreads: e.SaturationThreads.Draw(rng), ThrashRatio: e.ThrashRatio.Draw(rng), SeekPenalty: e.SeekPenalty.Draw(rng), SpillPenalty: e.SpillPenalty.Draw(rng), MaxGrantRatio: e.MaxGrantRatio,
		Sessions: e.Sessions, WarmSets: int(math.Round(e.WarmSets.Draw(rng))), WarmGain: e.WarmGain.Draw(rng),
		WarmupInitialRatio: e.WarmupInitialRatio.Draw(rng), WarmupMS: e.WarmupMS.Draw(rng), OverloadMultiple: s.Rules.OverloadMultiple, OverloadMS: s.Rules.OverloadMS,
		OverloadRatio: capacityUtilization / coreWorkRatio, ReportPeriodMS: e.ReportPeriodMS.Draw(rng), ReportDelayMS: e.ReportDelayMS.Draw(rng)}
	if e.MemoryShort == scenario.OvercommitMemory {
		config.Overcommit, config.PagingPenalty = true, e.PagingPenalty.Draw(rng)
	}
	return config
}

// DrawPlanMultiple draws the factor by which a bad plan multiplies the work of one attempt; it
// is 1 for a good plan. It is drawn anew for each attempt of a query.
func DrawPlanMultiple(c scenario.Class, rng *rand.Rand) float64 {
	if c.BadPlanRatio.Max <= 0 {
		return 1
	}
	multiple := c.BadPlanMultiple.Draw(rng)
	if rng.Float64() >= (c.BadPlanRatio.Min+c.BadPlanRatio.Max)/2 {
		return 1
	}
	return max(multiple, 1)
}

// NewJob returns the job that a client's query is at an engine, with its true work and memory
// need; overloadWeight is the work that it counts towards an overload, usually the mean of its class.
func NewJob(s *scenario.Scenario, q scenario.Query, overloadWeight float64) *Job {
	c := s.Classes[q.Class]
	return &Job{Class: q.Class, Group: q.DataSet, Work: q.Work, IORatio: q.IORatio, Threads: c.Threads, NeedMB: int64(math.Ceil(q.NeedMB)),
		EstimateMB: int64(q.EstimatedMB), BaselineMB: int64(c.MemoryMB), OverloadWeight: overloadWeight, LoadsDataSet: c.LoadsDataSet, WaitsForLoads: c.WaitsForLoads}
}

package simulation_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/policy"
	"aniseloft/internal/emulator/scenario"
	"aniseloft/internal/emulator/simulation"
	"aniseloft/scenarios"
)

var siteCount = flag.Int("drawn-settings", 30, "number of generated sites to simulate")

// generateSite returns a short scenario of a random site, with values within the ranges of the operators' documentation and
// each switch on or off.
func generateSite(seed uint64) (*scenario.Scenario, error) {
	s, err := scenarios.Load("tournament-sunday")
	if err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(seed, 22))
	coin := func() bool { return rng.IntN(2) == 0 }
	between := func(lo, hi float64) float64 { return lo + rng.Float64()*(hi-lo) }
	pick := func(l ...string) string { return l[rng.IntN(len(l))] }
	fixed := func(x float64) scenario.Range { return scenario.Range{Min: x, Max: x} }
	s.Name, s.DurationMS, s.Faults = fmt.Sprint("drawn-", seed), 45000, nil
	k, e, g := &s.Coordinators, &s.Engines, &s.Objective
	if coin() {
		s.Zones = []string{"a", "b"}
	}
	k.Count, k.ProbesAllowed, k.GossipAllowed, k.GossipLossRatio, k.HedgingAllowed = 1+rng.IntN(4), coin(), coin(), between(0, 0.2), coin()
	k.MaxAttempts, k.MaxRetryAfterMS = 2+rng.IntN(3), float64(rng.IntN(2))*2000
	e.Count, e.Cores, e.Disks = 4+rng.IntN(7), float64(8+4*rng.IntN(3)), between(6, 12)
	e.MemoryMB = e.Cores * 2048
	e.Grants, e.Priorities, e.ReportsCost, e.MemoryShort = coin(), coin(), coin(), pick(scenario.QueueForMemory, scenario.OvercommitMemory)
	e.ProgressMS, e.Reports = float64(rng.IntN(2))*1000, pick(scenario.ReportsByProbe, scenario.ReportsInAnswers, scenario.NoReports)
	if coin() {
		e.ReportFields = []string{"inflight", "util", "x1", "x0"}
	}
	g.Probe, g.Gossip, g.CrossZone = float64(rng.IntN(2))*0.01, float64(rng.IntN(2))*0.012, float64(rng.IntN(2))*0.05
	s.Rules.WarmupInitialRatio, s.Rules.OverloadMultiple = 0.31, between(2, 3)
	if s.Rules.RetryRatio = nil; coin() {
		ratio := between(0.05, 0.2)
		s.Rules.RetryRatio, s.Rules.SpareAttempts = &ratio, float64(rng.IntN(4))
	}
	s.Clients.MarksRetries = coin()
	var work float64 // mean work of a query, ms
	for i := range s.Classes {
		c := &s.Classes[i]
		c.WorkMS, c.EstimateBias = fixed(between(c.WorkMS.Min, c.WorkMS.Max)), fixed(between(0.5, 2))
		c.LatencyObjectiveMS *= between(0.6, 1.2)
		c.MemoryMB *= between(0.6, 1.4)
		if i == 2 {
			c.Idempotency, c.LoadsDataSet = pick("by_key", "once", "repeatable"), coin()
			c.Frequency = between(0.02, 0.06)
		}
		if i == 1 && coin() {
			c.BadPlanRatio = scenario.Range{}
		}
		work += c.Frequency * c.WorkMS.Min
	}
	// A factor of 1, load 1 in the documentation, offers work for 85% of the core time of all engines; only a part of it is
	// done on the cores.
	s.Load.PerSecond = between(0.4, 1.3) * float64(e.Count) * e.Cores * 1000 * 0.85 / work
	addFault := func(t scenario.Fault) {
		t.AtMS, t.DurationMS = fixed(between(2000, 8000)), fixed(between(3000, 10000))
		s.Faults = append(s.Faults, t)
	}
	for range rng.IntN(3) {
		switch rng.IntN(9) {
		case 0:
			addFault(scenario.Fault{Kind: scenario.FaultTrafficBurst, Magnitude: fixed(between(1.4, 2.3))})
		case 1:
			addFault(scenario.Fault{Kind: scenario.FaultSlowFleet, Magnitude: fixed(between(1.4, 2.7))})
		case 2:
			addFault(scenario.Fault{Kind: scenario.FaultNoisyNeighbour, AffectedRatio: fixed(between(0.11, 0.48)), Magnitude: fixed(between(0.38, 0.7)), IntervalMS: fixed(2500)})
		case 3:
			addFault(scenario.Fault{Kind: scenario.FaultReportsDelayed, MagnitudeMS: fixed(between(1300, 4900))})
		case 4:
			addFault(scenario.Fault{Kind: scenario.FaultHeavyTail, AffectedRatio: fixed(0.02), Magnitude: fixed(between(6, 30))})
		case 5:
			intervalMS := between(23000, 39000) / (0.93 * float64(e.Count)) // as in a release that replaces 93% of the engines in 23 to 39 s
			addFault(scenario.Fault{Kind: scenario.FaultRollingReplace, IntervalMS: fixed(intervalMS)})
		case 6:
			addFault(scenario.Fault{Kind: scenario.FaultCrash, Engines: []int{rng.IntN(e.Count)}})
		case 7:
			addFault(scenario.Fault{Kind: scenario.FaultStalls, AffectedRatio: fixed(between(0.1, 0.45)), MagnitudeMS: fixed(between(120, 390)), IntervalMS: fixed(2500)})
		case 8:
			addFault(scenario.Fault{Kind: scenario.FaultCoordinatorCrash, Coordinators: []int{0}})
		}
	}
	return s, nil
}

// overfittedSeed generates a site on which a decision module fitted to one site served 0.11 less than the random policy: it
// attributed spills to its own memory grants although the engines ignored grants.
const overfittedSeed = 57

// The random policy may serve more than the module by chance: bad plans, lost datagrams and rejections differ between two runs
// of one short scenario, and one long query in a hundred is 0.02 of its service. A site on which the module is behind by more
// than repeatMargin is therefore run with repeatRuns more seeds, and the test fails if the mean is behind by more than
// failMargin.
const (
	repeatMargin = 0.005
	repeatRuns   = 8
	failMargin   = 0.01
)

// comparison holds the results of the module and the random policy on one generated site.
type comparison struct {
	module, random *observer.Report
	shortfall      float64 // mean service of the random policy minus that of the module
	runs           float64 // number of runs over which shortfall is the mean
}

func runSite(t *testing.T, seed, run uint64, policyName string) *observer.Report {
	t.Helper()
	s, err := generateSite(seed)
	if err == nil {
		var r *observer.Report
		if r, err = simulation.Run(s, simulation.Options{Seed: seed + run<<32, Policy: policyName}); err == nil {
			return r
		}
	}
	t.Errorf("site %d: %v", seed, err)
	return &observer.Report{}
}

func compareOnSite(t *testing.T, seed uint64) comparison {
	t.Helper()
	c := comparison{module: runSite(t, seed, 0, policy.Module), random: runSite(t, seed, 0, "random"), runs: 1}
	c.shortfall = c.random.Service - c.module.Service
	if c.random.RulesBroken > 0 || c.shortfall <= repeatMargin {
		return c
	}
	for run := uint64(1); run <= repeatRuns; run++ {
		module, random := runSite(t, seed, run, policy.Module), runSite(t, seed, run, "random")
		c.shortfall += random.Service - module.Service
		c.runs++
		c.module.RulesBroken += module.RulesBroken
	}
	c.shortfall /= c.runs
	return c
}

// check fails the test if the module violates a rule or serves less than the random policy.
func (c comparison) check(t *testing.T, seed uint64) {
	t.Helper()
	if c.module.RulesBroken > 0 {
		t.Errorf("site %d: rules violated: %+v", seed, c.module.Rules)
	}
	if c.random.RulesBroken == 0 && c.shortfall > failMargin {
		t.Errorf("site %d: %.3f behind the random policy, over %.0f runs (%.3f, random %.3f in the first)", seed, c.shortfall, c.runs,
			c.module.Service, c.random.Service)
	}
}

// Whatever the settings within their ranges, the module must violate no rule and must not serve less than the random policy. A
// module that is fitted to one site fails this test.
func TestModuleServesNoLessThanRandomOnGeneratedSites(t *testing.T) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	var moduleService, randomService float64
	for n := range uint64(*siteCount) {
		seed := n
		if n == 0 {
			seed = overfittedSeed
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			c := compareOnSite(t, seed)
			mu.Lock()
			defer mu.Unlock()
			moduleService += c.module.Service
			randomService += c.random.Service
			c.check(t, seed)
		})
	}
	wg.Wait()
	t.Logf("%d generated sites: mean service %.3f, of the random policy %.3f", *siteCount, moduleService/float64(*siteCount), randomService/float64(*siteCount))
	require.Positive(t, randomService)
}

package engine

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// plainConfig returns the configuration of an engine that shares cores and memory, without any other effect.
func plainConfig(cores float64, memoryMB int64) Config {
	return Config{Cores: cores, Disks: 1e9, Speed: 1, MemoryMB: memoryMB, SaturationThreads: 1e9, ThrashRatio: 1, MaxGrantRatio: 1, Sessions: 1 << 30, WarmSets: 1}
}

// meanSojourn sends Poisson arrivals to an engine until n have ended, and returns the mean sojourn
// time without the first tenth of them. It checks Little's law and that work is conserved.
func meanSojourn(t *testing.T, config Config, perMS float64, n int, grant int64, work func() float64, rng *rand.Rand) (sojourn float64) {
	e := New(config, 0, -1)
	arrivedAt := map[uint64]float64{}
	var now, nextArrival, heldIntegral, countedSojourns, allSojourns float64
	var id uint64
	ended := 0
	nextArrival = rng.ExpFloat64() / perMS
	for ended < n {
		at := min(nextArrival, e.Next())
		heldIntegral += float64(e.InFlight()) * (at - now)
		now = at
		for _, end := range e.Advance(now) {
			ended++
			allSojourns += now - arrivedAt[end.Job.ID]
			if end.Job.ID > uint64(n/10) {
				countedSojourns += now - arrivedAt[end.Job.ID]
			}
			delete(arrivedAt, end.Job.ID)
		}
		if now == nextArrival {
			id++
			arrivedAt[id] = now
			require.Equal(t, Accepted, e.Start(now, &Job{ID: id, Work: work(), Threads: 1, GrantMB: grant, NeedMB: grant, Expires: math.Inf(1)}))
			nextArrival = now + rng.ExpFloat64()/perMS
		}
	}
	// Little's law on this sample path: the number of queries held, integrated over time, is the sum
	// of the times that each spent at the engine.
	for _, at := range arrivedAt {
		allSojourns += now - at
	}
	require.InEpsilon(t, heldIntegral, allSojourns, 1e-6)
	totals, left := e.WorkTotals()
	require.InEpsilon(t, totals.In, totals.Done+totals.Dropped+left, 1e-6, "work is conserved")
	return countedSojourns / (float64(n) * 0.9)
}

// requireWithin99 checks that a formula's value lies in the 99% confidence interval of the mean of
// 20 replications (Student's t, 19 degrees of freedom).
func requireWithin99(t *testing.T, want float64, replicate func(rng *rand.Rand) float64) {
	var values []float64
	for i := range 20 {
		values = append(values, replicate(rand.New(rand.NewPCG(uint64(i), 5))))
	}
	mean, sd := stat.MeanStdDev(values, nil)
	halfWidth := distuv.StudentsT{Sigma: 1, Nu: 19}.Quantile(0.995) * sd / math.Sqrt(20)
	require.Less(t, halfWidth, 0.1*want, "the interval is narrow enough for a meaningful test")
	require.InDelta(t, want, mean, halfWidth)
}

// In an M/G/1 queue with processor sharing the mean sojourn time is E[S]/(1-rho), whatever the
// variance of the work.
func TestProcessorSharingSojournDependsOnlyOnMeanWork(t *testing.T) {
	const mean, rho = 10.0, 0.7
	for _, cv := range []float64{0.2, 1, 2.5} {
		requireWithin99(t, mean/(1-rho), func(rng *rand.Rand) float64 {
			v := math.Log(1 + cv*cv)
			d := distuv.LogNormal{Mu: math.Log(mean) - v/2, Sigma: math.Sqrt(v), Src: rng}
			return meanSojourn(t, plainConfig(1, 1<<40), rho/mean, 20000, 1, d.Rand, rng)
		})
	}
}

// With memory for c queries and a core for each, the engine is an M/M/c queue, whose mean wait
// follows from Erlang's C formula.
func TestMemoryQueueMatchesErlangC(t *testing.T) {
	const c, mean, rho = 4, 10.0, 0.8
	a := c * rho
	sum, term := 0.0, 1.0
	for k := range c {
		sum += term
		term *= a / float64(k+1)
	}
	wait := term / (1 - rho) / (sum + term/(1-rho))
	want := mean + wait*mean/(c*(1-rho))
	requireWithin99(t, want, func(rng *rand.Rand) float64 {
		return meanSojourn(t, plainConfig(c, 400), a/mean, 20000, 100, func() float64 { return mean * rng.ExpFloat64() }, rng)
	})
}

func TestPriorityWeightsAre1To4To8To16(t *testing.T) {
	for _, ioRatio := range []float64{0, 1} { // first cores are scarce, then disks
		config := plainConfig(1, 1<<40)
		config.Disks = 1
		e := New(config, 0, -1)
		jobs := make([]*Job, 4)
		for p := range jobs {
			jobs[p] = &Job{ID: uint64(p + 1), Work: 1000, IORatio: ioRatio, Threads: 1, Priority: p, Expires: math.Inf(1)}
			e.Start(0, jobs[p])
		}
		e.Advance(29)
		for p, share := range []float64{1, 4, 8, 16} {
			require.InDelta(t, share, 1000-e.remaining(jobs[p]), 1e-9, "io %v, priority %d", ioRatio, p)
		}
	}
}

func TestWarmDataSetsAreEvictedLeastRecentlyUsed(t *testing.T) {
	config := plainConfig(1, 1<<40)
	config.WarmSets, config.WarmGain = 2, 0.5
	e := New(config, 0, -1)
	var hits []bool
	for i, g := range []uint64{1, 2, 1, 3, 2, 1, 1, 3, 2, 3} {
		j := &Job{ID: uint64(i + 1), Group: g, Work: 10, IORatio: 0.4, Threads: 1, Expires: math.Inf(1)}
		e.Start(e.now, j)
		hits = append(hits, j.Total() < 10)
		if hits[i] {
			require.InDelta(t, 8, j.Total(), 1e-9, "a warm data set halves the reading")
		}
		e.Advance(e.Next())
	}
	require.Equal(t, []bool{false, false, true, false, false, false, true, false, false, true}, hits)
}

func TestWarmupCapacityRamp(t *testing.T) {
	config := plainConfig(10, 1<<40)
	config.WarmupInitialRatio, config.WarmupMS = 0.4, 1000
	e := New(config, 0, 0)
	for i := range 20 {
		e.Start(0, &Job{ID: uint64(i + 1), Work: 1e6, Threads: 1, Expires: math.Inf(1)})
	}
	for e.now < 2000 {
		e.Advance(min(e.Next(), 2000))
	}
	require.InDelta(t, 10*(0.7*1000+1000), e.totals.Done, 10*0.03*1000, "the mean capacity of the ramp, then full capacity, within one step")
	require.Equal(t, 0.7, e.Warmth(500))
}

func TestGrantsUseAllMemory(t *testing.T) {
	e := New(plainConfig(8, 1000), 0, -1)
	start := func(id uint64, grant int64) *Job {
		j := &Job{ID: id, Work: 100, Threads: 1, GrantMB: grant, NeedMB: grant, Priority: 1, Expires: 50}
		e.Start(0, j)
		return j
	}
	a, b := start(1, 600), start(2, 400)
	c := start(3, 1)
	require.Equal(t, []state{running, running, waiting}, []state{a.state, b.state, c.state})
	require.EqualValues(t, 1000, e.GrantedMB())
	d := start(4, 1)
	e.Prioritize(0, 4, 3)
	require.True(t, e.Cancel(1, 2))
	require.Equal(t, []state{running, running}, []state{c.state, d.state})
	f := start(5, 999)
	ends := e.Advance(50)
	require.Len(t, ends, 1)
	require.True(t, ends[0].Expired && ends[0].Job == f, "it expired in the queue")
}

func TestSpillingTakesMoreWork(t *testing.T) {
	config := plainConfig(1, 1000)
	config.SpillPenalty = 2
	e := New(config, 0, -1)
	j := &Job{ID: 1, Work: 100, Threads: 1, GrantMB: 50, NeedMB: 200, Expires: math.Inf(1)}
	e.Start(0, j)
	require.InDelta(t, 100*(1+2*0.75), j.Total(), 1e-9)
}

// A cancellation and a completion at the same time end the query once: the earlier event wins.
func TestCancelAtCompletionTimeEndsOnce(t *testing.T) {
	for _, first := range []string{"cancel", "end"} {
		e := New(plainConfig(1, 1000), 0, -1)
		e.Start(0, &Job{ID: 1, Work: 10, Threads: 1, Expires: math.Inf(1)})
		if at := e.Next(); first == "cancel" {
			require.True(t, e.Cancel(at, 1))
			require.Empty(t, e.Advance(at))
		} else {
			require.Len(t, e.Advance(at), 1)
			require.False(t, e.Cancel(at, 1))
		}
		totals, left := e.WorkTotals()
		require.InDelta(t, totals.In, totals.Done+totals.Dropped+left, 1e-9)
		require.Zero(t, e.GrantedMB())
	}
}

func TestLoadBlocksItsDataSet(t *testing.T) {
	e := New(plainConfig(8, 1000), 0, -1)
	start := func(id uint64, load, waits bool) *Job {
		j := &Job{ID: id, Group: 7, Work: 100, Threads: 1, GrantMB: 10, LoadsDataSet: load, WaitsForLoads: waits, Expires: math.Inf(1)}
		e.Start(0, j)
		return j
	}
	firstLoad, secondLoad, reader, unblocked := start(1, true, false), start(2, true, false), start(3, false, true), start(4, false, false)
	require.Equal(t, []state{running, blocked, blocked, running}, []state{firstLoad.state, secondLoad.state, reader.state, unblocked.state})
	require.EqualValues(t, 40, e.GrantedMB(), "blocked queries keep their memory")
	e.Advance(e.Next())
	require.Equal(t, []state{ended, running, blocked}, []state{firstLoad.state, secondLoad.state, reader.state})
	e.Cancel(e.now, 2)
	require.Equal(t, running, reader.state)
}

func TestOnlyColdEngineIsOverloaded(t *testing.T) {
	for _, startedAt := range []float64{0, -1} {
		config := plainConfig(10, 1<<40)
		config.WarmupInitialRatio, config.WarmupMS, config.OverloadMultiple, config.OverloadMS, config.OverloadRatio = 0.4, 10000, 3, 1000, 1
		e := New(config, 0, startedAt)
		overloaded := false
		for i := range 3000 {
			overloaded = overloaded || e.Start(float64(i)/4, &Job{ID: uint64(i + 1), Work: 10, OverloadWeight: 10, Threads: 1, Coordinator: i % 2, Expires: math.Inf(1)}) == Overloaded
		}
		require.Equal(t, startedAt == 0, overloaded)
		if overloaded {
			require.InDelta(t, 0.5, e.NotifiedLoadRatio(func(from int) bool { return from == 0 }), 0.01)
		}
	}
}

func TestAbandonedWorkCountsAsDropped(t *testing.T) {
	e := New(plainConfig(1, 1000), 0, -1)
	for id := range uint64(3) {
		e.Start(0, &Job{ID: id + 1, Group: 5, Work: 100, Threads: 1, GrantMB: 10, LoadsDataSet: id > 0, Expires: math.Inf(1)})
	}
	e.Advance(30) // the third is blocked by the second: two queries share the core
	require.True(t, e.Cancel(30, 1))
	totals, left := e.WorkTotals()
	require.InDelta(t, 85, totals.Dropped, 1e-9)
	require.InDelta(t, 185, left, 1e-9)
	require.Len(t, e.Terminate(40), 2)
	totals, left = e.WorkTotals()
	require.InDelta(t, 300, totals.In, 1e-9)
	require.InDelta(t, 40, totals.Done, 1e-9)
	require.InDelta(t, 260, totals.Dropped, 1e-9)
	require.Zero(t, left)
}

func TestQueueOrderIsPriorityThenArrival(t *testing.T) {
	e := New(plainConfig(1, 100), 0, -1)
	var order []uint64
	for i, p := range []int{1, 0, 1, 3, 1, 3} {
		e.Start(0, &Job{ID: uint64(i + 1), Work: 10, Threads: 1, GrantMB: 100, Priority: p, Expires: math.Inf(1)})
	}
	for len(order) < 6 {
		for _, end := range e.Advance(e.Next()) {
			order = append(order, end.Job.ID)
		}
	}
	require.Equal(t, []uint64{1, 4, 6, 3, 5, 2}, order)
}

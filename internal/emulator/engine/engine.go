// Package engine models one query engine: cores and disks shared by the running queries,
// memory grants, the queue, the data sets kept warm, cold starts and stalls. It has no
// clock: its caller passes the time.
package engine

import (
	"cmp"
	"math"
	"slices"
)

// Config is the configuration of one engine, drawn from a scenario's ranges.
type Config struct {
	Cores, Disks, Speed            float64
	MemoryMB                       int64
	SaturationThreads, ThrashRatio float64
	SeekPenalty, SpillPenalty      float64
	MaxGrantRatio                  float64
	Sessions                       int
	WarmSets                       int
	WarmGain                       float64
	WarmupInitialRatio, WarmupMS   float64
	OverloadMultiple, OverloadMS   float64
	OverloadRatio                  float64 // work per core and ms at the engine's capacity: 0.85 divided by the part of work that is done on cores
	ReportPeriodMS                 float64
	ReportDelayMS                  float64
	Overcommit                     bool    // queries are admitted without free memory; beyond its memory the engine slows down
	PagingPenalty                  float64 // factor by which the engine is slower when the queries need twice its memory
}

// WorkTotals are sums of work in milliseconds. In = Done + Dropped + the work not done yet.
type WorkTotals struct{ In, Done, Dropped float64 }

// weights are the relative shares of the priorities when cores or disks are scarce.
var weights = [4]float64{1, 4, 8, 16}

// processorShare holds running jobs whose threads all progress at one pace: the jobs of one
// priority that use the disks, or those that do not. Its clock is the work done by each thread.
type processorShare struct {
	clock, pace float64
	heap        []*Job
	threads     int
	cpu, disk   float64 // number of threads multiplied by the part of their work on cores, and on disks
	weight      float64
	usesDisks   bool
}

// Engine is one engine. It is not safe for concurrent use.
type Engine struct {
	config           Config
	now              float64
	seq              int
	shares           [8]processorShare
	queue            []*Job // jobs that wait for memory, by priority, then by arrival
	jobs             map[uint64]*Job
	dataSets         map[uint64]*dataSetState
	grantedMB        int64
	usedMB           int64    // memory that queries use: the smaller of grant and need, added up
	warmSets         []uint64 // data sets in memory, the least recently used first
	startedAt        float64  // start of the warm-up; below 0: warm from the start
	slowdown         float64  // factor by which all queries are slower
	neighbourRatio   float64  // part of the cores and disks, from 0 to 1, that another program uses
	extraReportDelay float64  // delay of load reports in ms, in addition to ReportDelayMS
	stalled          bool
	coresInUse       float64
	disksInUse       float64
	totals           WorkTotals
	recentArrivals   []arrival // arrivals while the engine warms up
	published        Report    // latest published load report
	samples          []sample  // samples in order of time; at most the first has been published
	nextSampleAt     float64
}

// dataSetState holds the running load on a data set and the jobs blocked behind it.
type dataSetState struct{ loads, blockedJobs []*Job }

// arrival is the overload weight of a query that was offered to a cold engine.
type arrival struct {
	time, weight float64
	coordinator  int
}

// New returns an engine whose warm-up starts at startedAt. If startedAt is negative, the engine is already warm.
func New(config Config, now, startedAt float64) *Engine {
	e := &Engine{config: config, now: now, startedAt: startedAt, slowdown: 1, jobs: map[uint64]*Job{}, dataSets: map[uint64]*dataSetState{}, nextSampleAt: now}
	for i := range e.shares {
		e.shares[i].weight, e.shares[i].usesDisks = weights[i%4], i >= 4
	}
	return e
}

// WorkTotals returns the work totals so far, and the admitted work that is not done yet, in ms.
func (e *Engine) WorkTotals() (work WorkTotals, workLeft float64) {
	for _, j := range e.heldJobs() {
		switch j.state {
		case running:
			workLeft += e.remaining(j)
		case blocked:
			workLeft += j.workLeft
		}
	}
	return e.totals, workLeft
}

// heldJobs returns the engine's jobs in order of arrival, so that no result depends on map order.
func (e *Engine) heldJobs() []*Job {
	all := make([]*Job, 0, len(e.jobs))
	for _, j := range e.jobs {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *Job) int { return cmp.Compare(a.seq, b.seq) })
	return all
}

// InFlight returns the number of queries that the engine holds.
func (e *Engine) InFlight() int { return len(e.jobs) }

// GrantedMB returns the memory granted to queries.
func (e *Engine) GrantedMB() int64 { return e.grantedMB }

// Warmth returns the part of its full capacity that the engine has at a time.
func (e *Engine) Warmth(at float64) float64 {
	if e.startedAt < 0 || at >= e.startedAt+e.config.WarmupMS {
		return 1
	}
	return e.config.WarmupInitialRatio + (1-e.config.WarmupInitialRatio)*max(at-e.startedAt, 0)/e.config.WarmupMS
}

// warmupStepMS is the interval at which the capacity of a warming engine is updated.
const warmupStepMS = 100.0

// Next returns the time at which Advance must be called next. +Inf means that nothing happens
// before the next call of another method.
func (e *Engine) Next() float64 {
	at := math.Inf(1)
	for i := range e.shares {
		s := &e.shares[i]
		if len(s.heap) > 0 && s.pace > 0 {
			at = min(at, e.now+max(s.heap[0].finish-s.clock, 0)/s.pace)
		}
	}
	for _, j := range e.queue {
		at = min(at, j.Expires)
	}
	if e.startedAt >= 0 && e.now < e.startedAt+e.config.WarmupMS && len(e.jobs) > 0 {
		at = min(at, e.now+warmupStepMS)
	}
	return at
}

// Advance moves the time on and returns the queries that ended by then, in order. It must be
// called at each time that Next returns; no query ends between these times.
func (e *Engine) Advance(now float64) []End {
	e.passTime(now)
	var ends []End
	for {
		j := e.nextFinished()
		if j == nil {
			break
		}
		e.removeJob(j)
		ends = append(ends, End{Job: j})
	}
	for i := 0; i < len(e.queue); {
		if j := e.queue[i]; j.Expires <= now {
			e.removeJob(j)
			ends = append(ends, End{Job: j, Expired: true})
		} else {
			i++
		}
	}
	e.startWaiting()
	return ends
}

// roundingTolerance is the remaining work of a thread, in ms, up to which a job counts as finished.
const roundingTolerance = 1e-7

// nextFinished returns the job that arrived first among those that have done all their work, or nil if there is none.
func (e *Engine) nextFinished() *Job {
	var best *Job
	for i := range e.shares {
		s := &e.shares[i]
		if len(s.heap) > 0 && s.heap[0].finish <= s.clock+roundingTolerance && (best == nil || s.heap[0].seq < best.seq) {
			best = s.heap[0]
		}
	}
	return best
}

// passTime moves the shares' clocks to now. Each method calls it before it changes the state,
// so that samples due by now show the state before the change.
func (e *Engine) passTime(now float64) {
	for e.config.ReportPeriodMS > 0 && e.nextSampleAt <= now {
		e.publishReport(e.nextSampleAt)
		e.samples = append(e.samples, sample{e.nextSampleAt, e.currentReport()})
		e.nextSampleAt += e.config.ReportPeriodMS
		if skip := math.Floor((now - e.nextSampleAt) / e.config.ReportPeriodMS); skip > 1 { // the skipped samples would show the same state
			e.nextSampleAt += skip * e.config.ReportPeriodMS
		}
	}
	dt := now - e.now
	if dt <= 0 {
		return
	}
	for i := range e.shares {
		s := &e.shares[i]
		s.clock += s.pace * dt
		e.totals.Done += s.pace * dt * float64(s.threads)
	}
	e.now = now
}

// SetNeighbourRatio sets the part of the cores and disks that another program uses.
func (e *Engine) SetNeighbourRatio(now, ratio float64) {
	e.passTime(now)
	e.neighbourRatio = ratio
	e.startWaiting()
}

// SetSlowdown sets the factor by which all queries are slower.
func (e *Engine) SetSlowdown(now, factor float64) {
	e.passTime(now)
	e.slowdown = factor
	e.startWaiting()
}

// Stall stops the progress of all queries, or resumes it.
func (e *Engine) Stall(now float64, stalled bool) {
	e.passTime(now)
	e.stalled = stalled
	e.startWaiting()
}

// Terminate ends the engine's process and returns the queries that it held, in order of arrival.
func (e *Engine) Terminate(now float64) []*Job {
	e.passTime(now)
	all := e.heldJobs()
	for _, j := range all {
		if j.state == running {
			e.stop(j)
		}
		if j.state != waiting {
			e.totals.Dropped += j.workLeft
		}
		j.state = ended
	}
	clear(e.jobs)
	clear(e.dataSets)
	e.queue, e.grantedMB, e.usedMB = nil, 0, 0
	e.updateThroughput()
	return all
}

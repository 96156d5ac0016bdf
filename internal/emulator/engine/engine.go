// Package engine models one query engine: cores and disks shared by what runs,
// memory granted to it, the line of what waits, the data sets kept warm, cold
// starts and stalls. It knows no clock: whoever drives it says what time it is.
package engine

import (
	"cmp"
	"math"
	"slices"
)

// Build is an engine as built, its figures drawn.
type Build struct {
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
	OverloadRatio                  float64 // work that a core may do in a ms at capacity: 0.85 over the part of work that is on cores
	ReportPeriodMS                 float64
	ReportDelayMS                  float64
	Overcommit                     bool    // all are let in; past its memory the engine slows down
	PagingPenalty                  float64 // at twice its memory it does one part in so many
}

// WorkTotals are sums of work in milliseconds. In = Done + Dropped + what is still there.
type WorkTotals struct{ In, Done, Dropped float64 }

// weights are the shares of priorities where cores or disks are short.
var weights = [4]float64{1, 4, 8, 16}

// processorShare holds running jobs that all progress at one pace a thread: those of one priority
// that use the disks, or that don't. Its clock is the work done by each thread.
type processorShare struct {
	clock, pace float64
	heap        []*Job
	threads     int
	cpu, disk   float64 // threads times the part on cores, on disks
	weight      float64
	usesDisks   bool
}

// Engine is one engine. It is not safe for concurrent use.
type Engine struct {
	kind    Build
	now     float64
	seq     int
	shares  [8]processorShare
	line    []*Job // by priority, then in turn
	jobs    map[uint64]*Job
	groups  map[uint64]*dataSetState
	granted int64
	used    int64    // of it, what queries need
	warm    []uint64 // the latest read last
	started float64  // start of warming; below 0: long ago
	slow    float64
	taken   float64 // part of cores and disks that another program has
	late    float64 // that reports come out later than usual, ms
	stalled bool
	coresIn float64 // in use now
	disksIn float64
	books   WorkTotals
	arrived []arrival
	shown   Report   // the latest that is out
	samples []sample // in order; at most the first is out
	takeAt  float64
}

type dataSetState struct{ loads, behind []*Job }

type arrival struct {
	time, weight float64
	from         int
}

// New returns an engine that starts at a time, or started long ago (below 0).
func New(k Build, now, started float64) *Engine {
	e := &Engine{kind: k, now: now, started: started, slow: 1, jobs: map[uint64]*Job{}, groups: map[uint64]*dataSetState{}, takeAt: now}
	for i := range e.shares {
		e.shares[i].weight, e.shares[i].usesDisks = weights[i%4], i >= 4
	}
	return e
}

// Books returns the sums of the work so far; left is the work that is not done yet, in ms.
func (e *Engine) Books() (b WorkTotals, left float64) {
	for _, j := range e.heldJobs() {
		switch j.state {
		case running:
			left += e.remaining(j)
		case blocked:
			left += j.left
		}
	}
	return e.books, left
}

// heldJobs are its queries in order of arrival: nothing may hang on a map's order.
func (e *Engine) heldJobs() []*Job {
	all := make([]*Job, 0, len(e.jobs))
	for _, j := range e.jobs {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *Job) int { return cmp.Compare(a.seq, b.seq) })
	return all
}

// InFlight is how many queries it holds.
func (e *Engine) InFlight() int { return len(e.jobs) }

// GrantedMB is the memory granted.
func (e *Engine) GrantedMB() int64 { return e.granted }

// Warmth is the part of its capacity that the engine has at a time.
func (e *Engine) Warmth(at float64) float64 {
	if e.started < 0 || at >= e.started+e.kind.WarmupMS {
		return 1
	}
	return e.kind.WarmupInitialRatio + (1-e.kind.WarmupInitialRatio)*max(at-e.started, 0)/e.kind.WarmupMS
}

// warmupStepMS is how often the capacity of a warming engine is brought up to date.
const warmupStepMS = 100.0

// Next is when Advance has something to do; +Inf: never by itself.
func (e *Engine) Next() float64 {
	at := math.Inf(1)
	for i := range e.shares {
		l := &e.shares[i]
		if len(l.heap) > 0 && l.pace > 0 {
			at = min(at, e.now+max(l.heap[0].finish-l.clock, 0)/l.pace)
		}
	}
	for _, j := range e.line {
		at = min(at, j.Expires)
	}
	if e.started >= 0 && e.now < e.started+e.kind.WarmupMS && len(e.jobs) > 0 {
		at = min(at, e.now+warmupStepMS)
	}
	return at
}

// Advance lets time pass and returns what ended by then, in order. It is to be called
// at every time that Next names; between them nothing ends.
func (e *Engine) Advance(now float64) []End {
	e.passTime(now)
	var ends []End
	for {
		j := e.done()
		if j == nil {
			break
		}
		e.leave(j)
		ends = append(ends, End{Job: j})
	}
	for i := 0; i < len(e.line); {
		if j := e.line[i]; j.Expires <= now {
			e.leave(j)
			ends = append(ends, End{Job: j, Expired: true})
		} else {
			i++
		}
	}
	e.startWaiting()
	return ends
}

// roundingTolerance is how much of a thread's work, in ms, counts as none.
const roundingTolerance = 1e-7

func (e *Engine) done() *Job {
	var best *Job
	for i := range e.shares {
		l := &e.shares[i]
		if len(l.heap) > 0 && l.heap[0].finish <= l.clock+roundingTolerance && (best == nil || l.heap[0].seq < best.seq) {
			best = l.heap[0]
		}
	}
	return best
}

// passTime moves the shares' clocks on; what is published of a state is that before the change.
func (e *Engine) passTime(now float64) {
	for e.kind.ReportPeriodMS > 0 && e.takeAt <= now {
		e.publishReport(e.takeAt)
		e.samples = append(e.samples, sample{e.takeAt, e.state()})
		e.takeAt += e.kind.ReportPeriodMS
		if skip := math.Floor((now - e.takeAt) / e.kind.ReportPeriodMS); skip > 1 { // nothing changed in between
			e.takeAt += skip * e.kind.ReportPeriodMS
		}
	}
	dt := now - e.now
	if dt <= 0 {
		return
	}
	for i := range e.shares {
		l := &e.shares[i]
		l.clock += l.pace * dt
		e.books.Done += l.pace * dt * float64(l.threads)
	}
	e.now = now
}

// SetNeighbourRatio gives another program a part of the cores and disks.
func (e *Engine) SetNeighbourRatio(now, part float64) {
	e.passTime(now)
	e.taken = part
	e.startWaiting()
}

// SetSlowdown makes everything so many times slower.
func (e *Engine) SetSlowdown(now, times float64) {
	e.passTime(now)
	e.slow = times
	e.startWaiting()
}

// Stall stops everything, or lets it go on.
func (e *Engine) Stall(now float64, stalled bool) {
	e.passTime(now)
	e.stalled = stalled
	e.startWaiting()
}

// Terminate ends the process: all that it held is returned, in order of arrival.
func (e *Engine) Terminate(now float64) []*Job {
	e.passTime(now)
	all := e.heldJobs()
	for _, j := range all {
		if j.state == running {
			e.stop(j)
		}
		if j.state != waiting {
			e.books.Dropped += j.left
		}
		j.state = over
	}
	clear(e.jobs)
	clear(e.groups)
	e.line, e.granted, e.used = nil, 0, 0
	e.updateThroughput()
	return all
}

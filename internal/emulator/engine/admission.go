package engine

import (
	"cmp"
	"math"
	"slices"
)

// Start offers a query to the engine. An Overloaded result means that the engine failed
// and that all its queries are lost, this one included; NotifiedLoadRatio then tells which
// part of the engine's load came from the given coordinators.
func (e *Engine) Start(now float64, j *Job) StartResult {
	e.passTime(now)
	if e.overloadedBy(now, j) {
		return Overloaded
	}
	if len(e.jobs) >= e.config.Sessions {
		return Rejected
	}
	e.seq++
	j.seq, j.state = e.seq, waiting
	e.jobs[j.ID] = j
	j.grantedMB = e.grant(j)
	e.enqueue(j)
	e.startWaiting()
	return Accepted
}

// enqueue inserts a job into the queue, ordered by priority and then by arrival.
func (e *Engine) enqueue(j *Job) {
	i, _ := slices.BinarySearchFunc(e.queue, j, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.seq, b.seq))
	})
	e.queue = slices.Insert(e.queue, i, j)
}

// Factors for a memory grant that the engine chooses itself.
const (
	estimateGrantFactor = 1.25 // multiplied by the estimated memory need
	baselineGrantFactor = 1.5  // multiplied by the usual memory need of the class, if there is no estimate
)

// grant returns the memory that a job gets, in MB: the grant that it asks for, or else
// the engine's own choice, but at most MaxGrantRatio of the engine's memory.
func (e *Engine) grant(j *Job) int64 {
	g := j.GrantMB
	if g <= 0 && j.EstimateMB > 0 {
		g = int64(math.Ceil(float64(j.EstimateMB) * estimateGrantFactor))
	} else if g <= 0 {
		g = int64(math.Ceil(float64(j.BaselineMB) * baselineGrantFactor))
	}
	return max(min(g, int64(float64(e.config.MemoryMB)*e.config.MaxGrantRatio)), 1)
}

// startWaiting admits queued jobs in order while their grants fit into memory, and updates
// the pace of all processor shares.
func (e *Engine) startWaiting() {
	for len(e.queue) > 0 && (e.config.Overcommit || e.grantedMB+e.queue[0].grantedMB <= e.config.MemoryMB) {
		j := e.queue[0]
		e.queue = slices.Delete(e.queue, 0, 1)
		e.grantedMB += j.grantedMB
		e.usedMB += min(j.grantedMB, j.NeedMB)
		e.admit(j)
	}
	e.updateThroughput()
}

// admit determines the work of a job that has got its memory, and runs it or blocks it behind a
// load on its data set.
func (e *Engine) admit(j *Job) {
	readRatio := j.IORatio
	if e.readDataSet(j.Group) {
		readRatio *= 1 - e.config.WarmGain
	}
	work := j.Work * (1 - j.IORatio + readRatio)
	j.ioWork = 0
	if work > 0 {
		j.ioWork = j.Work * readRatio / work
	}
	if missingMB := j.NeedMB - j.grantedMB; missingMB > 0 {
		work *= 1 + e.config.SpillPenalty*float64(missingMB)/float64(j.NeedMB)
	}
	j.total, j.workLeft = work, work
	e.totals.In += work
	if j.LoadsDataSet || j.WaitsForLoads {
		g := e.dataSets[j.Group]
		if g == nil {
			g = &dataSetState{}
			e.dataSets[j.Group] = g
		}
		if len(g.loads) > 0 {
			j.state = blocked
			g.blockedJobs = append(g.blockedJobs, j)
			return
		}
		if j.LoadsDataSet {
			g.loads = append(g.loads, j)
		}
	}
	e.run(j)
}

// readDataSet makes a data set the most recently used one and reports whether it was warm.
// If more than WarmSets data sets are warm, the least recently used one is evicted.
func (e *Engine) readDataSet(g uint64) bool {
	i := slices.Index(e.warmSets, g)
	if i >= 0 {
		e.warmSets = slices.Delete(e.warmSets, i, i+1)
	}
	e.warmSets = append(e.warmSets, g)
	if len(e.warmSets) > e.config.WarmSets {
		e.warmSets = slices.Delete(e.warmSets, 0, 1)
	}
	return i >= 0
}

// run adds a job to the processor share of its priority.
func (e *Engine) run(j *Job) {
	j.state = running
	s := &e.shares[min(max(j.Priority, 0), 3)]
	if j.ioWork > 0 {
		s = &e.shares[4+min(max(j.Priority, 0), 3)]
	}
	if len(s.heap) == 0 {
		s.clock, s.threads, s.cpu, s.disk = 0, 0, 0, 0 // drops accumulated rounding errors
	}
	j.share, j.finish = s, s.clock+j.workLeft/float64(j.Threads)
	s.threads += j.Threads
	s.cpu += float64(j.Threads) * (1 - j.ioWork)
	s.disk += float64(j.Threads) * j.ioWork
	s.push(j)
}

// remaining returns the work left to a running job, in ms.
func (e *Engine) remaining(j *Job) float64 {
	return max(j.finish-j.share.clock, 0) * float64(j.Threads)
}

// stop removes a running job from its processor share, and stores its remaining work in workLeft.
func (e *Engine) stop(j *Job) {
	j.workLeft = e.remaining(j)
	s := j.share
	s.remove(j)
	s.threads -= j.Threads
	s.cpu -= float64(j.Threads) * (1 - j.ioWork)
	s.disk -= float64(j.Threads) * j.ioWork
	j.share = nil
}

// removeJob removes a job in any state. If it was the last load on its data set, the jobs
// blocked behind it run, up to and including the next load.
func (e *Engine) removeJob(j *Job) {
	delete(e.jobs, j.ID)
	switch j.state {
	case waiting:
		e.queue = slices.DeleteFunc(e.queue, func(o *Job) bool { return o == j })
		j.state = ended
		return
	case running:
		e.stop(j)
	}
	j.state = ended
	e.totals.Dropped += j.workLeft
	e.grantedMB -= j.grantedMB
	e.usedMB -= min(j.grantedMB, j.NeedMB)
	g := e.dataSets[j.Group]
	if g == nil || !j.LoadsDataSet && !j.WaitsForLoads {
		return
	}
	g.blockedJobs = slices.DeleteFunc(g.blockedJobs, func(o *Job) bool { return o == j })
	if g.loads = slices.DeleteFunc(g.loads, func(o *Job) bool { return o == j }); len(g.loads) > 0 {
		return
	}
	for len(g.blockedJobs) > 0 && len(g.loads) == 0 {
		next := g.blockedJobs[0]
		g.blockedJobs = g.blockedJobs[1:]
		if next.LoadsDataSet {
			g.loads = append(g.loads, next)
		}
		e.run(next)
	}
	if len(g.loads) == 0 && len(g.blockedJobs) == 0 {
		delete(e.dataSets, j.Group)
	}
}

// Cancel cancels a query. It returns false if the engine does not hold the query, or no longer holds it.
func (e *Engine) Cancel(now float64, id uint64) bool {
	e.passTime(now)
	j := e.jobs[id]
	if j == nil {
		return false
	}
	e.removeJob(j)
	e.startWaiting()
	return true
}

// Prioritize changes the priority of a query that the engine holds.
func (e *Engine) Prioritize(now float64, id uint64, priority int) {
	e.passTime(now)
	j := e.jobs[id]
	if j == nil || j.Priority == priority {
		return
	}
	switch j.state {
	case waiting:
		e.queue = slices.DeleteFunc(e.queue, func(o *Job) bool { return o == j })
		j.Priority = priority
		e.enqueue(j)
	case running:
		e.stop(j)
		j.Priority = priority
		e.run(j)
	default:
		j.Priority = priority
	}
	e.startWaiting()
}

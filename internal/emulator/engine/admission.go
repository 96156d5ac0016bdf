package engine

import (
	"cmp"
	"math"
	"slices"
)

// Start brings a query. Where the engine falls over, all that it held is gone, this
// query too, and Pressure tells who sent what.
func (e *Engine) Start(now float64, j *Job) StartResult {
	e.passTime(now)
	if e.overloadedBy(now, j) {
		return Overloaded
	}
	if len(e.jobs) >= e.kind.Sessions {
		return Rejected
	}
	e.seq++
	j.seq, j.state = e.seq, waiting
	e.jobs[j.ID] = j
	j.granted = e.grant(j)
	e.enqueue(j)
	e.startWaiting()
	return Accepted
}

func (e *Engine) enqueue(j *Job) {
	i, _ := slices.BinarySearchFunc(e.line, j, func(a, b *Job) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.seq, b.seq))
	})
	e.line = slices.Insert(e.line, i, j)
}

// What an engine grants by its own choice: a quarter over the estimate, or half over
// what the class usually needs.
const (
	overEstimate = 1.25
	overUsual    = 1.5
)

func (e *Engine) grant(j *Job) int64 {
	g := j.GrantMB
	if g <= 0 && j.EstimateMB > 0 {
		g = int64(math.Ceil(float64(j.EstimateMB) * overEstimate))
	} else if g <= 0 {
		g = int64(math.Ceil(float64(j.BaselineMB) * overUsual))
	}
	return max(min(g, int64(float64(e.kind.MemoryMB)*e.kind.MaxGrantRatio)), 1)
}

// startWaiting lets in what fits and renews paces.
func (e *Engine) startWaiting() {
	for len(e.line) > 0 && (e.kind.Overcommit || e.granted+e.line[0].granted <= e.kind.MemoryMB) {
		j := e.line[0]
		e.line = slices.Delete(e.line, 0, 1)
		e.granted += j.granted
		e.used += min(j.granted, j.NeedMB)
		e.admit(j)
	}
	e.updateThroughput()
}

// admit gives a job its memory and its work.
func (e *Engine) admit(j *Job) {
	read := j.IORatio
	if e.readDataSet(j.Group) {
		read *= 1 - e.kind.WarmGain
	}
	work := j.Work * (1 - j.IORatio + read)
	j.ioWork = 0
	if work > 0 {
		j.ioWork = j.Work * read / work
	}
	if short := j.NeedMB - j.granted; short > 0 {
		work *= 1 + e.kind.SpillPenalty*float64(short)/float64(j.NeedMB)
	}
	j.total, j.left = work, work
	e.books.In += work
	if j.LoadsDataSet || j.WaitsForLoads {
		g := e.groups[j.Group]
		if g == nil {
			g = &dataSetState{}
			e.groups[j.Group] = g
		}
		if len(g.loads) > 0 {
			j.state = blocked
			g.behind = append(g.behind, j)
			return
		}
		if j.LoadsDataSet {
			g.loads = append(g.loads, j)
		}
	}
	e.run(j)
}

// readDataSet reads a data set, and tells whether it was warm.
func (e *Engine) readDataSet(g uint64) bool {
	i := slices.Index(e.warm, g)
	if i >= 0 {
		e.warm = slices.Delete(e.warm, i, i+1)
	}
	e.warm = append(e.warm, g)
	if len(e.warm) > e.kind.WarmSets {
		e.warm = slices.Delete(e.warm, 0, 1)
	}
	return i >= 0
}

func (e *Engine) run(j *Job) {
	j.state = running
	l := &e.shares[min(max(j.Priority, 0), 3)]
	if j.ioWork > 0 {
		l = &e.shares[4+min(max(j.Priority, 0), 3)]
	}
	if len(l.heap) == 0 {
		l.clock, l.threads, l.cpu, l.disk = 0, 0, 0, 0 // no rounding lives on
	}
	j.share, j.finish = l, l.clock+j.left/float64(j.Threads)
	l.threads += j.Threads
	l.cpu += float64(j.Threads) * (1 - j.ioWork)
	l.disk += float64(j.Threads) * j.ioWork
	l.push(j)
}

func (e *Engine) remaining(j *Job) float64 {
	return max(j.finish-j.share.clock, 0) * float64(j.Threads)
}

// stop takes a job off its processor share with what is left of it.
func (e *Engine) stop(j *Job) {
	j.left = e.remaining(j)
	l := j.share
	l.remove(j)
	l.threads -= j.Threads
	l.cpu -= float64(j.Threads) * (1 - j.ioWork)
	l.disk -= float64(j.Threads) * j.ioWork
	j.share = nil
}

// leave takes a job out, wherever it is, and lets on what stood behind it.
func (e *Engine) leave(j *Job) {
	delete(e.jobs, j.ID)
	switch j.state {
	case waiting:
		e.line = slices.DeleteFunc(e.line, func(o *Job) bool { return o == j })
		j.state = over
		return
	case running:
		e.stop(j)
	}
	j.state = over
	e.books.Dropped += j.left
	e.granted -= j.granted
	e.used -= min(j.granted, j.NeedMB)
	g := e.groups[j.Group]
	if g == nil || !j.LoadsDataSet && !j.WaitsForLoads {
		return
	}
	g.behind = slices.DeleteFunc(g.behind, func(o *Job) bool { return o == j })
	if g.loads = slices.DeleteFunc(g.loads, func(o *Job) bool { return o == j }); len(g.loads) > 0 {
		return
	}
	for len(g.behind) > 0 && len(g.loads) == 0 {
		first := g.behind[0]
		g.behind = g.behind[1:]
		if first.LoadsDataSet {
			g.loads = append(g.loads, first)
		}
		e.run(first)
	}
	if len(g.loads) == 0 && len(g.behind) == 0 {
		delete(e.groups, j.Group)
	}
}

// Cancel gives a query up; false: it is not here, or has ended.
func (e *Engine) Cancel(now float64, id uint64) bool {
	e.passTime(now)
	j := e.jobs[id]
	if j == nil {
		return false
	}
	e.leave(j)
	e.startWaiting()
	return true
}

// Prioritize changes the priority of a query that is here.
func (e *Engine) Prioritize(now float64, id uint64, priority int) {
	e.passTime(now)
	j := e.jobs[id]
	if j == nil || j.Priority == priority {
		return
	}
	switch j.state {
	case waiting:
		e.line = slices.DeleteFunc(e.line, func(o *Job) bool { return o == j })
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

package engine

import "math"

// updateThroughput finds how fast each processor share's threads go. Cores and disks are shared by weighted
// water-filling: a thread of weight w goes at min(1, level*w) of the engine's speed, and
// the level rises until cores or disks are all in use. Threads that use no disk go on to
// rise where only the disks are short.
func (e *Engine) updateThroughput() {
	var threads int
	var disk float64
	for i := range e.shares {
		threads += e.shares[i].threads
		disk += e.shares[i].disk
	}
	speed := e.kind.Speed / e.slow / e.paging()
	if e.stalled {
		speed = 0
	}
	cores := e.kind.Cores * (1 - e.taken) * e.Warmth(e.now) * thrashFactor(float64(threads)/e.kind.Cores, e.kind.SaturationThreads, e.kind.ThrashRatio)
	disks := e.kind.Disks * (1 - e.taken) * e.Warmth(e.now) * seekFactor(disk/e.kind.Disks, e.kind.SeekPenalty)
	level := min(e.level(cores, false, 0), e.level(disks, true, 0))
	dry := level // of threads that use no disk
	if e.level(disks, true, 0) < e.level(cores, false, 0) {
		dry = e.level(cores, false, level)
	}
	e.coresIn, e.disksIn = 0, 0
	for i := range e.shares {
		l := &e.shares[i]
		at := dry
		if l.usesDisks {
			at = level
		}
		share := min(1, at*l.weight)
		l.pace = speed * share
		if speed > 0 {
			e.coresIn += l.cpu * share
			e.disksIn += l.disk * share
		}
	}
}

// paging is how many times slower all goes for memory in use past what there is: at twice
// of it the kind's figure, at four times its square.
func (e *Engine) paging() float64 {
	if !e.kind.Overcommit || e.used <= e.kind.MemoryMB {
		return 1
	}
	return math.Pow(e.kind.PagingPenalty, math.Log2(float64(e.used)/float64(e.kind.MemoryMB)))
}

// level is how far the water rises until a resource is all in use. With fixed above 0,
// shares that use disks stay at that level and only the others rise.
func (e *Engine) level(room float64, disks bool, fixed float64) float64 {
	var rising [4]float64
	for i := range e.shares {
		l := &e.shares[i]
		use := l.cpu
		if disks {
			use = l.disk
		}
		if fixed > 0 && l.usesDisks {
			room -= use * min(1, fixed*l.weight)
		} else {
			rising[i%4] += use
		}
	}
	// The highest weight is the first to have all that it can use.
	var slope float64
	for p := range rising {
		slope += rising[p] * weights[p]
	}
	for p := 3; p >= 0; p-- {
		if rising[p] == 0 {
			continue
		}
		if at := room / slope; at <= 1/weights[p] {
			return max(at, 0)
		}
		room -= rising[p]
		if slope -= rising[p] * weights[p]; slope <= 1e-12 {
			break
		}
	}
	return math.Inf(1)
}

// thrashFactor is the part of the cores that is left with so many threads a core: each
// doubling beyond the knee leaves the part that thrash names.
func thrashFactor(threads, knee, thrash float64) float64 {
	if threads <= knee {
		return 1
	}
	return math.Pow(thrash, math.Log2(threads/knee))
}

// seekFactor is the part of the disks that is left with so many threads for each.
func seekFactor(waiting, seek float64) float64 {
	if waiting <= 1 {
		return 1
	}
	return 1 / (1 + seek*math.Log2(waiting))
}

// slack for chance: an engine stands so much more than it must.
const overloadSlack = 1.1

// overloadedBy books what reaches a cold engine and tells whether it falls over: more than
// the multiple of its present capacity over the span.
func (e *Engine) overloadedBy(now float64, j *Job) bool {
	if e.Warmth(now) >= 1 || e.kind.OverloadMultiple == 0 {
		e.arrived = nil
		return false
	}
	e.arrived = append(e.arrived, arrival{now, j.OverloadWeight, j.Coordinator})
	from := now - e.kind.OverloadMS
	for e.arrived[0].time < from {
		e.arrived = e.arrived[1:]
	}
	var sum float64
	for _, a := range e.arrived {
		sum += a.weight
	}
	mid := e.Warmth(max(now-e.kind.OverloadMS/2, e.started))
	capacity := e.kind.Cores * e.kind.OverloadRatio * mid * e.kind.OverloadMS
	return sum > e.kind.OverloadMultiple*overloadSlack*capacity
}

// NotifiedLoadRatio tells which part of the work that lately reached a cold engine came from
// the coordinators that told picks.
func (e *Engine) NotifiedLoadRatio(told func(from int) bool) float64 {
	var sum, part float64
	for _, a := range e.arrived {
		sum += a.weight
		if told(a.from) {
			part += a.weight
		}
	}
	return part / max(sum, 1e-9)
}

func (l *processorShare) less(a, b *Job) bool {
	return a.finish < b.finish || a.finish == b.finish && a.seq < b.seq
}

func (l *processorShare) push(j *Job) {
	j.index = len(l.heap)
	l.heap = append(l.heap, j)
	l.up(j.index)
}

func (l *processorShare) swap(a, b int) {
	h := l.heap
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}

func (l *processorShare) up(i int) {
	for i > 0 && l.less(l.heap[i], l.heap[(i-1)/2]) {
		l.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (l *processorShare) remove(j *Job) {
	i, last := j.index, len(l.heap)-1
	l.swap(i, last)
	l.heap[last] = nil
	l.heap = l.heap[:last]
	if i == last {
		return
	}
	l.up(i)
	for {
		c := 2*i + 1
		if c >= last {
			return
		}
		if c+1 < last && l.less(l.heap[c+1], l.heap[c]) {
			c++
		}
		if !l.less(l.heap[c], l.heap[i]) {
			return
		}
		l.swap(i, c)
		i = c
	}
}

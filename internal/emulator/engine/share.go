package engine

import "math"

// updateThroughput sets the pace of each processor share. Cores and disks are shared by
// weighted water-filling: a thread of weight w gets min(1, level*w) of the engine's speed, and
// the level rises until all cores or all disks are in use. If only the disks are scarce, the
// level of threads that use no disk rises further.
func (e *Engine) updateThroughput() {
	var threads int
	var disk float64
	for i := range e.shares {
		threads += e.shares[i].threads
		disk += e.shares[i].disk
	}
	speed := e.config.Speed / e.slowdown / e.pagingSlowdown()
	if e.stalled {
		speed = 0
	}
	cores := e.config.Cores * (1 - e.neighbourRatio) * e.Warmth(e.now) * thrashFactor(float64(threads)/e.config.Cores, e.config.SaturationThreads, e.config.ThrashRatio)
	disks := e.config.Disks * (1 - e.neighbourRatio) * e.Warmth(e.now) * seekFactor(disk/e.config.Disks, e.config.SeekPenalty)
	level := min(e.fillLevel(cores, false, 0), e.fillLevel(disks, true, 0))
	coreLevel := level // level of the threads that use no disk
	if e.fillLevel(disks, true, 0) < e.fillLevel(cores, false, 0) {
		coreLevel = e.fillLevel(cores, false, level)
	}
	e.coresInUse, e.disksInUse = 0, 0
	for i := range e.shares {
		s := &e.shares[i]
		shareLevel := coreLevel
		if s.usesDisks {
			shareLevel = level
		}
		share := min(1, shareLevel*s.weight)
		s.pace = speed * share
		if speed > 0 {
			e.coresInUse += s.cpu * share
			e.disksInUse += s.disk * share
		}
	}
}

// pagingSlowdown returns the factor by which memory overcommitment slows all queries: the
// PagingPenalty if queries use twice the engine's memory, the square of it at four times.
func (e *Engine) pagingSlowdown() float64 {
	if !e.config.Overcommit || e.usedMB <= e.config.MemoryMB {
		return 1
	}
	return math.Pow(e.config.PagingPenalty, math.Log2(float64(e.usedMB)/float64(e.config.MemoryMB)))
}

// fillLevel returns the water-filling level at which all cores, or all disks, are in use; +Inf
// if they never are. With fixed above 0, shares that use disks stay at that level and only the
// others rise.
func (e *Engine) fillLevel(capacity float64, disks bool, fixed float64) float64 {
	var risingUse [4]float64 // use of the shares that rise, by priority
	for i := range e.shares {
		s := &e.shares[i]
		use := s.cpu
		if disks {
			use = s.disk
		}
		if fixed > 0 && s.usesDisks {
			capacity -= use * min(1, fixed*s.weight)
		} else {
			risingUse[i%4] += use
		}
	}
	// With a rising level, the threads of the highest weight are the first to run at full speed.
	var slope float64
	for p := range risingUse {
		slope += risingUse[p] * weights[p]
	}
	for p := 3; p >= 0; p-- {
		if risingUse[p] == 0 {
			continue
		}
		if fullAt := capacity / slope; fullAt <= 1/weights[p] {
			return max(fullAt, 0)
		}
		capacity -= risingUse[p]
		if slope -= risingUse[p] * weights[p]; slope <= 1e-12 {
			break
		}
	}
	return math.Inf(1)
}

// thrashFactor returns the part of the cores that is usable: each doubling of the threads per
// core beyond the saturation point multiplies it by thrashRatio.
func thrashFactor(threadsPerCore, saturation, thrashRatio float64) float64 {
	if threadsPerCore <= saturation {
		return 1
	}
	return math.Pow(thrashRatio, math.Log2(threadsPerCore/saturation))
}

// seekFactor returns the part of the disks that is usable with a number of threads per disk.
func seekFactor(threadsPerDisk, seekPenalty float64) float64 {
	if threadsPerDisk <= 1 {
		return 1
	}
	return 1 / (1 + seekPenalty*math.Log2(threadsPerDisk))
}

// overloadSlack is the factor by which an engine tolerates more than the overload limit, so that
// random variation alone does not overload it.
const overloadSlack = 1.1

// overloadedBy records a query that is offered to a cold engine and reports whether it overloads
// the engine: whether the offered work of the last OverloadMS exceeds OverloadMultiple times, with
// some slack, the capacity of that span.
func (e *Engine) overloadedBy(now float64, j *Job) bool {
	if e.Warmth(now) >= 1 || e.config.OverloadMultiple == 0 {
		e.recentArrivals = nil
		return false
	}
	e.recentArrivals = append(e.recentArrivals, arrival{now, j.OverloadWeight, j.Coordinator})
	from := now - e.config.OverloadMS
	for e.recentArrivals[0].time < from {
		e.recentArrivals = e.recentArrivals[1:]
	}
	var sum float64
	for _, a := range e.recentArrivals {
		sum += a.weight
	}
	meanWarmth := e.Warmth(max(now-e.config.OverloadMS/2, e.startedAt))
	capacity := e.config.Cores * e.config.OverloadRatio * meanWarmth * e.config.OverloadMS
	return sum > e.config.OverloadMultiple*overloadSlack*capacity
}

// NotifiedLoadRatio returns the part of the work recently offered to a cold engine that came from
// the coordinators for which notified returns true.
func (e *Engine) NotifiedLoadRatio(notified func(coordinator int) bool) float64 {
	var sum, notifiedSum float64
	for _, a := range e.recentArrivals {
		sum += a.weight
		if notified(a.coordinator) {
			notifiedSum += a.weight
		}
	}
	return notifiedSum / max(sum, 1e-9)
}

// less orders the heap by the time of completion, then by arrival.
func (s *processorShare) less(a, b *Job) bool {
	return a.finish < b.finish || a.finish == b.finish && a.seq < b.seq
}

func (s *processorShare) push(j *Job) {
	j.index = len(s.heap)
	s.heap = append(s.heap, j)
	s.up(j.index)
}

func (s *processorShare) swap(a, b int) {
	h := s.heap
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}

func (s *processorShare) up(i int) {
	for i > 0 && s.less(s.heap[i], s.heap[(i-1)/2]) {
		s.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (s *processorShare) remove(j *Job) {
	i, last := j.index, len(s.heap)-1
	s.swap(i, last)
	s.heap[last] = nil
	s.heap = s.heap[:last]
	if i == last {
		return
	}
	s.up(i)
	for {
		c := 2*i + 1
		if c >= last {
			return
		}
		if c+1 < last && s.less(s.heap[c+1], s.heap[c]) {
			c++
		}
		if !s.less(s.heap[c], s.heap[i]) {
			return
		}
		s.swap(i, c)
		i = c
	}
}

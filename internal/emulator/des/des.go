// Package des provides the core of a discrete-event simulation: a clock that jumps from event to
// event, and an independent stream of random numbers for each concern.
package des

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Loop runs scheduled events in order of time; events of the same time run in order of scheduling.
// Times are virtual milliseconds. It is not safe for concurrent use.
type Loop struct {
	now      float64
	sequence uint64
	heap     []event
	events   int // number of events that have run
}

// event is a scheduled call of run.
type event struct {
	time     float64
	sequence uint64
	run      func()
}

// before reports whether event a runs before event b.
func (a *event) before(b *event) bool {
	return a.time < b.time || a.time == b.time && a.sequence < b.sequence
}

// Now returns the time of the current event.
func (l *Loop) Now() float64 { return l.now }

// Events returns the number of events that have run.
func (l *Loop) Events() int { return l.events }

// At schedules f at a time. A time in the past counts as now.
func (l *Loop) At(at float64, f func()) {
	l.sequence++
	l.heap = append(l.heap, event{max(at, l.now), l.sequence, f})
	h := l.heap
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h[i].before(&h[parent]) {
			break
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

// After schedules f after a number of milliseconds.
func (l *Loop) After(ms float64, f func()) { l.At(l.now+ms, f) }

// Run runs events until none is left or the next one is after the end, and sets the clock to the end.
func (l *Loop) Run(end float64) {
	for len(l.heap) > 0 && l.heap[0].time <= end {
		e := l.pop()
		l.now = e.time
		l.events++
		e.run()
	}
	l.now = max(l.now, end)
}

func (l *Loop) pop() event {
	h := l.heap
	top, last := h[0], len(h)-1
	h[0], h[last] = h[last], event{}
	h = h[:last]
	l.heap = h
	for i := 0; ; {
		child := 2*i + 1
		if child >= len(h) {
			break
		}
		if child+1 < len(h) && h[child+1].before(&h[child]) {
			child++
		}
		if !h[child].before(&h[i]) {
			break
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
	return top
}

// Stream returns the random source of one concern of a simulation, such as "arrivals". The streams of
// one seed are independent: the numbers that one concern draws do not affect those of another.
func Stream(seed uint64, concern string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(concern)))
}

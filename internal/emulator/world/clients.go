package world

import (
	"cmp"
	"fmt"
	"slices"

	"aniseloft/decide"
	"aniseloft/internal/emulator/clients"
	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/scenario"
)

// client is one who asks, over all its tries.
type client struct {
	w     *World
	q     scenario.Ask
	asked observer.Asked
	tries int
}

// try is one of them.
type try struct {
	cl   *client
	c    *coordinator
	run  int
	r    *open
	done bool
}

func (w *World) nextAsk() {
	q, more := w.asks.Next()
	if !more {
		return
	}
	w.loop.At(q.At, func() {
		cl := &client{w: w, q: q, asked: clients.NewAsked(w.s, q)}
		w.obs.Asks(&cl.asked)
		cl.try()
		w.nextAsk()
	})
}

func (cl *client) try() {
	w := cl.w
	now := w.loop.Now()
	cl.tries++
	w.tries++
	t := &try{cl: cl}
	if n := w.front.Pick(cl.q.Hall); n >= 0 {
		t.c = w.coords[n]
	}
	until := clients.Until(w.s, cl.q, &cl.asked, now)
	t.r = &open{id: requestID(w.tries), q: cl.q, try: t, priority: 1, marked: w.s.Clients.Marks && cl.tries > 1}
	t.r.Request = observer.Request{Name: fmt.Sprintf("request %d.%d", cl.q.N, cl.tries), Class: cl.q.Class, Key: cl.q.Group,
		Until: until}
	// The client listens a little longer than it says, and then hangs up.
	w.loop.At(until+w.s.Rules.AnswerSlackMS, t.hangUp)
	w.loop.After(w.toClient(), func() {
		if t.c == nil || !t.c.up {
			w.loop.After(w.toClient(), t.lostNow)
			return
		}
		t.run = t.c.run
		t.c.post(w, inArrived{t.r})
	})
}

// lost is a try whose coordinator died.
func (t *try) lost() { t.cl.w.loop.After(t.cl.w.toClient(), t.lostNow) }

func (t *try) lostNow() { t.end(observer.Lost, 0) }

func (t *try) heard(kind observer.Kind, comeBack float64) { t.end(kind, comeBack) }

func (t *try) hangUp() {
	if t.done {
		return
	}
	w := t.cl.w
	if t.c != nil && t.c.run == t.run && t.run > 0 {
		w.loop.After(w.toClient(), func() {
			if t.c.run == t.run {
				t.c.post(w, inGone{t.r})
			}
		})
	}
	t.end(observer.Failed, 0)
}

// end is what a client makes of a try's end: it is served, comes again by its habit, or leaves.
func (t *try) end(kind observer.Kind, comeBack float64) {
	if t.done {
		return
	}
	t.done = true
	cl, w := t.cl, t.cl.w
	now := w.loop.Now()
	wait, again := clients.Again(cl.q, &cl.asked, cl.tries, kind, comeBack, now)
	w.obs.Got(now, &cl.asked, kind, !again)
	if again {
		w.loop.After(wait, func() {
			w.obs.Retries(w.loop.Now(), &cl.asked)
			cl.try()
		})
	}
}

// sorted are requests in the order they were taken.
func sorted(m map[decide.RequestID]*open) []*open {
	l := make([]*open, 0, len(m))
	for _, r := range m {
		l = append(l, r)
	}
	slices.SortFunc(l, func(a, b *open) int {
		return cmp.Or(cmp.Compare(len(a.id), len(b.id)), cmp.Compare(a.id, b.id))
	})
	return l
}

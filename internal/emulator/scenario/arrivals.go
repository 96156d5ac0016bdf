package scenario

import (
	"math"
	"math/rand/v2"
	"sort"

	"gonum.org/v1/gonum/stat/distuv"

	"aniseloft/internal/emulator/des"
)

// Ask is a first try as drawn: who asks for what, and what it truly needs.
type Ask struct {
	N          int
	At         float64
	Class      int
	Hall       int
	Group      uint64 // from 1
	Work       float64
	IO         float64
	NeedMB     float64
	GuessWork  float64
	GuessMB    float64
	Patience   float64 // of each try, as a part of the time left
	Habit      int
	Honours    bool
	RetryWaits []float64
}

// Arrivals draws the day's first tries, one after another. The n-th asks for the same
// whatever troubles there are: a burst only brings it sooner.
type Arrivals struct {
	s      *Scenario
	t      *Timeline
	n      int
	at     float64
	left   float64 // of the unit exponential to the next arrival
	groups []float64
	shares []float64
	habits []float64
	work   []distuv.LogNormal
	memory []distuv.LogNormal
	bias   []float64
	io     []float64
	mean   []float64
	skew   float64
	when   *rand.Rand
	what   *rand.Rand
	sizes  *rand.Rand
	guess  *rand.Rand
	who    *rand.Rand
	tails  *rand.Rand
}

// Arrivals begins the day's stream of first tries.
func (s *Scenario) Arrivals(seed uint64, t *Timeline) *Arrivals {
	a := &Arrivals{s: s, t: t, when: des.Stream(seed, "arrivals"), what: des.Stream(seed, "classes and data sets"),
		sizes: des.Stream(seed, "sizes"), guess: des.Stream(seed, "estimates"), who: des.Stream(seed, "clients"),
		tails: des.Stream(seed, "heavy tails")}
	day := des.Stream(seed, "day")
	zipf := s.DataSets.Zipf.Draw(day)
	for k := range s.DataSets.Count {
		a.groups = append(a.groups, math.Pow(float64(k+1), -zipf))
	}
	a.skew = s.Load.HallSkew.Draw(day)
	for _, c := range s.Classes {
		a.shares = append(a.shares, c.Share)
		mean := c.WorkMS.Draw(day)
		a.mean = append(a.mean, mean)
		a.io = append(a.io, c.IO.Draw(day))
		a.bias = append(a.bias, c.EstimateBias.Draw(day))
		a.work = append(a.work, logNormal(mean, c.CV, a.sizes))
		a.memory = append(a.memory, logNormal(c.MemoryMB, c.MemoryCV, a.sizes))
	}
	for _, h := range s.Clients.Habits {
		a.habits = append(a.habits, h.Share)
	}
	cumulate(a.groups)
	cumulate(a.shares)
	cumulate(a.habits)
	a.left = a.when.ExpFloat64()
	return a
}

// logNormal has a mean and a coefficient of variation.
func logNormal(mean, cv float64, rng *rand.Rand) distuv.LogNormal {
	v := math.Log(1 + cv*cv)
	return distuv.LogNormal{Mu: math.Log(mean) - v/2, Sigma: math.Sqrt(v), Src: rng}
}

func cumulate(l []float64) {
	var sum float64
	for i := range l {
		sum += l[i]
		l[i] = sum
	}
	for i := range l {
		l[i] /= sum
	}
}

func pick(cumulated []float64, x float64) int {
	return min(sort.SearchFloat64s(cumulated, x), len(cumulated)-1)
}

// rateStep is how long a rate counts as constant, ms.
const rateStep = 5.0

// Next is the next first try; false: the day has no more.
func (a *Arrivals) Next() (Ask, bool) {
	for {
		step := math.Floor(a.at/rateStep)*rateStep + rateStep
		perMS := a.t.Rate(step-rateStep) / 1000
		if due := a.left / perMS; a.at+due < step {
			a.at += due
			a.left = a.when.ExpFloat64()
			break
		}
		a.left -= (step - a.at) * perMS
		if a.at = step; a.at >= a.s.DurationMS {
			return Ask{}, false
		}
	}
	if a.at >= a.s.DurationMS {
		return Ask{}, false
	}
	a.n++
	q := Ask{N: a.n, At: a.at, Class: pick(a.shares, a.what.Float64()), Group: uint64(pick(a.groups, a.what.Float64())) + 1}
	c := a.s.Classes[q.Class]
	q.IO = a.io[q.Class]
	q.Work = max(a.work[q.Class].Rand(), 0.5)
	if len(a.t.tails) > 0 { // a stream of its own: without the trouble all is as it was
		q.Work *= a.t.Heavier(q.At, q.Class, a.tails.Float64())
	}
	q.NeedMB = min(max(a.memory[q.Class].Rand(), 1), a.s.Engines.MemoryMB*a.s.Engines.MostGrant)
	scatter := func() float64 { return logNormal(1, c.EstimateCV, a.guess).Rand() }
	q.GuessWork = q.Work * a.bias[q.Class] * scatter()
	q.GuessMB = max(math.Round(q.NeedMB*a.bias[q.Class]*scatter()), 1)
	// The first hall has the surplus.
	halls := float64(len(a.s.Halls))
	if x := a.who.Float64(); x < (1+a.skew*(halls-1))/halls {
		q.Hall = 0
	} else {
		q.Hall = 1 + int(a.who.Float64()*(halls-1))
	}
	q.Hall = min(q.Hall, len(a.s.Halls)-1)
	q.Patience = a.s.Clients.TryShare.Draw(a.who)
	q.Habit = pick(a.habits, a.who.Float64())
	h := a.s.Clients.Habits[q.Habit]
	q.Honours = a.who.Float64() < h.Honour
	for range h.Retries {
		q.RetryWaits = append(q.RetryWaits, h.WaitMS.Draw(a.who))
	}
	return q, true
}

// Usual is a class's mean work, all threads, ms.
func (a *Arrivals) Usual(class int) float64 { return a.mean[class] }

// CorePart is the part of the whole mix's work that is on cores.
func (a *Arrivals) CorePart() float64 {
	var cores, all, was float64
	for i := range a.s.Classes {
		w := (a.shares[i] - was) * a.mean[i]
		was = a.shares[i]
		all += w
		cores += w * (1 - a.io[i])
	}
	return cores / all
}

// Aim is when an answer stops earning its whole worth.
func (s *Scenario) Aim(q Ask) float64 {
	c := s.Classes[q.Class]
	return q.At + min(c.AimMS+c.AimStretch*q.Work/float64(c.Threads), c.DeadlineMS)
}

package scenario

import (
	"math"
	"math/rand/v2"
	"sort"

	"gonum.org/v1/gonum/stat/distuv"

	"aniseloft/internal/emulator/des"
)

// Query is a generated query: its true and estimated work and memory, and its client's behavior.
type Query struct {
	Number           int
	ArrivesAt        float64
	Class            int    // index of the class
	Zone             int    // index of the client's zone
	DataSet          uint64 // numbered from 1
	Work             float64
	IORatio          float64
	NeedMB           float64
	EstimatedWork    float64
	EstimatedMB      float64
	Patience         float64 // part of the deadline that the client waits for one try
	Habit            int     // index in Clients.Habits
	HonorsRetryAfter bool
	RetryWaits       []float64
}

// Arrivals generates the queries one after another. Apart from heavy tails, faults do not change the n-th query; a burst
// only makes it arrive earlier.
type Arrivals struct {
	scenario      *Scenario
	timeline      *Timeline
	count         int
	now           float64
	untilNext     float64   // remaining part of the unit exponential interval to the next arrival
	groups        []float64 // cumulative frequencies of the data sets
	classes       []float64 // cumulative frequencies of the classes
	habits        []float64 // cumulative frequencies of the clients' habits
	work          []distuv.LogNormal
	memory        []distuv.LogNormal
	bias          []float64
	ioRatio       []float64
	meanWork      []float64
	zoneSkew      float64
	arrivalRand   *rand.Rand
	choiceRand    *rand.Rand
	sizeRand      *rand.Rand
	estimateRand  *rand.Rand
	clientRand    *rand.Rand
	heavyTailRand *rand.Rand
}

// Arrivals returns the generator of a run's queries.
func (s *Scenario) Arrivals(seed uint64, t *Timeline) *Arrivals {
	a := &Arrivals{scenario: s, timeline: t, arrivalRand: des.Stream(seed, "arrivals"), choiceRand: des.Stream(seed, "classes and data sets"),
		sizeRand: des.Stream(seed, "sizes"), estimateRand: des.Stream(seed, "estimates"), clientRand: des.Stream(seed, "clients"),
		heavyTailRand: des.Stream(seed, "heavy tails")}
	runRand := des.Stream(seed, "day")
	zipf := s.DataSets.Zipf.Draw(runRand)
	for k := range s.DataSets.Count {
		a.groups = append(a.groups, math.Pow(float64(k+1), -zipf))
	}
	a.zoneSkew = s.Load.ZoneSkew.Draw(runRand)
	for _, c := range s.Classes {
		a.classes = append(a.classes, c.Frequency)
		mean := c.WorkMS.Draw(runRand)
		a.meanWork = append(a.meanWork, mean)
		a.ioRatio = append(a.ioRatio, c.IORatio.Draw(runRand))
		a.bias = append(a.bias, c.EstimateBias.Draw(runRand))
		a.work = append(a.work, logNormal(mean, c.WorkCV, a.sizeRand))
		a.memory = append(a.memory, logNormal(c.MemoryMB, c.MemoryCV, a.sizeRand))
	}
	for _, h := range s.Clients.Habits {
		a.habits = append(a.habits, h.Frequency)
	}
	cumulate(a.groups)
	cumulate(a.classes)
	cumulate(a.habits)
	a.untilNext = a.arrivalRand.ExpFloat64()
	return a
}

// logNormal returns the log-normal distribution with a mean and a coefficient of variation.
func logNormal(mean, cv float64, rng *rand.Rand) distuv.LogNormal {
	v := math.Log(1 + cv*cv)
	return distuv.LogNormal{Mu: math.Log(mean) - v/2, Sigma: math.Sqrt(v), Src: rng}
}

// cumulate replaces frequencies by their cumulative distribution.
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

// pick returns the index that a random number x in [0, 1) selects from a cumulative distribution.
func pick(cumulated []float64, x float64) int {
	return min(sort.SearchFloat64s(cumulated, x), len(cumulated)-1)
}

// rateStepMS is the length of the steps within which the arrival rate is constant.
const rateStepMS = 5.0

// Next returns the next query, or false after the last one.
func (a *Arrivals) Next() (Query, bool) {
	for {
		step := math.Floor(a.now/rateStepMS)*rateStepMS + rateStepMS
		perMS := a.timeline.Rate(step-rateStepMS) / 1000
		if due := a.untilNext / perMS; a.now+due < step {
			a.now += due
			a.untilNext = a.arrivalRand.ExpFloat64()
			break
		}
		a.untilNext -= (step - a.now) * perMS
		if a.now = step; a.now >= a.scenario.DurationMS {
			return Query{}, false
		}
	}
	if a.now >= a.scenario.DurationMS {
		return Query{}, false
	}
	a.count++
	q := Query{Number: a.count, ArrivesAt: a.now, Class: pick(a.classes, a.choiceRand.Float64()), DataSet: uint64(pick(a.groups, a.choiceRand.Float64())) + 1}
	c := a.scenario.Classes[q.Class]
	q.IORatio = a.ioRatio[q.Class]
	q.Work = max(a.work[q.Class].Rand(), 0.5)
	if len(a.timeline.tails) > 0 { // heavy tails have a random stream of their own, so that they leave the other values unchanged
		q.Work *= a.timeline.WorkMultiple(q.ArrivesAt, q.Class, a.heavyTailRand.Float64())
	}
	q.NeedMB = min(max(a.memory[q.Class].Rand(), 1), a.scenario.Engines.MemoryMB*a.scenario.Engines.MaxGrantRatio)
	scatter := func() float64 { return logNormal(1, c.EstimateCV, a.estimateRand).Rand() }
	q.EstimatedWork = q.Work * a.bias[q.Class] * scatter()
	q.EstimatedMB = max(math.Round(q.NeedMB*a.bias[q.Class]*scatter()), 1)
	// The first zone gets the share of the load that zoneSkew takes from the other zones.
	zones := float64(len(a.scenario.Zones))
	if x := a.clientRand.Float64(); x < (1+a.zoneSkew*(zones-1))/zones {
		q.Zone = 0
	} else {
		q.Zone = 1 + int(a.clientRand.Float64()*(zones-1))
	}
	q.Zone = min(q.Zone, len(a.scenario.Zones)-1)
	q.Patience = a.scenario.Clients.PatienceRatio.Draw(a.clientRand)
	q.Habit = pick(a.habits, a.clientRand.Float64())
	h := a.scenario.Clients.Habits[q.Habit]
	q.HonorsRetryAfter = a.clientRand.Float64() < h.HonorsRetryAfterRatio
	for range h.Retries {
		q.RetryWaits = append(q.RetryWaits, h.WaitMS.Draw(a.clientRand))
	}
	return q, true
}

// MeanWork returns a class's mean work over all threads, in ms.
func (a *Arrivals) MeanWork(class int) float64 { return a.meanWork[class] }

// CoreWorkRatio returns the part of all work that is done on cores.
func (a *Arrivals) CoreWorkRatio() float64 {
	var cores, all, previous float64
	for i := range a.scenario.Classes {
		w := (a.classes[i] - previous) * a.meanWork[i]
		previous = a.classes[i]
		all += w
		cores += w * (1 - a.ioRatio[i])
	}
	return cores / all
}

// ObjectiveTime returns the latest time at which an answer to a query earns its full weight.
func (s *Scenario) ObjectiveTime(q Query) float64 {
	c := s.Classes[q.Class]
	return q.ArrivesAt + min(c.LatencyObjectiveMS+c.ObjectivePerWork*q.Work/float64(c.Threads), c.DeadlineMS)
}

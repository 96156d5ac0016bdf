package decide

import (
	"cmp"
	"math"
	"slices"
)

// classSize separates short classes from long ones, whose queues have different bounds.
type classSize int

const (
	shortClass classSize = iota
	longClass
	classSizeCount = 2
)

const (
	longWorkRatio = 4.0  // a class is long if its usual work is this many times the smallest of any class
	learnRate     = 0.05 // weight of one sample in class means
	// Number of samples as which the prior of a class's work counts. The prior, objective times threads, is
	// high, which is the safe side for slow start.
	priorSamples   = 1
	latencyRate    = 0.01 // weight of one sample in the mean log latency, whose minimum is the best latency
	forgetRate     = 1e-4 // drift of the best latency to the mean; low: a long overload must not be learned
	maxSampleRatio = 8.0  // a sample counts as at most this many times the mean
	minLatency     = 0.1  // lower bound on latencies, in ms

	pressureRate         = 0.1  // weight of one sample in the mean latency pressure
	pressureTimeConstant = 16.0 // time constant of that mean, in multiples of the shortest latency objective
	fleetPoolWeight      = 4.0  // number of samples as which the fleet's mean counts in an endpoint's mean
)

// classStats is a class with its learned statistics.
type classStats struct {
	Class
	sampleCount      int     // number of attempts that succeeded
	estimateCount    float64 // number of requests with an estimate of work
	meanWork         float64 // mean work, ms on one core
	usualWork        float64 // mean expected work of the class's requests, ms on one core
	workBias         float64 // ratio of actual to estimated work
	memoryBias       float64 // ratio of actual to estimated memory
	spillNoticeCount float64 // number of notices of a spill
	spillRatio       float64 // ratio of attempts that spilled, among those long enough to report a spill
	logLatency       float64 // mean log of latency (relative to the estimate, if there is one)
	bestLogLatency   float64 // lowest logLatency so far, slowly forgotten
	isLong           bool    // the class's queries need much more work than the shortest; see classifySizes
}

func (c *classStats) size() classSize {
	if c.isLong {
		return longClass
	}
	return shortClass
}

// estimator learns work, memory and latency by class, and the ratio of endpoints' latency to the best
// latency.
type estimator struct {
	clock    *clock
	settings *Settings
	classes  []*classStats
	// fleetPressure is the mean log ratio of latency to unloaded latency over all endpoints.
	fleetPressure decayingMean
	// Decaying sums of latency and of latency times threads. Their ratio is meanThreads.
	latencySum, threadLatencySum float64
	meanThreads                  float64 // mean threads of the queries running at one time
}

func newEstimator(c *clock, s *Settings) *estimator {
	m := &estimator{clock: c, settings: s}
	for _, class := range s.Classes {
		prior := class.LatencyObjective * float64(class.Threads)
		m.classes = append(m.classes, &classStats{Class: class, meanWork: prior, usualWork: prior,
			workBias: 1, memoryBias: 1, spillRatio: 1})
	}
	m.classifySizes()
	return m
}

func (m *estimator) class(r *request) *classStats { return m.classes[r.Class] }

// expectedWork is a request's work in ms on one core: its estimate corrected by the class's bias or, without
// an estimate, the class's mean.
func (m *estimator) expectedWork(r *request) float64 {
	c := m.class(r)
	if r.EstimatedWork > 0 {
		return max(r.EstimatedWork*c.workBias, 1)
	}
	return max(c.meanWork, 1)
}

// unloadedLatency is the time in ms that a request takes at an idle endpoint.
func (m *estimator) unloadedLatency(r *request) Millis {
	c := m.class(r)
	if r.EstimatedWork <= 0 && c.sampleCount > 0 && !m.settings.ActualCostReported {
		return math.Exp(c.bestLogLatency)
	}
	return m.expectedWork(r) / float64(c.Threads)
}

// objectiveAt is the time after which an answer to the request no longer earns the complete weight.
func (m *estimator) objectiveAt(r *request) Millis {
	c := m.class(r)
	objective := c.LatencyObjective + c.ObjectivePerWork*m.expectedWork(r)/float64(c.Threads)
	return r.arrivedAt + min(objective, r.TimeLeft)
}

// classifySizes sets which classes are long, by the mean expected work of their requests. It doesn't use
// latency objectives, because a short objective may grow with the work.
func (m *estimator) classifySizes() {
	byUsualWork := func(a, b *classStats) int { return cmp.Compare(a.usualWork, b.usualWork) }
	smallestWork := slices.MinFunc(m.classes, byUsualWork).usualWork
	for _, c := range m.classes {
		c.isLong = c.usualWork > longWorkRatio*smallestWork
	}
}

// cheapestLongWork is the mean work of the cheapest long class or, if no class is long, of the most
// expensive.
func (m *estimator) cheapestLongWork() float64 {
	smallestLongWork, largestWork := math.Inf(1), 0.0
	for _, c := range m.classes {
		if largestWork = max(largestWork, c.meanWork); c.isLong {
			smallestLongWork = min(smallestLongWork, c.meanWork)
		}
	}
	return min(smallestLongWork, largestWork)
}

// observeArrival updates the class's usual work with the estimate of a new request.
func (m *estimator) observeArrival(r *request) {
	if r.EstimatedWork <= 0 {
		return
	}
	c := m.class(r)
	c.estimateCount++
	moveMean(&c.usualWork, m.expectedWork(r), max(learnRate, 1/(c.estimateCount+priorSamples)))
	m.classifySizes()
}

// observeSuccess updates the statistics with an attempt that succeeded at an endpoint.
func (m *estimator) observeSuccess(r *request, e *endpoint, ev AttemptEnded) {
	c := m.class(r)
	c.sampleCount++
	m.learnBias(c, r, ev)
	logLatency := math.Log(max(ev.Latency, minLatency))
	m.learnLatency(c, r, logLatency)
	m.learnSpills(c, r, ev)
	threads, work := float64(c.Threads), ev.ActualWork
	logUnloaded := math.Log(m.unloadedLatency(r))
	if work > 0 {
		logUnloaded = math.Log(work / threads)
	} else {
		work = ev.Latency * threads // too high under load, which is the safe side for slow start
	}
	moveMean(&c.meanWork, min(work, maxSampleRatio*c.meanWork),
		max(learnRate, 1/float64(c.sampleCount+priorSamples)))
	m.latencySum = m.latencySum*(1-learnRate) + ev.Latency
	m.threadLatencySum = m.threadLatencySum*(1-learnRate) + ev.Latency*threads
	m.meanThreads = m.threadLatencySum / max(m.latencySum, 1)
	m.observePressure(e, logLatency-logUnloaded)
}

// learnBias updates the ratios of reported to estimated work and memory.
func (m *estimator) learnBias(c *classStats, r *request, ev AttemptEnded) {
	if ev.ActualWork <= 0 || r.EstimatedWork <= 0 {
		return
	}
	rate := max(learnRate, 1/float64(c.sampleCount))
	moveMean(&c.workBias, min(ev.ActualWork/r.EstimatedWork, maxSampleRatio*c.workBias), rate)
	if ev.ActualMemoryMB > 0 && r.EstimatedMemoryMB > 0 {
		moveMean(&c.memoryBias, min(ev.ActualMemoryMB/r.EstimatedMemoryMB, maxSampleRatio*c.memoryBias), rate)
	}
}

// learnLatency updates the class's best latency. Where answers don't report actual work, the best ratio of
// latency to estimated latency serves as the work bias.
func (m *estimator) learnLatency(c *classStats, r *request, logLatency float64) {
	relativeToEstimate := r.EstimatedWork > 0 && !m.settings.ActualCostReported
	logEstimate := 0.0
	if relativeToEstimate {
		logEstimate = math.Log(r.EstimatedWork / float64(c.Threads))
	}
	moveMean(&c.logLatency, logLatency-logEstimate, max(latencyRate, 1/float64(c.sampleCount)))
	if float64(c.sampleCount) < 1/learnRate || c.logLatency < c.bestLogLatency {
		c.bestLogLatency = c.logLatency
	}
	moveMean(&c.bestLogLatency, c.logLatency, forgetRate)
	if relativeToEstimate {
		c.workBias = math.Exp(c.bestLogLatency)
	}
}

// learnSpills updates the ratio of spilled attempts with an attempt that ran long enough to report a spill.
func (m *estimator) learnSpills(c *classStats, r *request, ev AttemptEnded) {
	if m.settings.ProgressInterval <= 0 || ev.Latency < m.settings.ProgressInterval {
		return
	}
	spillSample := 0.0
	if r.current.spilled {
		spillSample = 1
	}
	moveMean(&c.spillRatio, spillSample, learnRate)
}

// learnMemory learns the memory need of a class from a spill notice, which reports the missing memory, where
// answers don't report actual memory.
func (m *estimator) learnMemory(r *request, missingMB float64) {
	if !m.settings.MemoryGrantsEnabled || m.settings.ActualCostReported || r.EstimatedMemoryMB <= 0 {
		return
	}
	c := m.class(r)
	c.spillNoticeCount++
	needRatio := (r.current.memoryMB*grantMargin + missingMB) / r.EstimatedMemoryMB
	rate := max(learnRate, 1/(c.spillNoticeCount+priorSamples))
	moveMean(&c.memoryBias, min(needRatio, maxSampleRatio*c.memoryBias), rate)
}

// observePressure adds a sample of the log ratio of latency to unloaded latency at an endpoint.
func (m *estimator) observePressure(e *endpoint, logRatio float64) {
	if m.clock.justResumed() {
		return
	}
	timeConstant := m.clock.objectives(pressureTimeConstant)
	e.latencyPressure.add(logRatio, pressureRate, m.clock.now, timeConstant)
	m.fleetPressure.add(logRatio, pressureRate, m.clock.now, timeConstant)
}

// pressure is the mean log ratio of the endpoint's latency to its unloaded latency, decaying with age. The
// fleet's mean is added with a weight of fleetPoolWeight samples; that mean, in turn, tends to 0 if its
// samples are few.
func (m *estimator) pressure(e *endpoint) float64 {
	timeConstant := m.clock.objectives(pressureTimeConstant)
	fleetSum, fleetCount := m.fleetPressure.remaining(m.clock.now, timeConstant)
	ownSum, ownCount := e.latencyPressure.remaining(m.clock.now, timeConstant)
	return (ownSum + fleetPoolWeight*fleetSum/(fleetCount+fleetPoolWeight)) / (ownCount + fleetPoolWeight)
}

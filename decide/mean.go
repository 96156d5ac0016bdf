package decide

import "math"

// decayingMean is a mean whose samples lose weight with each new sample and with time.
type decayingMean struct {
	sum, count      float64
	updatedAt       Millis
	decay           float64 // factor by which the samples have decayed at decayComputedAt
	decayComputedAt Millis
}

// add adds a sample. rate is the ratio of their weight that earlier samples lose, timeConstant is in ms.
func (m *decayingMean) add(x, rate float64, now, timeConstant Millis) {
	sum, count := m.remaining(now, timeConstant)
	m.sum, m.count, m.updatedAt = sum*(1-rate)+x, count*(1-rate)+1, now
}

// remaining returns the decayed sum and count of the samples.
func (m *decayingMean) remaining(now, timeConstant Millis) (sum, count float64) {
	if m.count == 0 {
		return 0, 0
	}
	if m.decayComputedAt != now || now == m.updatedAt {
		m.decayComputedAt, m.decay = now, math.Exp((m.updatedAt-now)/timeConstant)
	}
	return m.sum * m.decay, m.count * m.decay
}

// arrivalTimeConstant is the time constant of arrivalRate, in ms. It is long enough to cover some requests at
// low traffic.
const arrivalTimeConstant = 5e3

// arrivalRate is the mean rate of this balancer's arrivals, in requests per second. It sets the gossip
// budget.
type arrivalRate struct {
	perSecond float64
	updatedAt Millis
}

func (r *arrivalRate) recordArrival(now Millis) {
	seconds := (now - r.updatedAt) / 1000
	r.updatedAt = now
	r.perSecond = r.perSecond*math.Exp(-seconds*1000/arrivalTimeConstant) + 1000/arrivalTimeConstant
}

// moveMean moves a mean towards the sample x by rate, the weight of the sample.
func moveMean(mean *float64, x, rate float64) { *mean += rate * (x - *mean) }

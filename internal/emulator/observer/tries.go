package observer

// TryResult is the result of a try for its client.
type TryResult int

// The results of a try.
const (
	Served TryResult = iota
	Rejected
	Failed
	Lost // the coordinator crashed, or no coordinator was running
)

// window returns the totals of the window that contains the given time.
func (o *Observer) window(at float64) *windowTotals {
	return &o.windows[min(max(int(at/o.scenario.WindowMS), 0), len(o.windows)-1)]
}

// FirstTry records the first try of a client's query.
func (o *Observer) FirstTry(q *ClientQuery) {
	c, w := &o.classes[q.Class], o.window(q.ArrivedAt)
	weight := o.scenario.Classes[q.Class].Weight
	c.firstTries++
	c.offeredWeight += weight
	w.firstTries++
	w.offeredWeight += weight
	o.totals.FirstTries++
	o.countTry(q.ArrivedAt, q)
}

// countTry counts a try, be it the first one or a retry.
func (o *Observer) countTry(at float64, q *ClientQuery) {
	o.classes[q.Class].tries++
	o.window(at).tries++
}

// Retry records a retry of a client's query.
func (o *Observer) Retry(at float64, q *ClientQuery) {
	o.totals.Retries++
	o.countTry(at, q)
}

// TryEnded records the result of a try for its client. Last means that the client does not retry.
func (o *Observer) TryEnded(at float64, q *ClientQuery, kind TryResult, last bool) {
	c, w := &o.classes[q.Class], o.window(at)
	class := o.scenario.Classes[q.Class]
	switch kind {
	case Served:
		if q.ended {
			return
		}
		q.ended = true
		c.served++
		w.served++
		q.earnedWeight = class.Weight
		if at > q.ObjectiveTime {
			c.late++
			q.earnedWeight *= class.LateWeightRatio
		}
		c.earnedWeight += q.earnedWeight
		o.window(q.ArrivedAt).earnedWeight += q.earnedWeight
		_ = c.latency.RecordValue(max(int64((at-q.ArrivedAt)*1000), 1))
		return
	case Rejected:
		c.rejected++
		w.rejected++
	case Failed:
		c.failed++
		w.failed++
	case Lost:
		c.lost++
		w.failed++
	}
	if last && !q.ended {
		q.ended = true
		c.neverServed++
		if at > q.ObjectiveTime {
			c.lateFailedWeight += class.Weight
		}
	}
}

package routing

import "aniseloft/decide"

// maxRecordedRuns is the maximum number of keys with a recorded run. That covers some minutes of loads in less than 1 MB.
const maxRecordedRuns = 4096

// runHistory records the first run of each idempotency key for as long as a retry may arrive. It does
// not read the clock. The dispatcher's goroutine owns it.
type runHistory struct {
	runs       map[requestKey]recordedRun
	startOrder []runStart // the recorded runs, including removed ones, oldest first
}

// recordedRun is the first run under a key.
type recordedRun struct {
	decide.EarlierRun
	retriesUntil decide.Millis // time until which a retry may arrive
}

// runStart identifies a recorded run by its key and start time.
type runStart struct {
	key       requestKey
	startedAt decide.Millis
}

func newRunHistory() *runHistory { return &runHistory{runs: map[requestKey]recordedRun{}} }

// record records a run that starts under a key and the time until which a retry may arrive. Further
// runs under the key are ignored: the endpoints' deduplication window begins with the first.
func (h *runHistory) record(key requestKey, run decide.EarlierRun, retriesUntil decide.Millis) {
	if key.idempotencyKey == "" || h.earlierRun(key, run.StartedAt) != nil {
		return
	}
	h.expire(run.StartedAt)
	h.runs[key] = recordedRun{run, retriesUntil}
	h.startOrder = append(h.startOrder, runStart{key, run.StartedAt})
}

// expire removes the oldest runs while they are expired or too many are recorded.
func (h *runHistory) expire(now decide.Millis) {
	for len(h.startOrder) > 0 {
		oldest := h.startOrder[0]
		run := h.runs[oldest.key]
		if run.StartedAt == oldest.startedAt && run.retriesUntil > now && len(h.startOrder) < maxRecordedRuns {
			return
		}
		h.forget(oldest.key, oldest.startedAt)
		h.startOrder = h.startOrder[1:]
	}
}

// forget removes the run under a key that started at startedAt.
func (h *runHistory) forget(key requestKey, startedAt decide.Millis) {
	if h.runs[key].StartedAt == startedAt {
		delete(h.runs, key)
	}
}

// earlierRun returns the run that may have happened under a key, or nil if no run restricts a retry at now.
func (h *runHistory) earlierRun(key requestKey, now decide.Millis) *decide.EarlierRun {
	if run, ok := h.runs[key]; ok && now < run.retriesUntil {
		return &run.EarlierRun
	}
	return nil
}

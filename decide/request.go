package decide

// request is the state of a request that has arrived and is unanswered or has an attempt in flight.
type request struct {
	RequestArrived
	sequence    int // number of the request, in order of arrival
	arrivedAt   Millis
	deadline    Millis  // time at which the client stops waiting
	answered    bool    // the request has its final answer, or its client has disconnected
	withinQuota bool    // the request was within its tenant's quota on arrival
	sortWeight  float64 // rank when the queue was last sorted; see admission.takeSorted
	// draw is a random number from 0 to 1 that selects the requests to admit where only a share of traffic
	// may be. Requests of low value tend to larger draws, which are admitted last.
	draw float64

	attemptsStarted int
	current         attempt // the last attempt
	replanned       bool    // an attempt was cancelled to try elsewhere; at most once
	firstRun        firstRun
	probed          []*endpoint // endpoints probed for the next attempt; nil: not selected yet
	lastAttemptedOn EndpointID  // endpoint of the last attempt that ended
}

// attempt is one attempt of a request. A request has at most one in flight.
type attempt struct {
	endpoint       *endpoint // nil: not in flight
	startedAt      Millis
	lastActivityAt Millis    // start of the attempt or time of its last progress notice
	work           float64   // expected work, ms on one core
	size           classSize // size of the request's class at the start of the attempt
	memoryMB       float64   // expected memory of the attempt
	spilled        bool      // the query has spilled to disk, by a progress notice
	cancelled      bool
}

// firstRun is the earliest attempt of a request, or under its key, that may have run.
type firstRun struct {
	startedAt Millis // never: no attempt can have run
	endpoint  EndpointInfo
}

func (f *firstRun) mayHaveRun() bool { return f.startedAt != never }

// isCurrent reports whether the attempt with this number is the one in flight.
func (r *request) isCurrent(attempt int) bool {
	return r != nil && r.current.endpoint != nil && attempt == r.attemptsStarted-1
}

// forgetRun clears firstRun if it is the last attempt, which is known not to have run.
func (r *request) forgetRun() {
	if r.firstRun.startedAt == r.current.startedAt {
		r.firstRun.startedAt = never
	}
}

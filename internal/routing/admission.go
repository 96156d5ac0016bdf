package routing

import (
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/millis"
)

// maxOpenRequests is the maximum number of requests that are open at once; the settings can only lower it.
const maxOpenRequests = 12000

// estimateTolerance is the factor by which a client's timeout may exceed the deadline of its class, and by
// which the client's estimates may exceed the capacity of the largest endpoint: estimates are rough, and
// some clients wait longer than the deadline of their class.
const estimateTolerance = 4

// Errors of ValidateEstimates. Their texts are sent to clients.
var (
	ErrDeadlineOutOfRange = errors.New("the time to wait is out of range")
	ErrWorkOutOfRange     = errors.New("the estimated work is out of range")
	ErrMemoryOutOfRange   = errors.New("the estimated memory is out of range")
)

// ValidateEstimates checks a query's time left and estimated work, in milliseconds, and its
// estimated memory, in MB, against its class's deadline and the largest endpoint. Values out of
// range must not reach an endpoint.
func (d *Dispatcher) ValidateEstimates(class int, timeLeft, work, memory float64) error {
	var maxCores, maxMemory float64
	for _, kind := range d.settings.Kinds {
		maxCores, maxMemory = max(maxCores, kind.Cores), max(maxMemory, kind.MemoryMB)
	}
	maxTimeLeft := estimateTolerance * d.settings.Classes[class].Deadline
	switch { // the conditions are negated so that NaN is out of range
	case !(timeLeft > 0 && timeLeft <= maxTimeLeft):
		return ErrDeadlineOutOfRange
	case !(work >= 0 && work <= maxTimeLeft*maxCores):
		return ErrWorkOutOfRange
	case !(memory >= 0 && (maxMemory == 0 || memory <= estimateTolerance*maxMemory)):
		return ErrMemoryOutOfRange
	}
	return nil
}

// Submit starts a request. The responder receives exactly one answer, unless Withdraw is called before. The memory of
// the statement is reserved here, before the request waits for the dispatcher's goroutine. Where there is none, the
// statement is dropped and the request rejected.
func (d *Dispatcher) Submit(query Query, responder Responder) Ticket {
	ticket := Ticket{
		requestID:  decide.RequestID(strconv.FormatUint(d.lastRequestNumber.Add(1), 36)),
		clientLeft: new(atomic.Bool),
	}
	var hasMemory bool
	if query.statementMemory, hasMemory = query.StatementOwner.Reserve(len(query.Statement)); !hasMemory {
		query.Statement = nil
	}
	query.tableGroup = TableGroup(string(query.Statement)) // takes long for a large statement, and needs no state
	d.openRequestCount.Add(1)
	d.lastSubmittedAt.Store(time.Now().UnixMilli())
	d.post(func() {
		d.Counters.countSubmitted(query.Class)
		d.admit(ticket, query, responder)
	})
	return ticket
}

// admit opens a request, makes it a follower of another one, or rejects it. It is called again for a
// follower whose leader ended without a result.
func (d *Dispatcher) admit(ticket Ticket, query Query, responder Responder) {
	r := &request{Ticket: ticket, query: query, responder: responder, priority: -1}
	if d.processEnding {
		answer := d.unservedAnswer(r, reasonProcessEnds)
		answer.RetryAfter = d.endingRetryAfter
		d.answer(r, answer)
		return
	}
	if len(d.requests) >= d.openRequestLimit || query.statementMemory == nil {
		d.answer(r, Answer{Kind: Rejected, RetryAfter: millis.Duration(d.settings.MaxRetryAfter), Reason: reasonTooManyOpen})
		return
	}
	// Endpoints identify a request by its call ID: two requests with one ID would receive each other's progress and result.
	if _, inUse := d.openCallIDs[query.CallID]; inUse {
		d.answer(r, Answer{Kind: Failed, Reason: reasonCallInUse})
		return
	}
	usesKeys := d.settings.Classes[query.Class].Idempotency == decide.IdempotentByKey
	isFollower, err := d.coalescer.join(r, usesKeys)
	if err != nil {
		d.answer(r, Answer{Kind: Failed, Reason: err.Error()})
		return
	}
	if isFollower { // an endpoint would drop the request as a duplicate; the request gets the result of its leader
		d.Counters.followers.Add(1)
		d.startFollowerTimer(r)
		return
	}
	d.open(r)
}

// open registers an admitted request and passes it to the balancer.
func (d *Dispatcher) open(r *request) {
	d.requests[r.requestID], d.openCallIDs[r.query.CallID] = r, struct{}{}
	timeLeft := time.Until(r.query.Deadline)
	d.log.Debug("request admitted", "call", r.query.CallID, "class", r.query.Class, "time_left_ms", timeLeft.Milliseconds(), "work_ms", r.query.EstimatedWork)
	d.startDeadlineTimer(r)
	d.handle(decide.RequestArrived{
		ID: r.requestID, Class: r.query.Class, Group: r.query.tableGroup,
		TimeLeft: float64(timeLeft.Microseconds()) / 1000, EstimatedWork: r.query.EstimatedWork,
		EstimatedMemoryMB: r.query.EstimatedMemoryMB, IsRetry: r.query.IsRetry, EarlierRun: d.runHistory.earlierRun(r.key(), millis.Now()),
	})
}

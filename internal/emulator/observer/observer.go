// Package observer checks a run against the rules of the protocol, and sums up its service and work. It is notified of what
// coordinators receive and do and of what engines and clients see. Simulations and rehearsals share it.
package observer

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"aniseloft/decide"
	"aniseloft/internal/emulator/scenario"
)

// Request is one request that a coordinator received. A client's retry is a new request.
type Request struct {
	Name            string
	Class           int
	Key             uint64
	Until           float64 // the client's deadline
	receivedAt      float64 // time at which the coordinator received the request
	closed          bool
	closedAt        float64     // time of the close; valid if closed
	closedBy        closeReason // reason of the close; valid if closed
	sentAt          []float64   // times at which the request's attempts were sent
	excused         bool        // the coordinator was paused or crashed, so the request's deadline does not count
	mayHaveRun      bool        // an attempt is in flight, or ended without proof that it never ran
	firstSentAt     float64     // time at which the first attempt was sent; +Inf: no attempt may have run
	inFlight        int         // number of attempts in flight
	sends           int         // number of attempts sent
	provenNotRun    int         // number of attempts that are known never to have run
	startsAtEngines int         // number of attempts that an engine has started
}

// closeReason is the reason why a request needs no further answer.
type closeReason string

// The reasons, as violations name them.
const (
	closedByAnswer     closeReason = "its answer"
	closedByDisconnect closeReason = "its client had left"
	closedByCrash      closeReason = "its coordinator had ended"
)

// ClientQuery is a client's query, over all its tries.
type ClientQuery struct {
	Class         int
	ArrivedAt     float64
	ObjectiveTime float64 // latest time at which an answer earns its full weight
	AbandonAt     float64 // time at which the client gives up
	earnedWeight  float64
	ended         bool // the query was served, or its client gave up
}

// Observer observes one run. It is not safe for concurrent use.
type Observer struct {
	scenario    *scenario.Scenario
	timeSlackMS float64
	violations  map[string]*RuleViolations
	notified    []map[decide.EndpointID]notification // latest notification about each engine, by coordinator
	keys        []map[uint64][]*Request              // requests of each key that are open or in flight, in order of arrival, by coordinator
	settledAt   []map[uint64]float64                 // time from which requests of a key may be sent after an unknown outcome, by coordinator
	received    [][]float64                          // times of received requests from the retry window on, by coordinator
	retries     [][]float64                          // times of retries from the retry window on, by coordinator
	classes     []classTotals
	windows     []windowTotals
	totals      Totals
	notes       []Note
	open        map[*Request]int     // coordinator of each request that is not closed
	unanswered  map[*Request]float64 // requests without an answer, with the time after the deadline at which the client left
}

// notification is the state of an engine that a coordinator was notified of, and the time.
type notification struct {
	state      decide.EndpointState
	notifiedAt float64
}

// Note is a line of the timeline.
type Note struct {
	AtMS float64 `json:"at_ms"`
	What string  `json:"what"`
}

// New returns an observer. ExtraMS is added to every time limit, for the delays of real sockets.
func New(s *scenario.Scenario, extraMS float64) *Observer {
	o := &Observer{scenario: s, timeSlackMS: extraMS, violations: map[string]*RuleViolations{}, open: map[*Request]int{}, unanswered: map[*Request]float64{}}
	for range s.Coordinators.Count {
		o.notified = append(o.notified, map[decide.EndpointID]notification{})
		o.keys = append(o.keys, map[uint64][]*Request{})
		o.settledAt = append(o.settledAt, map[uint64]float64{})
	}
	o.received, o.retries = make([][]float64, s.Coordinators.Count), make([][]float64, s.Coordinators.Count)
	o.classes = make([]classTotals, len(s.Classes))
	for i, c := range s.Classes {
		o.classes[i].latency = hdrhistogram.New(1, int64(c.DeadlineMS*4*1000), 3) // microseconds
	}
	o.windows = make([]windowTotals, int(math.Ceil(s.DurationMS/s.WindowMS)))
	return o
}

// Note adds a line to the timeline.
func (o *Observer) Note(at float64, format string, args ...any) {
	o.notes = append(o.notes, Note{round(at), fmt.Sprintf(format, args...)})
}

// Totals returns the counts of the run, to which the caller may add.
func (o *Observer) Totals() *Totals { return &o.totals }

// CoordinatorStarted records a coordinator's start. The new incarnation has no state of earlier ones.
func (o *Observer) CoordinatorStarted(coord int) {
	clear(o.notified[coord])
	clear(o.keys[coord])
	clear(o.settledAt[coord])
	o.received[coord], o.retries[coord] = nil, nil
}

// CoordinatorCrashed records a crash. The requests that the crash loses violate no rule.
func (o *Observer) CoordinatorCrashed(coord int) {
	for r, c := range o.open {
		if c == coord {
			r.closed, r.closedBy, r.excused = true, closedByCrash, true
			delete(o.open, r)
		}
	}
	o.CoordinatorStarted(coord)
}

// CoordinatorPaused records that a coordinator was paused from outside. The deadlines of its open requests no longer count.
func (o *Observer) CoordinatorPaused(coord int) {
	for r, c := range o.open {
		if c == coord {
			r.excused = true
		}
	}
}

// EndpointNotified records a watch event that reached a coordinator.
func (o *Observer) EndpointNotified(at float64, coord int, id decide.EndpointID, state decide.EndpointState) {
	if previous, ok := o.notified[coord][id]; !ok || previous.state != state {
		o.notified[coord][id] = notification{state, at}
	}
}

// KnowsEndpoint reports whether a coordinator was notified of an engine that is not removed.
func (o *Observer) KnowsEndpoint(coord int, id decide.EndpointID) bool {
	n, ok := o.notified[coord][id]
	return ok && n.state != decide.EndpointRemoved
}

// RequestReceived records a request that reached a running coordinator.
func (o *Observer) RequestReceived(at float64, coord int, r *Request) {
	r.receivedAt, r.firstSentAt = at, math.Inf(1)
	o.open[r] = coord
	o.received[coord] = append(o.received[coord], at)
	if o.scenario.Classes[r.Class].OrderedByKey {
		o.keys[coord][r.Key] = append(o.keys[coord][r.Key], r)
	}
}

// RequestAnswered records a final answer when the coordinator gives it.
func (o *Observer) RequestAnswered(at float64, coord int, r *Request, kind TryResult) {
	if r.closed {
		if !r.excused { // an excused request's coordinator crashed meanwhile, or was paused past the deadline
			o.Violate(RuleOneAnswer, at, "%s: answered twice", r.Name)
		}
		return
	}
	o.checkAnswer(at, r, kind)
	o.close(at, coord, r, closedByAnswer)
}

// AnswerReceived records a final answer when the client reads it; at is the time of its arrival. If the client reads
// late, ClientDisconnected may be called first. Then an answer that arrived before the client left still counts as the
// request's answer, and a later one is ignored.
func (o *Observer) AnswerReceived(at float64, coord int, r *Request, kind TryResult) {
	if r.closedBy != closedByDisconnect {
		o.RequestAnswered(at, coord, r, kind)
		return
	}
	if at > r.closedAt {
		return
	}
	delete(o.unanswered, r)
	o.checkAnswer(at, r, kind)
	r.sentAt = slices.DeleteFunc(r.sentAt, func(sentAt float64) bool { return sentAt >= r.closedAt+o.departureSlack(r) }) // these attempts are already violations
	r.closedAt, r.closedBy = at, closedByAnswer
	o.checkSentBeforeClose(r)
}

// checkAnswer checks the time of an answer, and that a rejected request that is not idempotent cannot have run.
func (o *Observer) checkAnswer(at float64, r *Request, kind TryResult) {
	if limit := o.answerLimit(r); at > limit && !r.excused {
		o.Violate(RuleOneAnswer, at, "%s: answered %.1f ms after its deadline", r.Name, at-r.Until)
	}
	c := o.scenario.Classes[r.Class]
	if kind == Rejected {
		o.totals.Rejections++
		if r.mayHaveRun && c.Idempotency == "once" {
			o.Violate(RuleNoDuplicateEffects, at, "%s: rejected a %s that may have run", r.Name, c.Name)
		}
	}
}

// answerLimit returns the latest time at which a request must be answered.
func (o *Observer) answerLimit(r *Request) float64 {
	return r.Until + o.scenario.Rules.AnswerSlackMS + o.timeSlackMS
}

// ClientDisconnected records that a client left. It violates a rule if the deadline had passed, unless an earlier answer is
// recorded later; Finish decides that.
func (o *Observer) ClientDisconnected(at float64, coord int, r *Request) {
	if at > o.answerLimit(r) && !r.excused && !r.closed {
		o.unanswered[r] = at
	}
	o.close(at, coord, r, closedByDisconnect)
}

// close records that a request needs no further answer, and checks the attempts recorded so far.
func (o *Observer) close(at float64, coord int, r *Request, by closeReason) {
	if !r.closed {
		r.closed, r.closedAt, r.closedBy = true, at, by
		o.checkSentBeforeClose(r)
	}
	delete(o.open, r)
	o.leaveKeyQueue(coord, r)
}

// checkSentBeforeClose checks that the recorded attempts of a closed request were sent before it was closed.
func (o *Observer) checkSentBeforeClose(r *Request) {
	for _, sentAt := range r.sentAt {
		if sentAt > r.closedAt+o.departureSlack(r) && !r.excused {
			o.violateSentAfterClose(sentAt, r)
		}
	}
}

// departureSlackMS is the documented time after a client's departure during which an attempt may still be sent on real
// sockets, because the close or cancellation has not reached the coordinator yet.
const departureSlackMS = 100.0

// departureSlack returns departureSlackMS for a client that left over a real socket, else 0.
func (o *Observer) departureSlack(r *Request) float64 {
	if r.closedBy == closedByDisconnect && o.timeSlackMS > 0 {
		return departureSlackMS
	}
	return 0
}

// violateSentAfterClose records that an attempt was sent after its request was closed.
func (o *Observer) violateSentAfterClose(sentAt float64, r *Request) {
	o.Violate(RuleOneAnswer, sentAt, "%s: sent %.3f ms after %s, at %.3f ms", r.Name, sentAt-r.closedAt, r.closedBy, r.closedAt)
}

// leaveKeyQueue removes a request from the queue of its key once it is closed and has no attempt in flight.
func (o *Observer) leaveKeyQueue(coord int, r *Request) {
	if queue := o.keys[coord][r.Key]; r.closed && r.inFlight == 0 && len(queue) > 0 {
		for i, q := range queue {
			if q == r {
				o.keys[coord][r.Key] = append(queue[:i:i], queue[i+1:]...)
				return
			}
		}
	}
}

// AttemptSent records an attempt; at is the time at which the attempt left its coordinator. Later events may have been
// recorded before.
func (o *Observer) AttemptSent(at float64, coord int, r *Request, id decide.EndpointID, zone int) {
	c := o.scenario.Classes[r.Class]
	o.totals.Attempts++
	if r.sends++; r.sends > 1 {
		o.totals.RetryAttempts++
		o.checkRetryBudget(at, coord, r)
	}
	r.sentAt = append(r.sentAt, at)
	if r.closed && !r.excused && at >= r.closedAt+o.departureSlack(r) {
		o.violateSentAfterClose(at, r)
	}
	if r.sends > o.scenario.Coordinators.MaxAttempts {
		o.Violate(RuleMaxAttempts, at, "%s: attempt %d", r.Name, r.sends)
	}
	if r.mayHaveRun && (c.Idempotency == "once" || c.Idempotency == "by_key" && at > r.firstSentAt+c.IdempotencyWindowMS) {
		o.Violate(RuleNoDuplicateEffects, at, "%s: retried a %s that may have run", r.Name, c.Name)
	}
	if r.inFlight > 0 && !o.scenario.Coordinators.HedgingAllowed {
		o.Violate(RuleNoDuplicateEffects, at, "%s: two attempts in flight at once", r.Name)
	}
	o.checkPlacement(at, coord, r, id, zone)
	o.checkKeyOrder(at, coord, r)
	if zone != o.scenario.ZoneOf(coord) {
		o.totals.CrossZone++
	}
	r.inFlight++
	r.mayHaveRun = true
	r.firstSentAt = min(r.firstSentAt, at)
}

// AttemptEnded records an attempt's outcome when its coordinator learns it.
func (o *Observer) AttemptEnded(at float64, coord int, r *Request, out decide.Outcome) {
	r.inFlight--
	switch out {
	case decide.OutcomeOverloaded, decide.OutcomeConnectFailed, decide.OutcomeNotSent:
		if r.provenNotRun++; r.provenNotRun == r.sends {
			r.mayHaveRun, r.firstSentAt = false, math.Inf(1)
		}
	case decide.OutcomeTimeout, decide.OutcomeReset, decide.OutcomeCancelled:
		if o.scenario.Classes[r.Class].OrderedByKey {
			o.settledAt[coord][r.Key] = at + o.scenario.Rules.OrderSettleMS
		}
	}
	o.leaveKeyQueue(coord, r)
}

// AttemptStarted records an attempt that starts at an engine.
func (o *Observer) AttemptStarted(at float64, r *Request) {
	if r.startsAtEngines++; r.startsAtEngines > 1 && o.scenario.Classes[r.Class].Idempotency == "once" {
		o.Violate(RuleRanOnce, at, "%s: a %s started %d times at engines", r.Name, o.scenario.Classes[r.Class].Name, r.startsAtEngines)
	}
}

// EngineOverloaded records an engine that failed of overload while it warmed up. NotifiedRatio is the part of the
// engine's load that came from coordinators that had been notified of its start.
func (o *Observer) EngineOverloaded(at float64, id decide.EndpointID, notifiedRatio float64) {
	o.totals.Overloaded++
	o.Note(at, "engine %d fails of overload", id)
	if notifiedRatio >= 2.0/3 {
		o.Violate(RuleSlowStart, at, "engine %d failed of overload while it warmed up", id)
	}
}

// Finish records a violation for each request that never got an answer, or whose client left without one after the
// deadline.
func (o *Observer) Finish(at float64) {
	o.finishUnanswered()
	var late int
	var first *Request
	for r := range o.open {
		if at > o.answerLimit(r) {
			late++
			if first == nil || r.receivedAt < first.receivedAt || r.receivedAt == first.receivedAt && r.Name < first.Name {
				first = r
			}
		}
	}
	for range late {
		o.Violate(RuleOneAnswer, at, "%s: never answered", first.Name)
	}
}

// finishUnanswered records a violation for each client that left without an answer after the deadline, in order of
// departure.
func (o *Observer) finishUnanswered() {
	requests := slices.SortedFunc(maps.Keys(o.unanswered), func(a, b *Request) int {
		return cmp.Or(cmp.Compare(o.unanswered[a], o.unanswered[b]), cmp.Compare(a.Name, b.Name))
	})
	for _, r := range requests {
		o.Violate(RuleOneAnswer, o.unanswered[r], "%s: not answered by its deadline", r.Name)
	}
	clear(o.unanswered)
}

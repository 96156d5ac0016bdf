package live

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"aniseloft/decide"
	"aniseloft/internal/emulator/engine"
	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/scenario"
	"aniseloft/internal/routing"
)

// finish ends a query with an HTTP status, unless the query has already ended.
func (q *engineQuery) finish(status int) {
	select {
	case <-q.ended:
	default:
		q.status = status
		close(q.ended)
	}
}

const (
	maxBodyBytes = 1 << 20
	maxPriority  = 3
)

// Paths of the engines' protocol.
const (
	queryPath  = "/data"
	gaugesPath = "/-/gauges"
	healthPath = "/alive"
)

// serve handles one request of the engines' protocol. A stalled or unresponsive engine answers once it resumes.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	var request *clientRequest
	if r.Method == http.MethodPost && r.URL.Path == queryPath {
		if request = e.sharedObserver.findRequest(r.Header.Get("Request-Id")); request == nil {
			request = e.unknownQuery(r.Header.Get("Kind"), string(body))
		}
		if request == nil || len(body) == 0 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		// The attempt counts as sent even while the process is stalled.
		sentAt := e.sentAt(r)
		e.observe(request, func(o *observer.Observer) {
			o.AttemptSent(sentAt, request.coordinator, request.observed, endpointID(e.endpoint), e.zone)
		})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.waitUntilResponsive() || r.Context().Err() != nil {
		panic(http.ErrAbortHandler) // the connection ends without an answer
	}
	e.advance()
	switch {
	case r.URL.Path == gaugesPath || r.URL.Path == healthPath:
		e.sharedObserver.with(func(o *observer.Observer) { o.Totals().Probes++ })
		w.Header().Set("Load-Report", e.loadReport())
	case request != nil:
		e.startQuery(w, r, request)
	default:
		e.serveQuery(w, r, string(body))
	}
}

// serveQuery handles an HTTP request about a query that the engine holds or has held. The caller holds mu.
func (e *Engine) serveQuery(w http.ResponseWriter, r *http.Request, body string) {
	path := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(path) < 2 || path[0] != "data" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	id := path[1]
	switch {
	case r.Method == http.MethodGet && len(path) == 3:
		e.longPoll(w, e.queries[id])
	case r.Method == http.MethodPut:
		e.prioritize(e.queries[id], body)
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodDelete:
		e.cancel(id)
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// prioritize sets a query's priority. It ignores a nil query and a body that is not a number.
func (e *Engine) prioritize(q *engineQuery, body string) {
	if q == nil {
		return
	}
	priority, err := strconv.Atoi(strings.TrimSpace(body))
	if err != nil {
		return
	}
	e.model.Prioritize(e.clock.Now(), q.job.ID, min(max(priority, 0), maxPriority))
	e.advance()
}

// cancel cancels a query and forgets it. The caller holds mu.
func (e *Engine) cancel(id string) {
	q := e.queries[id]
	if q == nil {
		return
	}
	e.model.Cancel(e.clock.Now(), q.job.ID)
	q.finish(http.StatusInternalServerError)
	e.attemptEnded(q, decide.OutcomeCancelled)
	delete(e.queries, id)
	e.advance()
}

// headerInt returns the integer in a header, or fallback if the header is missing or is not an integer.
func headerInt(r *http.Request, name string, fallback int64) int64 {
	if n, err := strconv.ParseInt(r.Header.Get(name), 10, 64); err == nil {
		return n
	}
	return fallback
}

// startQuery starts a query in the model and answers as longPoll does, or rejects it. The caller holds mu.
func (e *Engine) startQuery(w http.ResponseWriter, r *http.Request, request *clientRequest) {
	id, now := r.Header.Get("Request-Id"), e.clock.Now()
	if e.draining {
		e.rejectOverloaded(w, request, http.StatusServiceUnavailable)
		return
	}
	e.lastJobID++
	q := &engineQuery{request: request, ended: make(chan struct{}), polledAt: now, progressAt: now, job: engine.NewJob(e.scenario, request.query, e.meanWork(request.query.Class))}
	q.job.Work *= e.drawPlanMultiple(request.query.Class)
	q.job.ID, q.job.Coordinator, q.job.Owner = e.lastJobID, request.coordinator, q
	if q.job.Priority = 1; e.scenario.Engines.Priorities {
		q.job.Priority = int(min(max(headerInt(r, "X-Weight-Class", 1), 0), maxPriority))
	}
	if e.scenario.Engines.Grants {
		q.job.GrantMB = headerInt(r, "X-Reserve", 0)
	}
	q.job.Expires = now + float64(headerInt(r, "Timeout-Ms", int64(e.scenario.Classes[request.query.Class].DeadlineMS)))
	switch e.model.Start(now, q.job) {
	case engine.Rejected:
		e.rejectOverloaded(w, request, http.StatusServiceUnavailable)
		return
	case engine.Overloaded:
		e.sharedObserver.with(func(o *observer.Observer) {
			o.EngineOverloaded(now, endpointID(e.endpoint), e.model.NotifiedLoadRatio(func(coordinator int) bool { return o.KnowsEndpoint(coordinator, endpointID(e.endpoint)) }))
		})
		e.removed = true
		go e.terminate()
		panic(http.ErrAbortHandler)
	}
	e.observe(request, func(o *observer.Observer) { o.AttemptStarted(now, request.observed) })
	e.queries[id] = q
	e.advance()
	e.longPoll(w, q)
}

// loadReport encodes the engine's load report with the fields that the scenario selects.
func (e *Engine) loadReport() string {
	report := e.model.Report(e.clock.Now())
	values := map[string]float64{"inflight": report.InFlight, "queue": report.Queue, "util": report.Util, "x1": report.Disk, "x0": report.Memory}
	var parts []string
	for _, name := range e.scenario.Engines.ReportFields {
		parts = append(parts, fmt.Sprintf("%s:%.3f", name, values[name]))
	}
	return strings.Join(parts, ";")
}

// addProgress adds a progress report to a 202 answer when one is due. A query that spills reports its completed ratio and its
// missing memory in turn.
func (e *Engine) addProgress(w http.ResponseWriter, q *engineQuery) {
	interval, now := e.scenario.Engines.ProgressMS, e.clock.Now()
	if interval <= 0 || now-q.progressAt < interval {
		return
	}
	e.advance()
	progress, held := e.model.Progress(now, q.job.ID)
	if !held {
		return
	}
	q.progressAt += interval
	kind, value := "so_far", progress.Ratio
	switch {
	case progress.WaitReason > 0:
		kind, value = "waiting", float64(progress.WaitReason)
	case progress.MissingMB > 0 && q.spillReports < q.ratioReports:
		kind, value = "lacking", float64(progress.MissingMB)
		q.spillReports++
	default:
		q.ratioReports++
	}
	w.Header().Set("Outcome", kind)
	w.Header().Set("X-Num", strconv.FormatFloat(value, 'f', 3, 64))
}

// unknownQuery returns a request for a query that no client of the rehearsal sent, as when only engines are served. The
// query has the mean work and memory of its class. The request is nil if there is no such class.
func (e *Engine) unknownQuery(class, statement string) *clientRequest {
	for i, candidate := range e.scenario.Classes {
		if candidate.Name == class {
			return &clientRequest{query: scenario.Query{Class: i, DataSet: routing.TableGroup(statement), Work: e.meanWork(i), IORatio: (candidate.IORatio.Min + candidate.IORatio.Max) / 2, NeedMB: candidate.MemoryMB}}
		}
	}
	return nil
}

// observe calls f with the observer, but only if a client of the rehearsal sent the request.
func (e *Engine) observe(request *clientRequest, f func(o *observer.Observer)) {
	if request.observed != nil {
		e.sharedObserver.with(f)
	}
}

// attemptEnded notifies the observer of a query's end, the first time that it is called for the query.
func (e *Engine) attemptEnded(q *engineQuery, outcome decide.Outcome) {
	if q.reported {
		return
	}
	q.reported = true
	e.observe(q.request, func(o *observer.Observer) {
		o.AttemptEnded(e.clock.Now(), q.request.coordinator, q.request.observed, outcome)
	})
}

// rejectOverloaded answers with an HTTP status and the header that says that the query never ran.
func (e *Engine) rejectOverloaded(w http.ResponseWriter, request *clientRequest, status int) {
	e.observe(request, func(o *observer.Observer) {
		o.AttemptEnded(e.clock.Now(), request.coordinator, request.observed, decide.OutcomeOverloaded)
	})
	w.Header().Set("Never-Ran", "1")
	w.WriteHeader(status)
}

// longPoll answers once a query has ended, or with 202 after longPollTimeout. The caller holds mu; longPoll releases it while it
// waits.
func (e *Engine) longPoll(w http.ResponseWriter, q *engineQuery) {
	if q == nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	q.polledAt = e.clock.Now()
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), longPollTimeout)
	select {
	case <-q.ended:
	case <-ctx.Done():
	}
	cancel()
	e.mu.Lock()
	if !e.waitUntilResponsive() {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-q.ended:
	default:
		e.addProgress(w, q)
		w.WriteHeader(http.StatusAccepted)
		return
	}
	e.writeResult(w, q)
}

// writeResult answers a query that has ended. The caller holds mu.
func (e *Engine) writeResult(w http.ResponseWriter, q *engineQuery) {
	if e.scenario.Engines.Reports == scenario.ReportsInAnswers {
		w.Header().Set("Load-Report", e.loadReport())
	}
	switch q.status {
	case http.StatusOK:
		e.sharedObserver.mu.Lock()
		q.request.doneWork = q.job.Total()
		e.sharedObserver.mu.Unlock()
		q.polledAt = e.clock.Now()
		e.attemptEnded(q, decide.OutcomeSucceeded)
		w.Header().Set("X-Batches", "1")
		if e.scenario.Engines.ReportsCost {
			w.Header().Set("X-Spent", strconv.FormatFloat(q.request.query.Work, 'f', 3, 64))
			w.Header().Set("X-Wanted", strconv.FormatFloat(q.request.query.NeedMB, 'f', 1, 64))
		}
		_, _ = io.WriteString(w, resultRows)
	case http.StatusGatewayTimeout:
		q.reported = true
		e.rejectOverloaded(w, q.request, q.status)
	default:
		e.attemptEnded(q, decide.OutcomeError)
		w.WriteHeader(http.StatusInternalServerError)
	}
}

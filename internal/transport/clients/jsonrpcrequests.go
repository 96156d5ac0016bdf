package clients

import (
	"errors"
	"slices"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/drain"
	"aniseloft/internal/millis"
	"aniseloft/internal/protocol/jsonrpc"
	"aniseloft/internal/routing"
)

// responder answers one open request. It implements routing.Responder.
type responder struct {
	conn   *jsonrpcConn
	id     string
	ticket routing.Ticket // identifies the request at the dispatcher
}

// handle handles one message.
func (j *jsonrpcConn) handle(msg jsonrpc.Message, receivedAt time.Time) {
	switch msg := msg.(type) {
	case jsonrpc.Request:
		if !j.rejectIDInUse(msg.ID) {
			j.request(msg, receivedAt)
		}
	case jsonrpc.HealthCheck:
		if !j.rejectIDInUse(msg.ID) {
			j.send(jsonrpc.EncodeHealth(msg.ID, j.server.Drain.Ready()))
		}
	case jsonrpc.Discarded:
		if !j.rejectIDInUse(msg.ID) {
			j.send(j.errorAnswer(msg.ID, errInputMemoryInUse))
		}
	case jsonrpc.Invalid:
		if !j.rejectIDInUse(msg.ID) {
			j.reject(msg.Response)
		}
	}
}

// reject answers a message that is rejected, which pauses the handling of the connection's messages.
func (j *jsonrpcConn) reject(answer []byte) {
	j.rejectedSincePause = true
	j.send(answer)
}

// rejectIDInUse reports whether a message has the id of an open request. If it has, the client could not
// tell which of the two an answer belongs to, so the open request is cancelled and a single error is sent
// for the id.
func (j *jsonrpcConn) rejectIDInUse(id string) bool {
	r := j.takeOpen(id)
	if r == nil {
		return false
	}
	j.server.Dispatcher.Withdraw(r.ticket)
	j.reject(j.errorAnswer(id, errIDInUse))
	return true
}

// takeOpen removes the open request with an id and returns it; nil where there is none.
func (j *jsonrpcConn) takeOpen(id string) *responder {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.removeOpen(id)
}

// removeOpen does the same as takeOpen. The caller holds j.mu.
func (j *jsonrpcConn) removeOpen(id string) *responder {
	r := j.openRequests[id]
	if r != nil {
		delete(j.openRequests, id)
		j.conn.EndRequest()
	}
	return r
}

// request submits a request, or rejects it.
func (j *jsonrpcConn) request(m jsonrpc.Request, receivedAt time.Time) {
	classIndex, err := j.server.admit(m, receivedAt)
	if errors.Is(err, errDraining) {
		j.conn.CountDrainRejection()
		j.send(j.errorAnswer(m.ID, err))
		return
	}
	if err != nil {
		j.reject(j.errorAnswer(m.ID, err))
		return
	}
	r, err := j.registerRequest(m.ID)
	if err != nil {
		j.reject(j.errorAnswer(m.ID, err))
		return
	}
	if r == nil {
		return
	}
	r.ticket = j.server.Dispatcher.Submit(routing.Query{CallID: m.CallID, Class: classIndex, Statement: m.Statement,
		Deadline: receivedAt.Add(millis.Duration(m.TimeoutMS)), EstimatedWork: m.EstimatedWorkMS, EstimatedMemoryMB: m.EstimatedMemoryMB,
		IdempotencyKey: m.IdempotencyKey, IsRetry: m.IsRetry, StatementOwner: j.statements}, r)
}

// admit checks a request and returns the index of its class.
func (s *JSONRPCServer) admit(m jsonrpc.Request, receivedAt time.Time) (int, error) {
	classIndex, class, err := findClass(s.Dispatcher, m.Method)
	if err != nil {
		return 0, err
	}
	if err := s.Dispatcher.ValidateEstimates(classIndex, m.TimeoutMS, m.EstimatedWorkMS, m.EstimatedMemoryMB); err != nil {
		return 0, invalidEstimateError{err}
	}
	if class.Idempotency == decide.IdempotentByKey && m.IdempotencyKey == "" {
		return 0, errKeyRequired
	}
	if !s.Drain.admits(receivedAt, m.EstimatedWorkMS, class) {
		return 0, errDraining
	}
	return classIndex, nil
}

// registerRequest registers an open request. It returns nil where the connection is being closed; the
// request must then be dropped.
func (j *jsonrpcConn) registerRequest(id string) (*responder, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.openRequests) >= maxOpenPerConnection {
		return nil, errTooManyOpen
	}
	if !j.conn.BeginRequest() {
		return nil, nil
	}
	r := &responder{conn: j, id: id}
	j.openRequests[id] = r
	return r, nil
}

// cancel withdraws the open request with an id, and removes unhandled requests with it from the latest
// batch, which is still being read, and from the pending batches.
func (j *jsonrpcConn) cancel(id string, latestBatch *batch) {
	if r := j.takeOpen(id); r != nil {
		j.server.Dispatcher.Withdraw(r.ticket)
	}
	latestBatch.removeRequests(id)
	for i := range j.pendingBatches {
		j.conn.AddUnhandled(-j.pendingBatches[i].removeRequests(id))
	}
}

// removeRequests removes the requests with an id from the batch and returns their number.
func (b *batch) removeRequests(id string) int {
	countBefore := len(b.messages)
	b.messages = slices.DeleteFunc(b.messages, func(msg jsonrpc.Message) bool {
		r, ok := msg.(jsonrpc.Request)
		return ok && r.ID == id
	})
	return countBefore - len(b.messages)
}

// cancelAll withdraws the open requests when the connection ends, as no client waits for them, and
// closes the queue of answers.
func (j *jsonrpcConn) cancelAll() {
	j.mu.Lock()
	openRequests := j.openRequests
	j.openRequests = map[string]*responder{}
	if !j.answersClosed {
		j.answersClosed = true
		close(j.answers)
	}
	j.mu.Unlock()
	for _, r := range openRequests {
		j.server.Dispatcher.Withdraw(r.ticket)
	}
}

// Respond queues the final answer. It runs on the dispatcher's goroutine.
func (r *responder) Respond(a routing.Answer) {
	encodedAnswer := jsonrpcAnswer(r.id, a)
	j := r.conn
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.openRequests[r.id] != r { // cancelled, or the client has disconnected
		return
	}
	j.removeOpen(r.id)
	j.queue(encodedAnswer)
	if len(j.openRequests) == 0 && j.server.Drain.draining() {
		j.conn.WakeReader() // the reader closes the connection
	}
}

// jsonrpcAnswer encodes the dispatcher's answer.
func jsonrpcAnswer(id string, a routing.Answer) []byte {
	switch a.Kind {
	case routing.Succeeded:
		return jsonrpc.EncodeResult(id, a.Body)
	case routing.Rejected:
		return jsonrpc.EncodeRejection(id, a.Reason, float64(a.RetryAfter.Milliseconds()))
	}
	return jsonrpc.EncodeError(id, jsonrpc.CodeFailed, a.Reason)
}

// errorAnswer encodes the answer to a request that the server rejects without the dispatcher.
func (j *jsonrpcConn) errorAnswer(id string, err error) []byte {
	var invalid invalidEstimateError
	switch {
	case errors.Is(err, errUnknownClass):
		return jsonrpc.EncodeError(id, jsonrpc.CodeMethodNotFound, "method not found")
	case errors.As(err, &invalid):
		return jsonrpc.EncodeError(id, jsonrpc.CodeInvalidParams, "invalid params: "+invalid.Error())
	case errors.Is(err, errKeyRequired):
		return jsonrpc.EncodeError(id, jsonrpc.CodeInvalidParams, "invalid params: dedupe is needed: engines drop repeats of this class by it")
	case errors.Is(err, errIDInUse):
		return jsonrpc.EncodeError(id, jsonrpc.CodeInvalidRequest, "invalid request: the id is in use")
	case errors.Is(err, errDraining):
		return jsonrpc.EncodeRejection(id, "this coordinator is sending its clients away", float64(drain.RetryAfter.Milliseconds()))
	case errors.Is(err, errInputMemoryInUse):
		return jsonrpc.EncodeRejection(id, "no memory for a message of this size", j.server.Dispatcher.Settings().MaxRetryAfter)
	case errors.Is(err, errTooManyOpen):
		return jsonrpc.EncodeRejection(id, "too many open requests on this connection", j.server.Dispatcher.Settings().MaxRetryAfter)
	}
	return jsonrpc.EncodeError(id, jsonrpc.CodeFailed, err.Error())
}

// Package engine implements the platform's protocol towards engines: Query is a state machine for one query, and other
// functions encode the requests to cancel, reprioritize and probe. It does no I/O: parsers are fed bytes.
package engine

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"unicode/utf8"

	"aniseloft/internal/protocol/httpmsg"
)

// Limits of the protocol.
const (
	MaxResultBytes = 48000    // size of all pages of a result
	maxPageBytes   = 6000     // size of one page of a result
	maxPages       = 4096     // number of pages of a result
	maxBodyBytes   = 16 << 10 // body of any response: a page, or a line of text
	columnCount    = 3        // per row
)

// Errors of a query's connection.
var (
	// ErrCorruptResponse is returned for a response that violates the protocol. It says nothing about the state of the
	// query: EncodeResume repeats the request.
	ErrCorruptResponse = errors.New("engine: corrupt response")
	errAfterEnd        = errors.New("engine: data received after the end of the query")
)

// Outcome is how a query ended.
type Outcome int

// Outcomes of a query.
const (
	OutcomeSucceeded  Outcome = iota + 1
	OutcomeFailed             // the query may have run
	OutcomeOverloaded         // the query never ran: the engine is overloaded
	OutcomeExpired            // the query never ran: its timeout passed before it started
	OutcomeAnswerLost         // the query may have run: its connection was lost, and the engine does not know the query
)

// StartRequest holds the parameters of a query to be started.
type StartRequest struct {
	CallID, Class  string
	Statement      []byte
	TimeoutMS      int64
	GrantMB        int64  // memory granted to the query, in MB; 0: not sent
	Priority       int    // -1: not sent, the engine chooses it
	IdempotencyKey string // empty: none
	// PreviousResult is the digest of the result read last on the connection on which the query is to be started; 0: none.
	PreviousResult ResultDigest
}

// Result is the outcome of a query, with the data received for it.
type Result struct {
	Outcome        Outcome
	Body           []byte
	ActualWorkMS   float64 // work of the query in ms on one core; 0: not reported
	ActualMemoryMB float64 // memory used by the query in MB; 0: not reported
	LoadReport     string  // see ParseLoadReport
	Reason         string
}

// Step tells the caller what to do after bytes from the engine.
type Step struct {
	Send               []byte    // request to be written next on this connection
	Result             *Result   // set when the query has ended
	KeepConnection     bool      // set with Result: the connection can carry another request
	SyncCall           []byte    // with KeepConnection: to be written first; the connection must not be used until it is answered, see IsSyncAnswer
	NeedsNewConnection bool      // the request of EncodeResume is to be sent on a new connection
	Progress           *Progress // progress of a query that is still running
	InvalidProgress    bool      // the response had a progress that cannot be used
}

type state int

const (
	stateStarting state = iota // the engine has not responded yet
	stateRunning               // the engine has acknowledged the query, or the query was resumed on a new connection
	statePaging                // at least one page received
	stateEnded
)

// Query is one query at one engine. It is not safe for concurrent use.
type Query struct {
	host         string
	start        StartRequest
	state        state
	parser       *httpmsg.Parser
	acknowledged bool         // the engine has responded that the query runs
	answerDue    bool         // an answer may still be due on the connection, see accept
	pageCount    int          // number of pages of the result
	nextPage     int          // number of the page to request next
	digest       ResultDigest // 0 until the first page
	result       Result       // the result as received so far
}

// NewQuery returns a query that has not been sent.
func NewQuery(host string, s StartRequest) *Query {
	return &Query{host: host, start: s, parser: httpmsg.NewResponseParser(maxBodyBytes)}
}

// EncodeStart returns the request that starts the query.
func (q *Query) EncodeStart() []byte {
	fields := []httpmsg.HeaderField{
		{Name: headerCallID, Value: q.start.CallID},
		{Name: headerClass, Value: q.start.Class},
		{Name: headerTimeoutMS, Value: strconv.FormatInt(q.start.TimeoutMS, 10)},
	}
	if q.start.GrantMB > 0 {
		fields = append(fields, httpmsg.HeaderField{Name: headerGrantMB, Value: strconv.FormatInt(q.start.GrantMB, 10)})
	}
	if q.start.Priority >= 0 {
		fields = append(fields, httpmsg.HeaderField{Name: headerPriority, Value: strconv.Itoa(q.start.Priority)})
	}
	if q.start.IdempotencyKey != "" {
		fields = append(fields, httpmsg.HeaderField{Name: headerIdempotencyKey, Value: q.start.IdempotencyKey})
	}
	return httpmsg.AppendRequest(nil, "POST", "/data", q.host, fields, q.start.Statement)
}

// EncodeResume returns the request that repeats the last one on a new connection. This is safe: a query is
// not bound to a connection, and a request for a page starts nothing.
func (q *Query) EncodeResume() []byte {
	q.parser, q.answerDue = httpmsg.NewResponseParser(maxBodyBytes), false
	q.start.PreviousResult = 0
	if q.state == stateStarting {
		q.state = stateRunning
	}
	return q.encodePageRequest()
}

func (q *Query) encodePageRequest() []byte {
	target := "/data/" + q.start.CallID + "/" + strconv.Itoa(q.nextPage)
	return httpmsg.AppendRequest(nil, "GET", target, q.host, nil, nil)
}

// Feed takes bytes from the engine. An empty step means that more bytes are needed. After an error EncodeResume can
// repeat the request.
func (q *Query) Feed(b []byte) (Step, error) {
	if q.state == stateEnded {
		return Step{}, errAfterEnd
	}
	q.parser.Feed(b)
	m, err := q.parser.Next()
	if err != nil || m == nil {
		return Step{}, err
	}
	// Bytes after a response, such as a second copy of it, would be parsed as the next one.
	reusable := !m.Close && q.parser.Idle()
	result, err := q.handleResponse(m, q.parser.Buffered())
	if err != nil {
		return Step{}, err
	}
	if result != nil {
		q.state = stateEnded
		return q.lastStep(result, reusable), nil
	}
	step := Step{NeedsNewConnection: !reusable}
	if reusable {
		step.Send = q.encodePageRequest()
	}
	if m.Status == 202 {
		step.Progress, step.InvalidProgress = parseProgress(m)
	}
	return step, nil
}

// lastStep returns the step that ends the query. Without rows, a duplicate of the end could not be told from the end of the
// next query, so the connection is kept only after a result.
func (q *Query) lastStep(result *Result, reusable bool) Step {
	step := Step{Result: result, KeepConnection: reusable && result.Outcome == OutcomeSucceeded}
	if step.KeepConnection && q.answerDue {
		step.SyncCall = q.encodeSync()
	}
	return step
}

// handleResponse handles a complete response and the bytes received after it. The result is nil while the query runs or
// there are more pages to request.
func (q *Query) handleResponse(m *httpmsg.Message, trailing []byte) (*Result, error) {
	if q.state == statePaging {
		return q.handlePage(m, trailing)
	}
	q.result.LoadReport = m.Header.Get(headerLoadReport)
	neverRan := m.Header.Get(headerNeverRan) == "1"
	switch {
	case m.Status == 202:
		q.accept()
		return nil, nil
	case m.Status == 200:
		return q.handleFirstPage(m, trailing)
	case m.Status == 500 && q.state == stateRunning && !q.acknowledged:
		return q.end(OutcomeAnswerLost, "unknown to the engine after the connection was lost"), nil
	case m.Status == 500:
		return q.end(OutcomeFailed, "status 500"), nil
	case m.Status == 503 && neverRan:
		return q.end(OutcomeOverloaded, "engine overloaded"), nil
	case m.Status == 504 && neverRan:
		return q.end(OutcomeExpired, "time was up before the start"), nil
	}
	return nil, fmt.Errorf("%w: status %d", ErrCorruptResponse, m.Status)
}

// accept handles the answer that the query runs. All such answers are alike, so a duplicate of one would be taken for the
// answer to the next poll. The poll would then be repeated, and its answer would be due on the connection after the end.
func (q *Query) accept() {
	q.state, q.acknowledged, q.answerDue = stateRunning, true, true
}

func (q *Query) handleFirstPage(m *httpmsg.Message, trailing []byte) (*Result, error) {
	pageCount, err := strconv.Atoi(strings.TrimSpace(m.Header.Get(headerPageCount)))
	if err != nil || pageCount < 0 || pageCount > maxPages {
		return nil, fmt.Errorf("%w: invalid number of pages", ErrCorruptResponse)
	}
	if q.digest = digestResult(m); q.digest == q.start.PreviousResult {
		return nil, fmt.Errorf("%w: a duplicate of the previous query's result", ErrCorruptResponse)
	}
	q.result.ActualWorkMS = parseNumber(m, headerWorkMS)
	q.result.ActualMemoryMB = parseNumber(m, headerMemoryMB)
	q.pageCount = pageCount
	return q.appendPage(m, trailing)
}

// handlePage checks that a page is the requested one: a page out of order would produce a wrong result.
func (q *Query) handlePage(m *httpmsg.Message, trailing []byte) (*Result, error) {
	if m.Status == 500 {
		return q.end(OutcomeFailed, fmt.Sprintf("page %d lost", q.nextPage)), nil
	}
	if m.Status != 200 || strings.TrimSpace(m.Header.Get(headerPageNumber)) != strconv.Itoa(q.nextPage) {
		return nil, fmt.Errorf("%w: not page %d", ErrCorruptResponse, q.nextPage)
	}
	q.answerDue = false // only the latest call asked for this page, and answers come in the order of the calls
	return q.appendPage(m, trailing)
}

func (q *Query) appendPage(m *httpmsg.Message, trailing []byte) (*Result, error) {
	if err := checkPage(m.Body); err != nil {
		return nil, err
	}
	if firstRow, _, _ := bytes.Cut(trailing, []byte("\n")); IsRow(firstRow) {
		return nil, fmt.Errorf("%w: body longer than its Content-Length", ErrCorruptResponse)
	}
	if len(q.result.Body)+len(m.Body) > MaxResultBytes {
		return q.end(OutcomeFailed, "result too large"), nil
	}
	q.state = statePaging
	if q.result.Body == nil {
		q.result.Body = make([]byte, 0, min(len(m.Body)*max(q.pageCount, 1), MaxResultBytes))
	}
	q.result.Body = append(q.result.Body, m.Body...)
	q.nextPage++
	if q.nextPage < q.pageCount {
		return nil, nil
	}
	return q.end(OutcomeSucceeded, ""), nil
}

// checkPage checks that a page consists of complete rows: corrupt bytes that are passed on would produce a wrong
// result.
func checkPage(page []byte) error {
	if len(page) > maxPageBytes || len(page) > 0 && page[len(page)-1] != '\n' || !isText(page) {
		return fmt.Errorf("%w: incomplete page or not text", ErrCorruptResponse)
	}
	for row := range bytes.Lines(page) {
		if bytes.Count(row, tab) != columnCount-1 {
			return fmt.Errorf("%w: wrong number of columns", ErrCorruptResponse)
		}
	}
	return nil
}

var tab = []byte("\t")

func isText(b []byte) bool { return bytes.IndexByte(b, 0) < 0 && utf8.Valid(b) }

// IsRow reports whether text is one row of a result, without its line feed.
func IsRow(b []byte) bool {
	return bytes.Count(b, tab) == columnCount-1 && bytes.IndexByte(b, '\n') < 0 && isText(b)
}

func (q *Query) end(o Outcome, reason string) *Result {
	q.result.Outcome, q.result.Reason = o, reason
	return &q.result
}

// parseNumber parses a numeric header. It returns 0, which means not reported, unless the value is finite and at least
// 0.
func parseNumber(m *httpmsg.Message, name string) float64 {
	v, err := strconv.ParseFloat(strings.TrimSpace(m.Header.Get(name)), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return 0
	}
	return v
}

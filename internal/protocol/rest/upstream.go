package rest

import (
	"cmp"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"aniseloft/internal/protocol/engine"
	"aniseloft/internal/protocol/httpmsg"
)

var (
	// errCorruptResponse is returned for a response that violates the protocol. EncodeResume repeats the request,
	// unless that request was the start of the query.
	errCorruptResponse = errors.New("rest: corrupt response")
	errInvalidNextURI  = errors.New("invalid next URI")
	// errPreviousQuery is returned for a duplicate of the end of the query before on the connection. The response to this
	// query follows it.
	errPreviousQuery = errors.New("rest: response to the previous query")
)

// maxResponses bounds the responses to one query: an engine must not keep a query open forever.
const maxResponses = 1 << 16

// Outcome is how a query at an engine ended.
type Outcome int

// Outcomes of a query.
const (
	OutcomeSucceeded  Outcome = iota + 1
	OutcomeFailed             // the query may have run
	OutcomeOverloaded         // the query never ran: the engine is overloaded
)

// StartRequest holds the parameters of a query to be started.
type StartRequest struct {
	CallID, Class, User string
	Statement           []byte
	IdempotencyKey      string        // empty: CallID is used instead
	Timeout             time.Duration // maximum run time of the query at the engine
	PreviousID          string        // ID of the latest query on the connection on which this one is to be started; empty: none
	// Stream makes Feed return the rows of each page in a Step and keep none of them; the size of the result is
	// then unlimited.
	Stream bool
}

// Result is the outcome of a query, with its rows as text.
type Result struct {
	Outcome        Outcome
	Body           []byte
	ActualWorkMS   float64 // CPU time of the query in ms; 0: not reported
	ActualMemoryMB float64 // peak memory of the query in MB; 0: not reported
	Reason         string
}

// Step tells the caller what to do after bytes from the engine.
type Step struct {
	Send               []byte  // request to be written next on this connection
	Result             *Result // set when the query has ended
	Page               []byte  // rows of a stream, also with a Result; to be stored before the rest of the step is carried out
	KeepConnection     bool    // set with Result: the connection can carry another query
	NeedsNewConnection bool    // the request of EncodeResume is to be sent on a new connection
}

// UpstreamQuery is one query at an engine that speaks this protocol. It is not safe for concurrent use.
type UpstreamQuery struct {
	host          string
	start         StartRequest
	parser        *httpmsg.Parser
	id            string              // the engine's ID of the query; empty until the first response
	nextPath      string              // path of the last page request; empty until the first response
	requested     map[uint64]struct{} // hashes of all paths requested so far
	answerDue     bool                // an answer may still be due on the connection, see advance
	responseCount int                 // number of responses with a next URI
	body          []byte              // rows received so far; empty for a stream
	latestPage    []byte              // rows of the latest page of a stream, for the Step that Feed returns
	workMS        float64             // largest CPU time reported so far
	memoryMB      float64             // largest peak memory reported so far
}

// NewUpstreamQuery returns a query that has not been sent.
func NewUpstreamQuery(host string, s StartRequest) *UpstreamQuery {
	return &UpstreamQuery{host: host, start: s, parser: httpmsg.NewResponseParser(httpmsg.MaxBodyBytes), requested: map[uint64]struct{}{}}
}

// ID returns the engine's ID of the query, or an empty string if no response has named it.
func (q *UpstreamQuery) ID() string { return q.id }

// EncodeStart returns the request that starts the query.
func (q *UpstreamQuery) EncodeStart() []byte {
	timeoutMS := max(q.start.Timeout.Milliseconds(), 1)
	return httpmsg.AppendRequest(nil, "POST", "/v1/statement", q.host, []httpmsg.HeaderField{
		{Name: headerUser, Value: q.start.User},
		{Name: headerSource, Value: q.start.Class},
		{Name: headerTraceToken, Value: q.start.CallID},
		{Name: headerSession, Value: "query_max_run_time=" + strconv.FormatInt(timeoutMS, 10) + "ms"},
		{Name: HeaderIdempotencyKey, Value: cmp.Or(q.start.IdempotencyKey, q.start.CallID)},
	}, q.start.Statement)
}

// EncodeResume returns the request that repeats the last one on a new connection. It returns nil if the engine has not
// responded yet: the last request is then the start of the query, which is never sent twice.
func (q *UpstreamQuery) EncodeResume() []byte {
	if q.nextPath == "" {
		return nil
	}
	q.parser, q.answerDue = httpmsg.NewResponseParser(httpmsg.MaxBodyBytes), false
	return q.encodeNext()
}

func (q *UpstreamQuery) encodeNext() []byte {
	return httpmsg.AppendRequest(nil, "GET", q.nextPath, q.host, nil, nil)
}

// EncodeCancel returns the request that cancels the query, or nil if the engine has not sent the address of the query
// yet.
func (q *UpstreamQuery) EncodeCancel() []byte {
	if q.nextPath == "" {
		return nil
	}
	return httpmsg.AppendRequest(nil, "DELETE", q.nextPath, q.host, nil, nil)
}

// EncodeProbe returns the request that asks an engine whether it accepts queries.
func EncodeProbe(host string) []byte {
	return httpmsg.AppendRequest(nil, "GET", "/v1/info", host, nil, nil)
}

// Feed takes bytes from the engine. An empty step means that more bytes are needed. After an error EncodeResume
// may be able to repeat the request.
func (q *UpstreamQuery) Feed(b []byte) (Step, error) {
	q.parser.Feed(b)
	m, err := q.parser.Next()
	if err != nil || m == nil {
		return Step{}, err
	}
	// Bytes after a response would be parsed as the start of the next one.
	reusable := !m.Close && q.parser.Idle()
	q.latestPage = nil
	result, err := q.handleResponse(m)
	switch {
	case errors.Is(err, errPreviousQuery):
		q.answerDue = true
		return q.Feed(nil)
	case err != nil:
		return Step{}, err
	case result != nil:
		// Other ends may not name the query, or name it as its next attempt here: a duplicate could not be told from that one's.
		keepConnection := reusable && !q.answerDue && result.Outcome == OutcomeSucceeded
		return Step{Result: result, Page: q.latestPage, KeepConnection: keepConnection}, nil
	case !reusable:
		return Step{NeedsNewConnection: true, Page: q.latestPage}, nil
	}
	return Step{Send: q.encodeNext(), Page: q.latestPage}, nil
}

// upstreamResults is the part of a response that is read. Values of rows may be of any JSON type.
type upstreamResults struct {
	ID      string      `json:"id"`
	NextURI string      `json:"nextUri"`
	Data    [][]any     `json:"data"`
	Error   *QueryError `json:"error"`
	Stats   struct {
		WorkMS      float64 `json:"cpuTimeMillis"`
		MemoryBytes float64 `json:"peakMemoryBytes"`
	} `json:"stats"`
}

// handleResponse handles a complete response. The result is nil while there are more pages to request.
func (q *UpstreamQuery) handleResponse(m *httpmsg.Message) (*Result, error) {
	switch {
	case q.nextPath == "" && (m.Status == 429 || m.Header.Get("Never-Ran") == "1"):
		return q.end(OutcomeOverloaded, fmt.Sprintf("status %d", m.Status)), nil
	case m.Status != 200:
		return q.end(OutcomeFailed, fmt.Sprintf("status %d", m.Status)), nil
	}
	var r upstreamResults
	if err := codec.Unmarshal(m.Body, &r); err != nil || r.ID == "" {
		return nil, fmt.Errorf("%w: invalid JSON or no query id", errCorruptResponse)
	}
	if q.id == "" && r.ID == q.start.PreviousID {
		return nil, errPreviousQuery
	}
	if q.id = cmp.Or(q.id, r.ID); r.ID != q.id {
		return nil, fmt.Errorf("%w: the response to another query", errCorruptResponse)
	}
	if r.Error != nil {
		if r.Error.ErrorName == ErrorRejected.ErrorName {
			return q.end(OutcomeOverloaded, r.Error.ErrorName), nil
		}
		return q.end(OutcomeFailed, r.Error.ErrorName), nil
	}
	return q.handlePage(&r)
}

func (q *UpstreamQuery) handlePage(r *upstreamResults) (*Result, error) {
	nextPath, err := pathOf(r.NextURI)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCorruptResponse, err)
	}
	if err := q.advance(nextPath, len(r.Data) > 0); err != nil {
		return nil, err
	}
	page, ok := encodeRows(r.Data)
	if !ok {
		return q.end(OutcomeFailed, "a value cannot be encoded in a row of text"), nil
	}
	if !q.start.Stream && len(q.body)+len(page) > engine.MaxResultBytes {
		return q.end(OutcomeFailed, "result too large"), nil
	}
	q.workMS = max(q.workMS, r.Stats.WorkMS)
	q.memoryMB = max(q.memoryMB, r.Stats.MemoryBytes/(1<<20))
	if q.start.Stream {
		q.latestPage = page
	} else {
		q.body = append(q.body, page...)
	}
	if nextPath == "" {
		return q.end(OutcomeSucceeded, ""), nil
	}
	q.responseCount++
	if q.responseCount > maxResponses {
		return q.end(OutcomeFailed, "too many pages"), nil
	}
	return nil, nil
}

// advance sets the path to request next, which is empty after the last page. A response must name a new path: one that names
// a path requested earlier is a duplicate of the response that first named it, and its rows have been received. Only a
// response without rows may name the path that was just requested, as the page may not be there yet. It looks like a
// duplicate all the same, after which one more response than the query needs would be due on the connection.
func (q *UpstreamQuery) advance(nextPath string, hasRows bool) error {
	if nextPath == q.nextPath && nextPath != "" && !hasRows {
		q.answerDue = true
		return nil
	}
	if _, requested := q.requested[xxhash.Sum64String(nextPath)]; requested {
		return fmt.Errorf("%w: a duplicate of the response that named %s", errCorruptResponse, nextPath)
	}
	if nextPath != "" {
		q.requested[xxhash.Sum64String(nextPath)] = struct{}{}
	}
	q.nextPath = nextPath
	return nil
}

func (q *UpstreamQuery) end(o Outcome, reason string) *Result {
	return &Result{o, q.body, q.workMS, q.memoryMB, reason}
}

// encodeRows encodes rows as the platform's lines of text. ok is false if a value would break its row, such as a value
// with a tab.
func encodeRows(rows [][]any) (page []byte, ok bool) {
	for _, row := range rows {
		rowStart := len(page)
		for i, value := range row {
			if i > 0 {
				page = append(page, '\t')
			}
			switch v := value.(type) {
			case nil:
			case string:
				page = append(page, v...)
			default:
				page = fmt.Append(page, v)
			}
		}
		if !engine.IsRow(page[rowStart:]) {
			return nil, false
		}
		page = append(page, '\n')
	}
	return page, true
}

// pathOf returns the path and query of an engine's next URI. The host is ignored, so that an engine cannot direct
// the coordinator to another address. The path is empty if there is no next URI.
func pathOf(uri string) (string, error) {
	if uri == "" {
		return "", nil
	}
	u, err := url.Parse(uri)
	if err != nil || !strings.HasPrefix(u.EscapedPath(), "/v1/statement/") {
		return "", errInvalidNextURI
	}
	return u.RequestURI(), nil
}

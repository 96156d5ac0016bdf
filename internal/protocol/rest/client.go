package rest

import (
	"cmp"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"aniseloft/internal/protocol/engine"
	"aniseloft/internal/protocol/httpmsg"
)

// errSpoilt says that an answer is not one of the protocol: Resume asks for it again.
var errSpoilt = errors.New("rest: spoilt answer")

// End is how a query at an engine ended.
type End int

const (
	Served   End = iota + 1
	Errored      // it may have run
	Full         // it never ran
	maxSteps = 1 << 16
)

// Start is what a query is started with.
type Start struct {
	Call, Class, User string
	Statement         []byte
	Key               string // the client's idempotency key; empty: the call's name stands in
	Timeout           time.Duration
	// Stream hands each page on as it comes; no result is then too large, and none is held.
	Stream bool
}

// Outcome is the end of a query with its rows as text.
type Outcome struct {
	End      End
	Body     []byte
	Work     float64 // ms of CPU; 0: not told
	MemoryMB float64
	Why      string
}

// Query is one query at an engine that speaks this protocol.
type Query struct {
	host  string
	start Start
	http  *httpmsg.Machine
	next  string // the path asked for last; empty until the first answer
	steps int
	body  []byte
	page  []byte // of a stream: rows that the next step hands on
	work  float64
	mem   float64
}

// NewQuery returns a query that has not begun.
func NewQuery(host string, s Start) *Query {
	return &Query{host: host, start: s, http: httpmsg.NewResponses(httpmsg.MaxBody)}
}

// Begin gives the bytes that start the query.
func (q *Query) Begin() []byte {
	return httpmsg.AppendRequest(nil, "POST", "/v1/statement", q.host, []httpmsg.Field{
		{Name: "X-Trino-User", Value: q.start.User},
		{Name: "X-Trino-Source", Value: q.start.Class},
		{Name: "X-Trino-Trace-Token", Value: q.start.Call},
		{Name: "X-Trino-Session", Value: "query_max_run_time=" + strconv.FormatInt(max(q.start.Timeout.Milliseconds(), 1), 10) + "ms"},
		{Name: HeaderKey, Value: cmp.Or(q.start.Key, q.start.Call)},
	}, q.start.Statement)
}

// Resume gives the bytes that ask again on a new connection; nil if nothing
// was answered yet: then only the start could be sent again, and it never is.
func (q *Query) Resume() []byte {
	if q.next == "" {
		return nil
	}
	q.http = httpmsg.NewResponses(httpmsg.MaxBody)
	return q.ask()
}

func (q *Query) ask() []byte { return httpmsg.AppendRequest(nil, "GET", q.next, q.host, nil, nil) }

// Cancel gives the bytes that give the query up, or nil if it has no address yet.
func (q *Query) Cancel() []byte {
	if q.next == "" {
		return nil
	}
	return httpmsg.AppendRequest(nil, "DELETE", q.next, q.host, nil, nil)
}

// Step is what follows from what an engine sent, as for the platform's engines.
type Step struct {
	Out    []byte
	Result *Outcome
	Page   []byte // of a stream: rows, also with the result; to be kept before what else the step says
	Keep   bool
	Fresh  bool
}

// Feed takes bytes from the engine and tells what follows; an empty step asks
// for more bytes. After an error Resume may be able to ask again.
func (q *Query) Feed(b []byte) (Step, error) {
	q.http.Feed(b)
	m, err := q.http.Next()
	if err != nil || m == nil {
		return Step{}, err
	}
	clean := !m.Close && q.http.Idle()
	res, err := q.answer(m)
	switch {
	case err != nil:
		return Step{}, err
	case res != nil:
		return Step{Result: res, Page: q.page, Keep: clean}, nil
	case !clean: // as at the platform's engines: what is behind would be taken for the next answer
		return Step{Fresh: true, Page: q.page}, nil
	}
	return Step{Out: q.ask(), Page: q.page}, nil
}

// answer takes a whole answer; the outcome is nil while there is more to ask for.
func (q *Query) answer(m *httpmsg.Message) (*Outcome, error) {
	q.page = nil
	end := func(e End, why string) (*Outcome, error) {
		return &Outcome{e, q.body, q.work, q.mem, why}, nil
	}
	switch {
	case q.next == "" && (m.Status == 429 || m.Header.Get("Never-Ran") == "1"):
		return end(Full, fmt.Sprintf("status %d", m.Status))
	case m.Status != 200:
		return end(Errored, fmt.Sprintf("status %d", m.Status))
	}
	var r struct {
		ID      string      `json:"id"`
		NextURI string      `json:"nextUri"`
		Data    [][]any     `json:"data"`
		Error   *QueryError `json:"error"`
		Stats   struct {
			CPU    float64 `json:"cpuTimeMillis"`
			Memory float64 `json:"peakMemoryBytes"`
		} `json:"stats"`
	}
	if err := codec.Unmarshal(m.Body, &r); err != nil || r.ID == "" {
		return nil, fmt.Errorf("%w: unreadable", errSpoilt)
	}
	if r.Error != nil {
		if r.Error.ErrorName == ErrRefused.ErrorName {
			return end(Full, r.Error.ErrorName)
		}
		return end(Errored, r.Error.ErrorName)
	}
	var page []byte
	for _, row := range r.Data {
		from := len(page)
		for i, v := range row {
			if i > 0 {
				page = append(page, '\t')
			}
			if text, ok := v.(string); ok {
				page = append(page, text...)
			} else if v != nil {
				page = fmt.Append(page, v)
			}
		}
		if !engine.IsRow(page[from:]) { // a tab in a value would shift the columns
			return end(Errored, "no row of the platform's")
		}
		page = append(page, '\n')
	}
	if !q.start.Stream && len(q.body)+len(page) > engine.MaxResult {
		return end(Errored, "result too large")
	}
	next := ""
	if r.NextURI != "" {
		var err error
		if next, err = path(r.NextURI); err != nil {
			return nil, fmt.Errorf("%w: %w", errSpoilt, err)
		}
	}
	q.work, q.mem = max(q.work, r.Stats.CPU), max(q.mem, r.Stats.Memory/(1<<20))
	if q.next = next; q.start.Stream {
		q.page = page
	} else {
		q.body = append(q.body, page...)
	}
	if next == "" {
		return end(Served, "")
	}
	if q.steps++; q.steps > maxSteps {
		return end(Errored, "too many pages")
	}
	return nil, nil
}

// path keeps of an engine's next address what may be asked of that engine: an
// engine can't send the coordinator elsewhere.
func path(uri string) (string, error) {
	u, err := url.Parse(uri)
	if err != nil || !strings.HasPrefix(u.EscapedPath(), "/v1/statement/") {
		return "", errors.New("next address unusable")
	}
	return u.RequestURI(), nil
}

// Probe gives the bytes that ask an engine whether it takes queries.
func Probe(host string) []byte {
	return httpmsg.AppendRequest(nil, "GET", "/v1/info", host, nil, nil)
}

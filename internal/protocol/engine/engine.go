// Package engine speaks the platform's protocol to engines: one query as a
// state machine that is fed bytes, and the single calls beside it.
package engine

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"aniseloft/internal/protocol/httpmsg"
)

// What a result may hold: the protocol's limits.
const (
	MaxResult = 48000
	maxPages  = 4096
)

// End is how a query ended.
type End int

const (
	Served End = iota + 1
	Failed     // it may have run
	Full       // it never ran
	Over       // it was over already and never ran
)

// Start is what a query is started with.
type Start struct {
	Call, Class string
	Statement   []byte
	TimeoutMS   int64
	GrantMB     int64
	Priority    int // -1: the engine's own choice
}

// Result is the end of a query with what came with it.
type Result struct {
	End      End
	Body     []byte
	Work     float64 // ms on one core; 0: not told
	MemoryMB float64
	Report   string
	Why      string
}

type state int

const (
	starting state = iota
	running
	paging
	ended
)

// Query is one query at one engine.
type Query struct {
	host   string
	start  Start
	state  state
	http   *httpmsg.Machine
	pages  int
	page   int
	result Result
}

// NewQuery returns a query that has not begun.
func NewQuery(host string, s Start) *Query {
	return &Query{host: host, start: s, http: httpmsg.NewResponses(httpmsg.MaxBody)}
}

// Begin gives the bytes that start the query.
func (q *Query) Begin() []byte {
	f := []httpmsg.Field{
		{Name: "Request-Id", Value: q.start.Call},
		{Name: "Kind", Value: q.start.Class},
		{Name: "Timeout-Ms", Value: strconv.FormatInt(q.start.TimeoutMS, 10)},
	}
	if q.start.GrantMB > 0 {
		f = append(f, httpmsg.Field{Name: "X-Reserve", Value: strconv.FormatInt(q.start.GrantMB, 10)})
	}
	if q.start.Priority >= 0 {
		f = append(f, httpmsg.Field{Name: "X-Weight-Class", Value: strconv.Itoa(q.start.Priority)})
	}
	return httpmsg.AppendRequest(nil, "POST", "/data", q.host, f, q.start.Statement)
}

// Resume gives the bytes that ask again on a new connection for what was asked
// last: no connection owns a query, and asking starts nothing.
func (q *Query) Resume() []byte {
	q.http = httpmsg.NewResponses(httpmsg.MaxBody)
	if q.state == starting {
		q.state = running
	}
	return q.ask()
}

func (q *Query) ask() []byte {
	return httpmsg.AppendRequest(nil, "GET", "/data/"+q.start.Call+"/"+strconv.Itoa(q.page), q.host, nil, nil)
}

// Feed takes bytes from the engine. It returns what to write next, or the
// result; keep tells whether the connection can carry another call.
func (q *Query) Feed(b []byte) (out []byte, res *Result, keep bool, err error) {
	if q.state == ended {
		return nil, nil, false, errors.New("engine: bytes after the end")
	}
	q.http.Feed(b)
	msg, err := q.http.Next()
	if err != nil || msg == nil {
		return nil, nil, false, err
	}
	out, res = q.answer(msg)
	if res != nil {
		q.state = ended
	}
	return out, res, !msg.Close && q.http.Idle(), nil
}

func (q *Query) answer(m *httpmsg.Message) ([]byte, *Result) {
	if q.state == paging {
		return q.nextPage(m)
	}
	q.result.Report = m.Header.Get("Load-Report")
	switch {
	case m.Status == 202:
		q.state = running
		return q.ask(), nil
	case m.Status == 200:
		q.result.Work = figure(m, "X-Spent")
		q.result.MemoryMB = figure(m, "X-Wanted")
		n, err := strconv.Atoi(strings.TrimSpace(m.Header.Get("X-Batches")))
		if err != nil || n < 0 || n > maxPages {
			return nil, q.end(Failed, "number of pages unreadable")
		}
		q.pages, q.state = n, paging
		return q.take(m)
	case m.Header.Get("Never-Ran") == "1" && m.Status == 503:
		return nil, q.end(Full, "full")
	case m.Header.Get("Never-Ran") == "1" && m.Status == 504:
		return nil, q.end(Over, "over already")
	}
	return nil, q.end(Failed, fmt.Sprintf("status %d", m.Status))
}

// nextPage checks that a page is the one asked for: a page out of its place
// would make a result that no engine made.
func (q *Query) nextPage(m *httpmsg.Message) ([]byte, *Result) {
	if m.Status != 200 || strings.TrimSpace(m.Header.Get("X-Batch")) != strconv.Itoa(q.page) {
		return nil, q.end(Failed, fmt.Sprintf("page %d lost: status %d", q.page, m.Status))
	}
	return q.take(m)
}

func (q *Query) take(m *httpmsg.Message) ([]byte, *Result) {
	if len(q.result.Body)+len(m.Body) > MaxResult {
		return nil, q.end(Failed, "result too large")
	}
	q.result.Body = append(q.result.Body, m.Body...)
	if q.page++; q.page < q.pages {
		return q.ask(), nil
	}
	return nil, q.end(Served, "")
}

func (q *Query) end(e End, why string) *Result {
	q.result.End, q.result.Why = e, why
	return &q.result
}

// figure reads a number that must be finite and not below 0.
func figure(m *httpmsg.Message, name string) float64 {
	v, err := strconv.ParseFloat(strings.TrimSpace(m.Header.Get(name)), 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return 0
	}
	return v
}

// Delete gives the bytes that give a query up.
func Delete(host, call string) []byte {
	return httpmsg.AppendRequest(nil, "DELETE", "/data/"+call, host, nil, nil)
}

// Prioritize gives the bytes that change a running query's priority.
func Prioritize(host, call string, priority int) []byte {
	return httpmsg.AppendRequest(nil, "PUT", "/data/"+call, host, nil, strconv.AppendInt(nil, int64(priority), 10))
}

// Probe gives the bytes that ask for a report of load.
func Probe(host string) []byte {
	return httpmsg.AppendRequest(nil, "GET", "/-/gauges", host, nil, nil)
}

// Single is one call with one answer.
type Single struct{ http *httpmsg.Machine }

// NewSingle returns a machine for the answer to one call.
func NewSingle() *Single { return &Single{httpmsg.NewResponses(httpmsg.MaxBody)} }

// Feed takes bytes; status is 0 until the answer is whole.
func (s *Single) Feed(b []byte) (status int, report string, keep bool, err error) {
	s.http.Feed(b)
	m, err := s.http.Next()
	if err != nil || m == nil {
		return 0, "", false, err
	}
	return m.Status, m.Header.Get("Load-Report"), !m.Close && s.http.Idle(), nil
}

// Report reads "inflight:7;util:0.61"; what is unreadable is left out.
func Report(text string) map[string]float64 {
	out := map[string]float64{}
	for _, part := range strings.SplitN(text, ";", 16) {
		name, value, ok := strings.Cut(part, ":")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if ok && err == nil && !math.IsNaN(v) && !math.IsInf(v, 0) && v >= 0 {
			out[strings.TrimSpace(name)] = v
		}
	}
	return out
}

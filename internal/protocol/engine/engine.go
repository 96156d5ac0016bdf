// Package engine speaks the platform's protocol to engines: one query as a
// state machine that is fed bytes, and the single calls beside it.
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

// What a result may hold: the protocol's limits.
const (
	MaxResult = 48000
	maxPage   = 6000
	maxPages  = 4096
	maxBody   = 16 << 10 // of any answer: a page, or a line of text
	columns   = 3
)

// ErrSpoilt says that an answer is not what was asked for, so nothing is known by
// it: Resume asks for it again.
var ErrSpoilt = errors.New("engine: spoilt answer")

// End is how a query ended.
type End int

const (
	Served End = iota + 1
	Failed     // it may have run
	Full       // it never ran
	Over       // it was over already and never ran
	Lost       // it may have run: its connection was lost, and the engine knows nothing of it
)

// Start is what a query is started with.
type Start struct {
	Call, Class string
	Statement   []byte
	TimeoutMS   int64
	GrantMB     int64
	Priority    int    // -1: the engine's own choice
	Key         string // the client's idempotency key; empty: none
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

// Step is what follows from what an engine sent.
type Step struct {
	Out    []byte  // to be written next on this connection
	Result *Result // the end
	Keep   bool    // with the end: the connection can carry another call
	Fresh  bool    // Resume asks on; this connection is of no more use
	Note   *Note   // word of a query that runs on
	Odd    bool    // a 202 brought a note that can't be used
}

// Note is what an engine tells of a query that runs.
type Note struct {
	Kind  NoteKind
	Value float64
}

// NoteKind is what a note tells.
type NoteKind int

// The notes of the protocol.
const (
	SoFar   NoteKind = iota + 1 // the share done
	Lacking                     // megabytes missing
	Waiting                     // 1 for memory, 2 for a load
)

var noteKinds = map[string]NoteKind{"so_far": SoFar, "lacking": Lacking, "waiting": Waiting}

// noteMost is more than any engine lacks, in MB.
const noteMost = 1e9

// note reads what a 202 may bring; what can't be used is odd, and no note.
func note(m *httpmsg.Message) (n *Note, odd bool) {
	kind := strings.TrimSpace(m.Header.Get("Outcome"))
	if kind == "" {
		return nil, false
	}
	k := noteKinds[kind]
	v, err := strconv.ParseFloat(strings.TrimSpace(m.Header.Get("X-Num")), 64)
	if k == 0 || err != nil || !(v >= 0 && v <= noteMost) || k == SoFar && v > 1 {
		return nil, true
	}
	return &Note{k, v}, false
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
	known  bool // the engine has answered for it
	pages  int
	page   int
	result Result
}

// NewQuery returns a query that has not begun.
func NewQuery(host string, s Start) *Query {
	return &Query{host: host, start: s, http: httpmsg.NewResponses(maxBody)}
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
	if q.start.Key != "" {
		f = append(f, httpmsg.Field{Name: "Once-Key", Value: q.start.Key})
	}
	return httpmsg.AppendRequest(nil, "POST", "/data", q.host, f, q.start.Statement)
}

// Resume gives the bytes that ask again on a new connection for what was asked
// last: no connection owns a query, and asking starts nothing.
func (q *Query) Resume() []byte {
	q.http = httpmsg.NewResponses(maxBody)
	if q.state == starting {
		q.state = running
	}
	return q.ask()
}

func (q *Query) ask() []byte {
	return httpmsg.AppendRequest(nil, "GET", "/data/"+q.start.Call+"/"+strconv.Itoa(q.page), q.host, nil, nil)
}

// Feed takes bytes from the engine and tells what follows; an empty step asks
// for more bytes. After an error Resume can ask again.
func (q *Query) Feed(b []byte) (Step, error) {
	if q.state == ended {
		return Step{}, errors.New("engine: bytes after the end")
	}
	q.http.Feed(b)
	m, err := q.http.Next()
	if err != nil || m == nil {
		return Step{}, err
	}
	clean := !m.Close && q.http.Idle()
	res, err := q.answer(m, q.http.Rest())
	if err != nil {
		return Step{}, err
	}
	if res != nil {
		q.state = ended
		return Step{Result: res, Keep: clean}, nil
	}
	step := Step{Fresh: !clean} // what is left behind an answer, such as a second copy, would be taken for the next one
	if clean {
		step.Out = q.ask()
	}
	if m.Status == 202 {
		step.Note, step.Odd = note(m)
	}
	return step, nil
}

// answer takes a whole answer and what has come behind it; the result is nil
// while there is more to ask for.
func (q *Query) answer(m *httpmsg.Message, behind []byte) (*Result, error) {
	if q.state == paging {
		return q.nextPage(m, behind)
	}
	q.result.Report = m.Header.Get("Load-Report")
	switch {
	case m.Status == 202:
		q.state, q.known = running, true
		return nil, nil
	case m.Status == 200:
		n, err := strconv.Atoi(strings.TrimSpace(m.Header.Get("X-Batches")))
		if err != nil || n < 0 || n > maxPages {
			return nil, fmt.Errorf("%w: number of pages", ErrSpoilt)
		}
		q.result.Work = figure(m, "X-Spent")
		q.result.MemoryMB = figure(m, "X-Wanted")
		q.pages = n
		return q.take(m, behind)
	case m.Status == 500 && q.state == running && !q.known:
		return q.end(Lost, "not known after its connection was lost"), nil
	case m.Status == 500:
		return q.end(Failed, "status 500"), nil
	case m.Header.Get("Never-Ran") == "1" && m.Status == 503:
		return q.end(Full, "full"), nil
	case m.Header.Get("Never-Ran") == "1" && m.Status == 504:
		return q.end(Over, "over already"), nil
	}
	return nil, fmt.Errorf("%w: status %d", ErrSpoilt, m.Status)
}

// nextPage checks that a page is the one asked for: a page out of its place
// would make a result that no engine made.
func (q *Query) nextPage(m *httpmsg.Message, behind []byte) (*Result, error) {
	if m.Status == 500 {
		return q.end(Failed, fmt.Sprintf("page %d lost", q.page)), nil
	}
	if m.Status != 200 || strings.TrimSpace(m.Header.Get("X-Batch")) != strconv.Itoa(q.page) {
		return nil, fmt.Errorf("%w: not page %d", ErrSpoilt, q.page)
	}
	return q.take(m, behind)
}

func (q *Query) take(m *httpmsg.Message, behind []byte) (*Result, error) {
	if err := whole(m.Body); err != nil {
		return nil, err
	}
	if firstRow, _, _ := bytes.Cut(behind, []byte("\n")); IsRow(firstRow) {
		return nil, fmt.Errorf("%w: longer than its length", ErrSpoilt)
	}
	if len(q.result.Body)+len(m.Body) > MaxResult {
		return q.end(Failed, "result too large"), nil
	}
	if q.state = paging; q.result.Body == nil {
		q.result.Body = make([]byte, 0, min(len(m.Body)*max(q.pages, 1), MaxResult))
	}
	q.result.Body = append(q.result.Body, m.Body...)
	if q.page++; q.page < q.pages {
		return nil, nil
	}
	return q.end(Served, ""), nil
}

// whole checks that a page is whole rows. Bytes spoilt on the way that are passed
// on would make a result that no engine made.
func whole(page []byte) error {
	if len(page) > maxPage || len(page) > 0 && page[len(page)-1] != '\n' || !isText(page) {
		return fmt.Errorf("%w: no whole page", ErrSpoilt)
	}
	for row := range bytes.Lines(page) {
		if bytes.Count(row, tab) != columns-1 {
			return fmt.Errorf("%w: no row", ErrSpoilt)
		}
	}
	return nil
}

var tab = []byte("\t")

func isText(b []byte) bool { return bytes.IndexByte(b, 0) < 0 && utf8.Valid(b) }

// IsRow tells whether text is one row of a result, without its line feed.
func IsRow(b []byte) bool {
	return bytes.Count(b, tab) == columns-1 && bytes.IndexByte(b, '\n') < 0 && isText(b)
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
func NewSingle() *Single { return &Single{httpmsg.NewResponses(maxBody)} }

// Feed takes bytes; status is 0 until the answer is whole.
func (s *Single) Feed(b []byte) (status int, report string, keep bool, err error) {
	s.http.Feed(b)
	m, err := s.http.Next()
	if err != nil || m == nil {
		return 0, "", false, err
	}
	return m.Status, m.Header.Get("Load-Report"), !m.Close && s.http.Idle(), nil
}

// reportMost is more than any engine holds or shares out: what is beyond it is no word of load.
const reportMost = 1e6

// Report reads "inflight:7;util:0.61". What is unreadable, below 0 or absurd, and a name that comes twice,
// is left out and makes the report odd.
func Report(text string) (out map[string]float64, odd bool) {
	out = map[string]float64{}
	twice := map[string]bool{}
	for _, part := range strings.SplitN(text, ";", 16) {
		name, value, ok := strings.Cut(part, ":")
		name = strings.TrimSpace(name)
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if !ok || err != nil || !(v >= 0 && v <= reportMost) {
			odd = true
			continue
		}
		if _, again := out[name]; again {
			twice[name], odd = true, true
		}
		out[name] = v
	}
	for name := range twice {
		delete(out, name)
	}
	return out, odd
}

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/testdir"
)

// statementResponse is an answer of the paged REST protocol.
type statementResponse struct {
	status      int
	retryAfter  string
	ID, NextURI string
	Data        [][]string
	Columns     []struct{ Name, Type string }
	Error       *struct{ ErrorName string }
	Stats       struct{ State string }
}

// doREST sends one request of the paged REST protocol and returns its answer.
func doREST(t *testing.T, method, uri, body string, headers ...string) (r statementResponse) {
	req, err := http.NewRequest(method, uri, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	r.status, r.retryAfter = res.StatusCode, res.Header.Get("Retry-After")
	if strings.HasPrefix(res.Header.Get("Content-Type"), "application/json") {
		require.NoError(t, json.Unmarshal(text, &r), string(text))
	}
	return r
}

// post sends a statement to the REST front; headers are names and values in turn.
func (p *coordinator) post(class, key, statement string, headers ...string) statementResponse {
	all := append([]string{"X-Trino-User", "kiosk", "X-Trino-Source", class,
		"X-Aniseloft-Work-Ms", "500", "X-Aniseloft-Memory-Mb", "4"}, headers...)
	if key != "" {
		all = append(all, "Idempotency-Key", key)
	}
	return doREST(p.t, "POST", "http://"+p.restAddr+"/v1/statement", statement, all...)
}

// followPages follows a query to its end, and returns the last answer and all rows as text.
func followPages(t *testing.T, r statementResponse) (statementResponse, string) {
	var text strings.Builder
	for {
		for _, row := range r.Data {
			text.WriteString(strings.Join(row, "\t") + "\n")
		}
		if r.NextURI == "" {
			return r, text.String()
		}
		r = doREST(t, "GET", r.NextURI, "")
	}
}

// isRejected reports whether a query ended with a rejection and its retry-after time: in the answer to its POST or, where
// that came before the end, at the address that the answer named.
func isRejected(t *testing.T, r statementResponse) bool {
	r, _ = followPages(t, r)
	return (r.status == 429 || r.Error != nil && r.Error.ErrorName == "QUERY_QUEUE_FULL") && r.retryAfter == "2"
}

// postUntilStarted posts a statement that outlives its timeout, and doubles the timeout until an attempt has started. On
// a slow machine a short timeout leaves no time to start: the statement is rejected, as it never ran, and its key is free
// again.
func postUntilStarted[R any](t *testing.T, e *fakeEngine, statement string, post func(timeoutMS int) R, rejected func(R) bool) R {
	for timeoutMS := 400; ; timeoutMS *= 2 {
		if r := post(timeoutMS); !rejected(r) || e.count(&e.attempts, statement) > 0 {
			eventually(t, func() bool { return e.count(&e.attempts, statement) > 0 })
			return r
		}
		require.Less(t, timeoutMS, 8000, "no attempt starts on this machine")
	}
}

func TestRESTServesAllPages(t *testing.T) {
	t.Parallel()
	p, e, _ := startWithOneEngine(t, true)
	statement := "select * from sales_3.trips -- rows 5"
	first := p.post("ridership-report", "", statement)
	require.Equal(t, 200, first.status)
	require.Len(t, first.Columns, 3)
	end, text := followPages(t, first)
	require.Equal(t, strings.Join(pagesOf(statement), ""), text)
	require.Equal(t, "FINISHED", end.Stats.State)
	require.Equal(t, 1, e.count(&e.attempts, statement))
}

func TestRESTRejectionsFailuresAndBadRequests(t *testing.T) {
	t.Parallel()
	p, e, _ := startWithOneEngine(t, true)
	require.True(t, isRejected(t, p.post("trip-lookup", "", "full")))
	failed, _ := followPages(t, p.post("timetable-load", "k1", "fail"))
	require.Equal(t, "GENERIC_INTERNAL_ERROR", failed.Error.ErrorName)
	require.Equal(t, 1, e.count(&e.attempts, "fail"))
	late := postUntilStarted(t, e, "stay", func(timeoutMS int) statementResponse {
		r, _ := followPages(t, p.post("timetable-load", "k2", "stay", "X-Aniseloft-Timeout-Ms", fmt.Sprint(timeoutMS)))
		return r
	}, func(r statementResponse) bool { return isRejected(t, r) })
	require.Equal(t, "GENERIC_INTERNAL_ERROR", late.Error.ErrorName)
	require.Equal(t, 400, p.post("timetable-load", "", "x").status, "a load needs a key")
	require.Equal(t, 409, p.post("timetable-load", "k1", "another").status)
	require.Equal(t, 400, p.post("no-such-class", "", "x").status)
	require.Equal(t, 400, p.post("trip-lookup", "", "x", "X-Aniseloft-Timeout-Ms", "NaN").status)
	require.Equal(t, 400, p.post("trip-lookup", "", " ").status)
	base := "http://" + p.restAddr
	require.Equal(t, 404, doREST(t, "GET", base+"/v1/statement/executing/no/such/0", "").status)
	require.Equal(t, 404, doREST(t, "GET", base+"/elsewhere", "").status)
	require.Equal(t, 405, doREST(t, "GET", base+"/v1/statement", "").status)
	require.Equal(t, 413, doREST(t, "POST", base+"/v1/statement", strings.Repeat("x", 300<<10), "X-Trino-User", "kiosk").status)
}

func TestRESTCancelReachesTheEngine(t *testing.T) {
	t.Parallel()
	p, e, _ := startWithOneEngine(t, true)
	r := p.post("trip-lookup", "", "stay")
	require.NotEmpty(t, r.NextURI)
	require.Equal(t, 204, doREST(t, "DELETE", r.NextURI, "").status)
	eventually(t, func() bool { return e.count(&e.cancelled, "stay") == 1 })
	end, _ := followPages(t, doREST(t, "GET", r.NextURI, ""))
	require.Equal(t, "USER_CANCELED", end.Error.ErrorName)
}

// A misspelt REST setting prevents the start, with one line that names the file.
func TestMisspeltRESTSettingsPreventTheStart(t *testing.T) {
	t.Parallel()
	e, j := newFakeEngine(t, false), newFakeJournal(t)
	j.add(true, serverEntry(1, e, "active"))
	p := startCoordinator(t, testdir.Dir(t), j, true)
	p.kill()
	rewriteRESTFile(t, p.dir, `{"listen":"127.0.0.1:0","stoer":"x"}`)
	out, err := restartCommand(p).CombinedOutput()
	require.Error(t, err)
	require.Equal(t, 1, strings.Count(string(out), "\n"), "one line: %s", out)
	require.Contains(t, string(out), "rest.json")
}

func TestPageThreeIsServedAfterARestart(t *testing.T) {
	t.Parallel()
	p, e, j := startWithOneEngine(t, true)
	statement := "select * from sales_3.trips -- rows 4"
	r := p.post("ridership-report", "", statement)
	r = doREST(t, "GET", r.NextURI, "")
	third := strings.SplitN(r.NextURI, "/", 4)[3]
	require.True(t, strings.HasSuffix(third, "/2"))
	p.kill()
	q := startCoordinator(t, p.dir, j, true)
	end, text := followPages(t, doREST(t, "GET", "http://"+q.restAddr+"/"+third, ""))
	require.Equal(t, "FINISHED", end.Stats.State)
	require.Equal(t, strings.Join(pagesOf(statement)[2:], ""), text)
	require.Equal(t, 1, e.count(&e.attempts, statement))
}

// The driver for REST engines also requests damaged pages again, except a damaged first answer: before that there is no
// address from which to request a page.
func TestDamagedPagesOfRESTEnginesAreRequestedAgain(t *testing.T) {
	t.Parallel()
	e, j := newFakeEngine(t, true), newFakeJournal(t)
	j.add(true, serverEntry(1, e, "active"))
	p := startCoordinator(t, testdir.Dir(t), j, true)
	c := dialClient(t, p.clientAddr)
	kinds := []string{"interim", "copy", "latecopy", "noise", "shorter", "cut", "stopped", "replaced", "head", "endless", "huge", "reset"}
	for i, kind := range kinds {
		c.send(queryLine(i+1, "timetable-load", fmt.Sprintf("insert into sales_%d.x -- rows 2 spoil %s", i, kind), 9500))
	}
	for range kinds {
		require.Equal(t, strings.Join(pagesOf("rows 2"), ""), answerText(t, c.readLine()))
	}
}

func TestLoadRunsOnceDespiteResendsAndAKill(t *testing.T) {
	t.Parallel()
	p, e, j := startWithOneEngine(t, true)
	first := p.post("timetable-load", "k1", "done")
	_, text := followPages(t, first)
	again, same := followPages(t, p.post("timetable-load", "k1", "done"))
	require.Equal(t, first.ID, again.ID)
	require.Equal(t, text, same)
	open := p.post("timetable-load", "k2", "stay")
	require.Equal(t, open.ID, p.post("timetable-load", "k2", "stay").ID, "a resend joins the running query")
	require.NoError(t, p.Process.Signal(syscall.SIGKILL))
	_ = p.Wait()
	q := startCoordinator(t, p.dir, j, true)
	end, _ := followPages(t, q.post("timetable-load", "k2", "stay"))
	require.Equal(t, open.ID, end.ID)
	require.Equal(t, "GENERIC_INTERNAL_ERROR", end.Error.ErrorName, "the load may have run")
	_, same = followPages(t, q.post("timetable-load", "k1", "done"))
	require.Equal(t, text, same)
	require.Equal(t, 1, e.count(&e.attempts, "done"))
	require.Equal(t, 1, e.count(&e.attempts, "stay"))
}

// outcomeScript lists the words of fakeEngine for the statements that TestFrontsAndEngineKindsGiveTheSameOutcomes sends
// in each class.
var outcomeScript = []string{"x", "rows 3", "full", "fail", "stay", "x", "fail", "rows 2", "full"}

// TestFrontsAndEngineKindsGiveTheSameOutcomes sends the statements of outcomeScript over both fronts to both kinds of
// engines, and compares the outcome counts of each class.
func TestFrontsAndEngineKindsGiveTheSameOutcomes(t *testing.T) {
	t.Parallel()
	combinations := [4][2]bool{{false, false}, {false, true}, {true, false}, {true, true}}
	var got [len(combinations)]map[string]int
	t.Run("combinations", func(t *testing.T) { // in parallel, as each mostly waits for deadlines
		for i, combination := range combinations {
			t.Run(fmt.Sprintf("rest engine %t, rest front %t", combination[0], combination[1]), func(t *testing.T) {
				t.Parallel()
				got[i] = countOutcomes(t, combination[0], combination[1])
			})
		}
	})
	require.Len(t, got[0], 7, "rejections and failures are among the outcomes: %v", got[0])
	for i, combination := range combinations {
		require.Equal(t, got[0], got[i], "rest engine, rest front: %v", combination)
	}
}

// countOutcomes sends the statements of outcomeScript in every class and counts the outcomes by class.
func countOutcomes(t *testing.T, restEngine, restFront bool) map[string]int {
	e, j := newFakeEngine(t, restEngine), newFakeJournal(t)
	j.add(true, serverEntry(1, e, "active"))
	p, got := startCoordinator(t, testdir.Dir(t), j, true), map[string]int{}
	c := dialClient(t, p.clientAddr)
	for _, class := range []string{"trip-lookup", "ridership-report", "timetable-load"} {
		for i, word := range outcomeScript {
			statement := fmt.Sprintf("%s %s %d", word, class, i)
			post := func(timeoutMS int) string {
				if restFront {
					return restOutcome(t, p.post(class, fmt.Sprintf("%s-%d", class, i), statement, "X-Aniseloft-Timeout-Ms", fmt.Sprint(timeoutMS)))
				}
				return jsonrpcOutcome(c.call(queryLine(1, class, statement, timeoutMS)))
			}
			var outcome string
			if word == "stay" {
				outcome = postUntilStarted(t, e, statement, post, func(outcome string) bool { return outcome == "rejected" })
			} else {
				outcome = post(9000)
			}
			got[class+" "+outcome]++
		}
	}
	return got
}

func jsonrpcOutcome(line string) string {
	switch {
	case strings.Contains(line, `"code":-32000`):
		return "rejected"
	case strings.Contains(line, `"error"`):
		return "failed"
	}
	return "served"
}

func restOutcome(t *testing.T, response statementResponse) string {
	r, _ := followPages(t, response)
	switch {
	case isRejected(t, r):
		return "rejected"
	case r.Error != nil:
		return "failed"
	}
	return "served"
}

func TestRESTFrontDrainsToo(t *testing.T) {
	t.Parallel()
	p, _, _ := startWithOneEngineAndStore(t, filepath.Join(testdir.Dir(t), "record.db"))
	// Each call uses a connection of its own: the drain closes idle connections, and Go's client does not resend a POST
	// that was sent while its connection was being closed.
	info := func() string {
		req, err := http.NewRequest("GET", "http://"+p.restAddr+"/v1/info", nil)
		require.NoError(t, err)
		req.Close = true
		res, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		defer func() { _ = res.Body.Close() }()
		b, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		return string(b)
	}
	require.Contains(t, info(), `"starting":false`)
	// A client that keeps its connection between calls.
	keptConn, err := net.Dial("tcp", p.restAddr)
	require.NoError(t, err)
	defer func() { _ = keptConn.Close() }()
	_, err = io.WriteString(keptConn, "GET /v1/info HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	r := bufio.NewReader(keptConn)
	line, err := r.ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "200")
	for len(line) > 2 { // skips the lines of the header, up to the empty line
		line, err = r.ReadString('\n')
		require.NoError(t, err)
	}
	body := make([]byte, len(`{"starting":false,"coordinator":true}`))
	_, err = io.ReadFull(r, body)
	require.NoError(t, err)
	require.NoError(t, keptConn.SetReadDeadline(time.Now().Add(200*time.Millisecond)))
	_, err = r.ReadByte()
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the connection stays open while the coordinator serves")

	require.Equal(t, "ACK paused", p.adminCall("PAUSE"))
	require.NoError(t, keptConn.SetReadDeadline(time.Now().Add(adminAnswerLimit)))
	_, err = r.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the idle connection is closed at once")
	require.Contains(t, info(), `"starting":true`, "not ready while paused")
	time.Sleep(1700 * time.Millisecond)
	rejected := p.post("trip-lookup", "", "x", "Connection", "close")
	require.Equal(t, 429, rejected.status, "a statement that comes later than 1.6 s after the pause is rejected")
	require.Equal(t, "1", rejected.retryAfter)
	require.Equal(t, "ACK resumed", p.adminCall("RESUME"))
	_, text := followPages(t, p.post("trip-lookup", "", "x", "Connection", "close"))
	require.Equal(t, "a\tb\tc\n", text)
}

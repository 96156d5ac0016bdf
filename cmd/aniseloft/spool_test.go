package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/testdir"
)

// startWithOneEngineAndSpool starts a coordinator with one engine and a spool, which is in memory if spoolJSON names no
// directory.
func startWithOneEngineAndSpool(t *testing.T, keepSeconds int, spoolJSON string) (*coordinator, *fakeEngine, *fakeJournal) {
	e, j, dir := newFakeEngine(t, false), newFakeJournal(t), testdir.Dir(t)
	j.add(true, serverEntry(1, e, "active"))
	return startWithSpool(t, dir, j, filepath.Join(dir, "record.db"), keepSeconds, spoolJSON), e, j
}

func TestSpoolServesPagesAlsoAfterAKill(t *testing.T) {
	t.Parallel()
	const settings = `{"directory":"spool","total_mb":8}`
	p, e, j := startWithOneEngineAndSpool(t, 600, settings)
	statement := "select * from sales_3.trips -- rows 4"
	first := p.post("ridership-report", "", statement)
	second := doREST(t, "GET", first.NextURI, "")
	require.Equal(t, second.Data, doREST(t, "GET", first.NextURI, "").Data, "a page can be read twice")
	third := strings.SplitN(second.NextURI, "/", 4)[3]
	p.kill()
	q := startWithSpool(t, p.dir, j, filepath.Join(p.dir, "record.db"), 600, settings)
	q.waitForLog("sealed=1")
	end, text := followPages(t, doREST(t, "GET", "http://"+q.restAddr+"/"+third, ""))
	require.Equal(t, "FINISHED", end.Stats.State)
	require.Equal(t, strings.Join(pagesOf(statement)[2:], ""), text)
	require.Equal(t, 1, e.count(&e.attempts, statement))
	require.Equal(t, second.Data, doREST(t, "GET", "http://"+q.restAddr+"/"+strings.SplitN(first.NextURI, "/", 4)[3], "").Data, "an earlier page can be read too")
	out, err := restartCommand(p).CombinedOutput()
	require.Error(t, err, "a spool has one owner")
	require.Contains(t, string(out), "in use")
}

// A query whose result may not fit into the spool is rejected before it is sent, with a time after which to retry.
func TestFullSpoolRejectsBeforeAnyAttempt(t *testing.T) {
	t.Parallel()
	p, e, _ := startWithOneEngineAndSpool(t, 600, `{"total_mb":0.1}`) // holds two results of the maximum size
	one, two := p.post("ridership-report", "", "stay 1"), p.post("ridership-report", "", "stay 2")
	require.Equal(t, 200, two.status)
	rejected := p.post("timetable-load", "k", "load 3")
	require.Equal(t, 429, rejected.status)
	require.Equal(t, "2", rejected.retryAfter)
	require.Zero(t, e.count(&e.attempts, "load 3"))
	require.Equal(t, 204, doREST(t, "DELETE", one.NextURI, "").status)
	end, _ := followPages(t, p.post("timetable-load", "k", "load 3"))
	require.Equal(t, "FINISHED", end.Stats.State, "the cancelled result's room and the rejected request's key are free at once")
	require.Equal(t, 1, e.count(&e.attempts, "load 3"))
}

func TestExpiredAndCancelledResultsAreReportedAsAbandoned(t *testing.T) {
	t.Parallel()
	p, _, _ := startWithOneEngineAndSpool(t, 2, `{"total_mb":1}`)
	late := p.post("ridership-report", "", "rows 3")
	require.NotEmpty(t, late.NextURI)
	dropped := p.post("ridership-report", "", "rows 2")
	require.Equal(t, 204, doREST(t, "DELETE", dropped.NextURI, "").status)
	require.Equal(t, "ABANDONED_QUERY", doREST(t, "GET", dropped.NextURI, "").Error.ErrorName)
	eventually(t, func() bool {
		r := doREST(t, "GET", strings.TrimSuffix(late.NextURI, "1")+"2", "")
		time.Sleep(2100 * time.Millisecond) // each read extends the time for which the result is kept
		return r.Error != nil
	})
	for range 2 {
		r := doREST(t, "GET", late.NextURI, "")
		require.Equal(t, "ABANDONED_QUERY", r.Error.ErrorName)
		require.Empty(t, r.Data)
		require.Empty(t, r.NextURI)
	}
}

// largeResultEngine is a REST engine whose results have pages of 256 KB, generated on request. It holds memory for a query
// until its last page has been requested.
type largeResultEngine struct {
	*httptest.Server
	pages      int
	pageDelay  time.Duration // time before each page is sent
	failAtPage int32         // the page whose first request fails, and with it the query; 0: none
	failed     atomic.Bool
	holding    atomic.Int32 // queries for which memory is held
	started    atomic.Int32 // queries posted
}

func newLargeResultEngine(t *testing.T, pages int) *largeResultEngine {
	b := &largeResultEngine{pages: pages}
	b.Server = httptest.NewServer(http.HandlerFunc(b.serve))
	t.Cleanup(func() { b.CloseClientConnections(); b.Close() })
	return b
}

func (b *largeResultEngine) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/info" {
		_, _ = io.WriteString(w, `{"starting":false}`)
		return
	}
	if r.Method == "DELETE" {
		b.holding.Add(-1)
		w.WriteHeader(204)
		return
	}
	var id string
	page := 0
	if r.Method == "POST" {
		b.started.Add(1)
		b.holding.Add(1)
		id = r.Header.Get("X-Trino-Trace-Token")
	} else {
		pathParts := strings.Split(r.URL.Path, "/")
		id = pathParts[4]
		_, _ = fmt.Sscan(pathParts[len(pathParts)-1], &page)
	}
	if b.failAtPage > 0 && page == int(b.failAtPage) && !b.failed.Load() || page == 0 && r.Method == "GET" {
		b.failed.Store(true)
		b.holding.Add(-1)
		w.WriteHeader(500)
		return
	}
	time.Sleep(b.pageDelay)
	next := fmt.Sprintf(`"nextUri":"http://%s/v1/statement/executing/%s/s/%d",`, r.Host, id, page+1)
	if page+1 == b.pages {
		next = ""
		b.holding.Add(-1)
	}
	row := fmt.Sprintf(`["%d","%s","z"]`, page, strings.Repeat("x", 64<<10))
	_, _ = fmt.Fprintf(w, `{"id":%q,%s"data":[%s,%s,%s,%s],"stats":{"state":"RUNNING"}}`, id, next, row, row, row, row)
}

func (b *largeResultEngine) serverEntry(n int) string {
	return fmt.Sprintf(`{"id":"s-%08x","addr":%q,"zone":"hall-a","kind":"rest-16","cell":0,"state":"active","weight":1,"started_ms":0}`, n, b.Listener.Addr())
}

// A result far larger than the program's memory is spooled to disk, and frees its engine although the client has read
// only the first answer. ANISELOFT_BIG_MB sets another size, in MB.
func TestLargeResultFreesItsEngineBeforeItIsRead(t *testing.T) {
	t.Parallel()
	sizeMB := 48
	if v := os.Getenv("ANISELOFT_BIG_MB"); v != "" {
		_, err := fmt.Sscan(v, &sizeMB)
		require.NoError(t, err)
	}
	e, j, dir := newLargeResultEngine(t, sizeMB*4), newFakeJournal(t), testdir.Dir(t)
	e.pageDelay = 10 * time.Millisecond // in total longer than the balancer waits for a silent engine
	j.add(true, e.serverEntry(1))
	longDeadlines := strings.ReplaceAll(firstSettings, `"deadlineMs":10000`, `"deadlineMs":60000`) // long enough on a slow machine too
	p := startWithSettings(t, dir, j, filepath.Join(dir, "record.db"), 600, fmt.Sprintf(`{"directory":"spool","total_mb":%d}`, sizeMB+16), longDeadlines)
	r := p.post("ridership-report", "", "select * from sales_3.trips")
	require.Equal(t, 200, r.status)
	eventually(t, func() bool { return e.started.Load() == 1 && e.holding.Load() == 0 })
	page := 0
	for ; r.NextURI != ""; r = doREST(t, "GET", r.NextURI, "") {
		if len(r.Data) > 0 {
			require.Len(t, r.Data, 4)
			require.Equal(t, fmt.Sprint(page), r.Data[0][0])
			page++
		}
	}
	require.Nil(t, r.Error)
	require.Equal(t, sizeMB*4-1, page)
	require.Equal(t, fmt.Sprint(page), r.Data[3][0])
	if len(buildFlags) == 0 { // the race detector needs several times as much
		require.Less(t, p.peakMemoryMB(), 64)
	}
	t.Logf("a result of %d MB; the program's peak memory was %d MB", sizeMB, p.peakMemoryMB())
}

// Guards against mixing the pages of an engine that fails after half of them with the pages of the next attempt.
func TestPagesOfAFailedAttemptAreNotMixedWithTheNext(t *testing.T) {
	t.Parallel()
	e, j, dir := newLargeResultEngine(t, 8), newFakeJournal(t), testdir.Dir(t)
	e.failAtPage = 4
	other := newLargeResultEngine(t, 6)
	j.add(true, e.serverEntry(1), other.serverEntry(2))
	p := startWithSpool(t, dir, j, filepath.Join(dir, "record.db"), 600, `{"directory":"spool","total_mb":32}`)
	for i := range 6 { // each engine gets some queries; one that starts at the failing engine may end at either
		r := p.post("ridership-report", "", fmt.Sprintf("select * from sales_%d.trips", i))
		var numbers []string
		for {
			if len(r.Data) > 0 {
				numbers = append(numbers, r.Data[0][0])
			}
			if r.NextURI == "" {
				break
			}
			r = doREST(t, "GET", r.NextURI, "")
		}
		require.Nil(t, r.Error)
		require.Contains(t, []string{"0 1 2 3 4 5", "0 1 2 3 4 5 6 7"}, strings.Join(numbers, " "))
	}
	require.True(t, e.failed.Load())
}

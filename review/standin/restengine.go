package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	restHold     = time.Second           // a poll for a page that is not there yet is held for this time
	pageInterval = 60 * time.Millisecond // an engine needs this long for each further page
)

// answerREST carries out one call of the paged REST protocol.
func (g *engine) answerREST(request *http.Request, body string) (run *engineRun, status int, answer []byte) {
	parts := strings.Split(strings.Trim(request.URL.Path, "/"), "/")
	switch {
	case request.URL.Path == "/v1/info":
		return nil, 200, encode(200, nil, `{"starting":false,"coordinator":false}`)
	case request.Method == "POST" && request.URL.Path == "/v1/statement":
		run = g.begin(request.Header.Get("X-Trino-Trace-Token"), request.Header.Get("X-Trino-Source"), body)
		return run, 200, g.restResults(request, run, "QUEUED", 0, nil)
	case len(parts) != 6 || parts[0] != "v1" || parts[1] != "statement":
		return nil, 404, encode(404, nil, "")
	}
	run = g.find(parts[3])
	if run == nil {
		return nil, 404, encode(404, nil, "")
	}
	if request.Method == "DELETE" {
		g.remove(run.call)
		return run, 204, encode(204, nil, "")
	}
	var page int
	_, _ = fmt.Sscan(parts[5], &page)
	if run.rejected {
		time.Sleep(time.Until(run.endsAt))
		g.say(g.name, "call %s: turned away, it never ran", run.call)
		return run, 200, g.restError(run)
	}
	if page < 0 || page >= len(run.pages) {
		return run, 404, encode(404, nil, "")
	}
	readyAt := run.endsAt.Add(time.Duration(page) * pageInterval)
	time.Sleep(min(time.Until(readyAt), restHold))
	if time.Now().Before(readyAt) {
		return run, 200, g.restResults(request, run, "RUNNING", page, nil)
	}
	g.say(g.name, "call %s: page %d of %d", run.call, page, len(run.pages))
	return run, 200, g.restResults(request, run, "RUNNING", page+1, rowsOfPage(run.pages[page]))
}

// restResults returns an answer with rows and the address of the next page, unless the result has no such page.
func (g *engine) restResults(request *http.Request, run *engineRun, state string, next int, rows [][]string) []byte {
	results := map[string]any{"id": "q-" + run.call, "infoUri": "", "stats": map[string]any{"state": state, "cpuTimeMillis": 100, "peakMemoryBytes": 1 << 20}}
	if rows != nil {
		results["columns"] = []map[string]any{{"name": "a", "type": "varchar"}, {"name": "b", "type": "varchar"}, {"name": "c", "type": "varchar"}}
		results["data"] = rows
	}
	if next < len(run.pages) || run.rejected {
		results["nextUri"] = fmt.Sprintf("http://%s/v1/statement/executing/%s/s/%d", request.Host, run.call, next)
	} else {
		results["stats"].(map[string]any)["state"] = "FINISHED"
	}
	content, _ := json.Marshal(results)
	return encode(200, []string{"Content-Type: application/json"}, string(content))
}

// restError returns the answer for a query that was turned away.
func (g *engine) restError(run *engineRun) []byte {
	content, _ := json.Marshal(map[string]any{"id": "q-" + run.call, "stats": map[string]any{"state": "FAILED"},
		"error": map[string]any{"message": "too many queued queries", "errorCode": 0x20002, "errorName": "QUERY_QUEUE_FULL", "errorType": "INSUFFICIENT_RESOURCES"}})
	return encode(200, []string{"Content-Type: application/json"}, string(content))
}

// rowsOfPage returns the rows of a page by column.
func rowsOfPage(page string) (rows [][]string) {
	for row := range strings.Lines(page) {
		rows = append(rows, strings.Split(strings.TrimSuffix(row, "\n"), "\t"))
	}
	return rows
}

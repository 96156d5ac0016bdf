package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

func (e *fakeEngine) serveREST(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/info" {
		_, _ = io.WriteString(w, `{"starting":false}`)
		return
	}
	if r.Method == "POST" {
		body, _ := io.ReadAll(r.Body)
		s := string(body)
		e.countStart(r, s)
		if strings.Contains(s, "full") {
			e.countStop(s)
			w.WriteHeader(429)
			return
		}
		id := r.Header.Get("X-Trino-Trace-Token")
		statementByID.Store(id, s)
		_, _ = fmt.Fprintf(w, `{"id":%q,"nextUri":"http://%s/v1/statement/executing/%s/s/0","stats":{"state":"QUEUED"}}`, id, r.Host, id)
		return
	}
	pathParts := strings.Split(r.URL.Path, "/")
	id := pathParts[4]
	v, ok := statementByID.Load(id)
	if !ok {
		w.WriteHeader(404)
		return
	}
	s, page := v.(string), 0
	_, _ = fmt.Sscan(pathParts[6], &page)
	switch {
	case r.Method == "DELETE":
		e.mu.Lock()
		e.cancelled[s]++
		e.mu.Unlock()
		e.countStop(s)
		w.WriteHeader(204)
	case strings.Contains(s, "fail"):
		e.countStop(s)
		_, _ = fmt.Fprintf(w, `{"id":%q,"error":{"message":"no","errorName":"GENERIC_INTERNAL_ERROR"},"stats":{"state":"FAILED"}}`, id)
	case e.stays(s):
		_, _ = fmt.Fprintf(w, `{"id":%q,"nextUri":"http://%s%s","stats":{"state":"RUNNING"}}`, id, r.Host, r.URL.Path)
	default:
		rows := pagesOf(s)
		next := ""
		if page+1 < len(rows) {
			next = fmt.Sprintf(`"nextUri":"http://%s/v1/statement/executing/%s/s/%d",`, r.Host, id, page+1)
		} else {
			e.countStop(s)
		}
		var split [][]string
		for _, row := range strings.Split(strings.TrimSuffix(rows[page], "\n"), "\n") {
			split = append(split, strings.Split(row, "\t"))
		}
		data, _ := json.Marshal(split)
		e.writePage(w, s, id, page, fmt.Sprintf(`{"id":%q,%s"data":%s,"stats":{"state":"RUNNING","cpuTimeMillis":500,"peakMemoryBytes":4194304}}`, id, next, data))
	}
}

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"
)

// answer is an answer of the paged REST protocol.
type answer struct {
	err         error // no complete answer came
	status      int
	retryAfter  string
	ID, NextURI string
	Data        [][]string
	Error       *struct{ ErrorName string }
	Stats       struct{ State string }
	text        string // body, if it is not JSON
}

// String describes an answer in the record.
func (a answer) String() string {
	switch {
	case a.err != nil:
		return "no answer: " + a.err.Error()
	case a.Error != nil:
		return fmt.Sprintf("%d query %s, state %s, error %s, Retry-After %q", a.status, a.ID, a.Stats.State, a.Error.ErrorName, a.retryAfter)
	case a.ID == "":
		return fmt.Sprintf("%d %s", a.status, strings.TrimSpace(a.text))
	}
	return fmt.Sprintf("%d query %s, state %s, %d rows, more %t", a.status, a.ID, a.Stats.State, len(a.Data), a.NextURI != "")
}

// errorName returns the name of the error, or "".
func (a answer) errorName() string {
	if a.Error == nil {
		return ""
	}
	return a.Error.ErrorName
}

// rejected reports whether the answer says that trying again is harmless.
func (a answer) rejected() bool {
	return a.err == nil && (a.status == 429 || a.errorName() == "QUERY_QUEUE_FULL")
}

var httpClient = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// request makes one request and records it with its answer.
func (r *run) request(who, method, uri, body string, headers map[string]string) (a answer) {
	req, err := http.NewRequest(method, uri, strings.NewReader(body))
	must(err)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	r.note("%s: %s %s %s", who, method, shortPath(uri), body)
	defer func() { r.note("%s: gets %v", who, a) }()
	res, err := httpClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{err: err}
	}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "application/json") {
		if err := json.Unmarshal(b, &a); err != nil {
			return answer{err: err}
		}
	}
	a.status, a.retryAfter, a.text = res.StatusCode, res.Header.Get("Retry-After"), string(b)
	return a
}

func shortPath(uri string) string {
	u, err := url.Parse(uri)
	must(err)
	return u.Host + u.Path
}

// post submits a statement. A key or a timeout of "" is left out.
func (r *run) post(who, addr, class, key, timeoutMS, statement string) answer {
	headers := map[string]string{"X-Trino-User": "planner", "X-Trino-Source": class, "X-Aniseloft-Work-Ms": "3000", "X-Aniseloft-Memory-Mb": "64"}
	if key != "" {
		headers["Idempotency-Key"] = key
	}
	if timeoutMS != "" {
		headers["X-Aniseloft-Timeout-Ms"] = timeoutMS
	}
	return r.request(who, http.MethodPost, "http://"+addr+"/v1/statement", statement, headers)
}

func (r *run) get(who, uri string) answer { return r.request(who, http.MethodGet, uri, "", nil) }

// follow follows a query to its end and returns the last answer and the number of rows. As a client of the public protocol
// does, it repeats a poll that is answered with 429, 502, 503 or 504.
func (r *run) follow(who string, a answer) (last answer, rows int) {
	for {
		rows += len(a.Data)
		if a.NextURI == "" || a.err != nil || a.Error != nil {
			return a, rows
		}
		next := r.get(who, a.NextURI)
		for next.status == 429 || next.status >= 502 && next.status <= 504 {
			time.Sleep(500 * time.Millisecond)
			next = r.get(who, a.NextURI)
		}
		a = next
	}
}

// jsonClient is a client of the JSON-RPC protocol with one connection.
type jsonClient struct {
	run    *run
	who    string
	conn   net.Conn
	reader *bufio.Reader
}

func (r *run) dialJSON(who, addr string) *jsonClient {
	conn, err := net.Dial("tcp4", addr)
	must(err)
	return &jsonClient{r, who, conn, bufio.NewReader(conn)}
}

func (c *jsonClient) send(line string) {
	c.run.note("%s: sends %s", c.who, line)
	_, err := io.WriteString(c.conn, line+"\n")
	must(err)
}

func (c *jsonClient) read(timeout time.Duration) string {
	must(c.conn.SetReadDeadline(time.Now().Add(timeout)))
	line, err := c.reader.ReadString('\n')
	must(err)
	c.run.note("%s: gets %.300s", c.who, strings.TrimSpace(line))
	return line
}

package main

import (
	"bufio"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// newCall returns a new call id of 16 hex digits.
func newCall() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// query is a request of a client.
type query struct {
	id        int
	call      string
	class     string
	statement string
	ttl       time.Duration
	workMS    float64
	sentAt    time.Time
}

// answer is a line that a client received.
type answer struct {
	ID     int `json:"id"`
	Result *struct {
		Doc string `json:"doc"`
	} `json:"result"`
	Error *struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
	at time.Time
}

// rows returns the rows of an answer 'served'.
func (a *answer) rows() (rows string, served bool) {
	if a.Result == nil {
		return "", false
	}
	b, err := base64.StdEncoding.DecodeString(a.Result.Doc)
	return string(b), err == nil
}

// kind returns the answer's meaning.
func (a *answer) kind() string {
	switch {
	case a.Result != nil:
		return "served"
	case a.Error != nil && a.Error.Code == -32000:
		return "refused (" + a.Error.Message + ")"
	case a.Error != nil:
		return "failed (" + a.Error.Message + ")"
	}
	return "unreadable"
}

// client is one connection to a coordinator that reads all answers as they come.
type client struct {
	conn    net.Conn
	mu      sync.Mutex
	lastID  int
	answers map[int][]*answer
	arrived chan struct{} // gets a value after each answer
	closed  chan struct{} // closed once the connection has ended
	endedAt time.Time
	endErr  error
}

func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, answers: map[int][]*answer{}, arrived: make(chan struct{}, 1024), closed: make(chan struct{})}
	go c.read()
	return c, nil
}

func (c *client) read() {
	in := bufio.NewReaderSize(c.conn, 128<<10)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			c.mu.Lock()
			c.endedAt, c.endErr = time.Now(), err
			c.mu.Unlock()
			close(c.closed)
			return
		}
		a := &answer{at: time.Now()}
		if json.Unmarshal(line, a) != nil {
			continue // without an id it answers no request
		}
		c.mu.Lock()
		c.answers[a.ID] = append(c.answers[a.ID], a)
		c.mu.Unlock()
		select {
		case c.arrived <- struct{}{}:
		default:
		}
	}
}

// line numbers a query and returns its line.
func (c *client) line(q *query) []byte {
	c.mu.Lock()
	c.lastID++
	q.id = c.lastID
	c.mu.Unlock()
	return encodeQuery(q)
}

func encodeQuery(q *query) []byte {
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":%q,"params":{"call":%q,"ttl":%d,"work":%g,"ram":64,"doc":%q}}`+"\n",
		q.id, q.class, q.call, q.ttl.Milliseconds(), q.workMS, base64.StdEncoding.EncodeToString([]byte(q.statement)))
}

// send sends queries in one write.
func (c *client) send(queries ...*query) error {
	var b []byte
	for _, q := range queries {
		b = append(b, c.line(q)...)
	}
	for _, q := range queries {
		q.sentAt = time.Now()
	}
	_, err := c.conn.Write(b)
	return err
}

// answersTo returns the answers that came for a query so far.
func (c *client) answersTo(q *query) []*answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers[q.id]
}

// await waits for the answer to a query until its time has passed. It returns nil if there was none.
func (c *client) await(q *query, slack time.Duration) *answer {
	deadline := time.After(time.Until(q.sentAt.Add(q.ttl + slack)))
	for {
		if answers := c.answersTo(q); len(answers) > 0 {
			return answers[0]
		}
		select {
		case <-c.arrived:
		case <-c.closed:
			if answers := c.answersTo(q); len(answers) > 0 {
				return answers[0]
			}
			return nil
		case <-deadline:
			return nil
		}
	}
}

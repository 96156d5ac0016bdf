package live

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"aniseloft/internal/emulator/receivetime"
)

// maxRequestsPerConnection is the protocol's limit on open requests on one connection.
const maxRequestsPerConnection = 32

// clientPool holds the clients' connections to one coordinator. One goroutine per connection reads answers until the connection
// closes.
type clientPool struct {
	addr        string
	isFixed     bool       // whether the pool opens no further connections
	mu          sync.Mutex // guards connections and their fields
	connections []*clientConnection
	readers     sync.WaitGroup
}

// clientConnection is one open connection of a pool, with the handlers of its requests.
type clientConnection struct {
	*receivetime.Conn
	pool              *clientPool
	lastID            int
	pendingHandlers   map[int]answerHandler // handlers of unanswered requests, by request ID
	cancelledHandlers map[int]answerHandler // handlers of cancelled requests, which may still be answered, by request ID
	closed            bool
}

// answerHandler is called with an answer and its arrival time, or with nil when the connection ends without an answer.
type answerHandler func(a *answer, arrivedAt time.Time)

// answer is a JSON-RPC response of a coordinator: a result or an error.
type answer struct {
	ID     int `json:"id"`
	Result *struct {
		Doc string `json:"doc"`
	} `json:"result"`
	Error *struct {
		Code int `json:"code"`
		Data struct {
			Pushback float64 `json:"pushback"`
		} `json:"data"`
	} `json:"error"`
}

// errNoConnection is returned when all connections of a pool with isFixed set are closed or at their limit of open
// requests.
var errNoConnection = errors.New("no open connection to the coordinator")

// close closes the connections.
func (p *clientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.connections {
		_ = c.Close()
	}
}

// connection returns a connection below its limit of open requests, and opens one if there is none. The caller holds mu.
func (p *clientPool) connection() (*clientConnection, error) {
	for _, c := range p.connections {
		if len(c.pendingHandlers) < maxRequestsPerConnection {
			return c, nil
		}
	}
	if p.isFixed {
		return nil, errNoConnection
	}
	raw, err := net.DialTimeout("tcp", p.addr, 2*time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect to the coordinator: %w", err)
	}
	timed, err := receivetime.New(raw.(*net.TCPConn))
	if err != nil {
		return nil, fmt.Errorf("connection to the coordinator: %w", err)
	}
	c := &clientConnection{Conn: timed, pool: p, pendingHandlers: map[int]answerHandler{}, cancelledHandlers: map[int]answerHandler{}}
	p.connections = append(p.connections, c)
	p.readers.Go(c.read)
	return c, nil
}

// send sends a request and calls done with the answer, or with nil when the connection ends. The returned function cancels the
// request; done is then called only if the coordinator had already sent an answer. An error means that the request was not sent.
func (p *clientPool) send(method string, params map[string]any, done answerHandler) (cancel func(), err error) {
	return p.sendInPieces(method, params, 0, done)
}

// sendInPieces sends a request like send, but pauses for the duration gap in the middle of the message; 0: no pause.
func (p *clientPool) sendInPieces(method string, params map[string]any, gap time.Duration, done answerHandler) (cancel func(), err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, err := p.connection()
	if err != nil {
		return nil, err
	}
	c.lastID++
	id := c.lastID
	line, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": id, "method": method, "params": params})
	if err != nil {
		return nil, err
	}
	c.pendingHandlers[id] = done
	line = append(line, '\n')
	if gap > 0 {
		half := len(line) / 2
		_, _ = c.Write(line[:half]) // after an error the second Write fails too
		line = line[half:]
		time.Sleep(gap)
	}
	if _, err := c.Write(line); err != nil {
		delete(c.pendingHandlers, id)
		_ = c.Close()
		return nil, fmt.Errorf("send to the coordinator: %w", err)
	}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if c.pendingHandlers[id] != nil && !c.closed {
			delete(c.pendingHandlers, id)
			c.cancelledHandlers[id] = done
			_, _ = fmt.Fprintf(c, "{\"jsonrpc\":\"2.0\",\"method\":\"cancelRequest\",\"params\":{\"id\":%d}}\n", id)
		}
	}, nil
}

// read passes each answer to its handler until the connection closes, and then nil to the handlers that are left.
func (c *clientConnection) read() {
	r := bufio.NewReaderSize(c, 1<<16)
	for {
		line, err := r.ReadBytes('\n')
		if err != nil {
			break
		}
		var a answer
		if json.Unmarshal(line, &a) != nil {
			break
		}
		if done := c.takeHandler(a.ID); done != nil {
			done(&a, c.LatestRead())
		}
	}
	_ = c.Close()
	c.pool.mu.Lock()
	c.closed = true
	unansweredHandlers := c.pendingHandlers
	c.pendingHandlers = map[int]answerHandler{}
	for i, other := range c.pool.connections {
		if other == c {
			c.pool.connections = append(c.pool.connections[:i:i], c.pool.connections[i+1:]...)
			break
		}
	}
	c.pool.mu.Unlock()
	for _, done := range unansweredHandlers {
		done(nil, time.Time{})
	}
}

// takeHandler removes and returns the handler of a request's answer; nil: the request is unknown or already answered.
func (c *clientConnection) takeHandler(id int) answerHandler {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	done := c.pendingHandlers[id]
	if done == nil {
		done = c.cancelledHandlers[id]
	}
	delete(c.pendingHandlers, id)
	delete(c.cancelledHandlers, id)
	return done
}

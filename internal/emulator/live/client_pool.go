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

// maxRequestsPerConnection is the number of open requests on one connection, by the protocol.
const maxRequestsPerConnection = 32

// clientPool holds the clients' connections to one coordinator. A goroutine for each reads its answers until it closes.
type clientPool struct {
	addr        string
	fixed       bool       // no further connection is opened
	mu          sync.Mutex // guards connections and their fields
	connections []*clientConnection
	readers     sync.WaitGroup
}

type clientConnection struct {
	*receivetime.Conn
	pool      *clientPool
	lastID    int
	pending   map[int]answerHandler
	withdrawn map[int]answerHandler // whose answer may have been on its way
	closed    bool
}

// answerHandler is called with an answer and the time at which it arrived, or with nil when the connection ends without one.
type answerHandler func(a *answer, arrivedAt time.Time)

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

// errNoConnection says that a pool's connections have ended, or have no room.
var errNoConnection = errors.New("no open connection to the coordinator")

// close closes the connections.
func (d *clientPool) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.connections {
		_ = c.Close()
	}
}

// connection returns one with room for a request, or a new one. The caller holds mu.
func (d *clientPool) connection() (*clientConnection, error) {
	for _, c := range d.connections {
		if len(c.pending) < maxRequestsPerConnection {
			return c, nil
		}
	}
	if d.fixed {
		return nil, errNoConnection
	}
	raw, err := net.DialTimeout("tcp", d.addr, 2*time.Second)
	if err != nil {
		return nil, fmt.Errorf("coordinator: %w", err)
	}
	timed, err := receivetime.New(raw.(*net.TCPConn))
	if err != nil {
		return nil, fmt.Errorf("coordinator: %w", err)
	}
	c := &clientConnection{Conn: timed, pool: d, pending: map[int]answerHandler{}, withdrawn: map[int]answerHandler{}}
	d.connections = append(d.connections, c)
	d.readers.Go(c.read)
	return c, nil
}

// send sends a request and calls done with the answer, or with nil when the connection ends. Withdraw cancels the request;
// done is then called only if an answer was on its way. The error is that of a request that was not sent.
func (d *clientPool) send(method string, params map[string]any, done answerHandler) (withdraw func(), err error) {
	return d.sendInPieces(method, params, 0, done)
}

// sendInPieces is send with a pause in the middle of the message; 0: none.
func (d *clientPool) sendInPieces(method string, params map[string]any, gap time.Duration, done answerHandler) (withdraw func(), err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, err := d.connection()
	if err != nil {
		return nil, err
	}
	c.lastID++
	id := c.lastID
	line, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": id, "method": method, "params": params})
	if err != nil {
		return nil, err
	}
	c.pending[id] = done
	line = append(line, '\n')
	if gap > 0 {
		half := len(line) / 2
		_, _ = c.Write(line[:half]) // an error shows at the second piece too
		line = line[half:]
		time.Sleep(gap)
	}
	if _, err := c.Write(line); err != nil {
		delete(c.pending, id)
		_ = c.Close()
		return nil, fmt.Errorf("coordinator: %w", err)
	}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if c.pending[id] != nil && !c.closed {
			delete(c.pending, id)
			c.withdrawn[id] = done
			_, _ = fmt.Fprintf(c, "{\"jsonrpc\":\"2.0\",\"method\":\"cancelRequest\",\"params\":{\"id\":%d}}\n", id)
		}
	}, nil
}

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
		if done := c.take(a.ID); done != nil {
			done(&a, c.LatestRead())
		}
	}
	_ = c.Close()
	c.pool.mu.Lock()
	c.closed = true
	open := c.pending
	c.pending = map[int]answerHandler{}
	for i, o := range c.pool.connections {
		if o == c {
			c.pool.connections = append(c.pool.connections[:i:i], c.pool.connections[i+1:]...)
			break
		}
	}
	c.pool.mu.Unlock()
	for _, done := range open {
		done(nil, time.Time{})
	}
}

// take returns the handler of the answer to a request, once.
func (c *clientConnection) take(id int) answerHandler {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	done := c.pending[id]
	if done == nil {
		done = c.withdrawn[id]
	}
	delete(c.pending, id)
	delete(c.withdrawn, id)
	return done
}

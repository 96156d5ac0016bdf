package transport

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/oncall"
	"aniseloft/internal/protocol/jsonrpc"
	"aniseloft/internal/routing"
)

const (
	clientIdle   = 5 * time.Second // with nothing open; clients themselves leave after 4 s
	clientWrite  = 5 * time.Second // an answer that a client does not read ends its connection
	maxPerClient = 32              // open requests on a connection
	outQueue     = 4 * maxPerClient
	// rejectRest is how long a connection goes unread after messages that can't be
	// taken: a client that sends such at full speed must not fill the core.
	rejectRest = 20 * time.Millisecond
	// leaveLook is how often a reader looks whether its connection may go, during a drain.
	leaveLook = 50 * time.Millisecond
)

// Clients is the front that speaks the platform's protocol.
type Clients struct {
	Core *routing.Core
	Pass func() bool // whether new connections are welcome: the answer to alive
	// Take tells whether a request that came whole at that time, and is expected to
	// take so long, is taken; if not, it is refused with oncall.ComeBack. Nil: all are.
	Take func(time.Time, time.Duration) bool
	// Leaving tells whether clients are sent away: a connection with nothing open is
	// closed. Nil: never.
	Leaving func() bool
	In      *Budget // what unfinished messages of all clients hold
	Out     *Budget // what answers not yet written hold
	Log     *slog.Logger
}

// client is one connection.
type client struct {
	front  *Clients
	conn  *ClientConn
	out    chan []byte
	queued atomic.Int64 // bytes in out
	mu     sync.Mutex
	dead   bool // nothing more is queued for it
	rejected bool // sent what can't be taken, since the last read
	open   map[string]*reply
}

// reply is the one answer owed to an id.
type reply struct {
	c      *client
	id     string
	ticket routing.Ticket
}

// Serve speaks with one client until it leaves or ctx ends.
func (f *Clients) Serve(ctx context.Context, g *ClientConn) {
	k := &client{front: f, conn: g, out: make(chan []byte, outQueue), open: map[string]*reply{}}
	l := newLink(g, shortBuffer)
	written := make(chan struct{})
	go func() { defer close(written); k.writeAll(l) }()
	stop := context.AfterFunc(ctx, func() { _ = g.SetReadDeadline(time.Unix(1, 0)) })
	var m jsonrpc.Machine
	for held := 0; ctx.Err() == nil; {
		leaving := f.leaving()
		if leaving && g.quiet() {
			g.leave()
			break
		}
		due := g.due(clientIdle)
		if look := time.Now().Add(leaveLook); leaving && look.Before(due) {
			due = look
		}
		b, err := l.read(ctx, due)
		at := time.Now()
		if err != nil && isTimeout(err) && (at.Before(g.due(clientIdle)) || leaving || f.leaving()) {
			continue
		}
		if err != nil {
			break
		}
		msgs, err := m.Feed(b)
		for _, msg := range msgs {
			k.take(msg, at)
		}
		g.said(len(msgs) > 0, m.Held() > 0)
		fits := f.In.move(held, m.Held())
		if held = m.Held(); err != nil || !fits {
			f.Log.Debug("client connection closed", "err", err, "fits", fits)
			break
		}
		if k.rejected {
			k.rejected = false
			time.Sleep(rejectRest)
		}
	}
	stop()
	f.In.move(m.Held(), 0)
	k.leave()
	<-written
}

func (f *Clients) leaving() bool { return f.Leaving != nil && f.Leaving() }

// take handles one message; at is when its last byte was read.
func (k *client) take(msg any, at time.Time) {
	switch msg := msg.(type) {
	case jsonrpc.Request:
		if !k.inUse(msg.ID) {
			k.request(msg, at)
		}
	case jsonrpc.Cancel:
		k.mu.Lock()
		r := k.close(msg.ID)
		k.mu.Unlock()
		if r != nil {
			k.front.Core.Gone(r.ticket)
		}
	case jsonrpc.Alive:
		if !k.inUse(msg.ID) {
			k.send(jsonrpc.AliveAnswer(msg.ID, k.front.Pass()))
		}
	case jsonrpc.Bad:
		if !k.inUse(msg.ID) {
			k.reject(msg.Answer)
		}
	}
}

// reject answers what can't be taken.
func (k *client) reject(line []byte) {
	k.rejected = true
	k.send(line)
}

// inUse tells whether a message, whatever it is, came under the id of an open request.
// Whichever were answered, the client could not tell which it was: the request is
// withdrawn, and the id gets its one answer now.
func (k *client) inUse(id string) bool {
	k.mu.Lock()
	r := k.close(id)
	k.mu.Unlock()
	if r == nil {
		return false
	}
	k.front.Core.Gone(r.ticket)
	k.reject(jsonrpc.Error(id, jsonrpc.CodeInvalid, "invalid request: the id is in use"))
	return true
}

// close takes an id off what is open; the lock is held.
func (k *client) close(id string) *reply {
	r := k.open[id]
	if r != nil {
		delete(k.open, id)
		k.conn.opened(-1)
	}
	return r
}

func (k *client) request(m jsonrpc.Request, at time.Time) {
	core := k.front.Core
	class, ok := core.Class(m.Method)
	if !ok {
		k.reject(jsonrpc.Error(m.ID, jsonrpc.CodeNoMethod, "method not found"))
		return
	}
	if err := core.Usable(class, m.TTL, m.Work, m.RAM); err != nil {
		k.reject(jsonrpc.Error(m.ID, jsonrpc.CodeParams, "invalid params: "+err.Error()))
		return
	}
	cls := core.Settings().Classes[class]
	if cls.Repeat == decide.RepeatKeyed && m.Key == "" {
		k.reject(jsonrpc.Error(m.ID, jsonrpc.CodeParams, "invalid params: dedupe is needed: engines drop repeats of this class by it"))
		return
	}
	if k.front.Take != nil && !k.front.Take(at, oncall.Expect(m.Work, cls.Threads, cls.Aim)) {
		k.conn.sentAway()
		k.send(jsonrpc.Refused(m.ID, "this coordinator is sending its clients away", float64(oncall.ComeBack.Milliseconds())))
		return
	}
	r := &reply{c: k, id: m.ID}
	k.mu.Lock()
	full := len(k.open) >= maxPerClient
	if !full {
		k.open[m.ID] = r
		k.conn.opened(1)
	}
	k.mu.Unlock()
	if full {
		k.reject(jsonrpc.Refused(m.ID, "too many open requests on this connection", core.Settings().MaxComeBack))
		return
	}
	r.ticket = core.Submit(routing.Query{Call: m.Call, Class: class, Statement: m.Document,
		Deadline: at.Add(time.Duration(m.TTL * float64(time.Millisecond))), Work: m.Work, MemoryMB: m.RAM,
		Key: m.Key, Repeat: m.Repeat}, r)
}

// Answer queues the final answer; it runs on the core's goroutine.
func (r *reply) Answer(a routing.Answer) {
	var line []byte
	switch a.Kind {
	case routing.Served:
		line = jsonrpc.Result(r.id, a.Body)
	case routing.Refused:
		line = jsonrpc.Refused(r.id, a.Why, float64(a.ComeBack.Milliseconds()))
	default:
		line = jsonrpc.Error(r.id, jsonrpc.CodeFailed, a.Why)
	}
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	if r.c.open[r.id] != r { // cancelled, or its client is gone
		return
	}
	r.c.close(r.id)
	r.c.queue(line)
	if len(r.c.open) == 0 && r.c.front.leaving() {
		_ = r.c.conn.SetReadDeadline(time.Now()) // its reader is to close it
	}
}

func (k *client) send(line []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queue(line)
}

// queue never waits: a client that does not read what it asked for is cut off, as is
// one that has answers waiting while all of them together fill what there is for them.
func (k *client) queue(line []byte) {
	if k.dead {
		return
	}
	if k.front.Out.move(0, len(line)) || k.queued.Load() == 0 {
		k.queued.Add(int64(len(line)))
		select {
		case k.out <- line:
			return
		default:
			k.queued.Add(-int64(len(line)))
		}
	}
	k.front.Out.move(len(line), 0)
	k.dead = true
	close(k.out)
	_ = k.conn.Close()
}

// leave withdraws what is open: nobody waits for it any more.
func (k *client) leave() {
	k.mu.Lock()
	open := k.open
	k.open = map[string]*reply{}
	if !k.dead {
		k.dead = true
		close(k.out)
	}
	k.mu.Unlock()
	for _, r := range open {
		k.front.Core.Gone(r.ticket)
	}
}

// writeAll writes what is queued; lines that are ready together go together.
func (k *client) writeAll(l *link) {
	var err error
	for line := range k.out {
		if err == nil {
			err = k.write(l, line)
		}
		if err != nil {
			_ = k.conn.Close() // the reader closes the queue, which is emptied till then
		}
		k.queued.Add(-int64(len(line)))
		k.front.Out.move(len(line), 0)
	}
	_ = l.text.W.Flush()
}

func (k *client) write(l *link, line []byte) error {
	if err := k.conn.SetWriteDeadline(time.Now().Add(clientWrite)); err != nil {
		return err
	}
	if _, err := l.text.W.Write(line); err != nil || len(k.out) > 0 {
		return err
	}
	return l.text.W.Flush()
}

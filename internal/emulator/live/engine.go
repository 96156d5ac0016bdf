// Package live puts the emulator's engines behind real loopback sockets, with the journal
// service that lists them, and rehearses days with real coordinators: the same engine
// model, troubles and observer as in virtual time, driven by the wall clock.
package live

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/emulator/engine"
	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/receivetime"
	"aniseloft/internal/emulator/scenario"
)

// Engine is one engine on a socket, which speaks the engines' protocol. Timers and connections share it under mu.
type Engine struct {
	scenario       *scenario.Scenario
	clock          Clock
	judge          *judge
	place          int
	host           string // where it listens
	zone           int
	endpoint       uint32
	addr           string
	build          engine.Config
	meanWork       func(class int) float64
	server         *http.Server
	mu             sync.Mutex
	resumed        *sync.Cond
	model          *engine.Engine
	slowdown       float64 // a multiple of the other engines' execution times; 0 stands for 1
	queries        map[string]*engineQuery
	lastJobID      uint64
	running        bool
	draining       bool
	removed        bool
	stalled        bool
	unresponsive   bool
	startedAt      float64 // 0: before the rehearsal
	timer          *time.Timer
	endedWork      engine.WorkTotals
	drawError      func() bool
	drawPlan       func(class int) float64                        // draws the multiple of its work that an attempt takes
	neighbourRatio float64                                        // part of the machine that another program uses
	reportDelayMS  float64                                        // added to reports
	receivedAt     func(local, remote net.Addr) (time.Time, bool) // see Options.ReceivedAt
}

// engineQuery is a query that the engine holds.
type engineQuery struct {
	job        *engine.Job
	attempt    *attempt
	ended      chan struct{}
	status     int // a status
	polledAt   float64
	reported   bool    // the observer knows its end
	progressAt float64 // when its last progress report was due
	// Progress reports so far: of its ratio, and of the memory that it lacks.
	ratioReports, spillReports int
}

const (
	longPollTimeout = 250 * time.Millisecond // of a query's end
	resultRows      = "a\tb\tc\n"
)

// Listen opens the engine's address, the same one each time.
func (e *Engine) listen() error {
	at := e.addr
	if at == "" {
		at = e.host + ":0"
	}
	l, err := net.Listen("tcp", at)
	if err != nil {
		return fmt.Errorf("engine %d: %w", e.place, err)
	}
	e.addr = l.Addr().String()
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: 5 * time.Second, ErrorLog: discardLog,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
		ConnState: func(_ net.Conn, st http.ConnState) {
			if st == http.StateNew {
				e.judge.with(func(o *observer.Observer) { o.Totals().Handshakes++ })
			}
		}}
	go func(s *http.Server) { _ = s.Serve(engineListener{l}) }(e.server)
	return nil
}

// engineListener accepts connections that know when their bytes arrived.
type engineListener struct{ net.Listener }

// Accept waits for the next connection.
func (l engineListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := accepted.(*net.TCPConn)
	_ = c.SetLinger(0) // a process that dies resets its connections
	timed, err := receivetime.New(c)
	if err != nil { // it has been reset already
		return c, nil
	}
	return timed, nil
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// sentAt returns when the first byte of a request left its coordinator.
func (e *Engine) sentAt(r *http.Request) float64 {
	c, timed := r.Context().Value(connectionKey{}).(*receivetime.Conn)
	if !timed {
		return e.clock.Now()
	}
	if e.receivedAt != nil {
		if at, passedProxy := e.receivedAt(c.LocalAddr(), c.RemoteAddr()); passedProxy {
			return e.clock.Of(at)
		}
	}
	return e.clock.Of(c.MessageBegan())
}

// startProcess starts a new process; started is when it begins to warm up.
func (e *Engine) startProcess(started, slow float64) error {
	if err := e.listen(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model = engine.New(e.build, e.clock.Now(), started)
	e.model.SetSlowdown(e.clock.Now(), slow*max(e.slowdown, 1))
	e.model.SetNeighbourRatio(e.clock.Now(), e.neighbourRatio)
	e.model.SetReportDelay(e.clock.Now(), e.reportDelayMS)
	e.queries = map[string]*engineQuery{}
	e.running, e.draining, e.stalled, e.unresponsive, e.startedAt = true, false, false, false, max(started, 0)
	return nil
}

// terminate ends the process: connections are reset and queries lost.
func (e *Engine) terminate() {
	e.mu.Lock()
	if !e.running {
		e.mu.Unlock()
		return
	}
	e.advance()
	e.running = false
	e.model.Terminate(e.clock.Now())
	b, left := e.model.WorkTotals()
	e.endedWork.In, e.endedWork.Done, e.endedWork.Dropped = e.endedWork.In+b.In, e.endedWork.Done+b.Done, e.endedWork.Dropped+b.Dropped+left
	for _, r := range e.queries {
		r.finish(0)
		e.attemptEnded(r, decide.OutcomeReset)
	}
	e.resumed.Broadcast()
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
}

// advance brings the model up to now, handles what ended and sets the next timer. The caller holds mu.
func (e *Engine) advance() {
	now := e.clock.Now()
	for at := e.model.Next(); at <= now; at = e.model.Next() { // timers fire late: each end has its own time
		e.jobsEnded(e.model.Advance(at))
	}
	e.jobsEnded(e.model.Advance(now))
	if e.timer != nil {
		e.timer.Stop()
	}
	next := e.model.Next()
	for id, r := range e.queries { // a query that nobody polls is cancelled
		if now-r.polledAt > e.scenario.Engines.OrphanMS {
			e.model.Cancel(now, r.job.ID)
			r.finish(http.StatusInternalServerError)
			e.attemptEnded(r, decide.OutcomeTimeout)
			delete(e.queries, id)
		}
	}
	if len(e.queries) > 0 {
		next = min(next, now+e.scenario.Engines.OrphanMS/4)
	}
	if !math.IsInf(next, 1) {
		e.timer = time.AfterFunc(time.Until(e.clock.At(next)), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.running {
				e.advance()
			}
		})
	}
}

func (e *Engine) jobsEnded(ends []engine.End) {
	for _, end := range ends {
		r := end.Job.Owner.(*engineQuery)
		switch {
		case end.Expired:
			r.finish(http.StatusGatewayTimeout)
		case e.drawError():
			r.finish(http.StatusInternalServerError)
		default:
			r.finish(http.StatusOK)
		}
	}
}

// changeModel applies a fault to the model of a running engine.
func (e *Engine) changeModel(f func(now float64)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running {
		e.advance()
		f(e.clock.Now())
		e.advance()
	}
	e.resumed.Broadcast()
}

// waitUntilResponsive waits while the engine is stalled or unresponsive. It reports whether the process still runs. The caller
// holds mu.
func (e *Engine) waitUntilResponsive() bool {
	for e.running && (e.stalled || e.unresponsive) {
		e.resumed.Wait()
	}
	return e.running
}

func (e *Engine) workTotals() (b engine.WorkTotals, left float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b = e.endedWork
	if e.running {
		e.advance()
		now, l := e.model.WorkTotals()
		b.In, b.Done, b.Dropped, left = b.In+now.In, b.Done+now.Done, b.Dropped+now.Dropped, l
	}
	return b, left
}

// Package live serves the emulator's engines on real loopback sockets, with the journal
// service that lists them, and rehearses days with real coordinators: the same engine
// model, faults and observer as in virtual time, driven by the wall clock.
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

// Engine serves one engine model on a socket, with the engines' protocol. Timers and connections share it; mu guards it.
type Engine struct {
	scenario         *scenario.Scenario
	clock            Clock
	sharedObserver   *sharedObserver
	index            int
	host             string // host on which the engine listens
	zone             int
	endpoint         uint32
	addr             string
	config           engine.Config
	meanWork         func(class int) float64
	server           *http.Server
	mu               sync.Mutex
	resumed          *sync.Cond // broadcast when running, stalled or unresponsive may have changed
	model            *engine.Engine
	slowdown         float64 // a multiple of the other engines' execution times; 0 stands for 1
	queries          map[string]*engineQuery
	lastJobID        uint64
	running          bool
	draining         bool
	removed          bool // the engine does not start again
	stalled          bool
	unresponsive     bool
	startedAt        float64 // start of the warm-up of the current process; 0: the engine was warm when the rehearsal began
	timer            *time.Timer
	endedWork        engine.WorkTotals                              // work totals of earlier processes
	drawError        func() bool                                    // draws whether a completed query fails
	drawPlanMultiple func(class int) float64                        // draws the factor by which an attempt multiplies its work
	neighbourRatio   float64                                        // part of the cores and disks that another program uses
	reportDelayMS    float64                                        // additional delay of load reports
	receivedAt       func(local, remote net.Addr) (time.Time, bool) // see Options.ReceivedAt
}

// engineQuery is a query that the engine runs or whose result it holds.
type engineQuery struct {
	job        *engine.Job
	request    *clientRequest
	ended      chan struct{} // closed once status is set
	status     int           // HTTP status with which the query ended; 0: the process ended
	polledAt   float64       // time of the latest poll of the coordinator
	reported   bool          // the observer has been notified of the query's end
	progressAt float64       // time at which the latest progress report was due
	// Numbers of progress reports sent so far: of the query's completed ratio, and of its missing memory.
	ratioReports, spillReports int
}

const (
	longPollTimeout = 250 * time.Millisecond // maximum wait for the end of a query before an answer with status 202
	resultRows      = "a\tb\tc\n"
)

// listen listens on the engine's address, which is chosen at the first call and kept for later processes of the engine.
func (e *Engine) listen() error {
	address := e.addr
	if address == "" {
		address = e.host + ":0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("engine %d: %w", e.index, err)
	}
	e.addr = l.Addr().String()
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ReadHeaderTimeout: 5 * time.Second, ErrorLog: discardLog,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, c)
		},
		ConnState: func(_ net.Conn, st http.ConnState) {
			if st == http.StateNew {
				e.sharedObserver.with(func(o *observer.Observer) { o.Totals().Handshakes++ })
			}
		}}
	go func(s *http.Server) { _ = s.Serve(engineListener{l}) }(e.server)
	return nil
}

// engineListener accepts connections that record when their bytes arrived.
type engineListener struct{ net.Listener }

// Accept waits for the next connection.
func (l engineListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := accepted.(*net.TCPConn)
	_ = c.SetLinger(0) // a close resets the connection, as the death of a process does
	timed, err := receivetime.New(c)
	if err != nil { // the connection has already been reset
		return c, nil
	}
	return timed, nil
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// sentAt returns the time at which the first byte of a request left its coordinator.
func (e *Engine) sentAt(r *http.Request) float64 {
	c, timed := r.Context().Value(connectionKey{}).(*receivetime.Conn)
	if !timed {
		return e.clock.Now()
	}
	if e.receivedAt != nil {
		if at, passedProxy := e.receivedAt(c.LocalAddr(), c.RemoteAddr()); passedProxy {
			return e.clock.FromWallTime(at)
		}
	}
	return e.clock.FromWallTime(c.MessageBegan())
}

// startProcess starts a new process, which warms up from warmUpStart on. If warmUpStart is negative, the process is
// warm.
func (e *Engine) startProcess(warmUpStart, fleetSlowdown float64) error {
	if err := e.listen(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model = engine.New(e.config, e.clock.Now(), warmUpStart)
	e.model.SetSlowdown(e.clock.Now(), fleetSlowdown*max(e.slowdown, 1))
	e.model.SetNeighbourRatio(e.clock.Now(), e.neighbourRatio)
	e.model.SetReportDelay(e.clock.Now(), e.reportDelayMS)
	e.queries = map[string]*engineQuery{}
	e.running, e.draining, e.stalled, e.unresponsive, e.startedAt = true, false, false, false, max(warmUpStart, 0)
	return nil
}

// terminate ends the engine's process: its connections are reset and its queries are lost.
func (e *Engine) terminate() {
	e.mu.Lock()
	if !e.running {
		e.mu.Unlock()
		return
	}
	e.advance()
	e.running = false
	e.model.Terminate(e.clock.Now())
	totals, left := e.model.WorkTotals()
	e.endedWork.In, e.endedWork.Done, e.endedWork.Dropped = e.endedWork.In+totals.In, e.endedWork.Done+totals.Done, e.endedWork.Dropped+totals.Dropped+left
	for _, q := range e.queries {
		q.finish(0)
		e.attemptEnded(q, decide.OutcomeReset)
	}
	e.resumed.Broadcast()
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
}

// advance advances the model to the current time, handles the queries that ended and sets the next timer. The caller holds mu.
func (e *Engine) advance() {
	now := e.clock.Now()
	for at := e.model.Next(); at <= now; at = e.model.Next() { // timers fire late: each end is handled at its own time
		e.jobsEnded(e.model.Advance(at))
	}
	e.jobsEnded(e.model.Advance(now))
	if e.timer != nil {
		e.timer.Stop()
	}
	next := e.model.Next()
	for id, q := range e.queries { // a query that is no longer polled is cancelled
		if now-q.polledAt > e.scenario.Engines.OrphanMS {
			e.model.Cancel(now, q.job.ID)
			q.finish(http.StatusInternalServerError)
			e.attemptEnded(q, decide.OutcomeTimeout)
			delete(e.queries, id)
		}
	}
	if len(e.queries) > 0 {
		next = min(next, now+e.scenario.Engines.OrphanMS/4)
	}
	if !math.IsInf(next, 1) {
		e.timer = time.AfterFunc(time.Until(e.clock.WallTime(next)), func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.running {
				e.advance()
			}
		})
	}
}

// jobsEnded sets the HTTP status of the queries whose jobs ended. A part of the completed jobs fails at random.
func (e *Engine) jobsEnded(ends []engine.End) {
	for _, end := range ends {
		q := end.Job.Owner.(*engineQuery)
		switch {
		case end.Expired:
			q.finish(http.StatusGatewayTimeout)
		case e.drawError():
			q.finish(http.StatusInternalServerError)
		default:
			q.finish(http.StatusOK)
		}
	}
}

// changeModel calls f, which applies a fault to the model, if the engine runs.
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

// waitUntilResponsive waits while the engine is stalled or unresponsive, and reports whether the process still runs. The caller
// holds mu.
func (e *Engine) waitUntilResponsive() bool {
	for e.running && (e.stalled || e.unresponsive) {
		e.resumed.Wait()
	}
	return e.running
}

// workTotals returns the sums of the work of all processes so far; left is the work that is not done yet, in ms.
func (e *Engine) workTotals() (totals engine.WorkTotals, left float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	totals = e.endedWork
	if e.running {
		e.advance()
		current, currentLeft := e.model.WorkTotals()
		totals.In, totals.Done, totals.Dropped, left = totals.In+current.In, totals.Done+current.Done, totals.Dropped+current.Dropped, currentLeft
	}
	return totals, left
}

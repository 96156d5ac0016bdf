package live

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"aniseloft/decide"
	"aniseloft/internal/emulator/clients"
	"aniseloft/internal/emulator/des"
	"aniseloft/internal/emulator/engine"
	"aniseloft/internal/emulator/loopback"
	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/scenario"
)

// Options configure a rehearsal. Coordinators are named by their index.
type Options struct {
	Seed        uint64
	Coordinator string    // path of the program; empty: serve engines only, without clients
	Log         io.Writer // what coordinators print
	Progress    func(nowMS, endMS float64)
	// Program returns what a coordinator runs at a start, counted from 0. Nil: Coordinator.
	Program func(n, start int) string
	// Environment returns a coordinator's working directory, with operators' files, what is added to its environment
	// variables and its log. Nil: a directory of the rehearsal without such files, and Log.
	Environment func(n int) (dir string, env []string, log io.Writer)
	// ServiceAddress returns the address by which a coordinator reaches a service, ToJournal or ToEngine, that listens at
	// addr. Nil: directly.
	ServiceAddress func(n int, to, addr string) (string, error)
	// ReceivedAt returns when the message that an engine reads now from a connection, which it knows by these addresses, left
	// its coordinator; false: the connection passes no proxy. Nil: none does.
	ReceivedAt func(local, remote net.Addr) (time.Time, bool)
	// Unanswered is told of a request that may have crossed the close of its connection by the coordinator, and judges it. Nil:
	// no close may cross a request.
	Unanswered func(coordinator int, call string)
	// GossipAddresses returns the addresses to which a coordinator sends its peers' datagrams. Nil: directly.
	GossipAddresses func(n int, peers []string) ([]string, error)
	// Control is called at the start, to inject further faults into coordinators.
	Control func(ctx context.Context, r *Controller)
	// Serving is called once all services listen, with the configurations of coordinators that are started by hand.
	Serving func(journals []string, config func(n int, listen string) ([]byte, error)) error
}

// Services that a coordinator connects to.
const (
	ToJournal = "journal"
	ToEngine  = "engine"
)

// Blocks of hosts in a rehearsal's loopback network.
const (
	coordinatorHosts = 0
	gossipHosts      = 10
	engineHosts      = 20
)

// longAgo is a start time before the rehearsal, of an engine that is warm.
const longAgo = -1

// Rehearsal is a scenario on real sockets, in real time. Timers and connections call it from goroutines of their own.
type Rehearsal struct {
	scenario         *scenario.Scenario
	options          Options
	timeline         *scenario.Timeline
	arrivals         *scenario.Arrivals
	clock            Clock
	judge            *judge
	engines          []*Engine
	discovery        *discoveryService
	frontProxyMu     sync.Mutex // guards frontProxy
	frontProxy       *clients.FrontProxy
	clientPools      []*clientPool
	coordinators     []*coordinator
	gossipAddresses  []string // where coordinators receive datagrams, by index
	activeClients    sync.WaitGroup
	discoveryRand    *rand.Rand
	fleetSlowdown    float64
	discoveryDelayMS float64
	directory        string
	network          *loopback.Network // of the engines' and coordinators' addresses
	mu               sync.Mutex        // guards fleetSlowdown, discoveryDelayMS, discoveryRand, the coordinators' processes and the fields below
	killedAt         map[int]float64
	paused           map[int]bool
	pendingUpdates   []func() // watch events that wait while discovery is down
}

// Run serves the engines of a scenario, or rehearses it with real coordinators, until its end or that of ctx.
func Run(ctx context.Context, s *scenario.Scenario, opt Options) (*observer.Report, error) {
	d := &Rehearsal{
		scenario: s, options: opt, timeline: s.Timeline(opt.Seed), fleetSlowdown: 1, clock: newClock(),
		killedAt: map[int]float64{}, paused: map[int]bool{},
		judge: &judge{observer: observer.New(s, socketSlackMS), calls: map[string]*attempt{}},
	}
	d.arrivals = s.Arrivals(opt.Seed, d.timeline)
	d.frontProxy = clients.NewFrontProxy(s, des.Stream(opt.Seed, "front"))
	d.discoveryRand = des.Stream(opt.Seed, "roster")
	var err error
	if d.network, err = loopback.Claim(); err != nil {
		return nil, fmt.Errorf("rehearsal: %w", err)
	}
	defer d.network.Release() // once close has ended all that listens there
	defer d.close()
	if err := d.startEngines(); err != nil {
		return nil, err
	}
	if opt.Serving != nil {
		err := opt.Serving(d.discovery.addrs, func(n int, listen string) ([]byte, error) { return d.config(n, listen, d.options.Seed) })
		if err != nil {
			return nil, err
		}
	}
	if opt.Coordinator != "" {
		if err := d.startCoordinators(ctx); err != nil {
			return nil, err
		}
	}
	return d.play(ctx)
}

// startEngines creates all engines of the timeline, starts those of the initial fleet and publishes them.
func (d *Rehearsal) startEngines() error {
	d.createEngines()
	service, err := newDiscoveryService(d.scenario.Coordinators.Count, notifyObserver(d.judge, d.clock.Now))
	if err != nil {
		return err
	}
	service.serviceAddress = d.options.ServiceAddress
	// In a drill coordinators may read the list for each other: it counts as notified once it is published.
	service.notifyAll = d.options.Control != nil
	d.discovery = service
	var entries []server
	for _, e := range d.engines[:d.scenario.Engines.Count] {
		if err := e.startProcess(longAgo, 1); err != nil {
			return err
		}
		entries = append(entries, d.listEntry(e, decide.EndpointReady))
	}
	service.publish(true, entries...)
	return nil
}

func (d *Rehearsal) createEngines() {
	builds, ids := des.Stream(d.options.Seed, "engines"), des.Stream(d.options.Seed, "engine ids")
	errorRand, planRand := des.Stream(d.options.Seed, "errors"), des.Stream(d.options.Seed, "bad plans")
	var randMu sync.Mutex // guards errorRand and planRand, which all engines share
	drawPlan := func(class int) float64 {
		randMu.Lock()
		defer randMu.Unlock()
		return engine.DrawPlanMultiple(d.scenario.Classes[class], planRand)
	}
	drawError := func() bool {
		randMu.Lock()
		defer randMu.Unlock()
		return errorRand.Float64() < d.scenario.Engines.ErrorRate
	}
	coreWorkRatio := d.arrivals.CoreWorkRatio()
	for place := range d.timeline.EngineCount {
		e := &Engine{
			scenario: d.scenario, clock: d.clock, judge: d.judge, place: place, host: d.network.Host(engineHosts, place),
			zone: d.scenario.ZoneOf(place), endpoint: ids.Uint32(), build: engine.Draw(d.scenario, builds, coreWorkRatio), meanWork: d.arrivals.MeanWork,
			drawPlan: drawPlan, drawError: drawError, receivedAt: d.options.ReceivedAt,
		}
		e.resumed = sync.NewCond(&e.mu)
		d.engines = append(d.engines, e)
	}
}

func (d *Rehearsal) listEntry(e *Engine, state decide.EndpointState) server {
	var started float64
	if e.startedAt > 0 {
		started = float64(d.clock.At(e.startedAt).UnixMilli())
	}
	return server{ID: fmt.Sprintf("s-%08x", e.endpoint), Addr: e.addr, Zone: d.scenario.Zones[e.zone], Kind: d.scenario.Engines.Kind,
		Cell: e.place / 4, State: stateNames[state], Weight: 1, Started: started, engine: endpointID(e.endpoint)}
}

// errStopped is the result of a rehearsal whose context ended first.
var errStopped = errors.New("stopped before the day's end")

// play runs the scenario from its start to its end.
func (d *Rehearsal) play(ctx context.Context) (*observer.Report, error) {
	d.clock.begin()
	d.resetEngines()
	for _, event := range d.timeline.Events {
		d.clock.after(event.AtMS, func() {
			if ctx.Err() == nil {
				d.handleEvent(ctx, event)
			}
		})
	}
	end := d.endMS()
	if d.options.Control != nil {
		d.options.Control(ctx, &Controller{d, ctx})
	}
	stop := make(chan struct{})
	defer close(stop)
	go d.reportProgress(end, stop)
	if d.options.Coordinator == "" {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(d.clock.At(end))):
		}
		return d.report()
	}
	if err := d.startClients(ctx); err != nil {
		return nil, err
	}
	if err := d.waitForClients(ctx, end); err != nil {
		return nil, err
	}
	return d.report()
}

// resetEngines gives each running engine a warm model that starts with the clock.
func (d *Rehearsal) resetEngines() {
	for _, e := range d.engines {
		e.mu.Lock()
		if e.running {
			e.model = engine.New(e.build, 0, longAgo)
		}
		e.mu.Unlock()
	}
}

// endMS is when each client has its result: after the last arrival its longest deadline passes.
func (d *Rehearsal) endMS() float64 {
	if d.options.Coordinator == "" {
		return d.scenario.DurationMS
	}
	longest := 0.0
	for _, class := range d.scenario.Classes {
		longest = max(longest, class.DeadlineMS)
	}
	return d.scenario.DurationMS + longest + d.scenario.Rules.AnswerSlackMS + socketSlackMS
}

// reportProgress reports the time until stop is closed.
func (d *Rehearsal) reportProgress(end float64, stop <-chan struct{}) {
	const interval = 200 * time.Millisecond
	for {
		select {
		case <-time.After(interval):
			if d.options.Progress != nil {
				d.options.Progress(min(d.clock.Now(), end), end)
			}
		case <-stop:
			return
		}
	}
}

// startClients starts a goroutine for each query as it arrives.
func (d *Rehearsal) startClients(ctx context.Context) error {
	for {
		query, more := d.arrivals.Next()
		if !more {
			return nil
		}
		select {
		case <-ctx.Done():
			return errStopped
		case <-time.After(time.Until(d.clock.At(query.ArrivesAt))):
		}
		cl := &client{rehearsal: d, query: query, state: clients.NewClientQuery(d.scenario, query)}
		d.activeClients.Add(1)
		d.judge.with(func(o *observer.Observer) { o.FirstTry(&cl.state) })
		go cl.try()
	}
}

// waitForClients waits until each client has its result, or somewhat longer than that may take.
func (d *Rehearsal) waitForClients(ctx context.Context, end float64) error {
	const slack = 5 * time.Second
	done := make(chan struct{})
	go func() {
		d.activeClients.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		return errStopped
	case <-time.After(time.Until(d.clock.At(end)) + slack):
	}
	return nil
}

func (d *Rehearsal) report() (*observer.Report, error) {
	now := d.clock.Now()
	var ends sync.WaitGroup
	for _, p := range d.coordinators { // a planned end: nothing is open any more
		ends.Go(func() { d.stopCoordinator(p, syscall.SIGTERM) })
	}
	ends.Wait()
	for _, pool := range d.clientPools {
		pool.readers.Wait() // an answer that is still unread may have come in time
	}
	var in, done, dropped, left float64
	for _, e := range d.engines {
		b, l := e.workTotals()
		in, done, dropped, left = in+b.In, done+b.Done, dropped+b.Dropped, left+l
	}
	d.judge.mu.Lock()
	defer d.judge.mu.Unlock()
	o := d.judge.observer
	o.Finish(now)
	t := o.Totals()
	t.WorkIn, t.Dropped, t.Left, t.Wasted = in, dropped, left, max(done-t.Served, 0)
	r := o.Report()
	r.Seed, r.Policy, r.Mode, r.Faults = d.options.Seed, "module", "rehearsed", d.timeline.Spans
	return r, nil
}

func (d *Rehearsal) close() {
	for _, p := range d.coordinators {
		d.stopCoordinator(p, syscall.SIGKILL)
	}
	for _, e := range d.engines {
		e.terminate()
	}
	if d.discovery != nil {
		d.discovery.close()
	}
	if d.directory != "" {
		_ = os.RemoveAll(d.directory)
	}
}

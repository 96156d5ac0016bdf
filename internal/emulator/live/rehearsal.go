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

// Options configures a rehearsal. Its functions get a coordinator's index as n or coordinator.
type Options struct {
	Seed        uint64
	Coordinator string                     // path of the coordinator's program; empty: serve engines only, without clients
	Log         io.Writer                  // receives the output of coordinators
	Progress    func(nowMS, endMS float64) // called every 200 ms; nil: not called
	// Program returns the path of the program that a coordinator runs at a start, counted from 0. Nil: Coordinator.
	Program func(n, start int) string
	// Environment returns a coordinator's working directory with the operators' files, further environment variables and
	// its log. Nil: a directory of the rehearsal without operators' files, no further variables, and Log.
	Environment func(n int) (dir string, env []string, log io.Writer)
	// ServiceAddress returns the address at which a coordinator connects to a service, ToJournal or ToEngine, that listens
	// at addr. Nil: addr itself.
	ServiceAddress func(n int, service, addr string) (string, error)
	// ReceivedAt returns when the message that an engine now reads left its coordinator. The engine names its connection by
	// these two addresses. False means that the connection passes no proxy. Nil: no connection passes a proxy.
	ReceivedAt func(local, remote net.Addr) (time.Time, bool)
	// Unanswered is called with the ID of a request that may have crossed the coordinator's close of its connection, and
	// decides whether that is a violation. Nil: it always is a violation.
	Unanswered func(coordinator int, requestID string)
	// GossipAddresses returns the addresses to which a coordinator sends datagrams for its peers. Nil: peers itself.
	GossipAddresses func(n int, peers []string) ([]string, error)
	// Control is called at the start and may inject further faults into coordinators.
	Control func(ctx context.Context, r *Controller)
	// Serving is called once all services listen. Its config returns the configuration of a coordinator that is started by
	// hand.
	Serving func(journals []string, config func(n int, listen string) ([]byte, error)) error
}

// The services that a coordinator connects to.
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

// warmStartTime is the start time of an engine that is already warm when the rehearsal begins.
const warmStartTime = -1

// Rehearsal runs a scenario on real sockets, in real time. Timers and connections call it from goroutines of their own.
type Rehearsal struct {
	scenario         *scenario.Scenario
	options          Options
	timeline         *scenario.Timeline
	arrivals         *scenario.Arrivals
	clock            Clock
	sharedObserver   *sharedObserver
	engines          []*Engine
	discovery        *discoveryService
	frontProxyMu     sync.Mutex // guards frontProxy
	frontProxy       *clients.FrontProxy
	clientPools      []*clientPool
	coordinators     []*coordinator
	gossipAddresses  []string // addresses at which coordinators receive datagrams, by index
	activeClients    sync.WaitGroup
	discoveryRand    *rand.Rand
	fleetSlowdown    float64           // factor of all engines' execution times
	discoveryDelayMS float64           // additional delay of each detection by the journal service
	directory        string            // temporary directory with the coordinators' configuration files
	network          *loopback.Network // holds the engines' and coordinators' addresses
	mu               sync.Mutex        // guards fleetSlowdown, discoveryDelayMS, discoveryRand, the coordinators' processes and the fields below
	killedAt         map[int]float64   // time of the latest kill of each coordinator, by index
	paused           map[int]bool      // whether a coordinator is paused, by index
	pendingUpdates   []func()          // publications of watch events that wait until the journal service is available
}

// Run rehearses a scenario with real coordinators, or serves only its engines, until the scenario or ctx ends.
func Run(ctx context.Context, s *scenario.Scenario, opt Options) (*observer.Report, error) {
	d := &Rehearsal{
		scenario: s, options: opt, timeline: s.Timeline(opt.Seed), fleetSlowdown: 1, clock: newClock(),
		killedAt: map[int]float64{}, paused: map[int]bool{},
		sharedObserver: &sharedObserver{inner: observer.New(s, socketSlackMS), requests: map[string]*clientRequest{}},
	}
	d.arrivals = s.Arrivals(opt.Seed, d.timeline)
	d.frontProxy = clients.NewFrontProxy(s, des.Stream(opt.Seed, "front"))
	d.discoveryRand = des.Stream(opt.Seed, "roster")
	var err error
	if d.network, err = loopback.Claim(); err != nil {
		return nil, fmt.Errorf("addresses of the rehearsal: %w", err)
	}
	defer d.network.Release() // runs after close, which ends all listeners on the network's addresses
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

// startEngines creates all engines of the timeline, starts those of the initial fleet and publishes them in the endpoint list.
func (d *Rehearsal) startEngines() error {
	d.createEngines()
	service, err := newDiscoveryService(d.scenario.Coordinators.Count, notifyObserver(d.sharedObserver, d.clock.Now))
	if err != nil {
		return err
	}
	service.serviceAddress = d.options.ServiceAddress
	// In a drill coordinators may pass the endpoint list on to each other, so that all count as notified once it is published.
	service.notifyAll = d.options.Control != nil
	d.discovery = service
	var entries []server
	for _, e := range d.engines[:d.scenario.Engines.Count] {
		if err := e.startProcess(warmStartTime, 1); err != nil {
			return err
		}
		entries = append(entries, d.listEntry(e, decide.EndpointReady))
	}
	service.publish(true, entries...)
	return nil
}

// createEngines creates all engines of the timeline, without their processes.
func (d *Rehearsal) createEngines() {
	configRand, idRand := des.Stream(d.options.Seed, "engines"), des.Stream(d.options.Seed, "engine ids")
	errorRand, planRand := des.Stream(d.options.Seed, "errors"), des.Stream(d.options.Seed, "bad plans")
	var randMu sync.Mutex // guards errorRand and planRand, which all engines share
	drawPlanMultiple := func(class int) float64 {
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
	for index := range d.timeline.EngineCount {
		e := &Engine{
			scenario: d.scenario, clock: d.clock, sharedObserver: d.sharedObserver, index: index, host: d.network.Host(engineHosts, index),
			zone: d.scenario.ZoneOf(index), endpoint: idRand.Uint32(), config: engine.Draw(d.scenario, configRand, coreWorkRatio), meanWork: d.arrivals.MeanWork,
			drawPlanMultiple: drawPlanMultiple, drawError: drawError, receivedAt: d.options.ReceivedAt,
		}
		e.resumed = sync.NewCond(&e.mu)
		d.engines = append(d.engines, e)
	}
}

// listEntry returns an engine's entry in the endpoint list.
func (d *Rehearsal) listEntry(e *Engine, state decide.EndpointState) server {
	var started float64
	if e.startedAt > 0 {
		started = float64(d.clock.WallTime(e.startedAt).UnixMilli())
	}
	return server{ID: fmt.Sprintf("s-%08x", e.endpoint), Addr: e.addr, Zone: d.scenario.Zones[e.zone], Kind: d.scenario.Engines.Kind,
		Cell: e.index / 4, State: stateNames[state], Weight: 1, Started: started, engine: endpointID(e.endpoint)}
}

// errStopped is returned by Run when the context ends while clients still wait for results.
var errStopped = errors.New("the rehearsal was stopped before its end")

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
		case <-time.After(time.Until(d.clock.WallTime(end))):
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
			e.model = engine.New(e.config, 0, warmStartTime)
		}
		e.mu.Unlock()
	}
}

// endMS returns the time by which each client has its result: the longest deadline and its slack after the last arrival. Without
// clients it is the end of the scenario.
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

// reportProgress calls Options.Progress repeatedly until stop is closed.
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
		case <-time.After(time.Until(d.clock.WallTime(query.ArrivesAt))):
		}
		cl := &client{rehearsal: d, query: query, state: clients.NewClientQuery(d.scenario, query)}
		d.activeClients.Add(1)
		d.sharedObserver.with(func(o *observer.Observer) { o.FirstTry(&cl.state) })
		go cl.try()
	}
}

// waitForClients waits until each client has its result, but no longer than slack after the time end.
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
	case <-time.After(time.Until(d.clock.WallTime(end)) + slack):
	}
	return nil
}

// report ends the coordinators and returns the observer's report.
func (d *Rehearsal) report() (*observer.Report, error) {
	now := d.clock.Now()
	var stopping sync.WaitGroup
	for _, p := range d.coordinators { // a planned end: no request is open any more
		stopping.Go(func() { d.stopCoordinator(p, syscall.SIGTERM) })
	}
	stopping.Wait()
	for _, pool := range d.clientPools {
		pool.readers.Wait() // waits for answers that have arrived in time but are not read yet
	}
	var in, done, dropped, left float64
	for _, e := range d.engines {
		totals, engineLeft := e.workTotals()
		in, done, dropped, left = in+totals.In, done+totals.Done, dropped+totals.Dropped, left+engineLeft
	}
	d.sharedObserver.mu.Lock()
	defer d.sharedObserver.mu.Unlock()
	o := d.sharedObserver.inner
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

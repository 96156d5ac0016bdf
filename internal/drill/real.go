package drill

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"aniseloft/internal/emulator/des"
	"aniseloft/internal/emulator/live"
	"aniseloft/internal/emulator/loopback"
	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/scenario"
	"aniseloft/internal/fleetconf"
	"aniseloft/internal/store"
)

// RealOptions configure a run with real processes.
type RealOptions struct {
	Seed             uint64
	Coordinator      string                     // path of the coordinator's program
	OlderCoordinator string                     // program of each process until its first graceful shutdown; empty: Coordinator
	Scenario         *scenario.Scenario         // engines and clients
	Directory        string                     // directory for logs and disks; empty: a temporary directory
	FleetOff         bool                       // coordinators run without a fleet configuration, for comparison
	Debug            bool                       // coordinators log at debug level
	Progress         func(nowMS, endMS float64) // called with the progress of the run; nil: not called
}

// RealResult is the result of a run with real processes.
type RealResult struct {
	Seed           uint64           `json:"seed"`
	Violations     []Violation      `json:"broken"`
	Writes         int              `json:"acts"`
	Rejected       int              `json:"refused"` // number of rejected writes
	Unknown        int              `json:"unknown"` // number of writes whose outcome their owner did not receive
	Grants         []store.FenceRow `json:"grants"`
	Unowned        []UnownedTime    `json:"gaps"` // times between two writes to the query record in which lease.JobPruneRecord had no owner
	Service        float64          `json:"service"`
	JournalCalls   int              `json:"journal_calls"`
	BytesPerSecond float64          `json:"bytes_s"` // bytes that one coordinator sends to the others per second, on average
	SyncsPerSecond float64          `json:"syncs_s"` // disk syncs of one replica per second, on average
	Faults         []string         `json:"faults"`
	Report         *observer.Report `json:"report"`
}

// realRun is one run with real processes. Faults are injected from goroutines of the controller and of timers.
type realRun struct {
	drill            *Drill
	options          RealOptions
	directory        string
	network          *loopback.Network // loopback network to which the addresses below belong
	replicaAddresses []string          // addresses of the replicas, by process index
	restAddresses    []string          // addresses of the REST listeners, by process index
	logs             []*processLog
	origins          *connectionOrigins
	controller       *live.Controller // set once, before the first fault
	startedAt        time.Time        // set once, before the first fault

	rngMu sync.Mutex // guards rng
	rng   *rand.Rand

	mu              sync.Mutex       // guards the fields below
	fleet           fleetconf.Config // newest configuration, with the replicas' addresses without relays
	replicaRelays   map[link]*Relay
	serviceRelays   map[serviceRoute]*Relay
	datagramRelays  map[link]*DatagramRelay // relays between two processes, by the link from the lower to the higher index
	faultLog        []string
	injectedFaults  []injectedFault
	faulted         map[int]bool // whether a process is killed, shut down or paused now, by process index
	upgraded        map[int]bool // whether a process has shut down gracefully, by process index
	unansweredCalls []unansweredCall
	startFailures   []Violation // processes that failed to restart
}

// serviceRoute identifies the route from a process to the journal service or an engine.
type serviceRoute struct {
	process int
	service string // kind of the service: live.ToJournal or live.ToEngine
	address string
}

// injectedFault is the kind of a fault and the time at which it was injected.
type injectedFault struct {
	injectedAt time.Time
	kind       FaultKind
}

// RunReal runs a drill once with real processes on loopback.
func RunReal(ctx context.Context, d *Drill, options RealOptions) (*RealResult, error) {
	r := &realRun{
		drill: d, options: options, directory: options.Directory, rng: des.Stream(options.Seed, "drill"),
		replicaRelays: map[link]*Relay{}, serviceRelays: map[serviceRoute]*Relay{}, datagramRelays: map[link]*DatagramRelay{},
		origins: newConnectionOrigins(), faulted: map[int]bool{}, upgraded: map[int]bool{},
	}
	var err error
	if r.directory == "" {
		if r.directory, err = os.MkdirTemp("", "drill-"); err != nil {
			return nil, fmt.Errorf("drill: %w", err)
		}
		defer func() { _ = os.RemoveAll(r.directory) }()
	}
	if r.network, err = loopback.Claim(); err != nil {
		return nil, fmt.Errorf("drill: %w", err)
	}
	defer r.network.Release() // other runs may use the addresses once the processes have ended
	defer r.closeRelays()
	if err := r.prepare(); err != nil {
		return nil, err
	}
	report, err := r.runProcesses(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w\n%s", err, r.logTails())
	}
	return r.evaluate(ctx, report)
}

// runProcesses runs the processes, engines and clients until the drill's end.
func (r *realRun) runProcesses(ctx context.Context) (*observer.Report, error) {
	s := *r.options.Scenario
	s.DurationMS = r.drill.DurationMS
	s.Coordinators.Count = r.drill.Members
	options := live.Options{
		Seed: r.options.Seed, Coordinator: r.options.Coordinator, Log: io.Discard, Progress: r.options.Progress,
		Environment: func(process int) (string, []string, io.Writer) {
			return r.processDirectory(process), r.environment(process), r.logs[process]
		},
		ServiceAddress: r.serviceAddress, ReceivedAt: r.origins.receivedAt, GossipAddresses: r.peerAddresses, Program: r.program,
		Control: func(_ context.Context, controller *live.Controller) { r.start(controller) },
	}
	if r.drill.Soak { // a coordinator with a crowd may close an idle connection while a client sends a request on it
		options.Unanswered = r.addUnanswered
	}
	return live.Run(ctx, &s, options)
}

// start schedules the faults.
func (r *realRun) start(controller *live.Controller) {
	r.controller = controller
	r.startedAt = time.Now()
	for _, f := range r.drill.schedule(r.options.Seed) {
		controller.At(f.AtMS, func() { r.inject(f) })
	}
}

// program returns the path of the program that a process runs: OlderCoordinator, if set, until its first graceful shutdown.
func (r *realRun) program(process, _ int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.options.OlderCoordinator != "" && !r.upgraded[process] {
		return r.options.OlderCoordinator
	}
	return r.options.Coordinator
}

// processDirectory returns the working directory of a process.
func (r *realRun) processDirectory(process int) string {
	return filepath.Join(r.directory, ProcessName(process))
}

// replicaDirectory returns the directory in which a process stores its replica.
func (r *realRun) replicaDirectory(process int) string {
	return filepath.Join(r.processDirectory(process), "fleet")
}

// logFault adds a line to the list of faults in the run's result.
func (r *realRun) logFault(message string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultLog = append(r.faultLog, message)
}

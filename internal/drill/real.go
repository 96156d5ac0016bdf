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
	Coordinator      string                     // path of the program
	OlderCoordinator string                     // what each process runs until its first graceful shutdown; empty: Coordinator
	Scenario         *scenario.Scenario         // of engines and clients
	Directory        string                     // for logs and disks; empty: a temporary one
	FleetOff         bool                       // each coordinator works alone, for comparison
	Debug            bool                       // coordinators log at debug level
	Progress         func(nowMS, endMS float64) // nil: none
}

// RealResult is the result of a run with real processes.
type RealResult struct {
	Seed           uint64           `json:"seed"`
	Violations     []Violation      `json:"broken"`
	Writes         int              `json:"acts"`
	Rejected       int              `json:"refused"` // of the writes
	Unknown        int              `json:"unknown"` // writes whose outcome their owner did not learn
	Grants         []store.FenceRow `json:"grants"`
	Unowned        []UnownedTime    `json:"gaps"` // between two writes to the record
	Service        float64          `json:"service"`
	JournalCalls   int              `json:"journal_calls"`
	BytesPerSecond float64          `json:"bytes_s"` // that one coordinator sends to the others
	SyncsPerSecond float64          `json:"syncs_s"` // of one replica
	Faults         []string         `json:"faults"`
	Report         *observer.Report `json:"report"`
}

// realRun is one run with real processes. Faults are injected from goroutines of the rig and of timers.
type realRun struct {
	drill            *Drill
	options          RealOptions
	directory        string
	network          *loopback.Network // of the addresses below
	replicaAddresses []string          // by process
	restAddresses    []string          // by process
	logs             []*processLog
	origins          *connectionOrigins
	rig              *live.Controller // set once, before the first fault
	startedAt        time.Time        // set once, before the first fault

	rngMu sync.Mutex // guards rng
	rng   *rand.Rand

	mu             sync.Mutex       // guards the fields below
	fleet          fleetconf.Config // the newest configuration, with the replicas' own addresses
	replicaRelays  map[link]*Relay
	serviceRelays  map[serviceRoute]*Relay
	datagramRelays map[link]*DatagramRelay // between two processes, from the lower index
	faultLog       []string
	injected       []injectedFault
	faulted        map[int]bool // killed or paused now, by process
	upgraded       map[int]bool // those that have shut down gracefully, by process
	unanswered     []unansweredCall
	notStarted     []Violation
}

// serviceRoute leads from a process to a service that is not a coordinator.
type serviceRoute struct {
	process int
	service string // live.ToJournal or live.ToEngine
	address string
}

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
	defer r.network.Release() // once the processes have ended
	defer r.closeRelays()
	if err := r.prepare(); err != nil {
		return nil, err
	}
	report, err := r.play(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w\n%s", err, r.logTails())
	}
	return r.evaluate(ctx, report)
}

// play runs the processes, engines and clients until the drill's end.
func (r *realRun) play(ctx context.Context) (*observer.Report, error) {
	s := *r.options.Scenario
	s.DurationMS = r.drill.DurationMS
	s.Coordinators.Count = r.drill.Members
	options := live.Options{
		Seed: r.options.Seed, Coordinator: r.options.Coordinator, Log: io.Discard, Progress: r.options.Progress,
		Environment: func(process int) (string, []string, io.Writer) {
			return r.home(process), r.environment(process), r.logs[process]
		},
		ServiceAddress: r.serviceAddress, ReceivedAt: r.origins.receivedAt, GossipAddresses: r.peerAddresses, Program: r.program,
		Control: func(_ context.Context, rig *live.Controller) { r.start(rig) },
	}
	if r.drill.Soak { // in a crowd an idle connection may be closed in the instant of a request
		options.Unanswered = r.addUnanswered
	}
	return live.Run(ctx, &s, options)
}

// start schedules the faults.
func (r *realRun) start(rig *live.Controller) {
	r.rig = rig
	r.startedAt = time.Now()
	for _, f := range r.drill.schedule(r.options.Seed) {
		rig.At(f.AtMS, func() { r.inject(f) })
	}
}

// program returns what a process runs: the older one until its first graceful shutdown.
func (r *realRun) program(process, _ int) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.options.OlderCoordinator != "" && !r.upgraded[process] {
		return r.options.OlderCoordinator
	}
	return r.options.Coordinator
}

// home returns a process's directory.
func (r *realRun) home(process int) string { return filepath.Join(r.directory, ProcessName(process)) }

// disk returns the directory with a process's replica.
func (r *realRun) disk(process int) string { return filepath.Join(r.home(process), "fleet") }

func (r *realRun) logFault(message string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultLog = append(r.faultLog, message)
}

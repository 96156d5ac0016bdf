package drill

import (
	"fmt"
	"math/rand/v2"

	"aniseloft/internal/emulator/des"
	"aniseloft/internal/lease"
)

// DisabledGuards selects the guards that a virtual run leaves out, to show that each guard is necessary and that the
// checkers detect violations.
type DisabledGuards struct {
	FenceCheck       bool // if set, targets admit all writes
	LeaseFromRequest bool // if set, a lease starts when its holder receives the response, instead of when it sends the request
	VoteSync         bool // if set, a vote is not synced to the disk, so that a kill undoes it
	DriftAllowance   bool // if set, lease holders do not allow for clock drift
}

// VirtualResult is the result of one virtual run.
type VirtualResult struct {
	Seed       uint64      `json:"seed"`
	Violations []Violation `json:"broken"`
	Writes     int         `json:"acts"`
	Rejected   int         `json:"refused"` // number of rejected writes
	Grants     int         `json:"grants"`
	OwnedRatio float64     `json:"owned"` // part of the time, from 0 to 1, in which the jobs had an owner
	Faults     []Fault     `json:"faults"`
	Log        []string    `json:"log,omitempty"`
	Messages   int         `json:"messages"`
	Syncs      int         `json:"syncs"`

	writes         []FencedWrite
	unownedByCause unownedTimes
}

// simulation is one virtual run. All its code runs on the event loop's goroutine.
type simulation struct {
	drill        *Drill
	disabled     DisabledGuards
	loop         des.Loop
	networkRand  *rand.Rand
	faultRand    *rand.Rand
	timing       lease.Timing
	processes    []*process
	replicas     []string // names of the consensus group's replicas in the newest configuration
	generation   uint64   // generation of the newest configuration of the consensus group
	fenceRecords map[string]*lease.FenceRecord
	refusals     map[string]*refusedGrant // grants whose writes the job's target rejects, by job
	partitions   map[link]int             // number of partitions that block a link
	lossRatio    float64
	// assumptionsHold is false once a clock or a disk has violated the protocol's assumptions, or RuleSingleOwner has been
	// violated. RuleSingleOwner is checked only while it is true.
	assumptionsHold bool
	lastFault       FaultKind
	unownedSince    map[string]float64 // time in ms since which a job has no owner, by job; negative: the job has an owner
	ownedSamples    float64            // number of samples in which a job had an owner, over all jobs
	incarnations    uint64             // number of process starts so far
	keepLog         bool
	result          *VirtualResult
}

// link is the path of messages from one process to another, given by their indexes.
type link struct {
	source, destination int
}

// RunVirtual runs a drill once in virtual time. It runs the program's state machines on a simulated network with simulated
// disks and clocks, and injects the drill's faults.
func RunVirtual(d *Drill, seed uint64, disabled DisabledGuards, keepLog bool) (*VirtualResult, error) {
	s := newSimulation(d, seed, disabled)
	s.keepLog = keepLog
	for range d.Members {
		if err := s.addProcess(); err != nil {
			return nil, err
		}
	}
	for _, f := range s.result.Faults {
		s.loop.At(f.AtMS, func() { s.inject(f) })
	}
	s.sampleOwners()
	s.loop.Run(d.DurationMS)
	s.finish()
	return s.result, nil
}

func newSimulation(d *Drill, seed uint64, disabled DisabledGuards) *simulation {
	s := &simulation{
		drill: d, disabled: disabled,
		networkRand: des.Stream(seed, "net"), faultRand: des.Stream(seed, "dice"),
		timing: lease.DefaultTiming(), replicas: processNames(d.Replicas), generation: 1,
		fenceRecords: map[string]*lease.FenceRecord{}, refusals: map[string]*refusedGrant{}, partitions: map[link]int{},
		assumptionsHold: true, lastFault: causeBeforeFault, unownedSince: map[string]float64{},
		result: &VirtualResult{Seed: seed, unownedByCause: unownedTimes{}, Faults: d.schedule(seed)},
	}
	s.timing.LeaseTTL = d.LeaseMS
	s.timing.DriftBound = d.DriftBound
	for _, job := range d.Jobs {
		s.fenceRecords[job] = &lease.FenceRecord{}
		s.unownedSince[job] = 0
	}
	return s
}

// addProcess starts a process whose clock has a random offset and a random drift within the bound.
func (s *simulation) addProcess() error {
	const maxClockOffsetMS = 1e6
	index := len(s.processes)
	p := &process{
		sim: s, index: index, name: ProcessName(index),
		clockOffset: s.faultRand.Float64() * maxClockOffsetMS,
		clockRate:   1 + (2*s.faultRand.Float64()-1)*s.drill.DriftBound,
	}
	s.processes = append(s.processes, p)
	return p.start()
}

// finish sums up the run and checks its history.
func (s *simulation) finish() {
	r := s.result
	for _, write := range r.writes {
		r.Writes++
		if !write.Admitted {
			r.Rejected++
		}
	}
	samples := s.drill.DurationMS / sampleIntervalMS * float64(len(s.drill.Jobs))
	r.OwnedRatio = s.ownedSamples / samples
	r.Violations = append(r.Violations, CheckFencing(r.writes)...)
	if !s.disabled.FenceCheck {
		r.Violations = append(r.Violations, CheckLinearizability(r.writes)...)
	}
}

// logf adds a line with the virtual time to the result's log, if the log is kept.
func (s *simulation) logf(format string, args ...any) {
	if s.keepLog {
		s.result.Log = append(s.result.Log, fmt.Sprintf("%9.1f ", s.loop.Now())+fmt.Sprintf(format, args...))
	}
}

// find returns the process with the given name, but no duplicate that FaultDuplicateName started. It returns nil if
// there is no such process.
func (s *simulation) find(name string) *process {
	for _, p := range s.processes {
		if p.name == name && !p.isDuplicate {
			return p
		}
	}
	return nil
}

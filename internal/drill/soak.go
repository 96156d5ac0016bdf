package drill

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"aniseloft/internal/emulator/live"
)

// The faults of a soak: successive shutdowns, each with another fault that overlaps with it.
const (
	soakShutdowns       = 3
	soakFromMS          = 2500
	soakShutdownEveryMS = 5000
	soakDowntimeMS      = 300
	soakOverlapMS       = 1500 // maximum time from the start of an overlapping fault to its shutdown
	soakCrowdOneIn      = 4    // one in this number of runs has a FaultCrowd
	soakCrowdMS         = 6000
	crowdConnections    = 1500
	soakMinPauseMS      = 50
	soakMaxPauseMS      = 500
	soakStartOneIn      = 3                     // after one in this number of shutdowns, the process gets SIGTERM while it restarts
	soakMaxTermDelay    = 60 * time.Millisecond // maximum time from the start of such a process to its SIGTERM
)

// soakFaults generates the faults of a soak from the seed.
func (d *Drill) soakFaults(rng *rand.Rand) (faults []Fault) {
	crowd := rng.IntN(soakCrowdOneIn) == 0
	for i := range soakShutdowns {
		at := soakFromMS + float64(i)*soakShutdownEveryMS
		target := ProcessName(rng.IntN(d.Members))
		faults = append(faults, Fault{Kind: FaultShutdown, AtMS: at, DurationMS: soakDowntimeMS, Target: target})
		faults = append(faults, d.overlappingFault(rng, at-soakOverlapMS*rng.Float64(), target))
		if crowd && i == 0 {
			faults = append(faults, Fault{Kind: FaultCrowd, AtMS: at - soakOverlapMS, DurationMS: soakCrowdMS, Target: target})
		}
	}
	return faults
}

// overlappingFault generates a fault that overlaps with a shutdown of target.
func (d *Drill) overlappingFault(rng *rand.Rand, atMS float64, target string) Fault {
	other := ProcessName(rng.IntN(d.Members))
	f := Fault{AtMS: atMS, DurationMS: soakMinPauseMS + rng.Float64()*(soakMaxPauseMS-soakMinPauseMS), Target: target}
	switch rng.IntN(6) {
	case 0:
		f.Kind, f.Peer, f.Direction, f.DurationMS = FaultPartition, PeerEngines, DirectionInbound, 2*soakOverlapMS
	case 1:
		f.Kind, f.Peer, f.Direction, f.DurationMS = FaultPartition, PeerJournal, DirectionBoth, 2*soakOverlapMS
	case 2:
		f.Kind, f.Target = FaultPause, other
	case 3:
		f.Kind, f.Target, f.Disk = FaultKill, other, DiskIntact
	case 4:
		f.Kind, f.Target = FaultSlowDisk, other
	case 5:
		f.Kind = FaultResetConnections
	}
	return f
}

// shutDown carries out a FaultShutdown and restarts the process after a downtime.
func (r *realRun) shutDown(process int, downtime time.Duration) {
	r.setFaulted(process, true)
	r.rngMu.Lock()
	series := live.AllSignalSeries[r.rng.IntN(len(live.AllSignalSeries))]
	rng := rand.New(rand.NewPCG(r.rng.Uint64(), 1))
	terminateAtStart := r.rng.IntN(soakStartOneIn) == 0
	r.rngMu.Unlock()
	r.logFault(fmt.Sprintf("%s of %s: %s", FaultShutdown, ProcessName(process), series))
	r.controller.Shutdown(process, series, rng, func(call string) { r.addUnanswered(process, call) })
	r.setUpgraded(process)
	if terminateAtStart {
		r.terminateDuringStart(process, time.Duration(rng.Int64N(int64(soakMaxTermDelay))))
	}
	r.restartAfter(process, downtime)
}

// terminateDuringStart starts a process and sends it SIGTERM after a short time.
func (r *realRun) terminateDuringStart(process int, after time.Duration) {
	r.logFault(fmt.Sprintf("SIGTERM %v after a start of %s", after, ProcessName(process)))
	if err := r.controller.TerminateDuringStart(process, after); err != nil {
		r.logFault(err.Error())
	}
}

// unansweredCall is a request whose connection its coordinator closed without an answer.
type unansweredCall struct {
	process int
	call    string // identifier of the request, as logs contain it
}

// addUnanswered records a request whose connection was closed without an answer, for checkUnanswered.
func (r *realRun) addUnanswered(process int, call string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unansweredCalls = append(r.unansweredCalls, unansweredCall{process, call})
}

// checkUnanswered returns a violation for each request that, by the debug log, its coordinator had received before it closed
// the connection without an answer. A request that arrives while its connection closes is not received, and its client
// sends it again.
func (r *realRun) checkUnanswered() (violations []Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range r.unansweredCalls {
		lines := linesWithCall(r.logs[u.process].bytes(), u.call)
		if len(lines) > 0 {
			violations = append(violations, Violation{Rule: RuleRequest, Process: ProcessName(u.process),
				Detail: "request " + u.call + " was received, but its connection was closed without an answer", Evidence: lines})
		}
	}
	return violations
}

// linesWithCall returns the lines of a debug log that contain the identifier of a request.
func linesWithCall(log []byte, call string) (lines []string) {
	for line := range bytes.SplitSeq(log, []byte("\n")) {
		if strings.Contains(string(line), "call="+call) {
			lines = append(lines, string(line))
		}
	}
	return lines
}

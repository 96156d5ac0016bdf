package drill

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// FaultKind names the effect of a fault. The values are used in drill files.
type FaultKind string

// The kinds of faults. Unless its comment says otherwise, a fault lasts for DurationMS.
const (
	FaultKill             FaultKind = "kill"       // SIGKILL, and a restart after DurationMS with the disk in the state Disk
	FaultTerminate        FaultKind = "term"       // SIGTERM: a graceful shutdown, and a restart after DurationMS
	FaultPause            FaultKind = "stop"       // SIGSTOP, and SIGCONT after DurationMS
	FaultPartition        FaultKind = "cut"        // blocks traffic between Target and Peer in Direction
	FaultLossyNetwork     FaultKind = "lossy"      // messages are lost, duplicated or delayed; Magnitude is the ratio of losses
	FaultSlowDisk         FaultKind = "slow_disk"  // one sync of the disk takes DurationMS
	FaultFullDisk         FaultKind = "full_disk"  // writes to the disk fail
	FaultClockDrift       FaultKind = "drift"      // adds Magnitude to the clock's rate, permanently
	FaultClockStep        FaultKind = "step"       // the clock jumps by ClockStepMS
	FaultKillAll          FaultKind = "kill_all"   // kills each process within 100 ms and restarts it within DurationMS
	FaultStepDown         FaultKind = "step_down"  // an operator makes the leader step down
	FaultMoveJob          FaultKind = "move"       // an operator moves a job to Target
	FaultResetConnections FaultKind = "reconnect"  // all connections between coordinators break at once
	FaultResize           FaultKind = "resize"     // the configured number of replicas becomes Replicas
	FaultDuplicateName    FaultKind = "twin"       // a second process runs under the name of Target
	FaultPauseBeforeWrite FaultKind = "in_the_act" // a pause between the owner's lease check and its write
	FaultKillAfterVote    FaultKind = "voted"      // a kill immediately after Target has voted for another replica
	// FaultShutdown sends SIGTERM within a random series of signals, and SIGKILL at the earliest time at which the platform
	// may send it, while clients go on using their open connections.
	FaultShutdown FaultKind = "shutdown"
	FaultCrowd    FaultKind = "crowd" // clients open crowdConnections that idle, stop within a message, or close and reopen
)

// Roles that a fault may have as its target instead of a process name.
const (
	TargetAny     = "any"
	TargetLeader  = "leader"
	TargetOwner   = "owner" // the process that holds the lease of a job
	TargetReplica = "seat"  // any replica of the consensus group
)

// Services that may be the peer of a partition in runs with real processes.
const (
	PeerJournal = "journal"
	PeerEngines = "engines"
)

// DiskState is the state of a process's disk when the process restarts.
type DiskState string

// The disk states.
const (
	DiskIntact     DiskState = "kept"
	DiskLost       DiskState = "lost"
	DiskRolledBack DiskState = "rolled_back" // the disk holds an earlier state
)

// Direction is the direction of the traffic that a partition blocks.
type Direction string

// The directions of a partition, as its target sees them.
const (
	DirectionBoth     Direction = "both"
	DirectionInbound  Direction = "in"  // traffic to the target
	DirectionOutbound Direction = "out" // traffic from the target
)

// Fault is one fault of a drill. Its kind determines which fields are used.
type Fault struct {
	Kind        FaultKind `json:"kind"`
	AtMS        float64   `json:"at_ms"` // time of the fault in ms since the drill's start
	DurationMS  float64   `json:"for_ms,omitempty"`
	Target      string    `json:"who,omitempty"`     // a process name such as n0, or a role; empty: any
	Peer        string    `json:"to,omitempty"`      // other side of a partition; empty: all others
	Direction   Direction `json:"way,omitempty"`     // blocked direction of a partition
	Disk        DiskState `json:"disk,omitempty"`    // state of the disk after a kill
	Magnitude   float64   `json:"size,omitempty"`    // ratio of lost messages, or change of the clock's rate
	ClockStepMS float64   `json:"size_ms,omitempty"` // change of the clock's time by a clock step
	Replicas    int       `json:"count,omitempty"`   // number of replicas after a resize
}

// String describes a fault in one line.
func (f Fault) String() string {
	parts := []string{fmt.Sprintf("%.0f ms: %s", f.AtMS, f.Kind)}
	if f.Target != "" {
		parts = append(parts, f.Target)
	}
	if f.Peer != "" {
		parts = append(parts, "and "+f.Peer)
	}
	if f.Direction != "" {
		parts = append(parts, string(f.Direction))
	}
	if f.DurationMS > 0 {
		parts = append(parts, fmt.Sprintf("for %.0f ms", f.DurationMS))
	}
	if f.Disk != "" && f.Disk != DiskIntact {
		parts = append(parts, "disk "+string(f.Disk))
	}
	return strings.Join(parts, " ")
}

// hasServicePeer reports whether the other side of a partition is the journal service or the engines, rather than a
// coordinator.
func (f Fault) hasServicePeer() bool { return f.Peer == PeerJournal || f.Peer == PeerEngines }

// Random faults start after the fleet has elected a leader and granted the jobs, and early enough for the fleet to recover
// before the drill's end.
const (
	randomFaultsFromMS   = 2500
	randomFaultsMarginMS = 8000
)

// randomFault generates a fault that the protocol tolerates: clocks stay within the drift bound and no disk is rolled back.
// A drill that exceeds these assumptions lists its faults.
func (d *Drill) randomFault(rng *rand.Rand) Fault {
	target := []string{TargetAny, TargetLeader, TargetOwner, TargetReplica}[rng.IntN(4)]
	f := Fault{
		AtMS:       randomFaultsFromMS + rng.Float64()*max(d.DurationMS-randomFaultsMarginMS, 1),
		DurationMS: d.LeaseMS * (0.1 + 2*rng.Float64()),
		Target:     target,
		Disk:       DiskIntact,
	}
	switch rng.IntN(14) { // a kind with two case values is twice as likely
	case 0, 1:
		f.Kind = FaultKill
	case 2:
		f.Kind, f.Disk = FaultKill, DiskLost
	case 3:
		f.Kind = FaultTerminate
	case 4, 5:
		f.Kind, f.DurationMS = FaultPause, d.randomPauseMS(rng)
	case 6:
		f.Kind, f.Target, f.DurationMS = FaultPauseBeforeWrite, TargetOwner, d.randomPauseMS(rng)
	case 7, 8:
		f.Kind, f.Direction = FaultPartition, []Direction{DirectionBoth, DirectionInbound, DirectionOutbound}[rng.IntN(3)]
		if rng.IntN(2) == 0 {
			f.Peer = []string{TargetAny, TargetLeader, TargetReplica}[rng.IntN(3)]
		}
	case 9:
		f.Kind, f.Magnitude = FaultLossyNetwork, 0.3*rng.Float64()
	case 10:
		f.Kind, f.DurationMS, f.Target = FaultSlowDisk, 200+4800*rng.Float64(), TargetReplica
	case 11:
		f.Kind = FaultKillAll
	case 12:
		f.Kind = FaultStepDown
	case 13:
		f.Kind = FaultMoveJob
	}
	return f
}

// randomPauseMS returns a random duration of a pause in ms, from 0.2 to 3.2 times the duration of a lease.
func (d *Drill) randomPauseMS(rng *rand.Rand) float64 { return d.LeaseMS * (0.2 + 3*rng.Float64()) }

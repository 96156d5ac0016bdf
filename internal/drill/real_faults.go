package drill

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"aniseloft/internal/fleetconf"
	"aniseloft/internal/lease"
	"aniseloft/internal/transport/coordination"
)

const (
	nobody             = -1 // in place of a process: a target that does not exist now, or no peer
	statusTimeout      = 300 * time.Millisecond
	adminTimeout       = time.Second
	killAllWithin      = 100 * time.Millisecond
	reconfigureSpacing = 50 * time.Millisecond // between two processes that get a new configuration
)

// inject starts a fault. A fault whose target does not exist now has no effect.
func (r *realRun) inject(f Fault) {
	target := r.resolveTarget(f.Target)
	if target == nobody {
		return
	}
	peer := nobody
	if f.Peer != "" && !f.hasServicePeer() {
		peer = r.resolveTarget(f.Peer)
		if peer == nobody || peer == target {
			return
		}
	}
	r.recordFault(f, target)
	duration := time.Duration(f.DurationMS * float64(time.Millisecond))
	named := f.Target == ProcessName(target)
	switch f.Kind {
	case FaultDuplicateName:
		r.logNotInjected(f)
	case FaultFullDisk, FaultClockDrift, FaultClockStep:
		if !named { // a named process has the fault since its start
			r.logNotInjected(f)
		}
	case FaultSlowDisk:
		if !named {
			r.disturbNetwork(target, peer, f, duration)
		}
	case FaultPartition, FaultLossyNetwork:
		r.disturbNetwork(target, peer, f, duration)
	case FaultKill, FaultKillAfterVote, FaultTerminate:
		r.endProcess(target, f, duration)
	case FaultShutdown:
		r.shutDown(target, duration)
	case FaultCrowd:
		r.rig.Crowd(target, crowdConnections, duration)
	case FaultKillAll:
		r.killAll(duration)
	case FaultPause, FaultPauseBeforeWrite:
		r.pause(target, duration)
	case FaultStepDown:
		r.sendAdminRequest(lease.AdminRequest{Operation: lease.AdminStepDown})
	case FaultMoveJob:
		r.sendAdminRequest(lease.AdminRequest{Operation: lease.AdminMove, Job: r.drill.Jobs[0], Target: ProcessName(target)})
	case FaultResize:
		r.resize(f.Replicas)
	case FaultResetConnections:
		r.resetReplicaConnections()
	}
}

// recordFault notes a fault for the result and as a cause of times without an owner.
func (r *realRun) recordFault(f Fault, target int) {
	r.logFault(fmt.Sprintf("%s (%s)", f, ProcessName(target)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.injected = append(r.injected, injectedFault{time.Now(), f.Kind})
}

func (r *realRun) logNotInjected(f Fault) {
	r.logFault(string(f.Kind) + " was not played: with real processes it needs a process by its name, and twin is only in virtual time")
}

// resolveTarget returns the process that a fault's target names now, a random one of several. Processes that are killed
// or paused already are left out.
func (r *realRun) resolveTarget(target string) int {
	running, replicas := r.healthyProcesses()
	switch target {
	case "", TargetAny:
		return r.pickRandom(running)
	case TargetReplica:
		return r.pickRandom(replicas)
	case TargetLeader:
		return r.leader(running)
	case TargetOwner:
		return r.pickRandom(r.owners(running))
	}
	process, err := strconv.Atoi(strings.TrimPrefix(target, "n"))
	if err != nil || !slices.Contains(running, process) {
		return nobody
	}
	return process
}

// healthyProcesses returns the processes that run without a fault, and those of them that are replicas.
func (r *realRun) healthyProcesses() (running, replicas []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for process := range r.drill.Members {
		if !r.rig.Running(process) || r.faulted[process] {
			continue
		}
		running = append(running, process)
		if process < len(r.fleet.Replicas) {
			replicas = append(replicas, process)
		}
	}
	return running, replicas
}

func (r *realRun) leader(running []int) int {
	status := r.coordinationStatus()
	if status == nil {
		return nobody
	}
	for _, process := range running {
		if status.Leader == ProcessName(process) {
			return process
		}
	}
	return nobody
}

// owners returns the owners of jobs; a process that owns several is in the list as often.
func (r *realRun) owners(running []int) (owners []int) {
	status := r.coordinationStatus()
	if status == nil {
		return nil
	}
	for _, process := range running {
		for _, job := range status.Jobs {
			if strings.HasPrefix(job.Holder, ProcessName(process)+"/") {
				owners = append(owners, process)
			}
		}
	}
	return owners
}

func (r *realRun) pickRandom(processes []int) int {
	if len(processes) == 0 {
		return nobody
	}
	r.rngMu.Lock()
	defer r.rngMu.Unlock()
	return processes[r.rng.IntN(len(processes))]
}

// currentFleet returns the newest configuration, by which the group is reached directly.
func (r *realRun) currentFleet() fleetconf.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet
}

// coordinationStatus returns the leader's status, or another replica's if the leader does not answer; nil: no replica
// answers.
func (r *realRun) coordinationStatus() *lease.Status {
	if r.options.FleetOff {
		return nil
	}
	fleet := r.currentFleet()
	request := lease.AdminRequest{Operation: lease.AdminStatus}
	first, err := coordination.Admin(context.Background(), fleet, "", request, statusTimeout)
	if err != nil || first.Status == nil {
		return nil
	}
	status := first.Status
	if status.Leader == "" || status.Leader == status.Replica {
		return status
	}
	leaders, err := coordination.Admin(context.Background(), fleet, status.Leader, request, statusTimeout)
	if err != nil || leaders.Status == nil {
		return status
	}
	return leaders.Status
}

// sendAdminRequest sends an operator's request. It may fail, as an operator's may.
func (r *realRun) sendAdminRequest(request lease.AdminRequest) {
	_, _ = coordination.Admin(context.Background(), r.currentFleet(), "", request, adminTimeout)
}

func (r *realRun) setFaulted(process int, faulted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faulted[process] = faulted
}

func (r *realRun) pause(process int, duration time.Duration) {
	r.setFaulted(process, true)
	r.rig.Pause(process)
	time.AfterFunc(duration, func() {
		r.rig.Resume(process)
		r.setFaulted(process, false)
	})
}

// killAll kills all processes one after another. The later one is killed, the longer it stays down.
func (r *realRun) killAll(maxDowntime time.Duration) {
	members := time.Duration(r.drill.Members)
	for process := range r.drill.Members {
		go func() {
			time.Sleep(time.Duration(process) * killAllWithin / members)
			if r.rig.Running(process) {
				r.endProcess(process, Fault{Kind: FaultKill, Disk: DiskIntact}, maxDowntime*time.Duration(process+1)/members)
			}
		}()
	}
}

// endProcess kills a process, or shuts it down gracefully, and starts it after a downtime with the disk that the fault
// names.
func (r *realRun) endProcess(process int, f Fault, downtime time.Duration) {
	r.setFaulted(process, true)
	backup := filepath.Join(r.home(process), "fleet-before")
	if f.Disk == DiskRolledBack {
		_ = os.RemoveAll(backup)
		_ = os.CopyFS(backup, os.DirFS(r.disk(process)))
		time.Sleep(downtime / 2) // lets the disk get ahead of its backup
	}
	if f.Kind == FaultTerminate {
		r.rig.Terminate(process)
		r.setUpgraded(process)
	} else {
		r.rig.Kill(process)
	}
	damageDirectory(r.disk(process), backup, f.Disk)
	r.restartAfter(process, downtime)
}

// restartAfter starts a process again after a downtime.
func (r *realRun) restartAfter(process int, downtime time.Duration) {
	time.AfterFunc(downtime, func() { r.restart(process) })
}

func (r *realRun) setUpgraded(process int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upgraded[process] = true
}

func (r *realRun) restart(process int) {
	if err := r.rig.Start(process); err != nil {
		r.logFault(fmt.Sprintf("%s does not start: %v", ProcessName(process), err))
		r.mu.Lock()
		r.notStarted = append(r.notStarted, Violation{Rule: RuleRequest, Process: ProcessName(process), Detail: "it does not start: " + err.Error()})
		r.mu.Unlock()
	}
	r.setFaulted(process, false)
}

func damageDirectory(disk, backup string, state DiskState) {
	switch state {
	case DiskLost:
		_ = errors.Join(os.RemoveAll(disk), os.MkdirAll(disk, 0o755))
	case DiskRolledBack:
		_ = errors.Join(os.RemoveAll(disk), os.CopyFS(disk, os.DirFS(backup)))
	case DiskIntact:
	}
}

// resize gives each process a new configuration of the consensus group, one after another.
func (r *realRun) resize(replicas int) {
	generation := r.currentFleet().Generation + 1
	fleet := r.fleetConfig(directly, replicas, generation)
	r.mu.Lock()
	r.fleet = fleet
	r.mu.Unlock()
	for process := range r.drill.Members {
		if err := r.writeConfigs(process, replicas, generation); err != nil {
			r.logFault(err.Error())
			continue
		}
		r.rig.Reload(process)
		time.Sleep(reconfigureSpacing)
	}
}

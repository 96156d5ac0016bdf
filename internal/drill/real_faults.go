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
	noProcess          = -1 // in place of a process index: no process matches the target now, or the fault has no peer
	statusTimeout      = 300 * time.Millisecond
	adminTimeout       = time.Second
	killAllWithin      = 100 * time.Millisecond
	reconfigureSpacing = 50 * time.Millisecond // time between two processes that get a new configuration
)

// inject starts a fault. A fault whose target does not exist now has no effect.
func (r *realRun) inject(f Fault) {
	target := r.resolveTarget(f.Target)
	if target == noProcess {
		return
	}
	peer := noProcess
	if f.Peer != "" && !f.hasServicePeer() {
		peer = r.resolveTarget(f.Peer)
		if peer == noProcess || peer == target {
			return
		}
	}
	r.recordFault(f, target)
	duration := time.Duration(f.DurationMS * float64(time.Millisecond))
	targetIsName := f.Target == ProcessName(target)
	switch f.Kind {
	case FaultDuplicateName:
		r.logNotInjected(f)
	case FaultFullDisk, FaultClockDrift, FaultClockStep:
		if !targetIsName { // a process that the drill names has had the fault since its start
			r.logNotInjected(f)
		}
	case FaultSlowDisk:
		if !targetIsName {
			r.disturbNetwork(target, peer, f, duration)
		}
	case FaultPartition, FaultLossyNetwork:
		r.disturbNetwork(target, peer, f, duration)
	case FaultKill, FaultKillAfterVote, FaultTerminate:
		r.endProcess(target, f, duration)
	case FaultShutdown:
		r.shutDown(target, duration)
	case FaultCrowd:
		r.controller.OpenUnusedConnections(target, crowdConnections, duration)
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

// recordFault adds a fault to the result and to the possible causes of times without an owner.
func (r *realRun) recordFault(f Fault, target int) {
	r.logFault(fmt.Sprintf("%s (%s)", f, ProcessName(target)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.injectedFaults = append(r.injectedFaults, injectedFault{time.Now(), f.Kind})
}

// logNotInjected records a fault that a run with real processes cannot inject.
func (r *realRun) logNotInjected(f Fault) {
	r.logFault(string(f.Kind) + " was not injected: with real processes its target (who) must be a process name such as n0, and twin works only in virtual time")
}

// resolveTarget returns the process that a fault's target names now, chosen at random if there are several, or noProcess.
// It excludes processes that are already killed, shut down or paused.
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
		return noProcess
	}
	return process
}

// healthyProcesses returns the processes that run without a fault, and those of them that are replicas.
func (r *realRun) healthyProcesses() (running, replicas []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for process := range r.drill.Members {
		if !r.controller.Running(process) || r.faulted[process] {
			continue
		}
		running = append(running, process)
		if process < len(r.fleet.Replicas) {
			replicas = append(replicas, process)
		}
	}
	return running, replicas
}

// leader returns the process in running that leads the consensus group, or noProcess.
func (r *realRun) leader(running []int) int {
	status := r.coordinationStatus()
	if status == nil {
		return noProcess
	}
	for _, process := range running {
		if status.Leader == ProcessName(process) {
			return process
		}
	}
	return noProcess
}

// owners returns the owners of jobs, a process once for each job that it owns.
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

// pickRandom returns one of the processes at random, or noProcess if there are none.
func (r *realRun) pickRandom(processes []int) int {
	if len(processes) == 0 {
		return noProcess
	}
	r.rngMu.Lock()
	defer r.rngMu.Unlock()
	return processes[r.rng.IntN(len(processes))]
}

// currentFleet returns the newest configuration, which reaches the replicas without relays.
func (r *realRun) currentFleet() fleetconf.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet
}

// coordinationStatus returns the leader's status, or that of another replica if the leader does not answer. It returns nil
// if no replica answers.
func (r *realRun) coordinationStatus() *lease.Status {
	if r.options.FleetOff {
		return nil
	}
	fleet := r.currentFleet()
	request := lease.AdminRequest{Operation: lease.AdminStatus}
	response, err := coordination.Admin(context.Background(), fleet, "", request, statusTimeout)
	if err != nil || response.Status == nil {
		return nil
	}
	status := response.Status
	if status.Leader == "" || status.Leader == status.Replica {
		return status
	}
	leaderResponse, err := coordination.Admin(context.Background(), fleet, status.Leader, request, statusTimeout)
	if err != nil || leaderResponse.Status == nil {
		return status
	}
	return leaderResponse.Status
}

// sendAdminRequest sends an operator's request. It ignores errors, because faults may make any such request fail.
func (r *realRun) sendAdminRequest(request lease.AdminRequest) {
	_, _ = coordination.Admin(context.Background(), r.currentFleet(), "", request, adminTimeout)
}

// setFaulted records whether a process is killed, shut down or paused, so that other faults leave it out.
func (r *realRun) setFaulted(process int, faulted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faulted[process] = faulted
}

func (r *realRun) pause(process int, duration time.Duration) {
	r.setFaulted(process, true)
	r.controller.Pause(process)
	time.AfterFunc(duration, func() {
		r.controller.Resume(process)
		r.setFaulted(process, false)
	})
}

// killAll kills all processes one after another within killAllWithin. A process that is killed later stays down longer.
func (r *realRun) killAll(maxDowntime time.Duration) {
	members := time.Duration(r.drill.Members)
	for process := range r.drill.Members {
		go func() {
			time.Sleep(time.Duration(process) * killAllWithin / members)
			if r.controller.Running(process) {
				r.endProcess(process, Fault{Kind: FaultKill, Disk: DiskIntact}, maxDowntime*time.Duration(process+1)/members)
			}
		}()
	}
}

// endProcess kills a process, or shuts it down gracefully, and restarts it after a downtime with the disk in the state that
// the fault names.
func (r *realRun) endProcess(process int, f Fault, downtime time.Duration) {
	r.setFaulted(process, true)
	backup := filepath.Join(r.processDirectory(process), "fleet-before")
	if f.Disk == DiskRolledBack {
		_ = os.RemoveAll(backup)
		_ = os.CopyFS(backup, os.DirFS(r.replicaDirectory(process)))
		time.Sleep(downtime / 2) // lets the process write, so that the disk becomes newer than the backup
	}
	if f.Kind == FaultTerminate {
		r.controller.Terminate(process)
		r.setUpgraded(process)
	} else {
		r.controller.Kill(process)
	}
	damageDirectory(r.replicaDirectory(process), backup, f.Disk)
	r.restartAfter(process, downtime)
}

// restartAfter restarts a process after a downtime.
func (r *realRun) restartAfter(process int, downtime time.Duration) {
	time.AfterFunc(downtime, func() { r.restart(process) })
}

// setUpgraded records that a process has shut down gracefully, after which it runs RealOptions.Coordinator.
func (r *realRun) setUpgraded(process int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upgraded[process] = true
}

// restart starts a process again. If that fails, it records a violation.
func (r *realRun) restart(process int) {
	if err := r.controller.Start(process); err != nil {
		r.logFault(fmt.Sprintf("%s failed to start: %v", ProcessName(process), err))
		r.mu.Lock()
		r.startFailures = append(r.startFailures, Violation{Rule: RuleRequest, Process: ProcessName(process), Detail: "the process failed to start: " + err.Error()})
		r.mu.Unlock()
	}
	r.setFaulted(process, false)
}

// damageDirectory brings the directory of a replica into the state in which a fault leaves the disk.
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
	fleet := r.fleetConfig(withoutRelays, replicas, generation)
	r.mu.Lock()
	r.fleet = fleet
	r.mu.Unlock()
	for process := range r.drill.Members {
		if err := r.writeConfigs(process, replicas, generation); err != nil {
			r.logFault(err.Error())
			continue
		}
		r.controller.Reload(process)
		time.Sleep(reconfigureSpacing)
	}
}

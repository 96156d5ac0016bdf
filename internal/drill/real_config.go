package drill

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"aniseloft/internal/fleetconf"
)

const (
	purgeIntervalMS = 50 // interval between two writes to the query record by the owner of lease.JobPruneRecord
	withoutRelays   = -1 // argument of fleetConfig in place of a process index, for a configuration without relays
)

// Blocks of hosts in a run's loopback network, as loopback.Network.Host takes them.
const (
	replicaHosts = 0
	restHosts    = 10
)

// prepare chooses the addresses of the replicas and REST listeners, and writes the first configuration of each process.
func (r *realRun) prepare() error {
	for process := range r.drill.Members {
		replica, err := r.network.FreeTCPAddress(replicaHosts, process)
		if err != nil {
			return fmt.Errorf("drill: %w", err)
		}
		rest, err := r.network.FreeTCPAddress(restHosts, process)
		if err != nil {
			return fmt.Errorf("drill: %w", err)
		}
		r.logs = append(r.logs, &processLog{})
		r.replicaAddresses = append(r.replicaAddresses, replica)
		r.restAddresses = append(r.restAddresses, rest)
	}
	const firstGeneration = 1
	r.fleet = r.fleetConfig(withoutRelays, r.drill.Replicas, firstGeneration)
	for process := range r.drill.Members {
		if err := r.writeConfigs(process, r.drill.Replicas, firstGeneration); err != nil {
			return err
		}
	}
	return nil
}

// fleetConfig returns the fleet's configuration for a process, which reaches all replicas but its own through relays. For
// withoutRelays it has the addresses at which the replicas listen.
func (r *realRun) fleetConfig(process, replicas int, generation uint64) fleetconf.Config {
	c := fleetconf.Config{
		Installation: "drill", Generation: generation, Directory: "fleet",
		Jobs: r.drill.Jobs, LeaseMS: r.drill.LeaseMS, DriftBound: r.drill.DriftBound,
	}
	for replica := range replicas {
		address := r.replicaAddresses[replica]
		if process != withoutRelays && process != replica {
			if relay, err := r.replicaRelay(link{process, replica}); err == nil {
				address = relay.Addr()
			}
		}
		c.Replicas = append(c.Replicas, fleetconf.Replica{Name: ProcessName(replica), Addr: address})
	}
	return c
}

// writeConfigs writes the configuration files of a process.
func (r *realRun) writeConfigs(process, replicas int, generation uint64) error {
	directory := filepath.Join(r.processDirectory(process), "deploy")
	if err := errors.Join(os.MkdirAll(directory, 0o755), os.MkdirAll(r.replicaDirectory(process), 0o755)); err != nil {
		return fmt.Errorf("drill: %w", err)
	}
	fleet := r.fleetConfig(process, replicas, generation)
	if r.options.FleetOff {
		fleet = fleetconf.Config{}
	}
	files := map[string]any{
		"fleet.json": fleet,
		"rest.json": map[string]any{
			"listen": r.restAddresses[process], "store": r.recordFile(), "keep_seconds": 60, "purge_every_ms": purgeIntervalMS,
		},
	}
	if r.options.Debug || r.drill.Soak { // checkUnanswered needs the debug log of received requests
		files["log.json"] = map[string]any{"level": "debug"}
	}
	for name, content := range files {
		if err := writeJSONFile(filepath.Join(directory, name), content); err != nil {
			return fmt.Errorf("drill: %w", err)
		}
	}
	return nil
}

// recordFile returns the path of the query record, the SQL store that all processes share.
func (r *realRun) recordFile() string { return filepath.Join(r.directory, "record.db") }

func writeJSONFile(file string, content any) error {
	raw, err := json.MarshalIndent(content, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, raw, 0o600)
}

// environment returns the variables that are added to a process's environment: a directory for temporary files, which
// is kept after the process ends, and the faults of the process's clock and disk. A process reads these faults only at
// its start, so the faults must name the process: a role is resolved too late.
func (r *realRun) environment(process int) []string {
	environment := []string{"TMPDIR=" + r.processDirectory(process)}
	clock, disk := "", ""
	for _, f := range r.drill.Faults {
		if f.Target != ProcessName(process) {
			continue
		}
		switch f.Kind {
		case FaultClockDrift:
			clock = strconv.FormatFloat(1+f.Magnitude, 'f', 6, 64) + clock
		case FaultClockStep:
			clock += fmt.Sprintf(" %.0f@%.0f", f.ClockStepMS, f.AtMS)
		case FaultSlowDisk:
			disk += fmt.Sprintf(" slow:%.0f@%.0f", f.DurationMS, f.AtMS)
		case FaultFullDisk:
			disk += fmt.Sprintf(" full:%.0f@%.0f", f.DurationMS, f.AtMS)
		}
	}
	if disk != "" {
		environment = append(environment, "ANISELOFT_DRILL_DISK="+disk)
	}
	if clock != "" {
		environment = append(environment, "ANISELOFT_DRILL_CLOCK="+clock)
	}
	return environment
}

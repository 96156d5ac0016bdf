package live

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"aniseloft/internal/emulator/des"
	"aniseloft/internal/emulator/observer"
)

// coordinator is one coordinator process. The rehearsal's mu guards cmd, ended and endRequested.
type coordinator struct {
	index        int
	listen       string // address on which the coordinator listens for clients
	cmd          *exec.Cmd
	ended        chan struct{} // closed when the process has exited
	endRequested bool          // whether the rehearsal has requested the end of the process
	starts       int           // number of starts so far
	seedRand     *rand.Rand    // draws the seed of each start
}

// Limits of a coordinator. The platform sets those on memory and sockets.
const (
	coordinatorMemoryMB = 192
	coordinatorSockets  = 1024
	startTimeout        = 30 * time.Second
)

// startCoordinators starts all coordinators and waits until they serve.
func (d *Rehearsal) startCoordinators(ctx context.Context) error {
	var err error
	if d.directory, err = os.MkdirTemp("", "rehearsal-"); err != nil {
		return fmt.Errorf("rehearsal directory: %w", err)
	}
	seeds := des.Stream(d.options.Seed, "coordinators")
	if d.scenario.Coordinators.GossipAllowed {
		if err := d.reserveGossipAddresses(); err != nil {
			return err
		}
	}
	for n := range d.scenario.Coordinators.Count {
		addr, err := d.network.FreeTCPAddress(coordinatorHosts, n)
		if err != nil {
			return fmt.Errorf("coordinator address: %w", err)
		}
		d.coordinators = append(d.coordinators, &coordinator{index: n, listen: addr, seedRand: rand.New(rand.NewPCG(seeds.Uint64(), 1))})
		d.clientPools = append(d.clientPools, &clientPool{addr: addr})
		if err := d.startCoordinator(d.coordinators[n]); err != nil {
			return err
		}
	}
	for _, p := range d.coordinators {
		if err := d.waitUntilServing(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// reserveGossipAddresses chooses the address on which each coordinator receives its peers' datagrams.
func (d *Rehearsal) reserveGossipAddresses() error {
	for n := range d.scenario.Coordinators.Count {
		addr, err := d.network.FreeUDPAddress(gossipHosts, n)
		if err != nil {
			return fmt.Errorf("gossip address: %w", err)
		}
		d.gossipAddresses = append(d.gossipAddresses, addr)
	}
	return nil
}

// startCoordinator starts a coordinator's process with a new configuration. An exit that the rehearsal has not requested
// violates a rule.
func (d *Rehearsal) startCoordinator(p *coordinator) error {
	configJSON, err := d.config(p.index, p.listen, p.seedRand.Uint64())
	if err != nil {
		return err
	}
	path := filepath.Join(d.directory, fmt.Sprintf("n%d.json", p.index))
	if err := os.WriteFile(path, configJSON, 0o600); err != nil {
		return fmt.Errorf("write the coordinator's configuration: %w", err)
	}
	executable := d.options.Coordinator
	if d.options.Program != nil {
		executable = d.options.Program(p.index, p.starts)
	}
	p.starts++
	program, err := filepath.Abs(executable)
	if err != nil {
		return fmt.Errorf("path of the coordinator's program: %w", err)
	}
	cmd := exec.Command(program)
	cmd.Dir = d.directory // the rehearsal's directory holds no operators' files
	cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "LB_LISTEN="+p.listen, fmt.Sprintf("LB_NAME=n%d", p.index))
	cmd.Stdout, cmd.Stderr = d.options.Log, d.options.Log
	if d.options.Environment != nil {
		dir, env, log := d.options.Environment(p.index)
		cmd.Dir, cmd.Env, cmd.Stdout, cmd.Stderr = dir, append(cmd.Env, env...), log, log
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start a coordinator: %w; set the path of its program with --coordinator", err)
	}
	d.mu.Lock()
	p.cmd, p.ended, p.endRequested = cmd, make(chan struct{}), false
	d.mu.Unlock()
	go func(p *coordinator, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
		d.mu.Lock()
		defer d.mu.Unlock()
		if !p.endRequested && p.cmd == cmd {
			d.sharedObserver.with(func(o *observer.Observer) {
				o.Violate(observer.RuleOneAnswer, d.clock.Now(), "coordinator %d exited unexpectedly", p.index)
			})
		}
	}(p, p.ended)
	return nil
}

// config returns a coordinator's configuration with the current endpoint list. The coordinator counts as notified of that list
// from now on.
func (d *Rehearsal) config(n int, listen string, seed uint64) ([]byte, error) {
	settings, err := d.scenario.SettingsJSON(n)
	if err != nil {
		return nil, err
	}
	entries, _, _ := d.discovery.entriesAfter(0)
	for _, e := range entries {
		for _, s := range e.Hosts.Servers {
			d.discovery.onNotified(n, s)
		}
	}
	journal := d.discovery.addrs[n]
	if d.options.ServiceAddress != nil {
		if journal, err = d.options.ServiceAddress(n, ToJournal, journal); err != nil {
			return nil, err
		}
		entries = d.discovery.withServiceAddresses(n, entries)
	}
	fields := map[string]any{"name": fmt.Sprintf("n%d", n), "listen": listen, "seed": fmt.Sprintf("%016x", seed),
		"limits":  map[string]any{"cores": 1.0, "memory_mb": coordinatorMemoryMB, "sockets": coordinatorSockets},
		"journal": journal, "known": map[string]any{"pos": len(entries), "entries": entries}, "settings": json.RawMessage(settings)}
	if n < len(d.gossipAddresses) { // datagrams go to each peer's own address: there is no broadcast address
		peers := d.gossipAddresses
		if d.options.GossipAddresses != nil {
			if peers, err = d.options.GossipAddresses(n, peers); err != nil {
				return nil, err
			}
		}
		fields["peer_listen"], fields["peers"] = d.gossipAddresses[n], peers
	}
	configJSON, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode the coordinator's configuration: %w", err)
	}
	return configJSON, nil
}

// waitUntilServing polls a coordinator until its health check passes.
func (d *Rehearsal) waitUntilServing(ctx context.Context, p *coordinator) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); {
		c, err := net.DialTimeout("tcp", p.listen, time.Second)
		if err == nil {
			_ = c.SetDeadline(time.Now().Add(2 * time.Second))
			_, _ = io.WriteString(c, `{"jsonrpc":"2.0","id":1,"method":"alive"}`+"\n")
			b := make([]byte, 256)
			n, _ := c.Read(b)
			_ = c.Close()
			var a struct {
				Result struct {
					Pass bool `json:"pass"`
				} `json:"result"`
			}
			if json.Unmarshal(b[:n], &a) == nil && a.Result.Pass {
				return nil
			}
		}
		select {
		case <-p.ended:
			return fmt.Errorf("coordinator %d exited before it served; see its log", p.index)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	return fmt.Errorf("coordinator %d did not pass its health check within %v; see its log", p.index, startTimeout)
}

// stopCoordinator sends a coordinator a signal, and SIGKILL if the process still runs 10 s later. It waits for the end
// of the process.
func (d *Rehearsal) stopCoordinator(p *coordinator, sig syscall.Signal) {
	d.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.endRequested = true
	d.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(sig)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		_ = cmd.Process.Kill()
		<-ended
	}
}

// lossExcusedUntil returns the time until which lost connections of a coordinator count as the effect of its kill. It is
// negative if the coordinator was not killed in the last killGraceMS.
func (d *Rehearsal) lossExcusedUntil(n int) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, ok := d.killedAt[n]; ok && d.clock.Now() < at+killGraceMS {
		return d.clock.Now()
	}
	return -1
}

// killGraceMS is the time after the kill of a coordinator within which a lost connection counts as an effect of the
// kill.
const killGraceMS = 1000.0

// killCoordinator ends a coordinator with SIGKILL. The front proxy detects that after a delay.
func (d *Rehearsal) killCoordinator(n int) {
	if len(d.coordinators) == 0 || d.isDown(d.coordinators[n]) {
		return
	}
	d.mu.Lock()
	d.killedAt[n] = d.clock.Now()
	d.mu.Unlock()
	d.sharedObserver.with(func(o *observer.Observer) { o.CoordinatorCrashed(n) })
	d.stopCoordinator(d.coordinators[n], syscall.SIGKILL)
	d.note("coordinator %d is killed", n)
	d.afterDetection(func() { d.frontProxy.SetAlive(n, false) })
}

// isDown reports whether the end of a coordinator has been requested and it has not been started again.
func (d *Rehearsal) isDown(p *coordinator) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.endRequested
}

// afterDetection calls f, which changes which coordinators the front proxy believes to be alive, after the proxy's
// detection delay.
func (d *Rehearsal) afterDetection(f func()) {
	d.frontProxyMu.Lock()
	delay := d.frontProxy.DetectionDelay()
	d.frontProxyMu.Unlock()
	d.clock.after(d.clock.Now()+delay, func() {
		d.frontProxyMu.Lock()
		defer d.frontProxyMu.Unlock()
		f()
	})
}

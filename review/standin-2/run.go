package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"aniseloft/internal/emulator/loopback"
)

// run is one run of a case: its folder, its processes and its record.
type run struct {
	root    string // the repository
	dir     string // temporary folder
	command string // `run` of the deploy file
	trouble bool   // false: the same without the disruption
	network *loopback.Network
	hosts   int

	mu        sync.Mutex // guards the fields below
	record    *os.File
	startedAt time.Time
	calls     int // number of the latest call
	processes []*coordinator
}

var errNoRunCommand = errors.New("RUN_COMMAND is empty")

func newRun(root, recordPath, command string, trouble bool) (*run, error) {
	if command == "" {
		return nil, errNoRunCommand
	}
	if _, err := os.Stat(filepath.Join(root, "bin", "aniseloft")); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	network, err := loopback.Claim()
	if err != nil {
		return nil, err
	}
	r := &run{root: root, dir: dir, command: command, trouble: trouble, network: network, record: record, startedAt: time.Now()}
	r.note("run command %q, disruption %t", command, trouble)
	return r, nil
}

// note writes a line to the record, with the time in ms since the start.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%7d  %s\n", time.Since(r.startedAt).Milliseconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (r *run) close() {
	r.mu.Lock()
	processes := r.processes
	r.processes = nil
	r.mu.Unlock()
	for _, c := range processes {
		c.kill()
	}
	r.network.Release()
	_ = os.RemoveAll(r.dir)
}

// must ends the case if a step failed.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// addr returns a free address on a loopback host of its own.
func (r *run) addr() string {
	r.hosts++
	a, err := r.network.FreeTCPAddress(0, r.hosts)
	must(err)
	return a
}

func (r *run) listen() net.Listener {
	l, err := net.Listen("tcp4", r.addr())
	must(err)
	return l
}

// coordinator is one process of the program.
type coordinator struct {
	run          *run
	label        string
	dir, tmp     string
	client, rest string // clients' addresses; rest is empty if that protocol is off
	admin        string
	command      *exec.Cmd
	exited       chan struct{}
}

// coordinatorSpec says how a coordinator is configured.
type coordinatorSpec struct {
	name     string // in the configuration
	label    string // in the record of this run
	index    int    // `me` in the settings
	memoryMB int    // limit; 0: 192
	sockets  int    // limit; 0: 1024
	journal  string
	servers  string // the endpoint list, as JSON
	settings string
	rest     string // rest.json with %s for the address; empty: that protocol is off
	// Addresses and folder for temporary files; empty: new ones.
	client, restAddr, tmp string
}

// prepare makes the working directory and the files of a coordinator.
func (r *run) prepare(s coordinatorSpec) *coordinator {
	c := &coordinator{run: r, label: s.label, dir: filepath.Join(r.dir, s.label), tmp: s.tmp, client: s.client, rest: s.restAddr, admin: r.addr(), exited: make(chan struct{})}
	must(os.MkdirAll(filepath.Join(c.dir, "deploy"), 0o700))
	must(os.Symlink(filepath.Join(r.root, "bin"), filepath.Join(c.dir, "bin")))
	if c.tmp == "" {
		c.tmp = filepath.Join(c.dir, "tmp")
		must(os.MkdirAll(c.tmp, 0o700))
	}
	if c.client == "" {
		c.client = r.addr()
	}
	if s.rest != "" {
		if c.rest == "" {
			c.rest = r.addr()
		}
		c.write("deploy/rest.json", fmt.Sprintf(s.rest, c.rest))
	}
	settings := strings.Replace(s.settings, `"me":0`, fmt.Sprintf(`"me":%d`, s.index), 1)
	c.write("config.json", fmt.Sprintf(`{"name":%q,"listen":%q,"admin":%q,"seed":"8c1f30d27a5be96%d","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},`+
		`"journal":%q,"known":{"pos":1,"entries":[%s]},"settings":%s}`, s.name, c.client, c.admin, s.index, cmp.Or(s.memoryMB, 192), cmp.Or(s.sockets, 1024), s.journal, s.servers, settings))
	return c
}

func (c *coordinator) write(name, text string) {
	must(os.WriteFile(filepath.Join(c.dir, name), []byte(text), 0o600))
}

// startCoordinator starts a coordinator and waits until it serves.
func (r *run) startCoordinator(s coordinatorSpec) *coordinator {
	c := r.prepare(s)
	log, err := os.Create(filepath.Join(c.dir, "log"))
	must(err)
	c.command = exec.Command("/bin/sh", "-c", r.command)
	c.command.Dir, c.command.Stdout, c.command.Stderr = c.dir, log, log
	c.command.Env = append(os.Environ(), "LB_CONFIG="+filepath.Join(c.dir, "config.json"), "TMPDIR="+c.tmp)
	must(c.command.Start())
	r.mu.Lock()
	r.processes = append(r.processes, c)
	r.mu.Unlock()
	go func() { _ = c.command.Wait(); close(c.exited) }()
	for deadline := time.Now().Add(20 * time.Second); c.call("STATUS") != "ACK serving"; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			panic(s.label + " is not ready: " + c.logTail())
		}
	}
	r.note("%s serves", s.label)
	return c
}

// call makes an operators' call and returns the answer, or "" if there is none.
func (c *coordinator) call(line string) string {
	conn, err := net.DialTimeout("tcp4", c.admin, time.Second)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.WriteString(conn, line+"\n")
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(answer)
}

func (c *coordinator) signal(s syscall.Signal) {
	c.run.note("%v to %s", s, c.label)
	_ = c.command.Process.Signal(s)
}

func (c *coordinator) kill() {
	_ = c.command.Process.Kill()
	<-c.exited
}

func (c *coordinator) logTail() string {
	b, _ := os.ReadFile(filepath.Join(c.dir, "log"))
	return string(b[max(0, len(b)-600):])
}

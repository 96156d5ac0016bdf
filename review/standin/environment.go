package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// readyTimeout is how long a coordinator may take until it says that it accepts clients.
const readyTimeout = 30 * time.Second

// environment holds what a case starts: a temporary folder, coordinators and stand-ins.
type environment struct {
	*record
	repository string
	folder     string // temporary

	mu       sync.Mutex
	closers  []func()
	isClosed bool
}

func newEnvironment(repository string, r *record) (*environment, error) {
	if _, err := os.Stat(filepath.Join(repository, "bin", "aniseloft")); err != nil {
		return nil, fmt.Errorf("build the program first: %w", err)
	}
	folder, err := os.MkdirTemp("", "aniseloft-review-")
	if err != nil {
		return nil, err
	}
	e := &environment{record: r, repository: repository, folder: folder}
	e.onClose(func() { _ = os.RemoveAll(folder) })
	return e, nil
}

// onClose adds a function that close calls, in the reverse order.
func (e *environment) onClose(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closers = append(e.closers, f)
}

func (e *environment) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isClosed {
		return
	}
	e.isClosed = true
	for i := len(e.closers) - 1; i >= 0; i-- {
		e.closers[i]()
	}
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// limits are those of a coordinator.
type limits struct{ memoryMB, sockets int }

// The limits that the pages name: those of the days that are scored, and half of them.
var (
	fullLimits = limits{192, 1024}
	halfLimits = limits{96, 512}
)

// deployment describes a coordinator that a case starts.
type deployment struct {
	limits
	name     string
	journal  *journal
	restFile string // content of deploy/rest.json; empty: that of the repository
}

// coordinator is a running coordinator.
type coordinator struct {
	*deployment
	address string
	command *exec.Cmd
	ended   chan struct{}
}

// start starts a coordinator with the deploy file's run command and waits until it accepts clients.
func (e *environment) start(d *deployment) (*coordinator, error) {
	workFolder, err := e.prepareFolder(d)
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	if err := e.writeConfig(d, address, filepath.Join(workFolder, "config.json")); err != nil {
		return nil, err
	}
	runCommand, err := deployCommand(e.repository, "run")
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(workFolder, "log.txt"))
	if err != nil {
		return nil, err
	}
	c := &coordinator{deployment: d, address: address, command: exec.Command("/bin/sh", "-c", runCommand), ended: make(chan struct{})}
	c.command.Dir, c.command.Stdout, c.command.Stderr = workFolder, log, log
	c.command.Env = append(os.Environ(), "LB_CONFIG="+filepath.Join(workFolder, "config.json"), "LB_NAME="+d.name, "LB_LISTEN="+address,
		"TMPDIR="+filepath.Join(workFolder, "tmp"))
	c.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = c.command.Wait()
		close(c.ended)
	}()
	e.onClose(func() {
		_ = c.command.Process.Kill()
		<-c.ended
		e.sayLog(filepath.Join(workFolder, "log.txt"))
	})
	e.say(d.name, "started at %s: %s", address, runCommand)
	return c, e.awaitReady(c)
}

// sayLog copies the end of a coordinator's log to the record.
func (e *environment) sayLog(path string) {
	const maxLines = 40
	content, err := os.ReadFile(path)
	if err != nil {
		return
	}
	lines := strings.Split(strings.TrimSpace(string(content)), "\n")
	for _, line := range lines[max(len(lines)-maxLines, 0):] {
		e.say("log", "%s", line)
	}
}

// prepareFolder makes the working folder of a coordinator: bin as built, deploy as in the repository, and a private tmp.
func (e *environment) prepareFolder(d *deployment) (string, error) {
	workFolder := filepath.Join(e.folder, d.name)
	for _, name := range []string{"deploy", "tmp"} {
		if err := os.MkdirAll(filepath.Join(workFolder, name), 0o700); err != nil {
			return "", err
		}
	}
	if err := os.Symlink(filepath.Join(e.repository, "bin"), filepath.Join(workFolder, "bin")); err != nil && !errors.Is(err, os.ErrExist) {
		return "", err
	}
	for _, name := range []string{"rest.json", "fleet.json"} {
		content, err := os.ReadFile(filepath.Join(e.repository, "deploy", name))
		if err != nil {
			return "", err
		}
		if name == "rest.json" && d.restFile != "" {
			content = []byte(d.restFile)
		}
		if err := os.WriteFile(filepath.Join(workFolder, "deploy", name), content, 0o600); err != nil {
			return "", err
		}
	}
	return workFolder, nil
}

// writeConfig writes a configuration with the settings of the repository's example, which are those of a small deployment.
func (e *environment) writeConfig(d *deployment, address, path string) error {
	example, err := os.ReadFile(filepath.Join(e.repository, "example", "config.json"))
	if err != nil {
		return err
	}
	var config map[string]any
	if err := json.Unmarshal(example, &config); err != nil {
		return err
	}
	config["name"], config["listen"], config["journal"] = d.name, address, d.journal.address()
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": d.memoryMB, "sockets": d.sockets}
	config["known"] = json.RawMessage(d.journal.batch(0))
	content, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, content, 0o600)
}

// deployCommand returns a command of the deploy file.
func deployCommand(repository, name string) (string, error) {
	content, err := os.ReadFile(filepath.Join(repository, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^` + name + ` *= *"(.*)"`).FindSubmatch(content)
	if match == nil {
		return "", fmt.Errorf("no %s command in the deploy file", name)
	}
	return string(match[1]), nil
}

// awaitReady asks the coordinator until it says that it accepts clients.
func (e *environment) awaitReady(c *coordinator) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case <-c.ended:
			return errors.New("the coordinator ended")
		default:
		}
		if isReady(c.address) {
			e.say(c.name, "ready")
			return nil
		}
	}
	return errors.New("the coordinator was not ready in time")
}

func isReady(address string) bool {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write([]byte(`{"jsonrpc":"2.0","id":1,"method":"alive"}` + "\n")); err != nil {
		return false
	}
	answer := make([]byte, 256)
	n, _ := conn.Read(answer)
	return bytes.Contains(answer[:n], []byte(`"pass":true`))
}

// startSmallFleet starts three engines, a journal service that lists them, and one coordinator.
func (e *environment) startSmallFleet(l limits, restFile string, work workload) ([]*engine, *coordinator, error) {
	j, err := e.startJournal()
	if err != nil {
		return nil, nil, err
	}
	var engines []*engine
	for i := range 3 {
		g, err := e.startEngine(fmt.Sprintf("s-%08x", 0xc41f70+i), work)
		if err != nil {
			return nil, nil, err
		}
		g.serveREST = restFile != ""
		engines = append(engines, g)
	}
	j.listEngines(engines)
	c, err := e.start(&deployment{name: "n0", limits: l, journal: j, restFile: restFile})
	if err == nil {
		time.Sleep(3 * time.Second) // the engines are taken for warming up until then
	}
	return engines, c, err
}

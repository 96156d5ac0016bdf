package main

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/emulator/loopback"
	"aniseloft/internal/testdir"
)

// firstSettings are the settings of most tests. secondSettings differ from them in every switch.
const firstSettings = `{"balancers":1,"me":0,"tickMs":5,"zone":0,"zones":["hall-a"],"machineTypes":["std-16","rest-16"],
 "bounds":{"cancel":true,"connIdleMs":15000,"connectTimeoutMs":2000,"maxOpen":1000,"maxRetryAfterMs":2000,"probes":true,"retryAfter":true,"sendCap":3},
 "domain":{"sizeCores":[16,16],"kindMemoryMb":[32768,32768],"classThreads":[1,4,2],"writesTables":[false,false,true],"costInAnswers":true,"grantsCount":true,"lanesCount":true,"memoryShort":"line_up","mostGrant":0.4},
 "lanes":[{"name":"trip-lookup","promiseMs":8000,"deadlineMs":10000,"repeat":"repeatable","gain":1,"lateWorth":0.1},
  {"name":"ridership-report","promiseMs":8000,"deadlineMs":10000,"repeat":"repeatable","gain":20,"lateWorth":0.4},
  {"name":"timetable-load","promiseMs":8000,"deadlineMs":10000,"repeat":"once","gain":25,"lateWorth":0.6}],
 "registryMode":"push","report":{"via":"pull","fields":["inflight","util","x1","x0"]},
 "rules":{"answerSlackMs":20,"coldFrom":0.33,"coldMs":15000,"drainGraceMs":1000,"fallMs":2000,"fallMultiple":3}}`

// coordinator runs the real program as a process of its own and collects its log.
type coordinator struct {
	*exec.Cmd
	t            *testing.T
	dir          string
	clientAddr   string // clients' address of the JSON-RPC front
	restAddr     string // clients' address of the REST front; empty: that front is off
	adminAddr    string // address for operators' calls
	settings     string // the configuration's "settings"; empty: firstSettings
	extraMembers string // further members of the configuration, each followed by a comma
	maxSockets   int    // limit of file descriptors; 0: 64
	log          *bytes.Buffer
	mu           sync.Mutex
}

var lastLoopbackHost atomic.Uint32

// claimNetwork claims a loopback network for this run of the tests until its process ends.
var claimNetwork = sync.OnceValues(loopback.Claim)

// freeAddress returns a free TCP address on a loopback address of its own, so that no concurrent test, in this run or
// another, can take the port.
func freeAddress(t *testing.T) string {
	network, err := claimNetwork()
	require.NoError(t, err)
	address, err := network.FreeTCPAddress(0, int(lastLoopbackHost.Add(1)))
	require.NoError(t, err)
	return address
}

// Write appends the program's output to the log, which tests read while the program runs.
func (p *coordinator) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *coordinator) logged() string { p.mu.Lock(); defer p.mu.Unlock(); return p.log.String() }

// startCoordinator starts the program in dir, which a restart can use again. If withREST is set, the REST front is on.
func startCoordinator(t *testing.T, dir string, j *fakeJournal, withREST bool) *coordinator {
	if withREST {
		return startWithStore(t, dir, j, filepath.Join(dir, "record.db"))
	}
	return startWithStore(t, dir, j, "")
}

// startWithStore starts the program with the REST front on and its record in storePath, unless storePath is empty.
func startWithStore(t *testing.T, dir string, j *fakeJournal, storePath string) *coordinator {
	return startWithSpool(t, dir, j, storePath, 600, `{}`)
}

// startWithSpool starts the program like startWithStore, with a spool, which is off if spoolJSON is {}. Ended queries
// can be read for keepSeconds.
func startWithSpool(t *testing.T, dir string, j *fakeJournal, storePath string, keepSeconds int, spoolJSON string) *coordinator {
	return startWithSettings(t, dir, j, storePath, keepSeconds, spoolJSON, "")
}

// newCoordinator returns a coordinator with addresses of its own, which is not configured yet.
func newCoordinator(t *testing.T, dir string) *coordinator {
	return &coordinator{t: t, dir: dir, clientAddr: freeAddress(t), adminAddr: freeAddress(t), log: &bytes.Buffer{}}
}

// startWithSockets starts the program with a limit of file descriptors, of which clients get a third.
func startWithSockets(t *testing.T, j *fakeJournal, maxSockets int, withREST bool) *coordinator {
	p := newCoordinator(t, testdir.Dir(t))
	p.maxSockets = maxSockets
	p.configure(j)
	if withREST {
		p.writeRESTConfig(filepath.Join(p.dir, "record.db"), 600, `{}`)
	}
	p.start(os.Environ())
	return p
}

// startWithSettings starts the program like startWithSpool, with settings instead of firstSettings unless they are empty.
func startWithSettings(t *testing.T, dir string, j *fakeJournal, storePath string, keepSeconds int, spoolJSON, settings string) *coordinator {
	p := newCoordinator(t, dir)
	p.settings = settings
	p.configure(j)
	if storePath != "" {
		p.writeRESTConfig(storePath, keepSeconds, spoolJSON)
	}
	p.start(os.Environ())
	return p
}

// writeRESTConfig turns the REST front on, at an address of its own.
func (p *coordinator) writeRESTConfig(storePath string, keepSeconds int, spoolJSON string) {
	p.restAddr = freeAddress(p.t)
	require.NoError(p.t, os.MkdirAll(filepath.Join(p.dir, "deploy"), 0o700))
	rewriteRESTFile(p.t, p.dir, fmt.Sprintf(`{"listen":%q,"store":%q,"keep_seconds":%d,"engine_kinds":["rest-16"],"spool":%s}`, p.restAddr, storePath, keepSeconds, spoolJSON))
}

// start runs the program with the configuration in p.dir and a $TMPDIR below it, and waits until the program reports
// that it serves.
func (p *coordinator) start(env []string) {
	t := p.t
	tmpDir := filepath.Join(p.dir, "tmp")
	require.NoError(t, os.MkdirAll(tmpDir, 0o700))
	p.Cmd = exec.Command(binary)
	p.Dir, p.Stdout, p.Stderr = p.dir, p, p
	// By default a program built with the race detector waits for a second at its exit.
	p.Env = slices.Concat(env, []string{"LB_CONFIG=" + filepath.Join(p.dir, "config.json"), "TMPDIR=" + tmpDir, "GORACE=atexit_sleep_ms=0"})
	require.NoError(t, p.Start())
	t.Cleanup(func() {
		if p.ProcessState == nil {
			p.kill()
		}
		require.NotContains(t, p.logged(), "DATA RACE")
		require.NotContains(t, p.logged(), "panicked")
		if t.Failed() {
			log := p.logged()
			t.Logf("the end of the program's log:\n%s", log[max(len(log)-4<<10, 0):])
		}
	})
	// During an upgrade two processes listen at the clients' address, so the status is read at the admin address, which
	// belongs to this process alone.
	eventually(t, func() bool {
		c, err := net.Dial("tcp", p.adminAddr)
		if err != nil {
			return false
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "STATUS\n")
		answer, _ := bufio.NewReader(c).ReadString('\n')
		return answer == "ACK serving\n"
	})
}

// configure writes the configuration, with j as the journal service.
func (p *coordinator) configure(j *fakeJournal) {
	p.writeConfig(fmt.Sprintf(`{"name":"n0","listen":%q,"admin":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":32,"sockets":%d},"journal":%q,"known":%s,%s"settings":%s}`,
		p.clientAddr, p.adminAddr, max(p.maxSockets, 64), j.Listener.Addr(), j.batch(0), p.extraMembers, cmp.Or(p.settings, firstSettings)))
}

func (p *coordinator) writeConfig(conf string) {
	require.NoError(p.t, os.WriteFile(filepath.Join(p.dir, "config.json"), []byte(conf), 0o600))
}

// waitForLog waits until the log contains text.
func (p *coordinator) waitForLog(text string) {
	p.t.Helper()
	eventually(p.t, func() bool { return strings.Contains(p.logged(), text) })
}

func (p *coordinator) kill() {
	_ = p.Process.Signal(syscall.SIGKILL)
	_ = p.Wait()
}

func rewriteRESTFile(t *testing.T, dir, text string) {
	require.NoError(t, os.WriteFile(filepath.Join(dir, "deploy", "rest.json"), []byte(text), 0o600))
}

// restartCommand returns a command that starts the program again with p's directory and environment.
func restartCommand(p *coordinator) *exec.Cmd {
	c := exec.Command(binary)
	c.Dir, c.Env = p.dir, p.Env
	return c
}

// peakMemoryMB returns the most resident memory that the program has had, in MB.
func (p *coordinator) peakMemoryMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	require.NoError(p.t, err)
	var kb int
	_, err = fmt.Sscan(string(text[bytes.Index(text, []byte("VmHWM:"))+6:]), &kb)
	require.NoError(p.t, err)
	return kb >> 10
}

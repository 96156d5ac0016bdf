package main

import (
	"bytes"
	"database/sql"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
	_ "modernc.org/sqlite" // driver with which a test locks the record

	"aniseloft/internal/overrides"
	"aniseloft/internal/testdir"
)

// Guards against treating an engine whose zone or kind the settings don't name as one of the first zone or kind: it then
// got the requests of classes that are bound to that zone or kind.
func TestEngineOfUnknownZoneOrKindGetsNoBoundClass(t *testing.T) {
	t.Parallel()
	for _, unknown := range [][2]string{{`"zone":"hall-a"`, `"zone":"hall-x"`}, {`"zone":"hall-a"`, `"zone":"Hall-A"`}, {`"kind":"std-16"`, `"kind":"std-99"`}} {
		e, j := newFakeEngine(t, false), newFakeJournal(t)
		j.add(true, strings.Replace(serverEntry(1, e, "active"), unknown[0], unknown[1], 1))
		settings := strings.Replace(firstSettings, `"name":"timetable-load"`, `"confinedTo":[0],"boundTo":[0],"name":"timetable-load"`, 1)
		p := startWithSettings(t, testdir.Dir(t), j, "", 600, `{}`, settings)
		c := dialClient(t, p.clientAddr)
		require.Contains(t, c.call(queryLine(1, "timetable-load", "bound", 1000)), `"code":-32000`, unknown)
		require.Zero(t, e.count(&e.attempts, "bound"), unknown)
		require.Equal(t, "a\tb\tc\n", answerText(t, c.call(queryLine(2, "trip-lookup", "free", 9000))), unknown)
	}
}

// waitForCounters has the counters printed again and again until the log contains text.
func (p *coordinator) waitForCounters(text string) {
	p.t.Helper()
	eventually(p.t, func() bool {
		_ = p.Process.Signal(syscall.SIGUSR1)
		return strings.Contains(p.logged(), text)
	})
}

// Guards against sending statements of a REST client that has closed its connection before the first answer: without a
// key the client has no way to refer to its query, and with a key it can send the statement again, which starts it anew.
// The requests that it sent behind the first one, many bytes of them unread, must not be started either.
func TestStatementOfDisconnectedClientIsNotSent(t *testing.T) {
	t.Parallel()
	e, j := newFakeEngine(t, false), newFakeJournal(t)
	j.add(true) // no engine yet, so statements wait
	p := startCoordinator(t, testdir.Dir(t), j, true)
	post := func(statement, headers string) string {
		return fmt.Sprintf("POST /v1/statement HTTP/1.1\r\nHost: a\r\nX-Trino-User: kiosk\r\nX-Trino-Source: trip-lookup\r\nX-Aniseloft-Work-Ms: 500\r\n%sContent-Length: %d\r\n\r\n%s",
			headers, len(statement), statement)
	}
	sendAndDisconnect := func(takenCount, text, counters string) {
		c := dialClient(t, p.restAddr)
		_, err := io.WriteString(c, text)
		require.NoError(t, err)
		p.waitForCounters("class=trip-lookup taken=" + takenCount)
		_ = c.Close()
		p.waitForCounters("class=trip-lookup taken=" + takenCount + " sent=0 " + counters)
	}
	sendAndDisconnect("1", post("left", ""), "gone=1")
	sendAndDisconnect("2", post("kept", "Idempotency-Key: k\r\n"), "gone=1 answered_served=0 answered_refused=1")
	sendAndDisconnect("3", post("before", "")+post("behind "+strings.Repeat("x", 8<<10), "")+post("last", "Idempotency-Key: l\r\n"), "gone=2 answered_served=0 answered_refused=1")
	p.waitForCounters("client_connections addr=" + p.restAddr + " open=0")
	j.add(false, serverEntry(1, e, "active"))
	_, text := followPages(t, p.post("trip-lookup", "k", "kept"))
	require.Equal(t, "a\tb\tc\n", text)
	p.waitForCounters("class=trip-lookup taken=4 sent=1")
	require.Equal(t, 1, e.count(&e.attempts, "kept"))
}

// After a SIGTERM while the start waits for the locked record, clients that have connected are served and the program
// exits cleanly.
func TestSIGTERMDuringStartServesConnectedClients(t *testing.T) {
	t.Parallel()
	e, j, dir := newFakeEngine(t, false), newFakeJournal(t), testdir.Dir(t)
	j.add(true, serverEntry(1, e, "active"))
	p := startCoordinator(t, dir, j, true) // creates the record
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	require.NoError(t, p.Wait())
	record, err := sql.Open("sqlite", filepath.Join(dir, "record.db"))
	require.NoError(t, err)
	record.SetMaxOpenConns(1)
	_, err = record.Exec("BEGIN EXCLUSIVE")
	require.NoError(t, err)
	restarted := restartCommand(p)
	restarted.Stdout, restarted.Stderr = p, p
	require.NoError(t, restarted.Start())
	c := dialClient(t, p.clientAddr) // the front listens, but nothing is served while the record is locked
	c.send(queryLine(1, "trip-lookup", "x", 9000))
	require.NoError(t, restarted.Process.Signal(syscall.SIGTERM))
	_, err = record.Exec("ROLLBACK")
	require.NoError(t, err)
	require.NoError(t, record.Close())
	require.Contains(t, c.readLine(), `"id":1,"result"`)
	require.NoError(t, restarted.Wait(), "exit code 0")
}

// After PAUSE, two SIGTERMs and a SIGHUP the open request is answered, and idle connections are closed and not reset.
func TestSIGTERMTwiceWhilePaused(t *testing.T) {
	t.Parallel()
	p, e, _ := startWithOneEngine(t, false)
	openClient, idleClient := dialClient(t, p.clientAddr), dialClient(t, p.clientAddr)
	openClient.send(queryLine(1, "trip-lookup", "stay", 9000))
	eventually(t, func() bool { return e.count(&e.attempts, "stay") == 1 })
	require.Contains(t, idleClient.call(queryLine(2, "trip-lookup", "x", 9000)), `"id":2,"result"`)
	adminConn, err := net.Dial("tcp", p.adminAddr)
	require.NoError(t, err)
	defer func() { _ = adminConn.Close() }()
	_, _ = io.WriteString(adminConn, "PAUSE\n")
	answer, err := io.ReadAll(adminConn)
	require.NoError(t, err)
	require.Equal(t, "ACK paused\n", string(answer))
	_, err = idleClient.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	p.waitForLog("now=draining")
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	require.NoError(t, p.Process.Signal(syscall.SIGHUP))
	close(e.release)
	require.Contains(t, openClient.readLine(), `"id":1,"result"`)
	_, err = openClient.reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, p.Wait(), "exit code 0")
}

// Idle connections are closed and not reset when the process ends, and the process does not wait for their clients.
func TestIdleConnectionsAreClosedAtShutdown(t *testing.T) {
	t.Parallel()
	p, _, _ := startWithOneEngine(t, true)
	var idleClients []*client
	for id := range 6 {
		c := dialClient(t, p.clientAddr)
		require.Contains(t, c.call(queryLine(id+1, "trip-lookup", "x", 9000)), `"result"`)
		idleClients = append(idleClients, c)
	}
	restClient := dialClient(t, p.restAddr)
	_, _ = io.WriteString(restClient, "GET /v1/info HTTP/1.1\r\nHost: a\r\n\r\n")
	answer, err := http.ReadResponse(restClient.reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(t, err)
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	for _, c := range append(idleClients, restClient) {
		_, err := c.reader.ReadByte()
		require.ErrorIs(t, err, io.EOF, "the connection is closed, not reset")
	}
	require.NoError(t, p.Wait())
}

// Guards against counting the new process of an upgrade as a successor before it listens at the clients' address: an old
// process that got SIGTERM at that moment stopped accepting connections, and no process accepted them.
func TestProcessIsNoSuccessorBeforeItListens(t *testing.T) {
	t.Parallel()
	e, j := newFakeEngine(t, false), newFakeJournal(t)
	j.add(true, serverEntry(1, e, "active"))
	otherListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = otherListener.Close() }()
	p := &coordinator{t: t, dir: testdir.Dir(t), clientAddr: otherListener.Addr().String(), adminAddr: freeAddress(t), log: &bytes.Buffer{}}
	p.configure(j)
	tmp := filepath.Join(p.dir, "tmp")
	require.NoError(t, os.MkdirAll(tmp, 0o700))
	c := exec.Command(binary)
	c.Env = append(os.Environ(), "LB_CONFIG="+filepath.Join(p.dir, "config.json"), "TMPDIR="+tmp, "GORACE=atexit_sleep_ms=0")
	out, err := c.CombinedOutput()
	require.Error(t, err)
	require.Contains(t, string(out), "address already in use")
	liveFiles, err := filepath.Glob(filepath.Join(tmp, "aniseloft-live-*"))
	require.NoError(t, err)
	require.Empty(t, liveFiles)
}

// restartableJournal is a journal service that can be stopped: its address then refuses connections until it is up again.
type restartableJournal struct {
	*fakeJournal
	addr string
}

func (r *restartableJournal) down() {
	r.CloseClientConnections()
	_ = r.Listener.Close()
	r.CloseClientConnections()
}

func (r *restartableJournal) up(t *testing.T) {
	l, err := net.Listen("tcp", r.addr)
	require.NoError(t, err)
	s := &http.Server{Handler: r.Config.Handler}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
}

// Idle clients fill the descriptors while the journal service is down. One descriptor is reserved for the watch and some
// for engines: updates are received once the service is back, and queries are served throughout.
func TestIdleClientsLeaveDescriptorsForDiscoveryAndEngines(t *testing.T) {
	t.Parallel()
	const descriptorLimit = 64
	oldEngine, newEngine, j := newFakeEngine(t, false), newFakeEngine(t, false), newFakeJournal(t)
	j.add(true, serverEntry(1, oldEngine, "active"))
	p := startCoordinator(t, testdir.Dir(t), j, false)
	require.NoError(t, unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: descriptorLimit, Max: descriptorLimit}, nil))
	service := &restartableJournal{j, j.Listener.Addr().String()}
	service.down()
	var idleClients []*client
	for id := range 2 * descriptorLimit { // more than the limit; earlier connections are closed for them
		c := dialClient(t, p.clientAddr)
		c.send(`{"jsonrpc":"2.0","id":1,"method":"alive"}`)
		if line, err := c.reader.ReadString('\n'); err == nil {
			require.Contains(t, line, `"pass":true`, id)
		}
		idleClients = append(idleClients, c)
	}
	openDescriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	require.NoError(t, err)
	require.LessOrEqual(t, len(openDescriptors), descriptorLimit)
	require.Contains(t, dialClient(t, p.clientAddr).call(queryLine(2, "trip-lookup", "before", 9000)), `"result"`)
	service.up(t)
	j.add(false, serverEntry(1, oldEngine, "leaving"), serverEntry(2, newEngine, "active"))
	eventually(t, func() bool {
		return strings.Contains(dialClient(t, p.clientAddr).call(queryLine(3, "trip-lookup", "after", 9000)), `"result"`) && newEngine.count(&newEngine.attempts, "after") > 0
	})
	require.Len(t, idleClients, 2*descriptorLimit, "the test keeps all connections to the end")
}

// Thirty processes start at the same time with discovery up, down, down for 8 s, and silent. Nine in ten must be ready
// within 10 s, and each must then answer its clients; where discovery comes back, each must receive the updates since.
func TestThirtyRestartedProcessesAreReadyAgain(t *testing.T) {
	const processCount, maxLateCount, outage = 30, 3, 8 * time.Second
	for _, discovery := range []string{"up", "down", "down for a while", "silent"} {
		e, newEngine, j := newFakeEngine(t, false), newFakeEngine(t, false), newFakeJournal(t)
		service, comesBack := &restartableJournal{j, j.Listener.Addr().String()}, discovery == "down for a while"
		j.add(true, serverEntry(1, e, "active"))
		switch discovery {
		case "down":
			service.down()
		case "silent":
			j.stopAnswering()
		}
		coordinators := startAndKill(t, processCount, j) // all have served once, and are restarted at the same time
		if comesBack {
			service.down()
			j.add(false, serverEntry(1, e, "leaving"), serverEntry(2, newEngine, "active"))
		}
		restarts := &massRestart{t: t, discovery: discovery, startedAt: time.Now()}
		if comesBack {
			restarts.newEngine, restarts.updateDue = newEngine, outage+maxWait
		}
		var restartsInProgress sync.WaitGroup
		for i, p := range coordinators {
			restartsInProgress.Go(func() { restarts.restart(p, i) })
		}
		if comesBack {
			time.Sleep(time.Until(restarts.startedAt.Add(outage)))
			service.up(t)
		}
		restartsInProgress.Wait()
		require.LessOrEqual(t, restarts.lateCount, maxLateCount, "discovery %s", discovery)
		t.Logf("discovery %s: %d of %d late, all answered after %v", discovery, restarts.lateCount, processCount, time.Since(restarts.startedAt).Round(time.Millisecond))
	}
}

// startAndKill starts coordinators one after another and kills all of them once the last one serves.
func startAndKill(t *testing.T, count int, j *fakeJournal) []*coordinator {
	var coordinators []*coordinator
	for range count {
		p := newCoordinator(t, testdir.Dir(t))
		p.configure(j)
		coordinators = append(coordinators, p)
	}
	for _, p := range coordinators {
		p.start(os.Environ())
	}
	for _, p := range coordinators {
		p.kill()
	}
	return coordinators
}

// massRestart is the shared state of many restarts at the same time, each on a goroutine of its own.
type massRestart struct {
	t         *testing.T
	discovery string
	startedAt time.Time     // when the restarts began
	newEngine *fakeEngine   // if set, an engine that is listed only by an update after the restart
	updateDue time.Duration // time after startedAt by which the update must be received

	mu        sync.Mutex
	lateCount int // coordinators that were not ready in time
}

// restart starts a coordinator again, and checks that it is ready, serves and receives the update.
func (m *massRestart) restart(p *coordinator, index int) {
	const readyLimit = 10 * time.Second
	command := restartCommand(p)
	command.Stdout, command.Stderr = p, p
	if err := command.Start(); err != nil {
		m.t.Error(err)
		return
	}
	defer func() { _ = command.Process.Kill(); _ = command.Wait() }()
	c := dialClient(m.t, p.clientAddr)
	line := c.call(`{"jsonrpc":"2.0","id":1,"method":"alive"}`)
	took := time.Since(m.startedAt)
	if took > readyLimit || !strings.Contains(line, `"pass":true`) {
		m.mu.Lock()
		m.lateCount++
		m.mu.Unlock()
	}
	if line := c.call(queryLine(2, "trip-lookup", "x", 9000)); !strings.Contains(line, `"result"`) {
		m.t.Errorf("discovery %s: %s", m.discovery, line)
	}
	after := fmt.Sprint("after ", index)
	for n := 3; m.newEngine != nil && m.newEngine.count(&m.newEngine.attempts, after) == 0; n++ {
		if time.Since(m.startedAt) > m.updateDue {
			m.t.Errorf("the update after discovery came back was not received")
			return
		}
		c.call(queryLine(n, "trip-lookup", after, 9000))
	}
}

// A class name that differs in case from those of the settings is unknown: no client gets the limits of another class.
func TestClassNamesAreCaseSensitive(t *testing.T) {
	t.Parallel()
	p, e, _ := startWithOneEngine(t, true)
	c := dialClient(t, p.clientAddr)
	for id, name := range []string{"Trip-Lookup", "TRIP-LOOKUP", "trip-lookup ", "trip_lookup"} {
		require.Contains(t, c.call(queryLine(id+1, name, "x", 9000)), `"code":-32601`, name)
	}
	require.Equal(t, 400, p.post("Trip-Lookup", "", "x").status)
	require.Zero(t, e.count(&e.attempts, "x"))
}

// While another process holds the state file's lock and does not proceed, a suspension is still answered in time, takes
// effect and is written to the file completely.
func TestSuspensionDoesNotWaitForTheStateFileLock(t *testing.T) {
	t.Parallel()
	p, e, _ := startWithOneEngine(t, false)
	stateFile := filepath.Join(p.dir, "tmp", "aniseloft-state.json")
	fd, err := syscall.Open(stateFile+".lock", syscall.O_CREAT|syscall.O_RDWR, 0o600)
	require.NoError(t, err)
	defer func() { _ = syscall.Close(fd) }()
	require.NoError(t, syscall.Flock(fd, syscall.LOCK_EX|syscall.LOCK_NB))
	a, err := net.Dial("tcp", p.adminAddr)
	require.NoError(t, err)
	defer func() { _ = a.Close() }()
	require.NoError(t, a.SetDeadline(time.Now().Add(maxWait)))
	_, _ = io.WriteString(a, "SUSPEND s-00000001\n")
	answer, err := io.ReadAll(a)
	require.NoError(t, err)
	require.Equal(t, "ACK s-00000001 out\n", string(answer))
	text, err := os.ReadFile(stateFile)
	require.NoError(t, err)
	require.Contains(t, string(text), "s-00000001")
	require.Contains(t, dialClient(t, p.clientAddr).call(queryLine(1, "trip-lookup", "x", 300)), `"error"`)
	require.Zero(t, e.count(&e.attempts, "x"))
}

// Guards against the loss of a suspension during an upgrade: both processes get a SUSPEND at the same time while a third
// one holds the state file's lock. The last writer overwrites a state that it has not read, and the other suspension was
// then lost with the next upgrade. The test acts as the other process.
func TestSuspensionOverwrittenByAnotherProcessIsWrittenAgain(t *testing.T) {
	t.Parallel()
	p, _, _, _ := startWithTwoEngines(t)
	stateFile := filepath.Join(p.dir, "tmp", "aniseloft-state.json")
	fd, err := syscall.Open(stateFile+".lock", syscall.O_CREAT|syscall.O_RDWR, 0o600)
	require.NoError(t, err)
	require.NoError(t, syscall.Flock(fd, syscall.LOCK_EX|syscall.LOCK_NB))
	require.Equal(t, "ACK s-00000001 out", p.adminCall("SUSPEND s-00000001"))
	other := overrides.New()
	other.SetListed("s-00000002", true)
	_, err = other.Suspend("s-00000002", 1)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(stateFile+".other", other.Encode(2), 0o600))
	require.NoError(t, os.Rename(stateFile+".other", stateFile))
	require.NoError(t, syscall.Close(fd)) // the lock is free
	p.waitForCounters("out=s-00000001:1,s-00000002:1")
	eventually(t, func() bool {
		text, err := os.ReadFile(stateFile)
		return err == nil && strings.Contains(string(text), "s-00000001") && strings.Contains(string(text), "s-00000002")
	})
	require.Contains(t, dialClient(t, p.clientAddr).call(queryLine(1, "trip-lookup", "x", 1500)), `"error"`, "both engines are suspended")
}

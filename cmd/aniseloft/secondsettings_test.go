package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
	"aniseloft/internal/testdir"
)

// secondSettings differs from firstSettings in every switch: no probes, priorities, grants, costs in answers or
// retry-after times; loads with a key, a retry budget, progress notes, gossip, and load reports in answers.
const secondSettings = `{"balancers":1,"me":0,"tickMs":5,"zone":0,"zones":["hall-a"],"machineTypes":["std-16","rest-16"],
 "bounds":{"cancel":true,"connIdleMs":15000,"connectTimeoutMs":2000,"maxOpen":1000,"maxRetryAfterMs":0,"peers":true,"probes":false,"retryAfter":false,"sendCap":4},
 "domain":{"sizeCores":[16,16],"kindMemoryMb":[32768,32768],"classThreads":[1,4,2],"writesTables":[false,false,true],"costInAnswers":false,"grantsCount":false,"lanesCount":false,"memoryShort":"overcommit","mostGrant":0.4,"progressMs":1000},
 "lanes":[{"name":"trip-lookup","promiseMs":8000,"deadlineMs":10000,"repeat":"repeatable","gain":1,"lateWorth":0.1},
  {"name":"ridership-report","promiseMs":8000,"deadlineMs":10000,"repeat":"repeatable","gain":10,"lateWorth":0.4},
  {"name":"timetable-load","promiseMs":8000,"deadlineMs":10000,"repeat":"by_key","dedupScope":"all","repeatWindowMs":9000,"gain":8,"lateWorth":0.6}],
 "clientHabits":{"marksRetry":true},"prices":{"peer":0.012},
 "registryMode":"push","report":{"via":"piggyback","fields":["queue","inflight","x0","x1"]},
 "rules":{"answerSlackMs":20,"coldFrom":0.31,"coldMs":14000,"drainGraceMs":2000,"fallMs":2000,"fallMultiple":3,"repeatRatio":0.1,"spareAttempts":2,"resendSpanMs":5000}}`

// startWithSecondSettings starts a coordinator with one engine under secondSettings.
func startWithSecondSettings(t *testing.T, rest bool) (*coordinator, *fakeEngine) {
	e, j, dir, store := newFakeEngine(t, false), newFakeJournal(t), testdir.Dir(t), ""
	j.add(true, serverEntry(1, e, "active"))
	if rest {
		store = filepath.Join(dir, "record.db")
	}
	return startWithSettings(t, dir, j, store, 600, `{}`, secondSettings), e
}

// keyedLine returns a load with members, such as its key, added to its parameters; each ends with a comma.
func keyedLine(id int, statement, members string) string {
	return strings.Replace(queryLine(id, "timetable-load", statement, 9000), `"ttl"`, members+`"ttl"`, 1)
}

// Engines drop repeated loads by the client's key. Guards against fronts that do not read the key and against sending a
// load to an engine without it.
func TestKeyOfALoadReachesItsEngineUnchanged(t *testing.T) {
	t.Parallel()
	p, e := startWithSecondSettings(t, true)
	c := dialClient(t, p.clientAddr)
	key := "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
	require.Equal(t, "a\tb\tc\n", answerText(t, c.call(keyedLine(1, "insert into s_1.x", fmt.Sprintf(`"dedupe":%q,"rep":"1",`, key)))))
	require.Equal(t, "a\tb\tc\n", answerText(t, c.call(queryLine(2, "trip-lookup", "x", 9000))))
	require.Equal(t, 200, p.post("timetable-load", "rest-key", "insert into s_2.x").status)
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Equal(t, []string{key}, e.headers[0].Values("Once-Key"))
	require.Empty(t, e.headers[1].Values("Once-Key"), "a repeatable class has no key")
	require.Equal(t, []string{"rest-key"}, e.headers[2].Values("Once-Key"))
}

func TestLoadWithAnInvalidKeyIsNotSent(t *testing.T) {
	t.Parallel()
	p, e := startWithSecondSettings(t, true)
	c := dialClient(t, p.clientAddr)
	for id, members := range []string{``, `"dedupe":"",`, `"dedupe":7,`, `"dedupe":null,`, `"dedupe":"a b",`, `"dedupe":"a\r\nKind: x",`,
		`"dedupe":"` + strings.Repeat("5", 65) + `",`, `"dedupe":"k","rep":"yes",`, `"dedupe":"k","rep":{},`} {
		require.Contains(t, c.call(keyedLine(id+1, "insert into s_1.x", members)), `"code":-32602`, members)
	}
	require.Equal(t, 400, p.post("timetable-load", "", "insert into s_1.x").status)
	require.Zero(t, e.count(&e.attempts, "insert into s_1.x"))
}

// listenUDP opens a UDP socket on a loopback address of its own, and returns it with its address.
func listenUDP(t *testing.T) (*net.UDPConn, string) {
	n := lastLoopbackHost.Add(1)
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 1, byte(n>>8), byte(n))})
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c, c.LocalAddr().String()
}

// Guards against coordinators that neither send nor receive gossip although it is enabled. A datagram from an address that
// is no peer's, a too long and an unreadable one are counted, logged once per kind, and change nothing.
func TestGossipIsSentReceivedAndValidated(t *testing.T) {
	t.Parallel()
	e, j := newFakeEngine(t, false), newFakeJournal(t)
	j.add(true, serverEntry(1, e, "active"))
	peer, peerAddr := listenUDP(t)
	stranger, _ := listenUDP(t)
	own, ownAddr := listenUDP(t)
	_ = own.Close()
	p := &coordinator{t: t, dir: testdir.Dir(t), clientAddr: freeAddress(t), adminAddr: freeAddress(t), log: &bytes.Buffer{},
		settings:     strings.Replace(secondSettings, `"balancers":1`, `"balancers":2`, 1),
		maxSockets:   128,
		extraMembers: fmt.Sprintf(`"peer_listen":%q,"peers":[%q,%q],"peers_all":%q,`, ownAddr, ownAddr, peerAddr, peerAddr)}
	p.configure(j)
	p.start(os.Environ())
	c := dialClient(t, p.clientAddr)
	c.send(queryLine(1, "ridership-report", "stay", 9000))
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(maxWait)))
	var b [512]byte
	n, from, err := peer.ReadFromUDP(b[:])
	require.NoError(t, err)
	require.Equal(t, ownAddr, from.String(), "a peer is identified by the address from which it sends")
	require.LessOrEqual(t, n, 256)
	require.True(t, decide.ValidGossip(b[:n]))
	sendDatagram := func(c *net.UDPConn, text string) {
		_, err := c.WriteToUDP([]byte(text), from)
		require.NoError(t, err)
	}
	valid := string(b[:n])
	eventually(t, func() bool { // any datagram may be lost
		sendDatagram(peer, valid)
		sendDatagram(stranger, valid)
		sendDatagram(peer, valid[:n-1])
		sendDatagram(peer, "\x07"+valid[1:])
		sendDatagram(peer, strings.Repeat(valid, 300))
		require.NoError(t, p.Process.Signal(syscall.SIGUSR1))
		found := regexp.MustCompile(`counters peers sent=[1-9]\d* unsent=0 heard=[1-9]\d* stranger=[1-9]\d* oversize=[1-9]\d* unreadable=[1-9]`)
		return found.MatchString(p.logged())
	})
	for _, kind := range []string{"stranger", "oversize", "unreadable"} {
		require.Equal(t, 1, strings.Count(p.logged(), "kind="+kind), "one line per kind")
	}
	require.Equal(t, "a\tb\tc\n", answerText(t, c.call(queryLine(2, "trip-lookup", "x", 9000))))
}

func TestCommandLine(t *testing.T) {
	for args, want := range map[string]struct {
		code   int
		output string
	}{
		"--help":    {0, "LB_CONFIG=example/config.json aniseloft"},
		"--version": {0, "aniseloft "},
		"--serve":   {2, `"--serve" is not understood`},
		"":          {1, "LB_CONFIG is not set"},
	} {
		c := exec.Command(binary, strings.Fields(args)...)
		c.Env = []string{"GORACE=atexit_sleep_ms=0"}
		out, _ := c.CombinedOutput()
		require.Equal(t, want.code, c.ProcessState.ExitCode(), args)
		require.Contains(t, string(out), want.output)
	}
}

// Guards against ignoring a field that is unknown, or not followed as it is written, without a line in the log.
func TestStartLogsIgnoredSettings(t *testing.T) {
	t.Parallel()
	e, j := newFakeEngine(t, false), newFakeJournal(t)
	j.add(true, serverEntry(1, e, "active"))
	p := startWithSettings(t, testdir.Dir(t), j, "", 600, `{}`, strings.Replace(secondSettings, `"me":0`, `"me":0,"fancy":[1,2]`, 1))
	p.waitForLog(`msg=settings field=fancy value=[1,2] says="unknown field" then="it is ignored"`)
	p = &coordinator{t: t, dir: testdir.Dir(t), clientAddr: freeAddress(t), adminAddr: freeAddress(t), log: &bytes.Buffer{},
		settings: strings.Replace(secondSettings, `"me":0`, `"me":4`, 1)}
	p.configure(j)
	c := exec.Command(binary)
	c.Env = []string{"LB_CONFIG=" + filepath.Join(p.dir, "config.json")}
	out, err := c.CombinedOutput()
	require.Error(t, err)
	require.Contains(t, string(out), "aniseloft: configuration: me = 4: must be from 0 to Balancers-1; the program does not start")
}

// A load joins the running request with the same key. Guards against two runs for two clients with one key, and against a
// run that is cancelled when one of its clients disconnects.
func TestRepeatedKeyJoinsTheRunningRequest(t *testing.T) {
	t.Parallel()
	p, e := startWithSecondSettings(t, false)
	key := `"dedupe":"k1",`
	first, second, third := dialClient(t, p.clientAddr), dialClient(t, p.clientAddr), dialClient(t, p.clientAddr)
	stayStatement := "insert stay into s_1.x"
	first.send(keyedLine(1, stayStatement, key))
	eventually(t, func() bool { return e.count(&e.attempts, stayStatement) == 1 })
	second.send(keyedLine(1, stayStatement, key+`"rep":"1",`))
	require.Contains(t, third.call(keyedLine(1, "insert into s_2.x", key)), `"code":-32001`, "the key names another statement")
	third.send(keyedLine(2, stayStatement, key))
	eventually(t, func() bool {
		_ = p.Process.Signal(syscall.SIGUSR1)
		return strings.Contains(p.logged(), "joined=2")
	})
	_ = first.Close() // the run continues for the second client
	third.send(`{"jsonrpc":"2.0","method":"cancelRequest","params":{"id":2}}`)
	require.Contains(t, third.call(`{"jsonrpc":"2.0","id":9,"method":"alive"}`), `"id":9`)
	close(e.release)
	require.Equal(t, "a\tb\tc\n", answerText(t, second.readLine()))
	require.Equal(t, 1, e.count(&e.attempts, stayStatement), "the load ran once")
	require.Zero(t, e.count(&e.cancelled, stayStatement), "the run was not cancelled")
	require.Equal(t, "a\tb\tc\n", answerText(t, third.call(keyedLine(3, stayStatement, key))), "the key is free once its request has ended")
}

// When a run ends unserved, a request that waits under the same key is tried if it can still be answered in time.
func TestJoinedRequestIsRetriedWhenTheRunFails(t *testing.T) {
	t.Parallel()
	p, e := startWithSecondSettings(t, false)
	first, second := dialClient(t, p.clientAddr), dialClient(t, p.clientAddr)
	stayStatement, key := "insert stay into s_1.x", `"dedupe":"k1",`
	first.send(strings.Replace(keyedLine(1, stayStatement, key), `"ttl":9000`, `"ttl":1200`, 1))
	eventually(t, func() bool { return e.count(&e.attempts, stayStatement) >= 1 })
	second.send(keyedLine(1, stayStatement, key))
	require.Contains(t, first.readLine(), `"error"`)
	close(e.release)
	require.Equal(t, "a\tb\tc\n", answerText(t, second.readLine()))
}

// A load that may have run is not sent to an engine again once its key's window has passed: no engine would drop the
// repeat.
func TestRepeatedKeyPastItsWindowReachesNoEngine(t *testing.T) {
	t.Parallel()
	const window = 400 * time.Millisecond
	e, j := newFakeEngine(t, false), newFakeJournal(t)
	j.add(true, serverEntry(1, e, "active"))
	p := startWithSettings(t, testdir.Dir(t), j, "", 600, `{}`, strings.Replace(secondSettings, `"repeatWindowMs":9000`, `"repeatWindowMs":400`, 1))
	c, load, key := dialClient(t, p.clientAddr), "insert fail into s_1.x", `"dedupe":"k1",`
	require.Contains(t, c.call(keyedLine(1, load, key)), `"error"`)
	for endedAt := time.Now(); time.Since(endedAt) < window; { // the key's window began earlier
		time.Sleep(time.Millisecond)
	}
	attemptsBefore := e.count(&e.attempts, load)
	require.Positive(t, attemptsBefore)
	require.Contains(t, c.call(keyedLine(2, load, key+`"rep":"1",`)), `"code":-32001`, "the load may have run, so a retry is not safe")
	require.Equal(t, attemptsBefore, e.count(&e.attempts, load))
	require.Contains(t, c.call(keyedLine(3, load, `"dedupe":"k2",`)), `"error"`)
	require.Greater(t, e.count(&e.attempts, load), attemptsBefore, "another key is another load")
}

func TestEngineProtocolViolationsAreCountedAndChangeNothing(t *testing.T) {
	t.Parallel()
	p, e := startWithSecondSettings(t, false)
	c := dialClient(t, p.clientAddr)
	c.send(queryLine(1, "ridership-report", "odd stay", 9000))
	waitForCounter := func(counter string) {
		eventually(t, func() bool {
			_ = p.Process.Signal(syscall.SIGUSR1)
			return regexp.MustCompile(counter + "=[1-9]").MatchString(p.logged())
		})
	}
	waitForCounter("odd_notes")
	close(e.release)
	require.Equal(t, "a\tb\tc\n", answerText(t, c.readLine()))
	waitForCounter("odd_reports")
	for _, kind := range []string{"note", "report"} {
		require.Equal(t, 1, strings.Count(p.logged(), "not used; more of the kind are only counted\" kind="+kind), "one line per kind")
	}
}

package live

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"aniseloft/internal/emulator/observer"
)

// The platform sends SIGKILL no sooner after SIGTERM than the longest deadline, counted as 3 s where it is longer, plus
// 0.7 s.
const (
	maxCountedDeadlineMS = 3000.0
	killAfterDeadlineMS  = 700.0
)

// SignalSeries names the signals that a coordinator receives at a shutdown, in their order.
type SignalSeries string

// The series of signals.
const (
	SignalsTermOnly      SignalSeries = "term"
	SignalsTermTwice     SignalSeries = "term twice"
	SignalsHangupFirst   SignalSeries = "hup, term"
	SignalsHangupAfter   SignalSeries = "term, hup"
	SignalsManyHangups   SignalSeries = "ten hups, good and bad files, term"
	SignalsStatusBetween SignalSeries = "usr1, term, usr1"
)

// AllSignalSeries lists all series of signals.
var AllSignalSeries = []SignalSeries{SignalsTermOnly, SignalsTermTwice, SignalsHangupFirst, SignalsHangupAfter, SignalsManyHangups, SignalsStatusBetween}

// earliestKill returns the time after SIGTERM from which the platform may kill a coordinator.
func (d *Rehearsal) earliestKill() time.Duration {
	longest := 0.0
	for _, class := range d.scenario.Classes {
		longest = max(longest, class.DeadlineMS)
	}
	return time.Duration((min(longest, maxCountedDeadlineMS) + killAfterDeadlineMS) * float64(time.Millisecond))
}

// Shutdown shuts a coordinator down as the platform does: it sends a series of signals with SIGTERM while clients go on
// using their open connections, and SIGKILL at the earliest time at which the platform may. A coordinator that has to
// be killed violates the rule of one answer. Shutdown calls unanswered with the ID of each request whose connection the
// coordinator closed without an answer; such a request violates a rule if the coordinator had read it.
func (r *Controller) Shutdown(n int, series SignalSeries, rng *rand.Rand, unanswered func(requestID string)) {
	d := r.rehearsal
	p := d.coordinators[n]
	if d.isDown(p) {
		return
	}
	const trafficBeforeSignals = 200 * time.Millisecond // lead time after which requests are in flight when the signals arrive
	stop, stopped := make(chan struct{}), make(chan struct{})
	traffic := d.newPersistentClient(n, rng, unanswered)
	go func() {
		defer close(stopped)
		traffic.run(stop)
	}()
	time.Sleep(trafficBeforeSignals)
	d.note("coordinator %d is shut down with signals: %s", n, series)
	time.AfterFunc(frontProxyDrainDelay, func() {
		d.frontProxyMu.Lock()
		defer d.frontProxyMu.Unlock()
		d.frontProxy.SetAlive(n, false)
	})
	r.signalsBeforeTerm(n, series)
	d.terminateAndKill(p, func() { r.signalsAfterTerm(n, series) }, noSignal)
	close(stop)
	<-stopped
	d.sharedObserver.with(func(o *observer.Observer) { o.CoordinatorStarted(n) })
}

// TerminateDuringStart starts a coordinator that is down and sends it SIGTERM so soon that it may not serve yet. As in any
// other shutdown, it must end before SIGKILL is due; SIGTERM may also end it before it has installed its signal handler.
func (r *Controller) TerminateDuringStart(n int, after time.Duration) error {
	d := r.rehearsal
	p := d.coordinators[n]
	if !d.isDown(p) {
		return nil
	}
	if err := d.startCoordinator(p); err != nil {
		return err
	}
	d.note("coordinator %d receives SIGTERM %v after its start", n, after)
	time.Sleep(after)
	d.terminateAndKill(p, func() {}, syscall.SIGTERM)
	d.sharedObserver.with(func(o *observer.Observer) { o.CoordinatorStarted(n) })
	return nil
}

// noSignal is the argument of terminateAndKill that means that no signal may end the process.
const noSignal = syscall.Signal(-1)

// terminateAndKill sends SIGTERM, calls afterTerm, and sends SIGKILL after earliestKill if the process still runs. The
// process must exit with code 0 or be ended by allowedSignal; anything else violates the rule of one answer.
func (d *Rehearsal) terminateAndKill(p *coordinator, afterTerm func(), allowedSignal syscall.Signal) {
	d.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.endRequested = true
	d.mu.Unlock()
	termSentAt := time.Now()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	afterTerm()
	select {
	case <-ended:
	case <-time.After(time.Until(termSentAt.Add(d.earliestKill()))):
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-ended
	}
	if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && (status.Signaled() && status.Signal() != allowedSignal || status.ExitStatus() > 0) {
		d.sharedObserver.with(func(o *observer.Observer) {
			o.Violate(observer.RuleOneAnswer, d.clock.Now(), "coordinator %d: %v, %v after SIGTERM", p.index, cmd.ProcessState, time.Since(termSentAt).Round(time.Millisecond))
		})
	}
}

// signalGap is the time between SIGTERM and the signal that is sent before or after SIGTERM.
const signalGap = 20 * time.Millisecond

func (r *Controller) signalsBeforeTerm(n int, series SignalSeries) {
	switch series {
	case SignalsHangupFirst:
		r.signal(n, syscall.SIGHUP)
	case SignalsManyHangups:
		r.manyHangups(n)
	case SignalsStatusBetween:
		r.signal(n, syscall.SIGUSR1)
		time.Sleep(signalGap)
	}
}

func (r *Controller) signalsAfterTerm(n int, series SignalSeries) {
	time.Sleep(signalGap)
	r.rehearsal.mu.Lock()
	process := r.rehearsal.coordinators[n].cmd.Process
	r.rehearsal.mu.Unlock()
	switch series {
	case SignalsTermTwice:
		_ = process.Signal(syscall.SIGTERM)
	case SignalsHangupAfter:
		_ = process.Signal(syscall.SIGHUP)
	case SignalsStatusBetween:
		_ = process.Signal(syscall.SIGUSR1)
	}
}

// manyHangups sends ten SIGHUPs in a second. Every other one, from the first, finds a configuration file that was cut in half.
func (r *Controller) manyHangups(n int) {
	const (
		hangups = 10
		spacing = 100 * time.Millisecond
	)
	path := filepath.Join(r.rehearsal.directory, fmt.Sprintf("n%d.json", n))
	valid, err := os.ReadFile(path)
	if err != nil {
		return
	}
	for i := range hangups {
		content := valid
		if i%2 == 0 {
			content = valid[:len(valid)/2]
		}
		_ = os.WriteFile(path, content, 0o600)
		r.signal(n, syscall.SIGHUP)
		time.Sleep(spacing)
	}
	_ = os.WriteFile(path, valid, 0o600)
}

// OpenUnusedConnections opens connections to a coordinator that carry no complete request: they idle, stop in the
// middle of a message, or are closed and opened again. It spreads their opening over half of the duration; the
// connections are closed at its end.
func (r *Controller) OpenUnusedConnections(n, connections int, duration time.Duration) {
	d := r.rehearsal
	d.note("%d connections without requests are opened to coordinator %d", connections, n)
	end := time.Now().Add(duration)
	for i := range connections {
		go d.holdUnusedConnection(d.coordinators[n].listen, i, end)
		time.Sleep(duration / time.Duration(2*connections))
	}
}

// holdUnusedConnection opens a connection again and again until end. Its number decides how it behaves.
func (d *Rehearsal) holdUnusedConnection(addr string, number int, end time.Time) {
	const pause = 100 * time.Millisecond // time between two connections, and lifetime of a connection that is closed early
	for time.Now().Before(end) {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(pause)
			continue
		}
		closeAt := end
		switch number % 3 {
		case 1:
			_, _ = io.WriteString(c, `{"jsonrpc":"2.0",`)
		case 2:
			closeAt = time.Now().Add(pause)
		}
		_ = c.SetReadDeadline(closeAt)
		_, _ = c.Read(make([]byte, 1)) // blocks until the coordinator closes the connection, or until closeAt
		_ = c.Close()
		time.Sleep(pause)
	}
}

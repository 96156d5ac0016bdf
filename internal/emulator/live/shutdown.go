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

// The page's earliest kill: the longest deadline, counted as 3 s where it is longer, and 0.7 s after SIGTERM.
const (
	maxCountedDeadlineMS = 3000.0
	killAfterDeadlineMS  = 700.0
)

// SignalSeries names the signals of a shutdown beside its SIGTERM.
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

// AllSignalSeries are the series that a shutdown may have.
var AllSignalSeries = []SignalSeries{SignalsTermOnly, SignalsTermTwice, SignalsHangupFirst, SignalsHangupAfter, SignalsManyHangups, SignalsStatusBetween}

// earliestKill is how soon after SIGTERM the platform may kill a coordinator.
func (d *Rehearsal) earliestKill() time.Duration {
	longest := 0.0
	for _, class := range d.scenario.Classes {
		longest = max(longest, class.DeadlineMS)
	}
	return time.Duration((min(longest, maxCountedDeadlineMS) + killAfterDeadlineMS) * float64(time.Millisecond))
}

// Shutdown shuts a coordinator down as the platform does: SIGTERM with a series of other signals, while clients go on using
// their open connections, and SIGKILL at the earliest time that the page names. A coordinator that is killed then violates
// the rule of one answer. Unanswered is told of requests on connections that the coordinator closed; they violate a rule if
// it had read them.
func (r *Controller) Shutdown(n int, series SignalSeries, rng *rand.Rand, unanswered func(call string)) {
	d := r.rehearsal
	p := d.coordinators[n]
	if d.isDown(p) {
		return
	}
	const before = 200 * time.Millisecond // the clients are at work when the signals come
	stop, stopped := make(chan struct{}), make(chan struct{})
	users := d.newPersistentClient(n, rng, unanswered)
	go func() {
		defer close(stopped)
		users.run(stop)
	}()
	time.Sleep(before)
	d.note("coordinator %d is told to end: %s", n, series)
	time.AfterFunc(frontProxyDrainDelay, func() {
		d.frontProxyMu.Lock()
		defer d.frontProxyMu.Unlock()
		d.frontProxy.SetAlive(n, false)
	})
	r.signalsBeforeTerm(n, series)
	d.terminateAndKill(p, func() { r.signalsAfterTerm(n, series) }, noSignal)
	close(stop)
	<-stopped
	d.judge.with(func(o *observer.Observer) { o.CoordinatorStarted(n) })
}

// TerminateDuringStart starts a coordinator that is down and sends it SIGTERM so soon that it may not serve yet. It must be gone
// before the kill, as from any other time; SIGTERM may end it before it can heed the signal.
func (r *Controller) TerminateDuringStart(n int, after time.Duration) error {
	d := r.rehearsal
	p := d.coordinators[n]
	if !d.isDown(p) {
		return nil
	}
	if err := d.startCoordinator(p); err != nil {
		return err
	}
	d.note("coordinator %d is told to end %v after its start", n, after)
	time.Sleep(after)
	d.terminateAndKill(p, func() {}, syscall.SIGTERM)
	d.judge.with(func(o *observer.Observer) { o.CoordinatorStarted(n) })
	return nil
}

// noSignal stands where no signal may end a process.
const noSignal = syscall.Signal(-1)

// terminateAndKill sends SIGTERM, what comes after it, and SIGKILL at the page's earliest. A process that ends otherwise than
// by itself with exit code 0, or by the allowed signal, violates the rule of one answer.
func (d *Rehearsal) terminateAndKill(p *coordinator, afterTerm func(), allowed syscall.Signal) {
	d.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.down = true
	d.mu.Unlock()
	at := time.Now()
	_ = cmd.Process.Signal(syscall.SIGTERM)
	afterTerm()
	select {
	case <-ended:
	case <-time.After(time.Until(at.Add(d.earliestKill()))):
		_ = cmd.Process.Signal(syscall.SIGKILL)
		<-ended
	}
	if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && (status.Signaled() && status.Signal() != allowed || status.ExitStatus() > 0) {
		d.judge.with(func(o *observer.Observer) {
			o.Violate(observer.RuleOneAnswer, d.clock.Now(), "coordinator %d: %v, %v after SIGTERM", p.index, cmd.ProcessState, time.Since(at).Round(time.Millisecond))
		})
	}
}

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

// manyHangups sends ten SIGHUPs in a second, each other one over a file that can't be used.
func (r *Controller) manyHangups(n int) {
	const (
		hangups = 10
		spacing = 100 * time.Millisecond
	)
	path := filepath.Join(r.rehearsal.directory, fmt.Sprintf("n%d.json", n))
	good, err := os.ReadFile(path)
	if err != nil {
		return
	}
	for i := range hangups {
		content := good
		if i%2 == 0 {
			content = good[:len(good)/2]
		}
		_ = os.WriteFile(path, content, 0o600)
		r.signal(n, syscall.SIGHUP)
		time.Sleep(spacing)
	}
	_ = os.WriteFile(path, good, 0o600)
}

// Crowd opens connections to a coordinator that idle, stop in the middle of a message, or come and go, for a while.
func (r *Controller) Crowd(n, connections int, duration time.Duration) {
	d := r.rehearsal
	d.note("a crowd of %d at coordinator %d", connections, n)
	end := time.Now().Add(duration)
	for i := range connections {
		go d.joinCrowd(d.coordinators[n].listen, i, end)
		time.Sleep(duration / time.Duration(2*connections))
	}
}

// joinCrowd is one of a crowd. What it does goes by its number.
func (d *Rehearsal) joinCrowd(addr string, number int, end time.Time) {
	const stay = 100 * time.Millisecond // of one that comes and goes
	for time.Now().Before(end) {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			time.Sleep(stay)
			continue
		}
		leaveAt := end
		switch number % 3 {
		case 1:
			_, _ = io.WriteString(c, `{"jsonrpc":"2.0",`)
		case 2:
			leaveAt = time.Now().Add(stay)
		}
		_ = c.SetReadDeadline(leaveAt)
		_, _ = c.Read(make([]byte, 1)) // until it is closed, or the time to leave
		_ = c.Close()
		time.Sleep(stay)
	}
}

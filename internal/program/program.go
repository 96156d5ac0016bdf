// Package program starts the coordinator, runs it through its lifecycle phases and shuts it down.
package program

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"aniseloft/internal/config"
	"aniseloft/internal/routing"
	"aniseloft/internal/spool"
	"aniseloft/internal/store"
	"aniseloft/internal/transport/clients"
	"aniseloft/internal/transport/discovery"
	"aniseloft/internal/transport/gossip"
	"aniseloft/internal/transport/listener"
	"aniseloft/internal/transport/upstream"
)

// drainCheckInterval is how often a draining program checks whether it may end.
const drainCheckInterval = 10 * time.Millisecond

// Program is one coordinator process. Run's goroutine owns it; fields that listeners and operators'
// calls read are atomic or have their own lock.
type Program struct {
	phase            atomic.Int32
	phaseEnteredAt   time.Time
	config           *config.Coordinator
	logConfig        config.Log
	log              *slog.Logger
	logLevel         *slog.LevelVar
	errOut           io.Writer
	cancelComponents context.CancelFunc // ends the goroutines of the components, except those of the listeners

	dispatcher      *routing.Dispatcher
	discovery       *discovery.Watcher
	pool            *upstream.Pool
	jsonRPCServer   *clients.JSONRPCServer
	clientListener  *listener.Listener
	adminListener   *listener.Listener // nil if no address for operators' calls is configured
	gossipTransport *gossip.Transport  // sends and receives gossip; nil if gossip is off
	fleet           fleetMember        // nil if coordination with other coordinators is off

	drain     drainState
	overrides *overrideStore
	instance  *instanceLock // lets other processes of this coordinator detect this one

	// Components of the paged REST protocol; nil if it is off.
	restServer   *clients.RESTServer
	restListener *listener.Listener
	store        *store.Store // the record: the SQL store of REST queries
	spool        *spool.Store // also nil if the spool is off
}

// Run starts the program, serves until it is shut down, and returns the exit code.
func Run(errOut io.Writer) int {
	p := &Program{errOut: errOut, logLevel: new(slog.LevelVar)}
	p.log = slog.New(slog.NewTextHandler(errOut, &slog.HandlerOptions{Level: p.logLevel}))
	// Signals are registered before the start, so that an early one is not lost. Each kind has its own
	// channel, so that a burst of one kind can't displace another.
	signals := signalChannels{
		terminate: notifyChannel(syscall.SIGTERM, syscall.SIGINT),
		reload:    notifyChannel(syscall.SIGHUP),
		print:     notifyChannel(syscall.SIGUSR1),
	}
	if err := p.start(); err != nil {
		_, _ = fmt.Fprintln(errOut, "aniseloft:", err)
		return 1
	}
	p.enter(Serving)
	p.serve(signals)
	p.printStatus()
	p.instance.release()
	return 0
}

// signalChannels receive the signals of each kind.
type signalChannels struct{ terminate, reload, print <-chan os.Signal }

// notifyChannel returns a channel that receives the given signals.
func notifyChannel(signals ...os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, signals...)
	return c
}

// serve handles signals and timers until the program has shut down.
func (p *Program) serve(signals signalChannels) {
	drainCheck := time.NewTicker(drainCheckInterval)
	defer drainCheck.Stop()
	var countersTick <-chan time.Time // nil: never
	if interval := p.logConfig.CountersInterval(); interval > 0 {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		countersTick = ticker.C
	}
	for p.Phase() != Stopped {
		select {
		case <-signals.terminate:
			p.terminate()
		case <-signals.reload:
			p.reload()
		case <-signals.print:
			p.printStatus()
		case <-countersTick:
			p.printCounters()
		case <-drainCheck.C:
			if p.drained() {
				p.close()
				p.enter(Stopped)
			}
		}
	}
}

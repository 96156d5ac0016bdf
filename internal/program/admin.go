package program

import (
	"fmt"
	"time"

	"aniseloft/internal/overrides"
	"aniseloft/internal/protocol/admin"
)

// executeCommand executes an operator's command and returns the answer.
func (p *Program) executeCommand(command admin.Command) []byte {
	switch command.Verb {
	case admin.Status:
		return p.executeStatus()
	case admin.Suspend:
		return p.executeSuspend(command.EndpointID)
	case admin.Restore:
		return p.executeRestore(command.EndpointID)
	case admin.Pause:
		return p.executePause()
	case admin.Resume:
		return p.executeResume()
	}
	return admin.Nak("unknown call")
}

func (p *Program) executeStatus() []byte {
	switch {
	case p.ready():
		return admin.Ack("serving")
	case p.Phase() == Serving:
		return admin.Nak("paused")
	}
	return admin.Nak(p.Phase().String())
}

func (p *Program) executeSuspend(endpointName string) []byte {
	var suspendCalls int
	err := p.overrides.change(overrides.Change{EndpointName: endpointName}, func() (err error) {
		suspendCalls, err = p.dispatcher.Suspend(endpointName)
		return err
	})
	if err != nil {
		return admin.Nak(err.Error())
	}
	if suspendCalls > 1 {
		return admin.Ack(fmt.Sprintf("%s out already (%d calls; one RESTORE lets it back)", endpointName, suspendCalls))
	}
	return admin.Ack(endpointName + " out")
}

func (p *Program) executeRestore(endpointName string) []byte {
	var wasSuspended bool
	err := p.overrides.change(overrides.Change{EndpointName: endpointName, Restore: true}, func() (err error) {
		wasSuspended, err = p.dispatcher.Restore(endpointName)
		return err
	})
	if err != nil {
		return admin.Nak(err.Error())
	}
	if !wasSuspended {
		return admin.Ack(endpointName + " was not out")
	}
	return admin.Ack(endpointName + " back, cold")
}

func (p *Program) executePause() []byte {
	if p.ending() {
		return admin.Ack("ending already")
	}
	if p.drain.pause(time.Now()) {
		return admin.Ack("paused already")
	}
	p.wakeListeners()
	return admin.Ack("paused")
}

func (p *Program) executeResume() []byte {
	if p.ending() {
		return admin.Nak("the process is ending: a drain that SIGTERM began is not undone")
	}
	if !p.drain.resume() {
		return admin.Ack("not paused")
	}
	return admin.Ack("resumed")
}

// ending reports whether the process is draining after SIGTERM or has stopped.
func (p *Program) ending() bool { return p.Phase() != Serving && p.Phase() != Starting }

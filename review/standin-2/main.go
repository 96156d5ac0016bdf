// Command review-standin-2 plays the cases review/6 to review/10: it starts the coordinator with the command of the deploy
// file, plays engines, journal service and clients, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// caseTimeout is above the longest case and below the 120 seconds that a case may take.
const caseTimeout = 115 * time.Second

var cases = map[string]func(*run) bool{
	"closed-for-others":      closedForOthers,
	"cancelled-for-nobody":   cancelledForNobody,
	"over-memory":            overMemory,
	"statements-over-memory": statementsOverMemory,
	"crossing-lost":          crossingLost,
	"load-twice":             loadTwice,
	"resend-elsewhere":       resendElsewhere,
	"joined-empty":           joinedEmpty,
	"last-page-lost":         lastPageLost,
	"upgrade-fails":          upgradeFails,
	"slow-reader":            slowReader,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE ROOT RECORD (RUN_COMMAND and TROUBLE in the environment)")
		os.Exit(exitUnable)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play runs a case and returns the exit code. A step that can't be carried out panics with a caseError.
func play(name, root, recordPath string) (code int) {
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	r, err := newRun(root, recordPath, os.Getenv("RUN_COMMAND"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer r.close()
	defer func() {
		if p := recover(); p != nil {
			r.note("the case could not run: %v", p)
			code = exitUnable
		}
	}()
	watchdog := time.AfterFunc(caseTimeout, func() {
		r.note("the case took too long")
		r.close()
		os.Exit(exitUnable)
	})
	defer watchdog.Stop()
	if cases[name](r) {
		r.note("RESULT: the rule was broken")
		return exitBroken
	}
	r.note("RESULT: the rule held")
	return exitHeld
}

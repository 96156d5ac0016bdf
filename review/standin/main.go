// Command standin plays the cases of the review: it starts the coordinator as a process of its own, and stands in for its
// clients, engines and journal service. It exits with 1 if the case's rule was broken, 0 if it held, 2 if the case could not
// run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout is the time after which a case gives up.
const caseTimeout = 110 * time.Second

// errNotRun is returned by a case that could not produce the situation that it checks.
var errNotRun = errors.New("the case could not run")

// caseFunc plays a case and returns the number of times the rule was broken. trouble is false for the run without the
// disruption.
type caseFunc func(e *environment, trouble bool) (broken int, err error)

var cases = map[string]caseFunc{
	"load-twice":   loadTwice,
	"foreign-rows": foreignRows,
	"slow-readers": slowReaders,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY CASE-FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// play runs one case and returns its exit code.
func play(run caseFunc, repository, folder string) int {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer record.close()
	e, err := newEnvironment(repository, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer e.close()
	time.AfterFunc(caseTimeout, func() {
		record.say("case", "gave up after %s", caseTimeout)
		e.close()
		os.Exit(exitNotRun)
	})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		e.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	record.say("case", "begins, trouble=%t", trouble)
	broken, err := run(e, trouble)
	switch {
	case broken > 0:
		record.say("case", "rule broken %d times", broken)
		fmt.Printf("rule broken %d times\n", broken)
		return exitBroken
	case err != nil:
		record.say("case", "not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	record.say("case", "rule held")
	fmt.Println("rule held")
	return exitHeld
}

package program

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"

	"aniseloft/internal/lease"
)

const (
	// drillClockVariable is the environment variable by which a drill (a fault injection test) gives this process a
	// wrong clock. The
	// value is the clock's rate, followed by jumps in milliseconds, each with the time since the start, in
	// milliseconds: "1.1 3600000@5000". It is not set in a normal run.
	drillClockVariable = "ANISELOFT_DRILL_CLOCK"
	// drillDiskVariable is the environment variable by which a drill injects faults into the disk of a consensus
	// replica. With "slow:5000@4000 full:3000@9000" the next save after 4 s takes 5 s; from 9 s on no save
	// succeeds for 3 s.
	drillDiskVariable = "ANISELOFT_DRILL_DISK"
)

var (
	errClockSyntax = errors.New("expected a rate followed by jumps such as 1000@5000")
	errDiskSyntax  = errors.New("expected faults such as slow:5000@4000 or full:3000@9000")
)

// clockJump moves the clock forward by byMS, at atMS after the start. A negative byMS moves it back.
type clockJump struct{ atMS, byMS float64 }

// fleetClock returns the clock for leases, in milliseconds. It starts at 0 when fleetClock is called and is
// monotonic, apart from the rate and the jumps in setting, the value of drillClockVariable.
func fleetClock(setting string) (func() lease.Millis, error) {
	startedAt, rate := time.Now(), 1.0
	var jumps []clockJump
	for i, field := range strings.Fields(setting) {
		jump, isJump, err := parseClockSetting(field)
		switch {
		case err != nil:
		case isJump:
			jumps = append(jumps, jump)
		case i == 0:
			rate = jump.byMS
		default:
			err = errClockSyntax
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %q: %w", drillClockVariable, field, err)
		}
	}
	return func() lease.Millis {
		elapsed := float64(time.Since(startedAt)) / float64(time.Millisecond)
		clockReading := elapsed * rate
		for _, jump := range jumps {
			if elapsed >= jump.atMS {
				clockReading += jump.byMS
			}
		}
		return clockReading
	}, nil
}

// parseClockSetting parses a jump such as 1000@5000 or a rate, which is returned as the jump's byMS.
func parseClockSetting(field string) (jump clockJump, isJump bool, err error) {
	byText, atText, isJump := strings.Cut(field, "@")
	if jump.byMS, err = strconv.ParseFloat(byText, 64); err == nil && isJump {
		jump.atMS, err = strconv.ParseFloat(atText, 64)
	}
	return jump, isJump, err
}

// diskFault is a simulated disk that is full for some time, or a single slow save.
type diskFault struct {
	diskFull     bool          // true: the disk is full; false: one save is slow
	startsAt     time.Duration // time since the start of the process
	duration     time.Duration
	slowSaveDone bool // set after the slow save, which happens once
}

// drillDiskFaults returns a function that injects the faults in setting, the value of drillDiskVariable, into the
// saves of a consensus replica. The function is to be called before each save, by one goroutine only. It is nil if
// there are no faults.
func drillDiskFaults(setting string) (func() error, error) {
	var faults []diskFault
	for _, field := range strings.Fields(setting) {
		fault, err := parseDiskFault(field)
		if err != nil {
			return nil, fmt.Errorf("%s: %q: %w", drillDiskVariable, field, err)
		}
		faults = append(faults, fault)
	}
	if len(faults) == 0 {
		return nil, nil
	}
	startedAt := time.Now()
	return func() error {
		for i := range faults {
			if err := faults[i].inject(startedAt); err != nil {
				return err
			}
		}
		return nil
	}, nil
}

func parseDiskFault(field string) (diskFault, error) {
	kind, timesText, _ := strings.Cut(field, ":")
	durationText, atText, hasStart := strings.Cut(timesText, "@")
	durationMS, durationErr := strconv.ParseFloat(durationText, 64)
	atMS, atErr := strconv.ParseFloat(atText, 64)
	if durationErr != nil || atErr != nil || !hasStart || kind != "slow" && kind != "full" {
		return diskFault{}, errDiskSyntax
	}
	return diskFault{
		diskFull: kind == "full",
		startsAt: time.Duration(atMS * float64(time.Millisecond)),
		duration: time.Duration(durationMS * float64(time.Millisecond)),
	}, nil
}

// inject returns an error while the disk is full, and blocks for a slow save.
func (f *diskFault) inject(startedAt time.Time) error {
	elapsed := time.Since(startedAt)
	if elapsed < f.startsAt {
		return nil
	}
	if f.diskFull {
		if elapsed < f.startsAt+f.duration {
			return syscall.ENOSPC
		}
		return nil
	}
	if !f.slowSaveDone {
		f.slowSaveDone = true
		time.Sleep(f.duration)
	}
	return nil
}

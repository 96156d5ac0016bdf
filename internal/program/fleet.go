package program

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strconv"
	"strings"
	"time"

	"aniseloft/internal/fleetconf"
	"aniseloft/internal/ownership"
	"aniseloft/internal/transport"
	"aniseloft/internal/transport/leaserow"
)

const (
	// drillClock names the variable by which a drill gives this process a clock that is wrong: its
	// rate, and jumps in milliseconds, each at a time of the process, as "1.1 3600000@5000". It is absent in
	// a normal run.
	drillClock = "ANISELOFT_DRILL_CLOCK"
	// handOn is how long an end waits for the fleet's jobs to be given back; what is not given back by then
	// runs out with its lease.
	handOn = time.Second
)

// loadFleet reads the settings; where there is no file, nothing is done together.
func loadFleet() (fleetconf.Config, error) {
	raw, err := os.ReadFile(fleetconf.File)
	if errors.Is(err, fs.ErrNotExist) {
		return fleetconf.Config{}, nil
	}
	if err != nil {
		return fleetconf.Config{}, fmt.Errorf("%s: %w", fleetconf.File, err)
	}
	return fleetconf.Parse(raw)
}

// fleetPart is this coordinator's part in the fleet, as newFleet makes it; a lean build has none.
type fleetPart interface {
	transport.Fleet
	Reload(conf fleetconf.Config) error
}

// startFleet opens this coordinator's part in the fleet, before anything that relies on it.
func (p *Program) startFleet(c fleetconf.Config) error {
	if !c.On() || c.By == fleetconf.ByRecord {
		return nil
	}
	clock, err := fleetClock(os.Getenv(drillClock))
	if err != nil {
		return err
	}
	p.fleet, err = newFleet(c, p.conf.Name, clock, p.log)
	return err
}

// startRow has the record deal out the fleet's jobs, where the file says so.
func (p *Program) startRow(ctx context.Context, c fleetconf.Config) error {
	if !c.On() || c.By != fleetconf.ByRecord {
		return nil
	}
	clock, err := fleetClock(os.Getenv(drillClock))
	if err != nil {
		return err
	}
	p.fleet, err = leaserow.New(ctx, c, p.conf.Name, p.store, clock, p.log)
	return err
}

// runFleet takes part until ctx ends.
func (p *Program) runFleet(ctx context.Context) {
	if p.fleet != nil {
		go p.fleet.Run(ctx)
	}
}

// handedOn tells whether the fleet's jobs are given back, or their time for that is up.
func (p *Program) handedOn() bool {
	return p.fleet == nil || p.fleet.Idle() || time.Since(p.since) > handOn
}

// fleetClock is this process's own clock for the fleet: it begins with the process and never steps back,
// but as a drill says.
func fleetClock(drill string) (func() ownership.Millis, error) {
	start, rate := time.Now(), 1.0
	type jump struct{ at, by float64 }
	var jumps []jump
	for i, word := range strings.Fields(drill) {
		by, at, isJump := strings.Cut(word, "@")
		x, err := strconv.ParseFloat(by, 64)
		if err == nil && isJump {
			var y float64
			y, err = strconv.ParseFloat(at, 64)
			jumps = append(jumps, jump{y, x})
		} else if err == nil && i == 0 {
			rate = x
		} else if err == nil {
			err = errors.New("a rate comes first, then jumps as 1000@5000")
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %q: %w", drillClock, word, err)
		}
	}
	return func() ownership.Millis {
		true0 := float64(time.Since(start)) / float64(time.Millisecond)
		now := true0 * rate
		for _, j := range jumps {
			if true0 >= j.at {
				now += j.by
			}
		}
		return now
	}, nil
}

//go:build !lean

package program

import (
	"log/slog"

	"aniseloft/internal/fleetconf"
	"aniseloft/internal/ownership"
	"aniseloft/internal/transport/council"
)

func newFleet(c fleetconf.Config, name string, clock func() ownership.Millis, fault func() error, log *slog.Logger) (fleetPart, error) {
	part, err := council.New(c, name, clock, log)
	if err != nil {
		return nil, err
	}
	part.DiskFaults(fault)
	return part, nil
}

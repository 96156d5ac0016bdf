//go:build !lean

package program

import (
	"log/slog"

	"aniseloft/internal/fleetconf"
	"aniseloft/internal/lease"
	"aniseloft/internal/transport/coordination"
)

// newFleet creates this coordinator's member of the consensus group.
func newFleet(config fleetconf.Config, name string, clock func() lease.Millis, diskFault func() error, log *slog.Logger) (fleetMember, error) {
	member, err := coordination.New(config, name, clock, log)
	if err != nil {
		return nil, err
	}
	member.InjectDiskFaults(diskFault)
	return member, nil
}

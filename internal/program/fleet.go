package program

import (
	"context"
	"os"

	"aniseloft/internal/fleetconf"
	"aniseloft/internal/transport/leasebackend"
	"aniseloft/internal/transport/leasetable"
)

// fleetMember coordinates this coordinator with the others through leases. It is a member of the consensus
// group, which a lean build does not support, or a client of the record (the SQL store of REST queries), in
// whose rows leases are granted.
type fleetMember interface {
	leasebackend.Backend
	// Reload applies a new fleet file as far as this is possible at run time.
	Reload(config fleetconf.Config) error
}

// joinFleet joins the consensus group if the fleet file configures one.
func (p *Program) joinFleet(config fleetconf.Config) error {
	if !config.Enabled() || config.Backend == fleetconf.BackendRecord {
		return nil
	}
	clock, err := fleetClock(os.Getenv(drillClockVariable))
	if err != nil {
		return err
	}
	diskFault, err := drillDiskFaults(os.Getenv(drillDiskVariable))
	if err != nil {
		return err
	}
	p.fleet, err = newFleet(config, p.config.Name, clock, diskFault, p.log)
	return err
}

// joinFleetByRecord uses leases that the record grants if the fleet file configures that.
func (p *Program) joinFleetByRecord(ctx context.Context, config fleetconf.Config) error {
	if !config.Enabled() || config.Backend != fleetconf.BackendRecord {
		return nil
	}
	clock, err := fleetClock(os.Getenv(drillClockVariable))
	if err != nil {
		return err
	}
	p.fleet, err = leasetable.New(ctx, config, p.config.Name, p.store, clock, p.log)
	return err
}

//go:build lean

package program

import (
	"errors"
	"log/slog"

	"aniseloft/internal/fleetconf"
	"aniseloft/internal/lease"
)

// newFleet fails: a lean build omits the consensus libraries, as its idle memory is limited.
func newFleet(fleetconf.Config, string, func() lease.Millis, func() error, *slog.Logger) (fleetMember, error) {
	return nil, errors.New(fleetconf.File + ": /installation: this build does not support a consensus group (\"by\": \"council\"), as it was built with -tags lean; " +
		"build without that tag, or leave /installation empty")
}

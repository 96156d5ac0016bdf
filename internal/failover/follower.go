package failover

import (
	"fmt"
	"math"
)

// Follower runs in each coordinator. It applies the newest placement until the placement's TTL ends, and a local rule
// while no placement is in effect.
type Follower struct {
	settings        Settings
	entryZone       int
	newestPlacement Placement // newest applied placement; after a restart only its fence and epoch
	expiresAt       Millis    // when the placement's TTL ends; below 0: no placement was applied in this run
}

// NewFollower returns a follower for the zone where a coordinator's clients enter. The parameter lastApplied is the
// newest placement that an earlier run of the coordinator applied; only its fence and epoch are used, so that a
// restarted coordinator applies no older placement. The error is of kind ErrInvalidSettings.
func NewFollower(settings Settings, entryZone int, lastApplied Placement) (*Follower, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	if !settings.hasZone(entryZone) {
		return nil, invalidField(ErrInvalidSettings, "zone", "zone of entry %d does not exist", entryZone)
	}
	return &Follower{
		settings: settings, entryZone: entryZone, expiresAt: -1,
		newestPlacement: Placement{Fence: lastApplied.Fence, Epoch: lastApplied.Epoch},
	}, nil
}

// Apply puts a placement into effect. It returns an error if the placement is invalid (ErrInvalidPlacement) or not
// newer than the last one (ErrStalePlacement), and the last one stays in effect. The caller stores fence and epoch
// durably before it acts on the placement.
func (f *Follower) Apply(now Millis, placement Placement) error {
	if err := f.settings.ValidatePlacement(placement); err != nil {
		return err
	}
	if !placement.NewerThan(f.newestPlacement) {
		return fmt.Errorf("failover: %w: fence %d epoch %d is not newer than fence %d epoch %d",
			ErrStalePlacement, placement.Fence, placement.Epoch, f.newestPlacement.Fence, f.newestPlacement.Epoch)
	}
	f.newestPlacement = placement
	f.expiresAt = now + placement.TTL
	return nil
}

// Applied returns the fencing token and epoch of the newest placement that was applied.
func (f *Follower) Applied() (fence, epoch uint64) {
	return f.newestPlacement.Fence, f.newestPlacement.Epoch
}

// Split returns, by class, the ratios of the destination zones for work that enters at this coordinator. The result
// isDecided reports whether they come from a placement. While no placement is in effect they come from the local rule,
// for which the caller passes the endpoint list, the work offered to this coordinator by class in core-ms per second,
// and the number of coordinators.
func (f *Follower) Split(now Millis, listed []ListedCapacity, offered []float64, coordinatorCount int) (byClass [][]float64, isDecided bool) {
	if now < f.expiresAt {
		return f.newestPlacement.Split[f.entryZone], true
	}
	return f.localSplit(listed, sum(offered), coordinatorCount), false
}

// localSplit keeps work in the zone of entry. If that zone has no capacity, it admits this coordinator's equal part of
// the reserve of the other zones, so that all coordinators together stay within the reserve even without communication.
func (f *Follower) localSplit(listed []ListedCapacity, offeredWork float64, coordinatorCount int) [][]float64 {
	capacities := f.capacities(listed)
	totalCapacity := sum(capacities)
	admittedRatio := 1.0
	if offeredWork > 0 {
		admittedRatio = math.Min(localReserveRatio*totalCapacity/float64(max(coordinatorCount, 1))/offeredWork, 1)
	}
	byClass := make([][]float64, len(f.settings.Classes))
	for i, class := range f.settings.Classes {
		byClass[i] = make([]float64, len(capacities))
		if capacities[f.entryZone] > 0 && f.settings.permitted(class, f.entryZone, f.entryZone) {
			byClass[i][f.entryZone] = 1
			continue
		}
		for zone, capacity := range capacities {
			if totalCapacity > 0 && f.settings.permitted(class, f.entryZone, zone) {
				byClass[i][zone] = admittedRatio * capacity / totalCapacity
			}
		}
	}
	return byClass
}

// capacities returns the capacity of each zone; a zone that is missing from the list has none.
func (f *Follower) capacities(listed []ListedCapacity) []float64 {
	capacities := make([]float64, len(f.settings.Zones))
	for zone := range min(len(listed), len(capacities)) {
		capacities[zone] = f.settings.capacity(listed[zone])
	}
	return capacities
}

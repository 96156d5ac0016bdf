package failover

import (
	"cmp"
	"math"
	"slices"
)

// localReserveRatio is the part of a zone's capacity that is reserved for local work, so that failover cannot overload
// the zones that still work.
const localReserveRatio = 0.1

// allocation assigns offered work to zones. All amounts are core-ms per second.
type allocation struct {
	settings          Settings
	capacities        []float64                            // work that each zone can do
	usableRatio       func(entry, destination int) float64 // part of the destination's capacity that the link from entry may use
	classOrder        []int                                // class indexes by descending weight per work
	routes            []route                              // pairs of different zones, by ascending latency
	remainingCapacity []float64                            // capacity that no work is assigned to, by zone
	unplacedWork      [][]float64                          // offered work that is not assigned to a zone, by entry and class
	assignedWork      [][][]float64                        // assigned work, by entry, class and destination
}

// allocate splits offered work in three steps. It assigns work locally as far as there is capacity; then, by descending
// weight per work, to the nearest zone with capacity; and finally in place of work with less weight per work. Work that
// remains is rejected.
func (s Settings) allocate(offered [][]float64, capacities []float64, usableRatio func(entry, destination int) float64) Split {
	a := &allocation{
		settings: s, capacities: capacities, usableRatio: usableRatio,
		classOrder: s.classesByWeight(), routes: s.routesByLatency(),
		remainingCapacity: slices.Clone(capacities), assignedWork: s.newSplit(),
	}
	for _, byClass := range offered {
		a.unplacedWork = append(a.unplacedWork, slices.Clone(byClass))
	}
	a.assignLocally()
	a.assignRemotely()
	a.displace()
	return a.split(offered)
}

// assignLocally assigns work to its zone of entry, by descending weight per work.
func (a *allocation) assignLocally() {
	for zone := range a.settings.Zones {
		for _, class := range a.classOrder {
			a.assign(class, route{zone, zone}, 0)
		}
	}
}

// assignRemotely assigns the remaining work to other zones, by descending weight per work and ascending latency. It
// leaves each zone's local reserve free.
func (a *allocation) assignRemotely() {
	for _, class := range a.classOrder {
		for _, r := range a.routes {
			a.assign(class, r, localReserveRatio*a.capacities[r.destination])
		}
	}
}

// assign assigns unplaced work of a class to a route's destination, as much as the link's usable ratio and the
// destination's remaining capacity above the reserve allow.
func (a *allocation) assign(class int, r route, reservedCapacity float64) {
	if !a.settings.permitted(a.settings.Classes[class], r.entry, r.destination) {
		return
	}
	linkWork := 0.0
	for _, byZone := range a.assignedWork[r.entry] {
		linkWork += byZone[r.destination]
	}
	linkLimit := a.usableRatio(r.entry, r.destination)*a.capacities[r.destination] - linkWork
	availableCapacity := math.Max(math.Min(a.remainingCapacity[r.destination]-reservedCapacity, linkLimit), 0)
	work := math.Min(a.unplacedWork[r.entry][class], availableCapacity)
	a.assignedWork[r.entry][class][r.destination] += work
	a.unplacedWork[r.entry][class] -= work
	a.remainingCapacity[r.destination] -= work
}

// displace assigns the remaining work, by descending weight per work, in place of local work with less weight per work.
func (a *allocation) displace() {
	for _, class := range a.classOrder {
		for _, r := range a.routes {
			a.displaceLighter(class, r)
		}
	}
}

// displaceLighter replaces local work of the destination that has less weight per work than the class, the lightest
// first, as far as the destination's capacity for remote work allows. The replaced work is rejected. Work on a link
// that has not fully recovered displaces nothing.
func (a *allocation) displaceLighter(class int, r route) {
	if a.unplacedWork[r.entry][class] <= 0 || a.usableRatio(r.entry, r.destination) < 1 {
		return
	}
	if !a.settings.permitted(a.settings.Classes[class], r.entry, r.destination) {
		return
	}
	remoteLimit := math.Max((1-localReserveRatio)*a.capacities[r.destination]-a.remoteWork(r.destination), 0)
	for _, lighterClass := range slices.Backward(a.classOrder) {
		if remoteLimit <= 0 || a.unplacedWork[r.entry][class] <= 0 {
			return
		}
		if a.settings.Classes[lighterClass].weightPerWork() >= a.settings.Classes[class].weightPerWork() {
			return
		}
		localWork := a.assignedWork[r.destination][lighterClass][r.destination]
		movedWork := math.Min(math.Min(localWork, a.unplacedWork[r.entry][class]), remoteLimit)
		a.assignedWork[r.destination][lighterClass][r.destination] -= movedWork
		a.unplacedWork[r.destination][lighterClass] += movedWork
		a.assignedWork[r.entry][class][r.destination] += movedWork
		a.unplacedWork[r.entry][class] -= movedWork
		remoteLimit -= movedWork
	}
}

// remoteWork returns the work that is assigned to a zone from other zones.
func (a *allocation) remoteWork(zone int) float64 {
	totalWork := 0.0
	for entry, byClass := range a.assignedWork {
		if entry == zone {
			continue
		}
		for _, byZone := range byClass {
			totalWork += byZone[zone]
		}
	}
	return totalWork
}

// split returns the assigned work as ratios of the offered work. A class without offered work is assigned locally if
// the zone can serve it, so that its first queries are not rejected.
func (a *allocation) split(offered [][]float64) Split {
	split := a.settings.newSplit()
	for entry := range split {
		for class, ratios := range split[entry] {
			if offered[entry][class] <= 0 {
				if a.servesLocally(entry, class) {
					ratios[entry] = 1
				}
				continue
			}
			for zone := range ratios {
				ratios[zone] = a.assignedWork[entry][class][zone] / offered[entry][class]
			}
		}
	}
	return split
}

// servesLocally reports whether a zone can serve work of a class that enters there.
func (a *allocation) servesLocally(zone, class int) bool {
	return a.usableRatio(zone, zone) > 0 && a.capacities[zone] > 0 && a.settings.permitted(a.settings.Classes[class], zone, zone)
}

// classesByWeight returns the classes by descending weight per work.
func (s Settings) classesByWeight() []int {
	classes := make([]int, len(s.Classes))
	for class := range classes {
		classes[class] = class
	}
	slices.SortStableFunc(classes, func(a, b int) int {
		return cmp.Compare(s.Classes[b].weightPerWork(), s.Classes[a].weightPerWork())
	})
	return classes
}

// route is a pair of a zone of entry and a destination zone.
type route struct {
	entry, destination int
}

// routesByLatency returns the routes between different zones by ascending latency.
func (s Settings) routesByLatency() []route {
	var routes []route
	for entry := range s.Zones {
		for destination := range s.Zones {
			if entry != destination {
				routes = append(routes, route{entry, destination})
			}
		}
	}
	slices.SortStableFunc(routes, func(a, b route) int {
		return cmp.Compare(s.Zones[a.entry].LatencyTo[a.destination], s.Zones[b.entry].LatencyTo[b.destination])
	})
	return routes
}

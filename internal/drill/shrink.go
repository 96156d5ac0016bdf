package drill

import "slices"

// minShrunkMS is the duration below which Shrink does not shorten a fault.
const minShrunkMS = 100

// Shrink reduces a drill that fails with a seed. It removes faults while the drill still fails, then halves the durations of
// the remaining faults, and returns the smallest drill that it found to fail. The function fails runs a drill and reports
// whether it fails.
func Shrink(d *Drill, seed uint64, fails func(*Drill) bool) *Drill {
	smallest := *d
	smallest.Faults, smallest.RandomFaults = d.schedule(seed), 0
	for removed := true; removed; {
		smallest, removed = removeOneFault(smallest, fails)
	}
	for i := range smallest.Faults {
		smallest = shortenFault(smallest, i, fails)
	}
	return &smallest
}

// removeOneFault removes the first fault without which the drill still fails.
func removeOneFault(d Drill, fails func(*Drill) bool) (smaller Drill, removed bool) {
	for i := range d.Faults {
		smaller = d
		smaller.Faults = slices.Delete(slices.Clone(d.Faults), i, i+1)
		if fails(&smaller) {
			return smaller, true
		}
	}
	return d, false
}

// shortenFault halves a fault's duration while the drill still fails.
func shortenFault(d Drill, fault int, fails func(*Drill) bool) Drill {
	for d.Faults[fault].DurationMS > minShrunkMS {
		shorter := d
		shorter.Faults = slices.Clone(d.Faults)
		shorter.Faults[fault].DurationMS /= 2
		if !fails(&shorter) {
			break
		}
		d = shorter
	}
	return d
}

package experiment

import (
	"fmt"
	"slices"
	"strings"
)

// Difference is the mean service of the results B minus that of the results A, over the days that both contain.
type Difference struct {
	Scenario string   `json:"scenario"`
	Service  Interval `json:"difference"`
	Verdict  string   `json:"verdict"`
}

// Compare pairs results by scenario, variant and seed and returns a difference for each scenario and variant, then one for
// all pairs. Results without a counterpart are left out.
func Compare(a, b []Result) []Difference {
	type pairKey struct {
		scenario, variant string
		seed              uint64
	}
	serviceOfA := map[pairKey]float64{}
	for _, r := range a {
		serviceOfA[pairKey{r.Scenario, r.Variant, r.Seed}] = r.Report.Service
	}
	changes := map[string][]float64{}
	var names []string
	var allChanges []float64
	paired := map[pairKey]bool{}
	for _, r := range b {
		key := pairKey{r.Scenario, r.Variant, r.Seed}
		serviceInA, ok := serviceOfA[key]
		if !ok || paired[key] {
			continue
		}
		paired[key] = true
		name := strings.TrimSuffix(r.Scenario+" "+r.Variant, " "+unchangedVariant)
		if changes[name] == nil {
			names = append(names, name)
		}
		changes[name] = append(changes[name], r.Report.Service-serviceInA)
		allChanges = append(allChanges, r.Report.Service-serviceInA)
	}
	slices.Sort(names)
	var differences []Difference
	for _, name := range names {
		differences = append(differences, difference(name, changes[name]))
	}
	if len(allChanges) > 0 {
		differences = append(differences, difference("all", allChanges))
	}
	return differences
}

// minPairs is the minimum number of pairs of results for a verdict other than "too few pairs".
const minPairs = 3

// difference returns the mean change with its interval and verdict. It sorts the changes first, so that the interval does
// not depend on the order of the results.
func difference(name string, changes []float64) Difference {
	slices.Sort(changes)
	d := Difference{name, Bootstrap(changes), "no difference seen"}
	switch {
	case len(changes) < minPairs:
		d.Verdict = fmt.Sprintf("too few pairs: %d", len(changes))
	case d.Service.Lower > 0:
		d.Verdict = "B serves more"
	case d.Service.Upper < 0:
		d.Verdict = "A serves more"
	}
	return d
}

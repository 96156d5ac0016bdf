// Package experiment runs plans of emulated days, appends the result of each day to a file as the day ends, and makes
// tables, charts and comparisons of the results.
package experiment

import (
	"encoding/json"
	"fmt"
	"maps"
	"path/filepath"
	"slices"

	"aniseloft/internal/emulator/scenario"
	"aniseloft/scenarios"
	"aniseloft/schema"
)

// unchangedVariant names the only variant of a plan that lists no variants. It changes nothing in the scenarios.
const unchangedVariant = "as-is"

// Plan lists scenarios, variants, policies and seeds. One day is emulated for each combination of them.
type Plan struct {
	Name      string    `json:"name"`
	Scenarios []string  `json:"scenarios"`
	Seeds     []uint64  `json:"seeds"`
	Policies  []string  `json:"policies"`
	Variants  []Variant `json:"variants"`
	directory string    // directory of the plan's file, to which the paths of scenario files are relative
}

// Variant changes every scenario of a plan.
type Variant struct {
	Name string         `json:"name"`
	Set  map[string]any `json:"set"` // new values of scenario fields, by JSON pointer
}

// Cell is one emulated day of a plan.
type Cell struct {
	Scenario string `json:"scenario"`
	Variant  string `json:"variant"`
	Policy   string `json:"policy"`
	Seed     uint64 `json:"seed"`
}

// ParsePlan decodes and validates a plan. Paths of scenario files are relative to the directory of the plan's file. The error
// is or wraps a scenario.ValidationErrors if the plan or one of its scenarios is invalid.
func ParsePlan(file string, raw []byte) (*Plan, error) {
	if err := scenario.Validate(file, raw, schema.Plan); err != nil {
		return nil, err
	}
	p := &Plan{directory: filepath.Dir(file)}
	if err := json.Unmarshal(raw, p); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if len(p.Variants) == 0 {
		p.Variants = []Variant{{Name: unchangedVariant}}
	}
	for _, variant := range p.Variants {
		for _, name := range p.Scenarios {
			if _, err := p.scenario(name, variant.Name); err != nil {
				return nil, fmt.Errorf("%s: variant %s: %w", file, variant.Name, err)
			}
		}
	}
	return p, nil
}

// Cells lists the plan's days in a fixed order.
func (p *Plan) Cells() []Cell {
	var cells []Cell
	for _, name := range p.Scenarios {
		for _, variant := range p.Variants {
			for _, policy := range p.Policies {
				for _, seed := range p.Seeds {
					cells = append(cells, Cell{name, variant.Name, policy, seed})
				}
			}
		}
	}
	return cells
}

// scenario loads a scenario with the changes of a variant.
func (p *Plan) scenario(name, variant string) (*scenario.Scenario, error) {
	if !slices.Contains(scenarios.Names(), name) && !filepath.IsAbs(name) {
		name = filepath.Join(p.directory, name)
	}
	file, raw, err := scenarios.Raw(name)
	if err != nil {
		return nil, err
	}
	changes, err := p.changes(variant)
	if err != nil {
		return nil, err
	}
	return scenario.ParseWith(file, raw, changes)
}

// changes lists the values that a variant sets in the form POINTER=JSON, sorted by pointer.
func (p *Plan) changes(variant string) ([]string, error) {
	var changes []string
	for _, v := range p.Variants {
		if v.Name != variant {
			continue
		}
		for _, pointer := range slices.Sorted(maps.Keys(v.Set)) {
			value, err := json.Marshal(v.Set[pointer])
			if err != nil {
				return nil, fmt.Errorf("%s: %w", pointer, err)
			}
			changes = append(changes, pointer+"="+string(value))
		}
	}
	return changes, nil
}

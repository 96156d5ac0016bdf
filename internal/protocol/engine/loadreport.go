package engine

import (
	"strconv"
	"strings"
)

const (
	// maxLoadValue exceeds the load of any engine; a larger value is invalid.
	maxLoadValue = 1e6
	// maxLoadFields bounds the fields of a report; the rest of a longer report counts as the last field.
	maxLoadFields = 16
)

// ParseLoadReport parses a report such as "inflight:7;util:0.61" into values by field. A field that is malformed, below
// 0, above maxLoadValue or repeated is left out and makes the report invalid; the others can be used.
func ParseLoadReport(text string) (values map[string]float64, invalid bool) {
	values = map[string]float64{}
	repeatedNames := map[string]bool{}
	for _, part := range strings.SplitN(text, ";", maxLoadFields) {
		name, number, ok := strings.Cut(part, ":")
		name = strings.TrimSpace(name)
		value, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
		inRange := value >= 0 && value <= maxLoadValue // false for NaN
		if !ok || err != nil || !inRange {
			invalid = true
			continue
		}
		if _, isRepeated := values[name]; isRepeated {
			repeatedNames[name], invalid = true, true
		}
		values[name] = value
	}
	for name := range repeatedNames {
		delete(values, name)
	}
	return values, invalid
}

package engine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseLoadReportKeepsValidFields(t *testing.T) {
	for text, want := range map[string]struct {
		values  map[string]float64
		invalid bool
	}{
		"inflight:7;x0:0.61":             {map[string]float64{"inflight": 7, "x0": 0.61}, false},
		"inflight:7;novel:1":             {map[string]float64{"inflight": 7, "novel": 1}, false},
		"inflight:-1;x0:0.5":             {map[string]float64{"x0": 0.5}, true},
		"inflight:1e300;x0:0.5":          {map[string]float64{"x0": 0.5}, true},
		"inflight:NaN;x0":                {map[string]float64{}, true},
		"inflight:3;inflight:9;queue: 2": {map[string]float64{"queue": 2}, true},
	} {
		values, invalid := ParseLoadReport(text)
		require.Equal(t, want.values, values, text)
		require.Equal(t, want.invalid, invalid, text)
	}
}

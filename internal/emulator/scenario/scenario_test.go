package scenario_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/internal/emulator/scenario"
	"aniseloft/scenarios"
)

func TestValidationErrorsNameFieldAndRemedy(t *testing.T) {
	for i, c := range []struct{ rest, pointer, problem string }{
		{`"lode":{}`, "/", "additional properties 'lode'"},
		{`"load":{"per_second":3}`, "/load", "per_second"},
		{`"load":{"per_s":-3}`, "/load/per_s", "0"},
		{`"load":{"per_s":"many"}`, "/load/per_s", "number"},
		{`"duration_ms":60`, "/duration_ms", "looks like seconds"},
		{`"classes":[{"name":"a","share":1,"work_ms":5,"threads":1,"memory_mb":1,"aim_ms":0.5,"deadline_ms":2.5,"worth":1,"repeat":"once"}]`, "/classes/0/deadline_ms", "looks like seconds"},
		{`"classes":[{"name":"a","share":1,"work_ms":5,"threads":1,"memory_mb":1,"aim_ms":5000,"deadline_ms":2500,"worth":1,"repeat":"once"}]`, "/classes/0/aim_ms", "beyond the deadline"},
		{`"classes":[{"name":"a","share":1,"work_ms":5,"threads":1,"memory_mb":1,"aim_ms":5,"deadline_ms":2500,"worth":1,"repeat":"never"}]`, "/classes/0/repeat", "once"},
		{`"classes":[]`, "/classes", "minItems"},
		{`"engines":{"speed":[1.2,0.8]}`, "/engines/speed", "minimum is above the maximum"},
		{`"engines":{"warm_gain":1.5}`, "/engines/warm_gain", ""},
		{`"troubles":[{"kind":"earthquake","at_ms":1}]`, "/troubles/0/kind", "burst"},
		{`"troubles":[{"kind":"burst","at_ms":1000,"for_ms":5000}]`, "/troubles/0/size", "requires this field"},
		{`"troubles":[{"kind":"burst","at_ms":1000,"for_ms":9,"size":2}]`, "/troubles/0/for_ms", "looks like seconds"},
		{`"troubles":[{"kind":"burst","at_ms":99000,"for_ms":5000,"size":2}]`, "/troubles/0/at_ms", "after the end of the run"},
		{`"troubles":[{"kind":"crash","at_ms":1000,"engines":[8]}]`, "/troubles/0/engines", "no engine 8"},
		{`"troubles":[{"kind":"crash","at_ms":1000,"engines":[3]},{"kind":"vanish","at_ms":2000,"for_ms":500,"engines":[3]}]`, "/troubles/1/engines", "removed by then"},
		{`"troubles":[{"kind":"crash","at_ms":1000,"engines":[8]},{"kind":"join","at_ms":2000,"count":1}]`, "/troubles/0/engines", "no engine 8"},
		{`"troubles":[{"kind":"coordinator_crash","at_ms":1000,"coordinators":[3]}]`, "/troubles/0/coordinators", "no coordinator 3"},
		{`"troubles":[{"kind":"stalls","at_ms":1000,"for_ms":5000,"size_ms":300,"every_ms":1000}]`, "/troubles/0/part", "requires this field"},
	} {
		raw := fmt.Sprintf(`{"name":"x","tells":"y","duration_ms":60000,%s}`, c.rest)
		if i == 4 {
			raw = fmt.Sprintf(`{"name":"x","tells":"y",%s}`, c.rest)
		}
		_, err := scenario.Parse("day.json", []byte(raw))
		var problems scenario.ValidationErrors
		require.ErrorAs(t, err, &problems, c.rest)
		require.Equal(t, "day.json", problems[0].File)
		require.Equal(t, c.pointer, problems[0].Pointer, problems.Error())
		require.Contains(t, problems[0].Problem, c.problem)
		require.NotEmpty(t, problems[0].Remedy)
	}
	_, err := scenario.Parse("day.json", []byte("{\n \"name\": \"x\",,\n}"))
	require.ErrorContains(t, err, "line 2, column 14")
}

func TestEmbeddedScenariosAreValid(t *testing.T) {
	require.GreaterOrEqual(t, len(scenarios.Names()), 12)
	for _, n := range scenarios.Names() {
		s, err := scenarios.Load(n)
		require.NoError(t, err)
		require.Equal(t, n, s.Name)
	}
}

func TestParseWithAppliesChanges(t *testing.T) {
	file, raw, err := scenarios.Raw("rush-hour-burst")
	require.NoError(t, err)
	s, err := scenario.ParseWith(file, raw, []string{"/load/per_s=300", "/troubles/0/size=[1.5,2]", "/roster/spread_ms=7", "/load/shape=steady"})
	require.NoError(t, err)
	require.Equal(t, 300.0, s.Load.PerSecond)
	require.Equal(t, scenario.Range{Min: 1.5, Max: 2}, s.Faults[0].Magnitude)
	require.Equal(t, "steady", s.Load.Shape)
	for _, bad := range []string{"load=3", "/load/nothing=3", "/troubles/9/size=3", "/name/x=3"} {
		_, err = scenario.ParseWith(file, raw, []string{bad})
		require.Error(t, err, bad)
	}
}

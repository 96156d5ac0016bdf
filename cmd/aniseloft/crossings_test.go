package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// An engine of a zone or kind that the settings don't name passed for the first of them: classes bound to that went there.
func TestAnEngineOfAnUnknownZoneOrKindIsLikeNoneOfTheSettings(t *testing.T) {
	t.Parallel()
	for _, odd := range [][2]string{{`"zone":"hall-a"`, `"zone":"hall-x"`}, {`"zone":"hall-a"`, `"zone":"Hall-A"`}, {`"kind":"std-16"`, `"kind":"std-99"`}} {
		e, j := newEngine(t, false), newJournal(t)
		j.add(true, strings.Replace(server(1, e, "active"), odd[0], odd[1], 1))
		set := strings.Replace(settings, `"name":"timetable-load"`, `"confinedTo":[0],"boundTo":[0],"name":"timetable-load"`, 1)
		p := runSet(t, t.TempDir(), j, "", 600, `{}`, set)
		c := dial(t, p.listen)
		require.Contains(t, c.call(query(1, "timetable-load", "bound", 1000)), `"code":-32000`, odd)
		require.Zero(t, e.count(&e.started, "bound"), odd)
		require.Equal(t, "a\tb\tc\n", served(t, c.call(query(2, "trip-lookup", "free", 9000))), odd)
	}
}

package main

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// spooledWorld is a world whose results wait in a spool; an empty directory: in memory.
func spooledWorld(t *testing.T, keep int, spool string) (*node, *engine, *journal) {
	e, j, dir := newEngine(t, false), newJournal(t), t.TempDir()
	j.add(true, server(1, e, "active"))
	return runSpooled(t, dir, j, filepath.Join(dir, "record.db"), keep, spool), e, j
}

func TestPagesComeFromTheSpoolAlsoAfterAKill(t *testing.T) {
	t.Parallel()
	const settings = `{"directory":"spool","total_mb":8}`
	p, e, j := spooledWorld(t, 600, settings)
	statement := "select * from sales_3.trips -- rows 4"
	first := p.post("ridership-report", "", statement)
	second := ask(t, "GET", first.NextURI, "")
	require.Equal(t, second.Data, ask(t, "GET", first.NextURI, "").Data, "the same page twice")
	third := strings.SplitN(second.NextURI, "/", 4)[3]
	p.kill()
	q := runSpooled(t, p.dir, j, filepath.Join(p.dir, "record.db"), 600, settings)
	q.told("sealed=1")
	end, text := settle(t, ask(t, "GET", "http://"+q.rest+"/"+third, ""))
	require.Equal(t, "FINISHED", end.Stats.State)
	require.Equal(t, strings.Join(rowsOf(statement)[2:], ""), text)
	require.Equal(t, 1, e.count(&e.started, statement))
	require.Equal(t, second.Data, ask(t, "GET", "http://"+q.rest+"/"+strings.SplitN(first.NextURI, "/", 4)[3], "").Data, "an earlier page too")
	out, err := again(p).CombinedOutput()
	require.Error(t, err, "a spool has one owner")
	require.Contains(t, string(out), "in use")
}

// What could find no room is refused before it is sent, and told when to come back.
func TestAFullSpoolRefusesBeforeAnythingIsSent(t *testing.T) {
	t.Parallel()
	p, e, _ := spooledWorld(t, 600, `{"total_mb":0.1}`) // room for two results as large as one may be
	one, two := p.post("ridership-report", "", "stay 1"), p.post("ridership-report", "", "stay 2")
	require.Equal(t, 200, two.status)
	full := p.post("timetable-load", "k", "load 3")
	require.Equal(t, 429, full.status)
	require.Equal(t, "2", full.retry)
	require.Zero(t, e.count(&e.started, "load 3"))
	require.Equal(t, 204, ask(t, "DELETE", one.NextURI, "").status)
	end, _ := settle(t, p.post("timetable-load", "k", "load 3"))
	require.Equal(t, "FINISHED", end.Stats.State, "the room is free at once, and so is the key")
	require.Equal(t, 1, e.count(&e.started, "load 3"))
}

func TestAResultThatIsOverHasOneClearEnd(t *testing.T) {
	t.Parallel()
	p, _, _ := spooledWorld(t, 2, `{"total_mb":1}`)
	late := p.post("ridership-report", "", "rows 3")
	require.NotEmpty(t, late.NextURI)
	dropped := p.post("ridership-report", "", "rows 2")
	require.Equal(t, 204, ask(t, "DELETE", dropped.NextURI, "").status)
	require.Equal(t, "ABANDONED_QUERY", ask(t, "GET", dropped.NextURI, "").Error.ErrorName)
	eventually(t, func() bool {
		r := ask(t, "GET", strings.TrimSuffix(late.NextURI, "1")+"2", "")
		time.Sleep(2100 * time.Millisecond) // each read renews its promise
		return r.Error != nil
	})
	for range 2 {
		r := ask(t, "GET", late.NextURI, "")
		require.Equal(t, "ABANDONED_QUERY", r.Error.ErrorName)
		require.Empty(t, r.Data)
		require.Empty(t, r.NextURI)
	}
}

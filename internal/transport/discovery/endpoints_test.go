package discovery

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
	"aniseloft/internal/protocol/journal"
)

func TestNameIndexSeparatesUnknownNames(t *testing.T) {
	names := []string{"a", "b"}
	require.Equal(t, 1, nameIndex(names, "b"))
	unknown := nameIndex(names, "c")
	require.Negative(t, unknown, "an unknown name must match no name of the settings")
	require.Equal(t, unknown, nameIndex([]string{"x"}, "c"), "the index depends on the name alone")
	require.NotEqual(t, unknown, nameIndex(names, "d"))
	require.Zero(t, nameIndex(nil, "c"), "without names in the settings, the index is 0")
}

func TestUnusableEndpointsAreDropped(t *testing.T) {
	w := &Watcher{settings: decide.Settings{}, log: slog.New(slog.DiscardHandler)}
	for name, s := range map[string]journal.Endpoint{
		"no id":         {Address: "127.0.0.1:1", State: "active"},
		"unknown state": {ID: "one", Address: "127.0.0.1:1", State: "resting"},
		"no port":       {ID: "one", Address: "127.0.0.1", State: "active"},
	} {
		_, ok := w.endpoint(s)
		require.False(t, ok, name)
	}
	e, ok := w.endpoint(journal.Endpoint{ID: "one", State: "left"})
	require.True(t, ok, "a removed engine needs no address")
	require.Equal(t, decide.EndpointRemoved, e.State)
}

func TestMergeEventsKeepsLatestStateAndSkipsReplays(t *testing.T) {
	w := &Watcher{log: slog.New(slog.DiscardHandler)}
	event := func(position int64, snapshot bool, listed ...journal.Endpoint) (e journal.Event) {
		e.Position, e.Update.Snapshot, e.Update.Endpoints = position, snapshot, listed
		return e
	}
	one, two := journal.Endpoint{ID: "one", State: "active"}, journal.Endpoint{ID: "two", State: "active"}
	leaving := journal.Endpoint{ID: "one", State: "leaving"}
	snapshot, listed := w.mergeEvents([]journal.Event{event(1, true, one), event(2, false, two), event(3, false, leaving)})
	require.True(t, snapshot)
	require.Equal(t, []journal.Endpoint{leaving, two}, listed)
	snapshot, listed = w.mergeEvents([]journal.Event{event(2, false, one), event(3, false, one)})
	require.False(t, snapshot)
	require.Empty(t, listed, "a replay changes nothing")
	_, listed = w.mergeEvents([]journal.Event{event(7, false, two)})
	require.Empty(t, listed)
	require.Zero(t, w.position, "events are missing, so the whole list must be requested again")
}

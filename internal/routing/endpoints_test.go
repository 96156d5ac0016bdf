package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"aniseloft/decide"
	"aniseloft/internal/millis"
)

// An attempt must not start if the endpoint list changes while its connection is dialled: the endpoint drains, is removed,
// restarts with the same ID, or its address is assigned to another endpoint.
func TestUpdateDuringDialStartsNoAttempt(t *testing.T) {
	entry := func(id decide.EndpointID, state decide.EndpointState, startedAt decide.Millis, address string) Endpoint {
		return Endpoint{Name: string(rune('a' + id - 1)), Address: address, EndpointInfo: decide.EndpointInfo{ID: id, State: state, StartedAt: startedAt}}
	}
	for name, update := range map[string]struct {
		kind    decide.UpdateKind
		entries []Endpoint
	}{
		"drains":             {decide.UpdateIncremental, []Endpoint{entry(1, decide.EndpointDraining, 0, "127.0.0.1:1")}},
		"removed":            {decide.UpdateIncremental, []Endpoint{entry(1, decide.EndpointRemoved, 0, "")}},
		"not in snapshot":    {decide.UpdateSnapshot, []Endpoint{entry(2, decide.EndpointReady, 0, "127.0.0.1:2")}},
		"restarted":          {decide.UpdateIncremental, []Endpoint{entry(1, decide.EndpointReady, millis.Now(), "127.0.0.1:1")}},
		"new address":        {decide.UpdateIncremental, []Endpoint{entry(1, decide.EndpointReady, 0, "127.0.0.1:9")}},
		"address reassigned": {decide.UpdateIncremental, []Endpoint{entry(1, decide.EndpointRemoved, 0, ""), entry(2, decide.EndpointReady, 0, "127.0.0.1:1")}},
	} {
		d, upstream, listEndpoint := startDispatcher(t, true, 5000)
		listEndpoint()
		submit(d, "one", idempotentClass, "")
		attempt := upstream.next(t)
		require.True(t, attempt.StillReady(), name)
		d.UpdateEndpoints(update.kind, update.entries)
		flush(t, d)
		require.False(t, attempt.StillReady(), name)
		attempt.end(decide.OutcomeNotSent)
	}
}

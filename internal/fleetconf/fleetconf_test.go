package fleetconf

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestParseReportsInvalidField(t *testing.T) {
	const seats = `"seats":[{"name":"a","addr":"127.0.0.1:1"},{"name":"b","addr":"127.0.0.1:2"},{"name":"c","addr":"127.0.0.1:3"}]`
	for raw, wantPointer := range map[string]string{
		`{"installation":"x","generation":1,"directory":"d",` + seats + `}`: "",
		`{}`:                                  "",
		`{"installation":""}`:                 "",
		`{"instalation":"x"}`:                 "/", //nolint:misspell // the typing mistake is the case
		`{"seats":[{"name":"a","addr":"b"}]}`: "/installation",
		`{"installation":"x","generation":1}`: "/seats",
		`{"installation":"x","directory":"d",` + seats + `}`: "/generation",
		`{"installation":"x","generation":1,` + seats + `}`:  "/directory",
		`{"installation":"x","generation":1,"directory":"d","seats":[{"name":"a","addr":"127.0.0.1:1"},{"name":"b","addr":"127.0.0.1:2"}]}`:                                   "/seats",
		`{"installation":"x","generation":1,"directory":"d","seats":[{"name":"a","addr":"host:1"}]}`:                                                                          "/seats/0/addr",
		`{"installation":"x","generation":1,"directory":"d","seats":[{"name":"","addr":"127.0.0.1:1"}]}`:                                                                      "/seats/0/name",
		`{"installation":"x","generation":1,"directory":"d","seats":[{"name":"a","addr":"127.0.0.1:1"},{"name":"a","addr":"127.0.0.1:2"},{"name":"c","addr":"127.0.0.1:3"}]}`: "/seats/1/name",
		`{"installation":"x","generation":1,"directory":"d","seats":[{"name":"a","addr":"127.0.0.1:1"},{"name":"b","addr":"127.0.0.1:1"},{"name":"c","addr":"127.0.0.1:3"}]}`: "/seats/1/addr",
		`{"installation":"x","generation":1,"directory":"d","jobs":["dance"],` + seats + `}`:                                                                                  "/jobs/0",
		`{"installation":"x","generation":1,"directory":"d","jobs":["prune-record","prune-record"],` + seats + `}`:                                                            "/jobs/1",
		`{"installation":"x","generation":1,"directory":"d","lease_ms":10,` + seats + `}`:                                                                                     "/lease_ms",
		`{"installation":"x","generation":1,"directory":"d","drift_bound":0.5,` + seats + `}`:                                                                                 "/drift_bound",
		`{"installation":"x","generation":1,"directory":"d","room":-1,` + seats + `}`:                                                                                         "/room",
		`{"installation":"x","generation":1,"directory":"d","by":"chance",` + seats + `}`:                                                                                     "/by",
		`{"installation":"x","by":"record","jobs":["prune-record"]}`:                                                                                                          "",
		`{"installation":"x","by":"record",` + seats + `}`:                                                                                                                    "/seats",
		`{"installation":"x","by":"record","jobs":["read-journal"]}`:                                                                                                          "/jobs/0",
		`{"installation":"x","by":"record","lease_ms":1}`:                                                                                                                     "/lease_ms",
	} {
		_, err := Parse([]byte(raw))
		if wantPointer == "" {
			require.NoError(t, err, raw)
			continue
		}
		var fieldErr FieldError
		require.ErrorAs(t, err, &fieldErr, raw)
		require.Equal(t, wantPointer, fieldErr.Pointer, raw)
		require.NotEmpty(t, fieldErr.Remedy)
	}
}

func TestTimingScalesWithLease(t *testing.T) {
	defaults, scaled := Config{}.Timing(), Config{LeaseMS: 8000}.Timing()
	require.Equal(t, defaults.Tick*4, scaled.Tick)
	require.Less(t, defaults.Tick*float64(2*defaults.ElectionTicks), defaults.LeaseTTL, "an election must end within a lease")
}

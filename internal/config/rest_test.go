package config

import (
	"errors"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	kinds   = []string{"std-16", "rest-16"}
	classes = []string{"trip-lookup", "ridership-report", "timetable-load"}
)

func TestUnusableRESTSettingNamesItsField(t *testing.T) {
	for restJSON, wantPointer := range map[string]string{
		`{"listen":"127.0.0.1:1","keep_seconds":5}`:                                   "/store",
		`{"listen":"127.0.0.1:1","store":"x.db"}`:                                     "/keep_seconds",
		`{"engine_kinds":["std-16","gpu-8"]}`:                                         "/engine_kinds/1",
		`{"spool":{"total_mb":-1}}`:                                                   "/spool/total_mb",
		`{"spool":{"total_mb":8,"owner_mb":9}}`:                                       "/spool/owner_mb",
		`{"spool":{"total_mb":8,"class_mb":{"ridership-report":9}}}`:                  "/spool/class_mb/ridership-report",
		`{"spool":{"total_mb":8,"class_mb":{"ridership-report":4,"rider-report":2}}}`: "/spool/class_mb/rider-report",
		`{"spool":{"total_mb":8,"class_mb":{"trip-lookup":0}}}`:                       "/spool/class_mb/trip-lookup",
		`{"lisen":""}`:          "/",
		`{"keep_seconds":"60"}`: "/",
	} {
		_, err := ParseREST([]byte(restJSON), kinds, classes)
		var f FieldError
		require.True(t, errors.As(err, &f), restJSON)
		require.Equal(t, wantPointer, f.Pointer, restJSON)
		require.NotEmpty(t, f.Remedy)
		require.Contains(t, err.Error(), RESTFile+": "+wantPointer)
	}
}

func TestSpoolQuotasReachTheLedger(t *testing.T) {
	c, err := ParseREST([]byte(`{"$schema":"../schema/rest.schema.json","spool":{"total_mb":8,"owner_mb":2,"class_mb":{"ridership-report":4},"pack":true}}`), kinds, classes)
	require.NoError(t, err)
	require.True(t, c.Spool.Compress)
	l := c.Spool.Limits(60000, 2000)
	require.NoError(t, l.Check())
	require.Equal(t, int64(8<<20), l.Total)
	require.Equal(t, int64(2<<20), l.PerOwner)
	require.Equal(t, map[string]int64{"ridership-report": 4 << 20}, l.PerClass)
}

// The file sets every field; the expected values are those that commit d9ce9f6 read from it.
func TestEveryFieldOfTheRESTSettingsIsRead(t *testing.T) {
	raw, err := os.ReadFile("testdata/rest.json")
	require.NoError(t, err)
	c, err := ParseREST(raw, kinds, classes)
	require.NoError(t, err)
	require.Equal(t, REST{
		Listen: "127.0.0.1:8080", Store: "record.db", KeepSeconds: 3600, PurgeMS: 500, EngineKinds: []string{"rest-16"},
		Spool: Spool{
			Directory: "spool", Shared: true, TotalMB: 64, OwnerMB: 8.5,
			ClassMB: map[string]float64{"ridership-report": 32}, Compress: true,
		},
		Schema: "../schema/rest.schema.json",
	}, c)
}

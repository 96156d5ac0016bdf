package config

import (
	"fmt"
	"log/slog"
	"time"
)

// LogFile is the path of the log settings, from the working directory. Without the file the level is
// info, at which only what on-call staff need is logged.
const LogFile = "deploy/log.json"

// minCountersMS is the shortest interval of the counters, in milliseconds. It keeps a typing error from
// filling the log with counters.
const minCountersMS = 100

// Log holds the settings of the log, from LogFile.
type Log struct {
	// Level is the lowest level that is logged: "info", or "debug" with a line for each request,
	// attempt, probe, dial and list entry; aniseloftctl fleet logs summarizes those.
	Level      slog.Level `json:"level"`
	CountersMS int64      `json:"counters_every_ms"` // interval of the counters in the log; 0: on SIGUSR1 and at exit only
	Schema     string     `json:"$schema"`           // for editors; not used here
}

// ParseLog parses and checks the file's content. The error is a FieldError.
func ParseLog(raw []byte) (Log, error) {
	var c Log
	if err := strictCodec.Unmarshal(raw, &c); err != nil {
		return c, FieldError{LogFile, "/", decodingProblem(raw, new(Log), err), "see schema/log.schema.json for the fields and their types"}
	}
	if c.CountersMS != 0 && c.CountersMS < minCountersMS {
		return c, FieldError{
			LogFile, "/counters_every_ms", fmt.Sprintf("%d is neither 0 nor at least %d", c.CountersMS, minCountersMS),
			"0 prints them on SIGUSR1 and at exit only",
		}
	}
	return c, nil
}

// CountersInterval returns the interval at which the counters are logged; 0: not at intervals.
func (c Log) CountersInterval() time.Duration {
	return time.Duration(c.CountersMS) * time.Millisecond
}

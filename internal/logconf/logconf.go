// Package logconf reads deploy/log.json, the operators' file of what the coordinator logs.
package logconf

import (
	"fmt"
	"log/slog"
	"time"

	jsoniter "github.com/json-iterator/go"
)

// File is where the settings are, from the root. Without it the log holds what is
// worth a line to on-call staff, and nothing of each request.
const File = "deploy/log.json"

// leastEvery keeps a typing error from filling the log with counters, in milliseconds.
const leastEvery = 100

var strict = jsoniter.Config{CaseSensitive: true, DisallowUnknownFields: true}.Froze()

// Config is what is logged.
type Config struct {
	// Level is the least level that is logged: "info", or "debug" with a line for each
	// request, attempt, probe, dial and list entry, which aniseloftctl fleet adds up.
	Level      slog.Level `json:"level"`
	CountersMS int64      `json:"counters_every_ms"` // between two prints of the counters; 0: on SIGUSR1 and at exit only
	Schema     string     `json:"$schema"`
}

// Parse reads the file's bytes.
func Parse(raw []byte) (Config, error) {
	var c Config
	if err := strict.Unmarshal(raw, &c); err != nil {
		return c, fmt.Errorf("%s: %w; see schema/log.schema.json for the fields and their types", File, err)
	}
	if c.CountersMS != 0 && c.CountersMS < leastEvery {
		return c, fmt.Errorf("%s: /counters_every_ms: %d is neither 0 nor at least %d; 0 prints them on SIGUSR1 and at exit only",
			File, c.CountersMS, leastEvery)
	}
	return c, nil
}

// Every is the time between two prints of the counters; 0: none.
func (c Config) Every() time.Duration { return time.Duration(c.CountersMS) * time.Millisecond }

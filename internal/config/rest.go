package config

import (
	"fmt"
	"maps"
	"slices"

	"aniseloft/internal/spool/ledger"
)

// RESTFile is the path of the settings of the paged REST protocol, from the working directory.
const RESTFile = "deploy/rest.json"

// minPurgeMS is the shortest interval at which expired queries are deleted, in milliseconds. With a shorter one the
// deletions would occupy the record's one connection.
const minPurgeMS = 10

// REST holds the settings of the paged REST protocol, from RESTFile.
type REST struct {
	Listen      string   `json:"listen"`         // the clients' address; empty: the protocol is off
	Store       string   `json:"store"`          // the record, which stores the queries: a SQLite file or a postgres:// URL
	KeepSeconds int64    `json:"keep_seconds"`   // time for which an ended query can be read
	PurgeMS     int64    `json:"purge_every_ms"` // interval at which expired queries are deleted from the record; 0: a minute
	EngineKinds []string `json:"engine_kinds"`   // kinds of endpoints that speak this protocol
	Spool       Spool    `json:"spool"`
	Schema      string   `json:"$schema"` // for editors; not used here
}

// Spool holds the settings of the spool, where results wait for their clients. The spool is off while TotalMB is 0.
type Spool struct {
	Directory string             `json:"directory"` // empty: results are kept in memory
	Shared    bool               `json:"shared"`    // several coordinators use the directory, each a subdirectory with its name
	TotalMB   float64            `json:"total_mb"`
	OwnerMB   float64            `json:"owner_mb"` // limit of one owner; 0: only TotalMB applies
	ClassMB   map[string]float64 `json:"class_mb"` // limits of classes, by name; to a class without one only TotalMB applies
	Compress  bool               `json:"pack"`     // pages are compressed with zstd where that makes them at least an eighth smaller
}

// ParseREST parses and checks the file's content, with the kinds of endpoints and the classes of the
// coordinator's settings. The error is a FieldError for the first setting that can't be used.
func ParseREST(raw []byte, kinds, classes []string) (REST, error) {
	var c REST
	if err := strictCodec.Unmarshal(raw, &c); err != nil {
		return c, FieldError{RESTFile, "/", decodingProblem(raw, new(REST), err), "see schema/rest.schema.json for the fields and their types"}
	}
	return c, c.Check(kinds, classes)
}

// Check returns a FieldError for the first setting that can't be used. Nil kinds or classes are unknown:
// names are then not checked against them.
func (c REST) Check(kinds, classes []string) error {
	if err := c.checkKinds(kinds); err != nil {
		return err
	}
	switch {
	case c.PurgeMS < 0 || c.PurgeMS > 0 && c.PurgeMS < minPurgeMS:
		return FieldError{RESTFile, "/purge_every_ms", fmt.Sprintf("neither 0 nor at least %d", minPurgeMS), "leave it out for the default of a minute"}
	case c.Listen != "" && c.Store == "":
		return FieldError{RESTFile, "/store", "missing while listen is set", "name a SQLite file or a postgres:// URL"}
	case c.Listen != "" && c.KeepSeconds < 1:
		return FieldError{RESTFile, "/keep_seconds", "below 1", "keep ended queries for at least a second"}
	}
	return c.Spool.check(classes)
}

func (c REST) checkKinds(knownKinds []string) error {
	for i, engineKind := range c.EngineKinds {
		if knownKinds != nil && !slices.Contains(knownKinds, engineKind) {
			return FieldError{
				RESTFile, fmt.Sprintf("/engine_kinds/%d", i), fmt.Sprintf("%q is not an engine kind of the coordinator (settings.machineTypes)", engineKind),
				fmt.Sprintf("name one of %v", knownKinds),
			}
		}
	}
	return nil
}

func (s Spool) check(knownClasses []string) error {
	switch {
	case s.Shared && s.Directory == "":
		return FieldError{RESTFile, "/spool/shared", "set without a directory", "name the directory that the coordinators share"}
	case s.TotalMB < 0:
		return FieldError{RESTFile, "/spool/total_mb", "below 0", "0 turns the spool off"}
	case s.OwnerMB < 0 || s.OwnerMB > s.TotalMB:
		return FieldError{RESTFile, "/spool/owner_mb", "below 0 or above total_mb", "with 0 only total_mb applies"}
	}
	for _, className := range slices.Sorted(maps.Keys(s.ClassMB)) {
		pointer := "/spool/class_mb/" + className
		switch sizeMB := s.ClassMB[className]; {
		case knownClasses != nil && !slices.Contains(knownClasses, className):
			return FieldError{RESTFile, pointer, fmt.Sprintf("%q is not a class of the coordinator (settings.lanes)", className), fmt.Sprintf("name one of %v", knownClasses)}
		case !(sizeMB > 0) || sizeMB > s.TotalMB:
			return FieldError{RESTFile, pointer, "not above 0, or above total_mb", "leave the class out to apply only total_mb"}
		}
	}
	return nil
}

// bytesOf returns a size in MB as bytes.
func bytesOf(sizeMB float64) int64 { return int64(sizeMB * (1 << 20)) }

// Limits returns the spool's quotas for its ledger. A result is kept for keepMS after its last read. A
// rejection names retryAfterMS, or the time until a result expires if that is shorter. Both are in milliseconds.
func (s Spool) Limits(keepMS, retryAfterMS float64) ledger.Limits {
	limits := ledger.Limits{
		Total: bytesOf(s.TotalMB), PerOwner: bytesOf(s.OwnerMB),
		RetentionMS: keepMS, MaxRetentionMS: keepMS, RetryAfterMS: retryAfterMS,
	}
	for name, sizeMB := range s.ClassMB {
		if limits.PerClass == nil {
			limits.PerClass = map[string]int64{}
		}
		limits.PerClass[name] = bytesOf(sizeMB)
	}
	return limits
}

// Bytes returns the size of the spool.
func (s Spool) Bytes() int64 { return bytesOf(s.TotalMB) }

// Package restconf reads deploy/rest.json, the operators' file of the paged REST
// front and its spool, and holds what must be true of it. The coordinator reads it at
// its start; aniseloftctl check holds it against its schema and these rules.
package restconf

import (
	"fmt"
	"maps"
	"slices"

	jsoniter "github.com/json-iterator/go"

	"aniseloft/internal/spool/ledger"
)

// File is where the front's settings are, from the root.
const File = "deploy/rest.json"

// strict takes no field that it does not know: a misspelt one would be a front that
// is silently other than its operators think.
var strict = jsoniter.Config{CaseSensitive: true, DisallowUnknownFields: true}.Froze()

// leastPurgeMS keeps purges from filling the record's one connection.
const leastPurgeMS = 10

// Config is the second front's settings.
type Config struct {
	Listen      string   `json:"listen"`         // empty: off
	Store       string   `json:"store"`          // the record: a SQLite file or a postgres:// URL
	KeepSeconds int64    `json:"keep_seconds"`   // how long an ended query can be read
	PurgeMS     int64    `json:"purge_every_ms"` // between two purges of the record; 0: a minute
	EngineKinds []string `json:"engine_kinds"`   // kinds of engines that speak this protocol
	Spool       Spool    `json:"spool"`
	Schema      string   `json:"$schema"` // where an editor finds the schema; means nothing here
}

// Spool is where results wait for their clients; off while TotalMB is 0.
type Spool struct {
	Directory string             `json:"directory"` // empty: in memory
	Shared    bool               `json:"shared"`    // the directory holds a folder for each coordinator, by its name
	TotalMB   float64            `json:"total_mb"`
	OwnerMB   float64            `json:"owner_mb"` // of one owner; 0: only the total binds
	ClassMB   map[string]float64 `json:"class_mb"` // of one class, by name; a class not named: only the total binds
	Pack      bool               `json:"pack"`     // pages packed with zstd where that makes them an eighth smaller
}

// Fault is one thing wrong with the file: where (a JSON pointer), what, and how to mend it.
type Fault struct {
	Pointer string `json:"pointer"`
	Problem string `json:"problem"`
	Mend    string `json:"mend"`
}

func (f Fault) Error() string {
	return fmt.Sprintf("%s: %s: %s; %s", File, f.Pointer, f.Problem, f.Mend)
}

// Parse reads the file's bytes and checks them against the kinds of engines and the
// classes that the settings know. The first fault is returned.
func Parse(raw []byte, kinds, classes []string) (Config, error) {
	var c Config
	if err := strict.Unmarshal(raw, &c); err != nil {
		return c, Fault{"/", err.Error(), "see schema/rest.schema.json for the fields and their types"}
	}
	return c, c.Check(kinds, classes)
}

// Check names the first thing that cannot be right. Kinds and classes that are nil are
// not known, and then not checked.
func (c Config) Check(kinds, classes []string) error {
	for i, k := range c.EngineKinds {
		if kinds != nil && !slices.Contains(kinds, k) {
			return Fault{fmt.Sprintf("/engine_kinds/%d", i), fmt.Sprintf("%q is not a kind of engine here", k),
				fmt.Sprintf("name one of %v", kinds)}
		}
	}
	s := c.Spool
	switch {
	case c.PurgeMS < 0 || c.PurgeMS > 0 && c.PurgeMS < leastPurgeMS:
		return Fault{"/purge_every_ms", fmt.Sprintf("neither 0 nor at least %d", leastPurgeMS), "leave it out for a minute"}
	case c.Listen != "" && c.Store == "":
		return Fault{"/store", "missing while listen is set", "name a SQLite file or a postgres:// URL"}
	case c.Listen != "" && c.KeepSeconds < 1:
		return Fault{"/keep_seconds", "below 1", "keep ended queries for at least a second"}
	case s.Shared && s.Directory == "":
		return Fault{"/spool/shared", "set without a directory", "name the directory that the coordinators share"}
	case s.TotalMB < 0:
		return Fault{"/spool/total_mb", "below 0", "0 turns the spool off"}
	case s.OwnerMB < 0 || s.OwnerMB > s.TotalMB:
		return Fault{"/spool/owner_mb", "below 0 or above total_mb", "0 lets the total alone bind"}
	}
	for _, name := range slices.Sorted(maps.Keys(s.ClassMB)) {
		where := "/spool/class_mb/" + name
		switch mb := s.ClassMB[name]; {
		case classes != nil && !slices.Contains(classes, name):
			return Fault{where, fmt.Sprintf("%q is not a class here", name), fmt.Sprintf("name one of %v", classes)}
		case !(mb > 0) || mb > s.TotalMB:
			return Fault{where, "not above 0, or above total_mb", "leave the class out to let the total alone bind"}
		}
	}
	return nil
}

// mb is a size in MB as bytes.
func mb(n float64) int64 { return int64(n * (1 << 20)) }

// Limits are the spool's quotas for its ledger; keepMS is how long a result is promised
// after its last read, comeBackMS what a refusal tells where no promise ends sooner.
func (s Spool) Limits(keepMS, comeBackMS float64) ledger.Limits {
	l := ledger.Limits{Total: mb(s.TotalMB), PerOwner: mb(s.OwnerMB), KeepMS: keepMS, LongestMS: keepMS, ComeBackMS: comeBackMS}
	for name, n := range s.ClassMB {
		if l.PerClass == nil {
			l.PerClass = map[string]int64{}
		}
		l.PerClass[name] = mb(n)
	}
	return l
}

// Bytes is the whole spool's size.
func (s Spool) Bytes() int64 { return mb(s.TotalMB) }

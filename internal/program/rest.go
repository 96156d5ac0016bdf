package program

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"time"

	jsoniter "github.com/json-iterator/go"

	"aniseloft/decide"
	"aniseloft/internal/spool"
	"aniseloft/internal/spool/ledger"
)

// restFile is where the second front's settings are, from the root.
const restFile = "deploy/rest.json"

// restJSON takes no field that it does not know: a misspelt one would be a
// front that is silently other than its operators think.
var restJSON = jsoniter.Config{CaseSensitive: true, DisallowUnknownFields: true}.Froze()

// restConfig is the second front's settings.
type restConfig struct {
	Listen      string    `json:"listen"`       // empty: off
	Store       string    `json:"store"`        // the file of the record
	KeepSeconds int64     `json:"keep_seconds"` // how long an ended query can be read
	EngineKinds []string  `json:"engine_kinds"` // kinds of engines that speak this protocol
	Spool       spoolConf `json:"spool"`
}

// spoolConf is where results wait for their clients; off while total_mb is 0.
type spoolConf struct {
	Directory string  `json:"directory"` // empty: in memory
	TotalMB   float64 `json:"total_mb"`
	OwnerMB   float64 `json:"owner_mb"` // of one owner; 0: only the total binds
}

// loadRest reads the settings; where there is no file the front is off.
func loadRest(s decide.Settings) (restConfig, error) {
	var c restConfig
	raw, err := os.ReadFile(restFile)
	if errors.Is(err, fs.ErrNotExist) {
		return c, nil
	}
	if err != nil {
		return c, fmt.Errorf("%s: %w", restFile, err)
	}
	if err := restJSON.Unmarshal(raw, &c); err != nil {
		return c, fmt.Errorf("%s: %w", restFile, err)
	}
	for _, k := range c.EngineKinds {
		if !slices.Contains(s.KindNames, k) {
			return c, fmt.Errorf("%s: engine_kinds: %q is not a kind of engine here", restFile, k)
		}
	}
	switch {
	case c.Listen != "" && c.Store == "":
		return c, fmt.Errorf("%s: store is missing", restFile)
	case c.Listen != "" && c.KeepSeconds < 1:
		return c, fmt.Errorf("%s: keep_seconds: at least 1 is needed", restFile)
	case c.Spool.TotalMB < 0 || c.Spool.OwnerMB < 0 || c.Spool.OwnerMB > c.Spool.TotalMB:
		return c, fmt.Errorf("%s: spool: total_mb and owner_mb must not be below 0, nor owner_mb above total_mb", restFile)
	}
	return c, nil
}

const (
	spoolShare   = 1.0 / 4 // of the memory, at most for a spool that is held there
	spoolSegment = 16 << 20
)

// openSpool opens the spool of results; nil where it is off.
func (p *Program) openSpool(c restConfig) (*spool.Store, error) {
	bytes := c.Spool.TotalMB * (1 << 20)
	if bytes == 0 {
		return nil, nil
	}
	keep := float64(c.KeepSeconds) * 1000
	opt := spool.Options{SegmentBytes: spoolSegment, Now: func() float64 { return float64(time.Now().UnixMicro()) / 1000 },
		Limits: ledger.Limits{Total: int64(bytes), PerOwner: int64(c.Spool.OwnerMB * (1 << 20)), KeepMS: keep, LongestMS: keep,
			ComeBackMS: p.conf.settings.MaxComeBack}}
	var m spool.Medium = spool.NewMemory()
	if c.Spool.Directory != "" {
		d, err := spool.OpenDirectory(c.Spool.Directory)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", restFile, err)
		}
		m = d
	} else if most := p.memory(spoolShare); int64(bytes) > most {
		return nil, fmt.Errorf("%s: spool: total_mb: in memory at most %d is allowed; name a directory for more", restFile, most>>20)
	} else {
		opt.SegmentBytes = max(int64(bytes)/16, 1)
	}
	st, found, err := spool.Open(m, opt)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", restFile, err)
	}
	p.log.Info("spool", "sealed", found.Sealed, "cleared", found.Cleared, "damaged", len(found.Damage))
	for _, d := range found.Damage {
		p.log.Error("spool damaged", "at", d.String())
	}
	return st, nil
}

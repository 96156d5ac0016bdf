package engine

import (
	"strconv"
	"strings"

	"aniseloft/internal/protocol/httpmsg"
)

// Progress is an engine's report on a running query.
type Progress struct {
	Kind  ProgressKind
	Value float64 // the unit depends on Kind
}

// ProgressKind is the quantity that a Progress reports.
type ProgressKind int

// Kinds of progress.
const (
	ProgressRatio   ProgressKind = iota + 1 // fraction that is done, from 0 to 1
	ProgressSpilled                         // memory in MB that the query lacks, so that it spills to disk
	ProgressWaiting                         // what the query waits for; 1: memory, 2: a load
)

// progressKinds maps the protocol's names to kinds.
var progressKinds = map[string]ProgressKind{"so_far": ProgressRatio, "lacking": ProgressSpilled, "waiting": ProgressWaiting}

// maxProgressValue exceeds the memory in MB that any engine can lack.
const maxProgressValue = 1e9

// parseProgress parses the optional progress of a response. invalid is true if the response has one that cannot be
// used.
func parseProgress(m *httpmsg.Message) (p *Progress, invalid bool) {
	name := strings.TrimSpace(m.Header.Get(headerProgressKind))
	if name == "" {
		return nil, false
	}
	kind, known := progressKinds[name]
	value, err := strconv.ParseFloat(strings.TrimSpace(m.Header.Get(headerProgressValue)), 64)
	inRange := value >= 0 && value <= maxProgressValue // false for NaN
	if !known || err != nil || !inRange || kind == ProgressRatio && value > 1 {
		return nil, true
	}
	return &Progress{kind, value}, false
}

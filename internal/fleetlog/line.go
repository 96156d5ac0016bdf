package fleetlog

import (
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// logLine is one parsed line of a log. Messages and keys of earlier versions are replaced by the current ones.
type logLine struct {
	time   time.Time
	fields map[string]string
}

func (l logLine) message() string  { return l.fields["msg"] }
func (l logLine) endpoint() string { return l.fields["endpoint"] }

// number returns a numeric field, or false if the line has no number of that name.
func (l logLine) number(key string) (float64, bool) {
	value, err := strconv.ParseFloat(l.fields[key], 64)
	return value, err == nil
}

// parseLine parses a line in logfmt. It returns false if the line has no valid time or is not logfmt. Text before the line's
// own time, such as the timestamp of a log collector, is ignored.
func parseLine(rawLine string) (logLine, bool) {
	_, afterTime, hasTime := strings.Cut(rawLine, "time=")
	if !hasTime {
		return logLine{}, false
	}
	decoder := logfmt.NewDecoder(strings.NewReader("time=" + afterTime))
	if !decoder.ScanRecord() {
		return logLine{}, false
	}
	fields := map[string]string{}
	for decoder.ScanKeyval() {
		fields[string(decoder.Key())] = string(decoder.Value())
	}
	loggedAt, err := time.Parse(time.RFC3339Nano, fields["time"])
	if decoder.Err() != nil || err != nil {
		return logLine{}, false
	}
	replaceFormerNames(fields)
	return logLine{loggedAt, fields}, true
}

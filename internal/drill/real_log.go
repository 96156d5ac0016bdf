package drill

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/go-logfmt/logfmt"

	"aniseloft/internal/lease"
)

// Parts of a coordinator's output from which results are read: the log message of each write, and the prefixes of the
// counters that it prints when it exits.
const (
	writeMessage    = "fleet act"
	fleetCounters   = "counters fleet "
	journalCounters = "counters journal "
)

// processLog collects the output of one process over all its incarnations.
type processLog struct {
	mu     sync.Mutex // guards buffer
	buffer bytes.Buffer
}

// Write appends to the log.
func (l *processLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(b)
}

func (l *processLog) bytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.buffer.Bytes())
}

// logTails returns the end of each process's log, for an error message.
func (r *realRun) logTails() string {
	const tailBytes = 400
	var tails bytes.Buffer
	for process, log := range r.logs {
		raw := log.bytes()
		fmt.Fprintf(&tails, "%s: ...%s\n", ProcessName(process), raw[max(len(raw)-tailBytes, 0):])
	}
	return tails.String()
}

// storeLog writes a process's log to RealOptions.Directory, if that is set.
func (r *realRun) storeLog(process int, raw []byte) error {
	if r.options.Directory == "" {
		return nil
	}
	if err := os.WriteFile(filepath.Join(r.directory, ProcessName(process)+".log"), raw, 0o644); err != nil {
		return fmt.Errorf("drill: %w", err)
	}
	return nil
}

// logSummary holds the fenced writes and the counters that are read from the logs of processes.
type logSummary struct {
	writes       []FencedWrite // writes with a known outcome
	rejected     int           // number of rejected writes
	unknown      int           // number of writes with an unknown outcome
	sentBytes    float64       // number of bytes sent to other coordinators
	syncs        float64       // number of disk syncs
	journalCalls int           // number of calls to the journal service
}

func (s *logSummary) add(other logSummary) {
	s.writes = append(s.writes, other.writes...)
	s.rejected += other.rejected
	s.unknown += other.unknown
	s.sentBytes += other.sentBytes
	s.syncs += other.syncs
	s.journalCalls += other.journalCalls
}

// parseLog reads one process's log. A counter that is not a number counts as 0.
func (r *realRun) parseLog(raw []byte) (summary logSummary) {
	for line := range bytes.SplitSeq(raw, []byte("\n")) {
		fields := parseLogfmt(line)
		switch {
		case bytes.HasPrefix(line, []byte(fleetCounters)):
			sent, _ := strconv.ParseFloat(fields["sent_bytes"], 64)
			syncs, _ := strconv.ParseFloat(fields["syncs"], 64)
			summary.sentBytes += sent
			summary.syncs += syncs
		case bytes.HasPrefix(line, []byte(journalCounters)):
			calls, _ := strconv.Atoi(fields["calls"])
			summary.journalCalls += calls
		case fields["msg"] == writeMessage:
			r.addWrite(&summary, fields)
		}
	}
	return summary
}

// addWrite adds the write that a log line with the message writeMessage describes.
func (r *realRun) addWrite(summary *logSummary, fields map[string]string) {
	if fields["unknown"] == "true" {
		summary.unknown++
		return
	}
	fence, _ := strconv.ParseUint(fields["fence"], 10, 64)
	write := FencedWrite{
		Job: fields["job"], Fence: lease.Fence(fence), Holder: fields["holder"], Admitted: fields["admitted"] == "true",
		CalledAtMS:   r.logTimeMS(fields["called_us"]),
		ReturnedAtMS: r.logTimeMS(fields["returned_us"]),
	}
	if !write.Admitted {
		summary.rejected++
	}
	summary.writes = append(summary.writes, write)
}

// logTimeMS converts microseconds since the Unix epoch to ms since the drill's start.
func (r *realRun) logTimeMS(unixMicros string) float64 {
	micros, _ := strconv.ParseInt(unixMicros, 10, 64)
	return r.sinceStartMS(time.UnixMicro(micros))
}

// parseLogfmt returns the fields of a log line in the logfmt format, by key.
func parseLogfmt(line []byte) map[string]string {
	fields := map[string]string{}
	decoder := logfmt.NewDecoder(bytes.NewReader(line))
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			fields[string(decoder.Key())] = string(decoder.Value())
		}
	}
	return fields
}

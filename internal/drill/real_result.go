package drill

import (
	"cmp"
	"context"
	"slices"
	"time"

	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/lease"
	"aniseloft/internal/store"
)

const (
	recordTimeout = 5 * time.Second
	// minUnownedIntervals is a number of purge intervals. Between two writes that are further apart, lease.JobPruneRecord
	// counts as a job without an owner.
	minUnownedIntervals = 4
)

// evaluate reads the processes' logs and the query record, and checks both against the rules.
func (r *realRun) evaluate(ctx context.Context, report *observer.Report) (*RealResult, error) {
	result, writes, err := r.evaluateLogs(report)
	if err != nil {
		return nil, err
	}
	for _, rule := range report.Rules {
		if rule.Count > 0 {
			result.Violations = append(result.Violations, Violation{Rule: RuleRequest, Detail: rule.String()})
		}
	}
	result.Violations = append(result.Violations, r.checkUnanswered()...)
	r.mu.Lock()
	if r.drill.Soak { // in other drills a process may still be starting when the drill ends
		result.Violations = append(result.Violations, r.startFailures...)
	}
	r.mu.Unlock()
	if r.options.FleetOff {
		return result, nil
	}
	if result.Grants, err = r.readGrants(ctx); err != nil {
		return nil, err
	}
	result.Unowned = r.unownedTimes(writes).rows()
	if slices.Contains(r.drill.Jobs, lease.JobPruneRecord) && len(result.Grants) == 0 {
		result.Violations = append(result.Violations, Violation{Rule: RuleProgress, Detail: "no process ever wrote to the query record"})
	}
	return result, nil
}

// evaluateLogs sums up the processes' logs, checks the history of their writes and returns the writes in the order of their
// calls.
func (r *realRun) evaluateLogs(report *observer.Report) (*RealResult, []FencedWrite, error) {
	var total logSummary
	for process, log := range r.logs {
		raw := log.bytes()
		if err := r.storeLog(process, raw); err != nil {
			return nil, nil, err
		}
		total.add(r.parseLog(raw))
	}
	slices.SortFunc(total.writes, func(a, b FencedWrite) int { return cmp.Compare(a.CalledAtMS, b.CalledAtMS) })
	const millisPerSecond = 1000
	seconds := r.drill.DurationMS / millisPerSecond
	r.mu.Lock()
	defer r.mu.Unlock()
	return &RealResult{
		Seed: r.options.Seed, Service: report.Service, Report: report, Faults: r.faultLog,
		Writes: len(total.writes), Rejected: total.rejected, Unknown: total.unknown, JournalCalls: total.journalCalls,
		BytesPerSecond: total.sentBytes / float64(r.drill.Members) / seconds,
		SyncsPerSecond: total.syncs / float64(r.drill.Replicas) / seconds,
		Violations:     CheckLinearizability(total.writes),
	}, total.writes, nil
}

// readGrants returns the grants (fencing token and holder) under which processes wrote to the query record.
func (r *realRun) readGrants(ctx context.Context) ([]store.FenceRow, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	record, err := store.Open(ctx, r.recordFile())
	if err != nil {
		return nil, err
	}
	defer func() { _ = record.Close() }()
	return record.Fences(ctx)
}

// unownedTimes returns the times between two admitted writes that exceed minUnownedIntervals purge intervals.
func (r *realRun) unownedTimes(writes []FencedWrite) unownedTimes {
	times := unownedTimes{}
	lastReturn := 0.0
	for _, write := range writes {
		if !write.Admitted {
			continue
		}
		gap := write.CalledAtMS - lastReturn
		if lastReturn > 0 && gap > minUnownedIntervals*purgeIntervalMS {
			times.add(r.faultBefore(write.CalledAtMS), gap)
		}
		lastReturn = max(lastReturn, write.ReturnedAtMS)
	}
	return times
}

// faultBefore returns the kind of the last fault before a time, or causeBeforeFault.
func (r *realRun) faultBefore(ms float64) FaultKind {
	r.mu.Lock()
	defer r.mu.Unlock()
	kind := causeBeforeFault
	for _, fault := range r.injectedFaults {
		if r.sinceStartMS(fault.injectedAt) <= ms {
			kind = fault.kind
		}
	}
	return kind
}

func (r *realRun) sinceStartMS(t time.Time) float64 {
	return float64(t.Sub(r.startedAt)) / float64(time.Millisecond)
}

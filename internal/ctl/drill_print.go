package ctl

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"aniseloft/internal/drill"
)

// printDrillSummary prints the summary of a drill's runs in virtual time.
func printDrillSummary(cmd *cobra.Command, s *drill.Summary) error {
	w := tableWriter(cmd)
	_, _ = fmt.Fprintf(w, "%s: %d runs, %d with a rule violation; %d fenced writes, %d rejected, %d grants; jobs had a holder %.3f of the time\n",
		s.Name, s.Runs, len(s.Failed), s.Writes, s.Rejected, s.Grants, s.OwnedRatio)
	printUnownedTimes(w, s.Unowned)
	printViolations(w, s.Violations)
	return w.Flush()
}

// printRealResult prints the result of one seed with real processes.
func printRealResult(cmd *cobra.Command, d *drill.Drill, r *drill.RealResult) error {
	w := tableWriter(cmd)
	_, _ = fmt.Fprintf(w, "%s, seed %d: %d rule violations; service %.3f; %d fenced writes, %d rejected, %d with unknown outcome, %d grants; "+
		"%d calls to the journal service; %.0f bytes/s per coordinator, %.2f syncs/s per replica\n",
		d.Name, r.Seed, len(r.Violations), r.Service, r.Writes, r.Rejected, r.Unknown, len(r.Grants), r.JournalCalls,
		r.BytesPerSecond, r.SyncsPerSecond)
	for _, fault := range r.Faults {
		_, _ = fmt.Fprintf(w, "  %s\n", fault)
	}
	printUnownedTimes(w, r.Unowned)
	printViolations(w, r.Violations)
	return w.Flush()
}

// printUnownedTimes prints, by cause, how long jobs had no holder.
func printUnownedTimes(w io.Writer, rows []drill.UnownedTime) {
	if len(rows) > 0 {
		_, _ = fmt.Fprintln(w, "\njob without a holder after\tcount\tp50 ms\tp95 ms\tmax ms")
	}
	for _, row := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.0f\t%.0f\t%.0f\n", row.Cause, row.Count, row.P50, row.P95, row.Max)
	}
}

func printViolations(w io.Writer, violations []drill.Violation) {
	for _, violation := range violations {
		_, _ = fmt.Fprintf(w, "\n%s\n", violation.String())
		for _, line := range violation.Evidence {
			_, _ = fmt.Fprintf(w, "  %s\n", line)
		}
	}
}

package ctl

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"aniseloft/internal/fleetlog"
)

func fleetLogsCommand() *cobra.Command {
	var asJSON bool
	var maxRows int
	var warmUp time.Duration
	cmd := &cobra.Command{
		Use: "logs FILE|DIR ...", Short: "Sum up the debug logs of a fleet, by second and by engine", Args: cobra.MinimumNArgs(1),
		Example: "  aniseloftctl fleet logs logs/\n  aniseloftctl fleet logs n0.log n1.log --most 20 --json",
		Long: "Reads one log per coordinator, written with {\"level\":\"debug\"} in deploy/log.json, and sums them up: the mean and maximum rates of " +
			"answers, attempts (sends), dials and probes, attempts and answers by their outcome, the busiest engines, the maximum rate " +
			"of attempts at each engine during its slow start (cold), how endpoint updates spread, and attempts after the update that an " +
			"engine is draining or removed. Of a directory, the files *.log are read. Lines that are not the coordinator's log are skipped and counted.",
		RunE: func(cmd *cobra.Command, args []string) error {
			files, err := logFiles(args)
			if err != nil {
				return usageError(err)
			}
			summary := fleetlog.New(warmUp)
			bar := newProgressBar(cmd, len(files), "logs")
			for _, file := range files {
				if err := readLog(summary, file); err != nil {
					return err
				}
				_ = bar.Add(1)
			}
			report := summary.Report()
			if asJSON {
				return printJSON(cmd, report)
			}
			return printFleetLogs(cmd, report, maxRows)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON, with all rows")
	cmd.Flags().IntVar(&maxRows, "most", 8, "maximum number of rows for engines and for endpoint updates")
	cmd.Flags().DurationVar(&warmUp, "cold", 15*time.Second, "duration of an engine's slow start (rules.coldMs)")
	return cmd
}

// logFiles lists the named files and the *.log files in the named directories, sorted and without duplicates.
func logFiles(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, fmt.Errorf("fleet logs: %w", err)
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		directoryLogs, err := filepath.Glob(filepath.Join(path, "*.log"))
		if err != nil {
			return nil, fmt.Errorf("fleet logs: %w", err)
		}
		if len(directoryLogs) == 0 {
			return nil, fmt.Errorf("fleet logs: %s holds no *.log; name the files", path)
		}
		files = append(files, directoryLogs...)
	}
	slices.Sort(files)
	return slices.Compact(files), nil
}

// readLog adds a log file to the summary. The file name without .log is the name of the coordinator.
func readLog(summary *fleetlog.Summary, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("fleet logs: %w", err)
	}
	defer func() { _ = file.Close() }()
	return summary.Read(strings.TrimSuffix(filepath.Base(path), ".log"), file)
}

// endpointStates maps fleetlog.EndpointUpdate.State to the names that are printed.
var endpointStates = map[string]string{
	fleetlog.StateRemoved:  "removed",
	fleetlog.StateReady:    "ready",
	fleetlog.StateDraining: "draining",
}

// printFunc writes formatted text to a table, whose Flush returns the first error.
type printFunc func(format string, args ...any)

func printFleetLogs(cmd *cobra.Command, r *fleetlog.Report, maxRows int) error {
	w := tableWriter(cmd)
	printRow := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
	printRow("%d coordinators, %d lines, %d skipped; the busiest coordinator sends %.1f times the mean number of answers\n\n",
		r.Coordinators, r.Lines, r.SkippedLines, r.BusiestOverMean)
	printRow("event\ttotal\tmean/s\tmax/s\n")
	for _, rate := range r.Rates {
		printRow("%s\t%d\t%.1f\t%d\n", rate.Event, rate.Total, rate.MeanPerSecond, rate.MaxPerSecond)
	}
	printRow("\nattempts ended\n")
	printCounts(printRow, r.AttemptsEnded)
	printRow("\nanswers\n")
	printCounts(printRow, r.Answers)
	printRow("\nengine\tattempts\tdials\tfailed dials\tprobes\tmax attempts/s in slow start\n")
	for _, e := range r.Endpoints[:min(maxRows, len(r.Endpoints))] {
		printRow("%s\t%d\t%d\t%d\t%d\t%.0f\n", e.Name, e.Attempts, e.Dials, e.DialsFailed, e.Probes, e.MaxWarmingAttempts)
	}
	printRow("\nupdate of\tstate\treceived by\tspread ms\tattempts after\tlast attempt after ms\n")
	for _, u := range r.Updates[:min(maxRows, len(r.Updates))] {
		printRow("%s\t%s\t%d\t%.0f\t%d\t%.0f\n", u.Endpoint, endpointStates[u.State], u.Coordinators, u.SpreadMS, u.AttemptsAfter, u.LastAttemptMS)
	}
	return w.Flush()
}

// printCounts prints names and their counts in descending order of the counts.
func printCounts(printRow printFunc, counts map[string]int) {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return strings.Compare(a, b)
	})
	for _, name := range names {
		printRow("%s\t%d\n", name, counts[name])
	}
}

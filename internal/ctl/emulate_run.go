package ctl

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/policy"
	"aniseloft/internal/emulator/scenario"
	"aniseloft/internal/emulator/simulation"
	"aniseloft/scenarios"
)

// dayFlags holds the flags shared by the commands that run an emulated day, which is one run of a scenario.
type dayFlags struct {
	seed            uint64
	changes         []string // changes of scenario values, each POINTER=VALUE
	outputDirectory string   // directory for report.json; empty: it is not written
	asJSON          bool
}

func (f *dayFlags) register(cmd *cobra.Command) {
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "the day's seed; the same seed gives the same day")
	cmd.Flags().StringArrayVar(&f.changes, "set", nil, "change a scenario value by its JSON pointer, such as /load/per_s=300 (repeatable)")
	cmd.Flags().StringVar(&f.outputDirectory, "out", "", "directory for report.json")
	cmd.Flags().BoolVar(&f.asJSON, "json", false, "print the report as JSON")
}

// load reads a scenario by its name or from a file and applies the changes of --set.
func (f *dayFlags) load(nameOrFile string) (*scenario.Scenario, error) {
	file, raw, err := scenarios.Raw(nameOrFile)
	if err != nil {
		return nil, usageError(err)
	}
	s, err := scenario.ParseWith(file, raw, f.changes)
	if err != nil {
		return nil, usageError(err)
	}
	return s, nil
}

// finish writes and prints the report of a day. It returns an error with ExitRules if the day violated a rule.
func (f *dayFlags) finish(cmd *cobra.Command, report *observer.Report) error {
	reportJSON, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	reportJSON = append(reportJSON, '\n')
	if f.outputDirectory != "" {
		if err := writeFile(filepath.Join(f.outputDirectory, "report.json"), reportJSON); err != nil {
			return err
		}
	}
	if f.asJSON {
		_, _ = cmd.OutOrStdout().Write(reportJSON)
	} else {
		printDayReport(cmd, report)
	}
	if report.RulesBroken > 0 {
		return rulesError("%d rule violations; first: %s: %s", report.RulesBroken, report.Rules[0].Rule, report.Rules[0].First)
	}
	return nil
}

func printDayReport(cmd *cobra.Command, r *observer.Report) {
	w := tableWriter(cmd)
	_, _ = fmt.Fprintf(w, "%s, seed %d, %s: service %.4f, rule violations %d\n", r.Scenario, r.Seed, r.Policy, r.Service, r.RulesBroken)
	_, _ = fmt.Fprintln(w, "class\tservice\tqueries\tserved\tlate\tnever served\trejected\tfailed\tlost\tp50 ms\tp95 ms\tp99 ms")
	for _, class := range r.Classes {
		_, _ = fmt.Fprintf(w, "%s\t%.4f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.0f\n", class.Name, class.Service, class.First, class.Served,
			class.Late, class.NeverServed, class.Rejected, class.Failed, class.Lost, class.P50, class.P95, class.P99)
	}
	_ = w.Flush()
}

func emulateRunCommand() *cobra.Command {
	var day dayFlags
	var policyName string
	cmd := &cobra.Command{
		Use: "run NAME|FILE", Short: "Run a day in virtual time", Args: cobra.ExactArgs(1),
		Long: "Runs a day in virtual time and checks it against the scenario's rules. The same seed gives the same bytes in\n" +
			"report.json, on any number of cores. Exit code 3: a rule was violated.",
		Example: "  aniseloftctl emulate run flood-day --seed 7 --out out\n" +
			"  aniseloftctl emulate run calm-weekday --policy two-choices\n" +
			"  aniseloftctl emulate run my-day.json --set /load/per_s=300 --set /troubles/0/size=1.5",
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := day.load(args[0])
			if err != nil {
				return err
			}
			if !slices.Contains(policy.Names(), policyName) {
				return usageError(fmt.Errorf("--policy %s: unknown policy; the policies are %v", policyName, policy.Names()))
			}
			report, err := simulateDay(cmd, s, day.seed, policyName)
			if err != nil {
				return err
			}
			return day.finish(cmd, report)
		},
	}
	day.register(cmd)
	cmd.Flags().StringVar(&policyName, "policy", policy.Module, fmt.Sprintf("decision policy: one of %v", policy.Names()))
	return cmd
}

// simulateDay runs a day in virtual time and prints the number of simulated events per second.
func simulateDay(cmd *cobra.Command, s *scenario.Scenario, seed uint64, policyName string) (*observer.Report, error) {
	bar := newProgressBar(cmd, 100, s.Name)
	began := time.Now()
	report, err := simulation.Run(s, simulation.Options{Seed: seed, Policy: policyName, Progress: percentProgress(bar)})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	elapsed := time.Since(began).Seconds()
	_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "%d events in %.2f s, %.0f per second\n", report.Events, elapsed, float64(report.Events)/elapsed)
	return report, nil
}

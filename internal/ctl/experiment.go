package ctl

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"aniseloft/internal/experiment"
)

func experimentCommand() *cobra.Command {
	return commandGroup("experiment", "Run many emulated days and compare them",
		experimentRunCommand(), experimentTableCommand(), experimentChartCommand(), experimentCompareCommand())
}

func experimentRunCommand() *cobra.Command {
	var outputDirectory string
	cmd := &cobra.Command{
		Use: "run PLAN.json", Short: "Run a plan's days on all cores, saving each result as its day ends", Args: cobra.ExactArgs(1),
		Long:    "Runs scenarios x variants x policies x seeds. After an interruption the same command continues where it stopped.",
		Example: "  aniseloftctl experiment run baselines.json --out results/baselines",
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return usageError(fmt.Errorf("plan: %w", err))
			}
			plan, err := experiment.ParsePlan(args[0], raw)
			if err != nil {
				return usageError(err)
			}
			if outputDirectory == "" {
				outputDirectory = "results/" + plan.Name
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			dayCount := len(plan.Cells())
			bar := newProgressBar(cmd, dayCount, plan.Name)
			if err := experiment.Run(ctx, plan, outputDirectory, func(completed, _ int) { _ = bar.Set(completed) }); err != nil {
				return fmt.Errorf("%w; completed results are kept in %s; run the same command again to continue", err, outputDirectory)
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%d days in %s\n", dayCount, outputDirectory)
			return nil
		},
	}
	cmd.Flags().StringVar(&outputDirectory, "out", "", "results directory (default results/NAME)")
	return cmd
}

func experimentTableCommand() *cobra.Command {
	var asCSV, asJSON bool
	cmd := &cobra.Command{
		Use: "table DIR", Short: "Summarize results in a table", Args: cobra.ExactArgs(1),
		Example: "  aniseloftctl experiment table results/baselines > baselines.md\n  aniseloftctl experiment table results/baselines --csv",
		RunE: func(cmd *cobra.Command, args []string) error {
			results, err := experiment.Load(args[0])
			if err != nil {
				return usageError(err)
			}
			rows := experiment.Rows(results)
			switch {
			case asJSON:
				return printJSON(cmd, rows)
			case asCSV:
				return experiment.CSV(cmd.OutOrStdout(), rows)
			}
			return experiment.Markdown(cmd.OutOrStdout(), rows)
		},
	}
	cmd.Flags().BoolVar(&asCSV, "csv", false, "print CSV instead of Markdown")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func experimentChartCommand() *cobra.Command {
	var outputDirectory string
	cmd := &cobra.Command{
		Use: "chart DIR", Short: "Draw service by policy, latency curves and timelines (SVG and PNG)", Args: cobra.ExactArgs(1),
		Example: "  aniseloftctl experiment chart results/baselines --out charts",
		RunE: func(cmd *cobra.Command, args []string) error {
			results, err := experiment.Load(args[0])
			if err != nil {
				return usageError(err)
			}
			if outputDirectory == "" {
				outputDirectory = args[0]
			}
			if err := os.MkdirAll(outputDirectory, 0o755); err != nil {
				return fmt.Errorf("charts: %w", err)
			}
			files, err := experiment.Charts(results, outputDirectory)
			if err != nil {
				return err
			}
			for _, file := range files {
				_, _ = fmt.Fprintln(cmd.OutOrStdout(), file)
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&outputDirectory, "out", "", "directory for the charts (default: the results directory)")
	return cmd
}

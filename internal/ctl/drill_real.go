package ctl

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"aniseloft/internal/drill"
	"aniseloft/scenarios"
)

// runRealDrill runs a drill with real processes, one seed after another.
func runRealDrill(cmd *cobra.Command, d *drill.Drill, flags *drillRunFlags) error {
	options, err := realDrillOptions(d, flags)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failedRuns := 0
	for seed := flags.firstSeed; seed < flags.firstSeed+flags.seedCount; seed++ {
		options.Seed = seed
		result, err := runRealSeed(ctx, cmd, d, flags.outputDirectory, options)
		if err != nil {
			return err
		}
		if flags.asJSON {
			err = printJSON(cmd, result)
		} else {
			err = printRealResult(cmd, d, result)
		}
		if err != nil {
			return err
		}
		if len(result.Violations) > 0 {
			failedRuns++
		}
	}
	if failedRuns > 0 {
		return rulesError("drill %s: a rule was violated in %d of %d runs", d.Name, failedRuns, flags.seedCount)
	}
	return nil
}

// realDrillOptions returns the options shared by all seeds. A scenario that the drill names overrides --scenario.
func realDrillOptions(d *drill.Drill, flags *drillRunFlags) (options drill.RealOptions, err error) {
	options.FleetOff, options.Debug = flags.fleetOff, flags.debug
	scenarioName := flags.scenario
	if d.Scenario != "" {
		scenarioName = d.Scenario
	}
	if options.Scenario, err = scenarios.Load(scenarioName); err != nil {
		return options, usageError(err)
	}
	if options.Coordinator, err = programPath(flags.coordinator, "--coordinator", "build it or give its path"); err != nil {
		return options, err
	}
	if flags.olderCoordinator != "" {
		options.OlderCoordinator, err = programPath(flags.olderCoordinator, "--older", "give the path of an earlier build")
	}
	return options, err
}

// programPath returns the absolute path of a program, or an error with the remedy if it does not exist.
func programPath(path, flag, remedy string) (string, error) {
	absolute, err := filepath.Abs(path)
	if err != nil {
		return "", usageError(err)
	}
	if _, err := os.Stat(absolute); err != nil {
		return "", usageError(fmt.Errorf("%s: %w; %s", flag, err, remedy))
	}
	return absolute, nil
}

func runRealSeed(ctx context.Context, cmd *cobra.Command, d *drill.Drill, outputDirectory string, options drill.RealOptions) (*drill.RealResult, error) {
	if outputDirectory != "" {
		directory, err := filepath.Abs(filepath.Join(outputDirectory, fmt.Sprintf("%s-%d", d.Name, options.Seed)))
		if err != nil {
			return nil, usageError(err)
		}
		options.Directory = directory
	}
	options.Progress = percentProgress(newProgressBar(cmd, 100, d.Name))
	result, err := drill.RunReal(ctx, d, options)
	if err != nil {
		return nil, fmt.Errorf("drill %s, seed %d: %w", d.Name, options.Seed, err)
	}
	return result, nil
}

package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"

	"github.com/spf13/cobra"

	"aniseloft/internal/drill"
)

// runVirtualDrill runs a drill with many seeds in virtual time and prints their summary.
func runVirtualDrill(cmd *cobra.Command, selected drillSelection, flags *drillRunFlags) error {
	summary, err := runSeeds(cmd, selected, flags.firstSeed, flags.seedCount)
	if err != nil {
		return err
	}
	if flags.asJSON {
		err = printJSON(cmd, summary)
	} else {
		err = printDrillSummary(cmd, summary)
	}
	if err != nil {
		return err
	}
	if len(summary.Failed) > 0 {
		return rulesError("drill %s: a rule was violated in %d of %d runs, first with --seed %d",
			selected.drill.Name, len(summary.Failed), summary.Runs, summary.Failed[0])
	}
	return nil
}

// seedBatch is the number of results that are held in memory before they are added to the summary in seed order.
const seedBatch = 256

// runSeeds runs consecutive seeds, as many at a time as there are cores. The summary does not depend on the number of cores.
func runSeeds(cmd *cobra.Command, selected drillSelection, firstSeed, seedCount uint64) (*drill.Summary, error) {
	summary := &drill.Summary{Name: selected.drill.Name}
	bar := newProgressBar(cmd, int(seedCount), selected.drill.Name)
	for completedCount := uint64(0); completedCount < seedCount; completedCount += seedBatch {
		results, err := runSeedBatch(selected, firstSeed+completedCount, min(seedBatch, seedCount-completedCount))
		if err != nil {
			return nil, err
		}
		for _, result := range results {
			summary.Add(result)
			_ = bar.Add(1)
		}
	}
	return summary, nil
}

func runSeedBatch(selected drillSelection, firstSeed, seedCount uint64) ([]*drill.VirtualResult, error) {
	results, errs := make([]*drill.VirtualResult, seedCount), make([]error, seedCount)
	var runs sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range seedCount {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			results[i], errs[i] = drill.RunVirtual(selected.drill, firstSeed+i, selected.disabledGuards, false)
		})
	}
	runs.Wait()
	return results, errors.Join(errs...)
}

// seedFlags holds the flags of the commands that run one seed in virtual time.
type seedFlags struct {
	seed               uint64
	disabledGuardNames []string // names of the guards to disable
}

func (f *seedFlags) register(cmd *cobra.Command) {
	cmd.Flags().Uint64Var(&f.seed, "seed", 1, "the seed")
	cmd.Flags().StringSliceVar(&f.disabledGuardNames, "without", nil, "guards to disable: fence, asked, vote, drift")
}

func drillReplayCommand() *cobra.Command {
	var flags seedFlags
	cmd := &cobra.Command{
		Use: "replay NAME|FILE", Short: "Run one seed in virtual time and print every event", Args: cobra.ExactArgs(1),
		Example: "  aniseloftctl drill replay drawn --seed 1 --without fence",
		RunE: func(cmd *cobra.Command, args []string) error {
			selected, err := selectDrill(args[0], flags.disabledGuardNames)
			if err != nil {
				return err
			}
			result, err := drill.RunVirtual(selected.drill, flags.seed, selected.disabledGuards, true)
			if err != nil {
				return err
			}
			for _, line := range result.Log {
				_, _ = fmt.Fprintln(cmd.OutOrStdout(), line)
			}
			for _, violation := range result.Violations {
				_, _ = fmt.Fprintln(cmd.OutOrStdout(), violation.String(), violation.Evidence)
			}
			if len(result.Violations) > 0 {
				return rulesError("drill %s, seed %d: a rule was violated", selected.drill.Name, flags.seed)
			}
			return nil
		},
	}
	flags.register(cmd)
	return cmd
}

func drillShrinkCommand() *cobra.Command {
	var flags seedFlags
	cmd := &cobra.Command{
		Use: "shrink NAME|FILE", Short: "Print the smallest drill that still violates a rule, found by removing faults", Args: cobra.ExactArgs(1),
		Example: "  aniseloftctl drill shrink drawn --seed 1 --without fence > least.json",
		RunE: func(cmd *cobra.Command, args []string) error {
			selected, err := selectDrill(args[0], flags.disabledGuardNames)
			if err != nil {
				return err
			}
			smallestDrill, err := shrinkDrill(selected, flags.seed)
			if err != nil {
				return err
			}
			drillJSON, err := json.MarshalIndent(smallestDrill, "", " ")
			if err != nil {
				return fmt.Errorf("encode the drill as JSON: %w", err)
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), string(drillJSON))
			return err
		},
	}
	flags.register(cmd)
	return cmd
}

// shrinkDrill returns the smallest drill that still violates a rule with the given seed.
func shrinkDrill(selected drillSelection, seed uint64) (*drill.Drill, error) {
	violatesRule := func(d *drill.Drill) bool {
		result, err := drill.RunVirtual(d, seed, selected.disabledGuards, false)
		return err == nil && len(result.Violations) > 0
	}
	if !violatesRule(selected.drill) {
		return nil, fmt.Errorf("drill %s, seed %d: no rule is violated: there is nothing to shrink", selected.drill.Name, seed)
	}
	smallestDrill := drill.Shrink(selected.drill, seed, violatesRule)
	smallestDrill.Name, smallestDrill.Schema = selected.drill.Name+"-least", ""
	smallestDrill.Faults = slices.Clip(smallestDrill.Faults)
	return smallestDrill, nil
}

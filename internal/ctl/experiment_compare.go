package ctl

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"aniseloft/internal/experiment"
)

func experimentCompareCommand() *cobra.Command {
	var asJSON bool
	var policyA, policyB string
	cmd := &cobra.Command{
		Use: "compare A B", Short: "Compare two result directories, paired by scenario and seed", Args: cobra.ExactArgs(2),
		Long: "Prints B minus A with a 95% bootstrap interval, or that no difference is seen. --policy-a and --policy-b\n" +
			"select the policies to compare, also within one directory.",
		Example: "  aniseloftctl experiment compare results/before results/after\n" +
			"  aniseloftctl experiment compare results/all results/all --policy-a two-choices --policy-b module",
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := loadPolicy(args[0], policyA)
			if err != nil {
				return err
			}
			b, err := loadPolicy(args[1], policyB)
			if err != nil {
				return err
			}
			differences := experiment.Compare(a, b)
			if len(differences) == 0 {
				return usageError(errors.New("no scenario and seed is in both A and B"))
			}
			if asJSON {
				return printJSON(cmd, differences)
			}
			return printDifferences(cmd, differences)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	cmd.Flags().StringVar(&policyA, "policy-a", "", "only this policy's days of A")
	cmd.Flags().StringVar(&policyB, "policy-b", "", "only this policy's days of B")
	return cmd
}

// loadPolicy loads the results of one policy. The policy must be named if the directory has results of several.
func loadPolicy(directory, policy string) ([]experiment.Result, error) {
	allResults, err := experiment.Load(directory)
	if err != nil {
		return nil, usageError(err)
	}
	var results []experiment.Result
	for _, r := range allResults {
		if policy == "" || r.Policy == policy {
			results = append(results, r)
		}
	}
	if policyNames := experiment.Policies(results); len(policyNames) > 1 {
		return nil, usageError(fmt.Errorf("%s has results of the policies %v: choose one with --policy-a and --policy-b", directory, policyNames))
	}
	return results, nil
}

func printDifferences(cmd *cobra.Command, differences []experiment.Difference) error {
	w := tableWriter(cmd)
	_, _ = fmt.Fprintln(w, "scenario\tpairs\tB minus A\t95% interval\tverdict")
	for _, d := range differences {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%+.4f\t%+.4f to %+.4f\t%s\n",
			d.Scenario, d.Service.Count, d.Service.Mean, d.Service.Lower, d.Service.Upper, d.Verdict)
	}
	return w.Flush()
}

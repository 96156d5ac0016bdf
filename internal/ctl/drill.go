package ctl

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"aniseloft/drills"
	"aniseloft/internal/drill"
	"aniseloft/internal/emulator/scenario"
)

func drillCommand() *cobra.Command {
	return commandGroup("drill", "Inject faults into many coordinators and check their operations against rules",
		drillRunCommand(), drillListCommand(), drillCheckCommand(), drillReplayCommand(), drillShrinkCommand())
}

func drillListCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use: "list", Short: "List the embedded drills", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var allDrills []*drill.Drill
			for _, name := range drills.Names() {
				d, err := drills.Load(name)
				if err != nil {
					return err
				}
				allDrills = append(allDrills, d)
			}
			if asJSON {
				return printJSON(cmd, allDrills)
			}
			w := tableWriter(cmd)
			for _, d := range allDrills {
				_, _ = fmt.Fprintf(w, "%s\t%s\n", d.Name, d.Purpose)
			}
			return w.Flush()
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func drillCheckCommand() *cobra.Command {
	cmd := checkFileCommand("check", "a drill file", func(file string, raw []byte) (scenario.ValidationErrors, error) {
		var problems scenario.ValidationErrors
		if _, err := drill.Parse(file, raw); err != nil && !errors.As(err, &problems) {
			return nil, err
		}
		return problems, nil
	})
	cmd.Use, cmd.Args, cmd.Short = "check FILE", cobra.ExactArgs(1), "Check a drill file against its schema and its rules"
	cmd.Example = "  aniseloftctl drill check my-drill.json"
	return cmd
}

// drillSelection holds the drill of a command and the guards, that is safety checks, to disable in virtual time.
type drillSelection struct {
	drill          *drill.Drill
	disabledGuards drill.DisabledGuards
}

// selectDrill loads a drill by its name or from a file and parses the guards to disable.
func selectDrill(nameOrFile string, disabledGuardNames []string) (drillSelection, error) {
	d, err := drills.Load(nameOrFile)
	if err != nil {
		return drillSelection{}, usageError(err)
	}
	disabledGuards, err := parseGuards(disabledGuardNames)
	return drillSelection{d, disabledGuards}, err
}

// parseGuards parses the guard names of --without.
func parseGuards(guardNames []string) (disabledGuards drill.DisabledGuards, err error) {
	for _, guardName := range guardNames {
		switch guardName {
		case "fence":
			disabledGuards.FenceCheck = true
		case "asked":
			disabledGuards.LeaseFromRequest = true
		case "vote":
			disabledGuards.VoteSync = true
		case "drift":
			disabledGuards.DriftAllowance = true
		default:
			return disabledGuards, usageError(fmt.Errorf("--without %s: unknown guard; the guards are fence, asked, vote and drift", guardName))
		}
	}
	return disabledGuards, nil
}

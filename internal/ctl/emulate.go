package ctl

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"aniseloft/internal/emulator/scenario"
	"aniseloft/scenarios"
)

func emulateCommand() *cobra.Command {
	return commandGroup("emulate", "Simulate incidents in virtual time, or rehearse them with real coordinators",
		emulateListCommand(), emulateCheckCommand(), emulateRunCommand(), emulateRehearseCommand(), emulateServeCommand())
}

// scenarioLine is a line of the output of emulate list.
type scenarioLine struct {
	Name        string `json:"name"`
	Description string `json:"tells"`
}

func emulateListCommand() *cobra.Command {
	var namesOnly, asJSON bool
	cmd := &cobra.Command{
		Use: "list", Short: "List the embedded scenarios", Args: cobra.NoArgs,
		Example: "  aniseloftctl emulate list\n  aniseloftctl emulate list --names",
		RunE: func(cmd *cobra.Command, _ []string) error {
			lines, err := scenarioLines()
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd, lines)
			}
			w := tableWriter(cmd)
			for _, line := range lines {
				if namesOnly {
					line.Description = ""
				}
				_, _ = fmt.Fprintf(w, "%s\t%s\n", line.Name, line.Description)
			}
			return w.Flush()
		},
	}
	cmd.Flags().BoolVar(&namesOnly, "names", false, "names only")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func scenarioLines() ([]scenarioLine, error) {
	var lines []scenarioLine
	for _, name := range scenarios.Names() {
		s, err := scenarios.Load(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, scenarioLine{name, s.Description})
	}
	return lines, nil
}

func emulateCheckCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use: "check FILE...", Short: "Check scenario files without running them", Args: cobra.MinimumNArgs(1),
		Example: "  aniseloftctl emulate check flood.json",
		RunE: func(cmd *cobra.Command, files []string) error {
			problems, err := validateScenarios(files)
			if err != nil {
				return err
			}
			if asJSON {
				if err := printJSON(cmd, problems); err != nil {
					return err
				}
			}
			if len(problems) > 0 {
				return usageError(problems)
			}
			if !asJSON {
				_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%d valid\n", len(files))
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the problems as JSON")
	return cmd
}

// validateScenarios lists the problems of scenario files. If they are valid, the list is empty and not nil, which JSON
// shows as [].
func validateScenarios(files []string) (scenario.ValidationErrors, error) {
	problems := scenario.ValidationErrors{}
	for _, file := range files {
		_, err := scenarios.Load(file)
		var fileProblems scenario.ValidationErrors
		if errors.As(err, &fileProblems) {
			problems = append(problems, fileProblems...)
		} else if err != nil {
			return nil, usageError(err)
		}
	}
	return problems, nil
}

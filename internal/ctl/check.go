package ctl

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"aniseloft/internal/config"
	"aniseloft/internal/emulator/scenario"
	"aniseloft/internal/fleetconf"
	"aniseloft/schema"
)

func checkCommand() *cobra.Command {
	return commandGroup("check", "Validate a configuration file before it is used",
		checkConfigCommand(), checkRESTCommand(), checkLogCommand(), checkFleetCommand())
}

func checkRESTCommand() *cobra.Command {
	var configFile string
	cmd := checkFileCommand("rest", config.RESTFile, func(file string, raw []byte) (scenario.ValidationErrors, error) {
		return validateREST(file, raw, configFile)
	})
	cmd.Example = "  aniseloftctl check rest\n  aniseloftctl check rest deploy/rest.json --config /run/balancer/config.json --json"
	cmd.Long = "Validates the configuration of the paged REST front and its spool against schema/rest.schema.json, then against the rules " +
		"that the coordinator applies at its start. With --config, engine kinds and classes must exist in that coordinator " +
		"configuration; without it they are not checked. Exit code 2 if the file is invalid; the file is not changed."
	cmd.Flags().StringVar(&configFile, "config", "", "a coordinator configuration file, against which engine kinds and classes are checked")
	return cmd
}

func checkConfigCommand() *cobra.Command {
	cmd := checkFileCommand("config", "the file that LB_CONFIG names", validateCoordinator)
	cmd.Use, cmd.Args = "config FILE", cobra.ExactArgs(1)
	cmd.Example = "  aniseloftctl check config /run/balancer/config.json\n  aniseloftctl check config config.json --json"
	cmd.Long = "Lists every problem that a coordinator would report about its configuration, without starting one: errors that prevent the " +
		"start, and fields that are ignored or replaced by another value. docs/settings.md describes every field. Exit code 2 if " +
		"there is any problem; the file is not changed."
	return cmd
}

func checkLogCommand() *cobra.Command {
	cmd := checkFileCommand("log", config.LogFile, func(file string, raw []byte) (scenario.ValidationErrors, error) {
		return validateSchema(file, raw, schema.Log)
	})
	cmd.Example = "  aniseloftctl check log\n  aniseloftctl check log deploy/log.json --json"
	cmd.Long = "Validates the coordinator's log settings against schema/log.schema.json. Exit code 2 if the file is invalid; " +
		"the file is not changed."
	return cmd
}

func checkFleetCommand() *cobra.Command {
	cmd := checkFileCommand("fleet", fleetconf.File, validateFleet)
	cmd.Example = "  aniseloftctl check fleet\n  aniseloftctl check fleet deploy/fleet.json --json"
	cmd.Long = "Validates the configuration of the consensus group and its jobs against schema/fleet.schema.json, then against the rules " +
		"that the coordinator applies at its start. Exit code 2 if the file is invalid; the file is not changed."
	return cmd
}

// validator lists the problems of a file. An error means that the file could not be validated.
type validator func(file string, raw []byte) (scenario.ValidationErrors, error)

// checkFileCommand returns a command that prints the problems of a file, by default of defaultFile.
func checkFileCommand(name, defaultFile string, validate validator) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use: name + " [FILE]", Short: "Check " + defaultFile + " against its schema and its rules", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file := defaultFile
			if len(args) == 1 {
				file = args[0]
			}
			raw, err := os.ReadFile(file)
			if err != nil {
				return usageError(fmt.Errorf("check: %w", err))
			}
			problems, err := validate(file, raw)
			if err != nil {
				return err
			}
			if err := printProblems(cmd, file, problems, asJSON); err != nil {
				return err
			}
			if len(problems) > 0 {
				return usageError(fmt.Errorf("check: %s: %d problems", file, len(problems)))
			}
			_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "%s: valid\n", file)
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the problems as JSON")
	return cmd
}

func printProblems(cmd *cobra.Command, file string, problems scenario.ValidationErrors, asJSON bool) error {
	if asJSON {
		return printJSON(cmd, map[string]any{"file": file, "faults": problems})
	}
	for _, problem := range problems {
		_, _ = fmt.Fprintln(cmd.OutOrStdout(), problem.Error())
	}
	return nil
}

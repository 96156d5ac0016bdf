// Package ctl implements aniseloftctl, the operators' command-line tool. Each command is in a file named after it: it parses
// flags, calls the package that does the work and prints the result. Results go to standard output; errors and progress go
// to standard error.
package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes that Run returns.
const (
	ExitOK     = 0
	ExitFailed = 1 // the command could not be carried out
	ExitUsage  = 2 // the command line or a file is invalid
	ExitRules  = 3 // a run completed and violated a rule
)

// exitError gives an error an exit code other than ExitFailed.
type exitError struct {
	code int
	err  error
}

func (e exitError) Error() string { return e.err.Error() }
func (e exitError) Unwrap() error { return e.err }

// usageError marks an invalid command line or file.
func usageError(err error) error { return exitError{ExitUsage, err} }

// rulesError reports that a run violated a rule.
func rulesError(format string, args ...any) error {
	return exitError{ExitRules, fmt.Errorf(format, args...)}
}

// Run executes a command line without the program's name and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	root := &cobra.Command{
		Use: "aniseloftctl", Short: "Operators' command-line tool of aniseloft",
		SilenceErrors: true, SilenceUsage: true,
		Long: "Exit codes: 0 success, 1 failure, 2 the command line or a file is invalid, 3 the run completed and violated a rule.",
	}
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error {
		return usageError(fmt.Errorf("%w; see %s --help", err, cmd.CommandPath()))
	})
	root.AddCommand(emulateCommand(), experimentCommand(), spoolCommand(), checkCommand(), fleetCommand(), drillCommand())
	cmd, err := root.ExecuteC()
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, "aniseloftctl:", err)
	return exitCode(root, cmd, err)
}

// exitCode returns the exit code for an error of the executed command. Cobra's errors for an unknown command and for a wrong
// number of arguments have no type of their own, so their cause is determined from the command.
func exitCode(root, executed *cobra.Command, err error) int {
	var exit exitError
	switch {
	case errors.As(err, &exit):
		return exit.code
	case executed == root: // no command was found: the root command itself cannot fail
		return ExitUsage
	case executed.ValidateArgs(executed.Flags().Args()) != nil:
		return ExitUsage
	}
	return ExitFailed
}

// commandGroup returns a command that only has subcommands; it prints its help when it is run without one.
func commandGroup(use, short string, commands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(commands...)
	return cmd
}

// Package ctl is the operators' command line.
package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"
)

// Exit codes.
const (
	ExitOK     = 0
	ExitFailed = 1 // it could not be done
	ExitUsage  = 2 // the command line or a file is wrong
	ExitRules  = 3 // done, and a rule was broken
)

// codeError carries an exit code.
type codeError struct {
	code int
	err  error
}

func (e codeError) Error() string { return e.err.Error() }
func (e codeError) Unwrap() error { return e.err }

func usage(err error) error { return codeError{ExitUsage, err} }

// Run is the whole program; it returns the exit code.
func Run(args []string, out, log io.Writer) int {
	root := &cobra.Command{Use: "aniseloftctl", Short: "The operators' tool of aniseloft",
		SilenceErrors: true, SilenceUsage: true,
		Long: "Exit codes: 0 done, 1 it could not be done, 2 the command line or a file is wrong, 3 done and a rule was broken."}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(log)
	root.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		return usage(fmt.Errorf("%w; see %s --help", err, c.CommandPath()))
	})
	root.AddCommand(emulate(), experiments(), spools(), checks(), fleet(), drillCmd())
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(log, "aniseloftctl:", err)
	var code codeError
	switch {
	case errors.As(err, &code):
		return code.code
	case strings.HasPrefix(err.Error(), "unknown command"), strings.Contains(err.Error(), "arg(s)"):
		return ExitUsage
	}
	return ExitFailed
}

// group is a command that only holds others.
func group(use, short string, sub ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.AddCommand(sub...)
	return c
}

func printJSON(c *cobra.Command, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("write: %w", err)
	}
	_, err = fmt.Fprintln(c.OutOrStdout(), string(b))
	return err
}

// keep writes a file whole or not at all.
func keep(path string, b []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("keep: %w", err)
	}
	tmp, err := os.CreateTemp(filepath.Dir(path), ".keep-*")
	if err != nil {
		return fmt.Errorf("keep: %w", err)
	}
	_, err = tmp.Write(b)
	if cerr := tmp.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Chmod(tmp.Name(), 0o644)
	}
	if err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	if err != nil {
		_ = os.Remove(tmp.Name())
		return fmt.Errorf("keep %s: %w", path, err)
	}
	return nil
}

// progress is a bar on a terminal, and nothing elsewhere.
func progress(c *cobra.Command, most int, what string) *progressbar.ProgressBar {
	w := c.ErrOrStderr()
	f, ok := w.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) {
		w = io.Discard
	}
	return progressbar.NewOptions(most, progressbar.OptionSetWriter(w), progressbar.OptionSetDescription(what),
		progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())
}

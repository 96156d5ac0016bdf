package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"
)

// printJSON prints a value as indented JSON.
func printJSON(cmd *cobra.Command, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the output as JSON: %w", err)
	}
	_, err = fmt.Fprintln(cmd.OutOrStdout(), string(text))
	return err
}

// tableWriter aligns tab-separated columns on standard output. Its Flush returns the first error of all writes.
func tableWriter(cmd *cobra.Command) *tabwriter.Writer {
	return tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
}

// writeFile writes a file and creates its directory. The file appears under its name only when it is complete.
func writeFile(path string, content []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("write file: %w", err)
	}
	temporaryFile, err := os.CreateTemp(filepath.Dir(path), ".keep-*")
	if err != nil {
		return fmt.Errorf("write file: %w", err)
	}
	_, err = temporaryFile.Write(content)
	if closeErr := temporaryFile.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Chmod(temporaryFile.Name(), 0o644)
	}
	if err == nil {
		err = os.Rename(temporaryFile.Name(), path)
	}
	if err != nil {
		_ = os.Remove(temporaryFile.Name())
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

// newProgressBar returns a progress bar that is printed to standard error if that is a terminal, and not printed otherwise.
func newProgressBar(cmd *cobra.Command, total int, description string) *progressbar.ProgressBar {
	w := cmd.ErrOrStderr()
	file, ok := w.(*os.File)
	if !ok || !term.IsTerminal(int(file.Fd())) {
		w = io.Discard
	}
	return progressbar.NewOptions(total, progressbar.OptionSetWriter(w), progressbar.OptionSetDescription(description),
		progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())
}

// percentProgress returns a callback that shows the elapsed percentage of a run, for runs that report their time in ms.
func percentProgress(bar *progressbar.ProgressBar) func(nowMS, endMS float64) {
	return func(nowMS, endMS float64) { _ = bar.Set(int(100 * nowMS / endMS)) }
}

package ctl

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"aniseloft/internal/spool"
)

func spoolCommand() *cobra.Command {
	return commandGroup("spool", "List, verify and delete the spooled results of a directory",
		spoolListCommand(), spoolShowCommand(), spoolVerifyCommand(), spoolGCCommand())
}

// inspectSpool reads the results of a spool directory; with verifyPages it also reads and checks every page.
func inspectSpool(path string, verifyPages bool) (spool.Inspection, error) {
	directory, err := spool.ReadDirectory(path)
	if err != nil {
		return spool.Inspection{}, usageError(err)
	}
	return spool.Inspect(directory, verifyPages)
}

func spoolListCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use: "ls DIR", Short: "List the results", Args: cobra.ExactArgs(1),
		Example: "  aniseloftctl spool ls spool", Long: "Lists results in the order of their first page. The spool may be in use.",
		RunE: func(cmd *cobra.Command, args []string) error {
			found, err := inspectSpool(args[0], false)
			if err != nil {
				return err
			}
			if asJSON {
				return printJSON(cmd, found)
			}
			return printSpool(cmd, found)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func printSpool(cmd *cobra.Command, inspection spool.Inspection) error {
	w := tableWriter(cmd)
	_, _ = fmt.Fprintln(w, "result\towner\tclass\tstate\tpages\tbytes\tsealed")
	for _, result := range inspection.Results {
		resultName, sealed := result.Name, ""
		if resultName == "" {
			resultName = result.ID
		}
		if result.SealedAt > 0 {
			sealed = time.UnixMilli(int64(result.SealedAt)).UTC().Format(time.RFC3339)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", resultName, result.Owner, result.Class, result.State, result.Pages, result.Bytes, sealed)
	}
	_, _ = fmt.Fprintf(w, "%d segments, %d bytes\n", inspection.Segments, inspection.Bytes)
	return w.Flush()
}

func spoolShowCommand() *cobra.Command {
	var page int
	cmd := &cobra.Command{
		Use: "show DIR RESULT", Short: "Print one page of a sealed result", Args: cobra.ExactArgs(2),
		Example: "  aniseloftctl spool show spool 5f1c09aa --page 2",
		RunE: func(cmd *cobra.Command, args []string) error {
			directory, err := spool.ReadDirectory(args[0])
			if err != nil {
				return usageError(err)
			}
			content, err := spool.ReadPage(directory, args[1], page)
			if errors.Is(err, spool.ErrNotFound) || errors.Is(err, spool.ErrNoPage) {
				return usageError(fmt.Errorf("%s: %w; see spool ls %s", args[1], err, args[0]))
			}
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(content)
			return err
		},
	}
	cmd.Flags().IntVar(&page, "page", 0, "page number, from 0")
	return cmd
}

func spoolVerifyCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use: "verify DIR", Short: "Read and verify every page; exit code 1 if any is damaged", Args: cobra.ExactArgs(1),
		Example: "  aniseloftctl spool verify spool",
		RunE: func(cmd *cobra.Command, args []string) error {
			inspection, err := inspectSpool(args[0], true)
			if err != nil {
				return err
			}
			if asJSON {
				if err := printJSON(cmd, inspection); err != nil {
					return err
				}
			}
			if len(inspection.Damage) > 0 {
				return damageError(inspection.Damage)
			}
			if !asJSON {
				_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%d results, %d bytes in %d segments: no damage\n", len(inspection.Results), inspection.Bytes, inspection.Segments)
			}
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// damageError returns the joined errors of all damaged records.
func damageError(damage []spool.Damage) error {
	var joinedErrors error
	for _, d := range damage {
		joinedErrors = errors.Join(joinedErrors, fmt.Errorf("result %s: %s", d.Result, d))
	}
	return joinedErrors
}

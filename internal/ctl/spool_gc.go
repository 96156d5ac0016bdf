package ctl

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/spf13/cobra"

	"aniseloft/internal/spool"
	"aniseloft/internal/spool/ledger"
)

func spoolGCCommand() *cobra.Command {
	var retention time.Duration
	cmd := &cobra.Command{
		Use: "gc DIR", Short: "Delete results older than --keep and incomplete ones, and free their space", Args: cobra.ExactArgs(1),
		Long:    "The coordinator does this by itself; gc is for a spool that no coordinator uses any more. A spool in use is not changed.",
		Example: "  aniseloftctl spool gc spool --keep 24h",
		RunE: func(cmd *cobra.Command, args []string) error {
			if retention <= 0 {
				return usageError(errors.New("--keep: must be above 0"))
			}
			before, err := inspectSpool(args[0], false)
			if err != nil {
				return err
			}
			return collectSpool(cmd, args[0], retention, before.Bytes)
		},
	}
	cmd.Flags().DurationVar(&retention, "keep", 24*time.Hour, "maximum age of the results that are kept")
	return cmd
}

// gcSegmentBytes is the size at which a segment written by gc is full.
const gcSegmentBytes = 64 << 20

// collectSpool deletes incomplete results and those older than the retention. It fails with a usage error while a
// coordinator has the directory open.
func collectSpool(cmd *cobra.Command, path string, retention time.Duration, bytesBefore int64) (err error) {
	directory, err := spool.OpenDirectory(path)
	if errors.Is(err, spool.ErrInUse) {
		return usageError(fmt.Errorf("%w: stop the coordinator that uses it first", err))
	} else if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, directory.Close()) }()
	retentionMS := float64(retention.Milliseconds())
	store, recovery, err := spool.Open(directory, spool.Options{
		SegmentBytes: gcSegmentBytes,
		NowMS:        func() float64 { return float64(time.Now().UnixMilli()) },
		Limits:       ledger.Limits{Total: math.MaxInt64, RetentionMS: retentionMS, MaxRetentionMS: retentionMS},
	})
	if err != nil {
		return err
	}
	expired, err := store.Expire()
	if err = errors.Join(err, store.Close()); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%d expired and %d incomplete results deleted, %d kept; %d bytes before, %d after\n",
		expired, recovery.Discarded, recovery.Sealed-expired, bytesBefore, store.Usage().StoredBytes)
	return nil
}

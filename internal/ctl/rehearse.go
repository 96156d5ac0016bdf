package ctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"aniseloft/internal/emulator/live"
)

func emulateRehearse() *cobra.Command {
	var d dayFlags
	var program, logFile string
	c := &cobra.Command{Use: "rehearse NAME|FILE", Short: "Play a day with real coordinators on loopback sockets", Args: cobra.ExactArgs(1),
		Long: "Starts the scenario's coordinators as processes, with emulated engines and a journal service on loopback,\n" +
			"plays its clients over JSON-RPC in real time, injects its troubles and judges by the same rules as a\n" +
			"virtual day. It takes as long as the day. Exit code 3: a rule was broken.",
		Example: "  aniseloftctl emulate rehearse calm-weekday --coordinator bin/aniseloft\n" +
			"  aniseloftctl emulate rehearse flood-day --seed 7 --out out --log coordinators.log",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := d.load(args[0])
			if err != nil {
				return err
			}
			if _, err := os.Stat(program); err != nil {
				return usage(fmt.Errorf("--coordinator: %w; build it, or name it", err))
			}
			log := io.Discard
			if logFile != "" {
				f, err := os.Create(logFile)
				if err != nil {
					return usage(fmt.Errorf("--log: %w", err))
				}
				defer func() { _ = f.Close() }()
				log = f
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			bar := progress(c, 100, s.Name)
			r, err := live.Run(ctx, s, live.Options{Seed: d.seed, Coordinator: program, Log: log,
				Progress: func(now, end float64) { _ = bar.Set(int(100 * now / end)) }})
			if err != nil {
				return fmt.Errorf("%s: %w", s.Name, err)
			}
			return d.finish(c, r)
		}}
	d.add(c)
	c.Flags().StringVar(&program, "coordinator", filepath.Join("bin", "aniseloft"), "the coordinator's program")
	c.Flags().StringVar(&logFile, "log", "", "file for what the coordinators print")
	return c
}

func emulateServe() *cobra.Command {
	var d dayFlags
	c := &cobra.Command{Use: "serve NAME|FILE", Short: "Serve a day's engines and journal service on loopback, troubles and all", Args: cobra.ExactArgs(1),
		Long: "Serves until the day is over. With --out it writes a configuration for each coordinator, to start them by hand\n" +
			"as LB_CONFIG=DIR/n0.json bin/aniseloft. The day's clients are not played: queries that\n" +
			"you send need what their class usually does.",
		Example: "  aniseloftctl emulate serve calm-weekday --out conf",
		RunE: func(c *cobra.Command, args []string) error {
			s, err := d.load(args[0])
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			_, err = live.Run(ctx, s, live.Options{Seed: d.seed, Log: io.Discard,
				Serving: func(journals []string, config func(int, string) ([]byte, error)) error {
					for n, j := range journals {
						_, _ = fmt.Fprintf(c.OutOrStdout(), "coordinator %d: journal service at %s\n", n, j)
						if d.out == "" {
							continue
						}
						b, err := config(n, fmt.Sprintf("127.0.0.1:%d", firstPort+n))
						if err != nil {
							return err
						}
						if err := keep(filepath.Join(d.out, fmt.Sprintf("n%d.json", n)), b); err != nil {
							return err
						}
					}
					return nil
				}})
			return err
		}}
	d.add(c)
	return c
}

// firstPort is where coordinators that are started by hand listen.
const firstPort = 8443

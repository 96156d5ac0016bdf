package ctl

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/spf13/cobra"

	"aniseloft/internal/emulator/live"
)

func emulateRehearseCommand() *cobra.Command {
	var day dayFlags
	var coordinator, logFile string
	cmd := &cobra.Command{
		Use: "rehearse NAME|FILE", Short: "Run a day with real coordinators on loopback sockets", Args: cobra.ExactArgs(1),
		Long: "Starts the scenario's coordinators as processes, with emulated engines and a journal service on loopback,\n" +
			"runs its clients over JSON-RPC in real time, injects its faults and checks the same rules as a day in\n" +
			"virtual time. It takes as long as the day. Exit code 3: a rule was violated.",
		Example: "  aniseloftctl emulate rehearse calm-weekday --coordinator bin/aniseloft\n" +
			"  aniseloftctl emulate rehearse flood-day --seed 7 --out out --log coordinators.log",
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := day.load(args[0])
			if err != nil {
				return err
			}
			if _, err := os.Stat(coordinator); err != nil {
				return usageError(fmt.Errorf("--coordinator: %w; build it or give its path", err))
			}
			log := io.Discard
			if logFile != "" {
				file, err := os.Create(logFile)
				if err != nil {
					return usageError(fmt.Errorf("--log: %w", err))
				}
				defer func() { _ = file.Close() }()
				log = file
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			bar := newProgressBar(cmd, 100, s.Name)
			report, err := live.Run(ctx, s, live.Options{Seed: day.seed, Coordinator: coordinator, Log: log, Progress: percentProgress(bar)})
			if err != nil {
				return fmt.Errorf("%s: %w", s.Name, err)
			}
			return day.finish(cmd, report)
		},
	}
	day.register(cmd)
	cmd.Flags().StringVar(&coordinator, "coordinator", filepath.Join("bin", "aniseloft"), "path of the coordinator program")
	cmd.Flags().StringVar(&logFile, "log", "", "file for the coordinators' logs")
	return cmd
}

func emulateServeCommand() *cobra.Command {
	var day dayFlags
	cmd := &cobra.Command{
		Use: "serve NAME|FILE", Short: "Serve a day's engines and journal service on loopback, with its faults", Args: cobra.ExactArgs(1),
		Long: "Serves until the end of the day. With --out it writes a configuration for each coordinator, to start them by hand\n" +
			"as LB_CONFIG=DIR/n0.json bin/aniseloft. The day's clients are not run: a query that\n" +
			"you send uses the average resources of its class.",
		Example: "  aniseloftctl emulate serve calm-weekday --out conf",
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := day.load(args[0])
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			_, err = live.Run(ctx, s, live.Options{Seed: day.seed, Log: io.Discard,
				Serving: func(journals []string, config func(coordinator int, listen string) ([]byte, error)) error {
					return announceJournals(cmd, journals, config, day.outputDirectory)
				}})
			return err
		},
	}
	day.register(cmd)
	return cmd
}

// firstPort is the port of the first coordinator that is started by hand; each further coordinator listens on the next port.
const firstPort = 8443

// announceJournals prints the address of each coordinator's journal service. If a directory is given, it also writes the
// coordinator's configuration there.
func announceJournals(cmd *cobra.Command, journals []string, config func(coordinator int, listen string) ([]byte, error), directory string) error {
	for coordinatorIndex, address := range journals {
		_, _ = fmt.Fprintf(cmd.OutOrStdout(), "coordinator %d: journal service at %s\n", coordinatorIndex, address)
		if directory == "" {
			continue
		}
		configJSON, err := config(coordinatorIndex, fmt.Sprintf("127.0.0.1:%d", firstPort+coordinatorIndex))
		if err != nil {
			return err
		}
		if err := writeFile(filepath.Join(directory, fmt.Sprintf("n%d.json", coordinatorIndex)), configJSON); err != nil {
			return err
		}
	}
	return nil
}

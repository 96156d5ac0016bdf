package ctl

import (
	"errors"
	"path/filepath"

	"github.com/spf13/cobra"

	"aniseloft/internal/drill"
)

// drillRunFlags holds the flags of drill run.
type drillRunFlags struct {
	firstSeed, seedCount uint64 // the first seed and the number of consecutive ones
	virtual              bool   // run in virtual time
	fleetOff             bool   // run each coordinator without a consensus group
	debug                bool
	asJSON               bool
	disabledGuardNames   []string // names of the guards to disable
	coordinator          string   // path of the coordinator program
	olderCoordinator     string   // path of an earlier coordinator program; empty: none
	outputDirectory      string   // directory for logs and disks
	scenario             string   // name of a scenario, for a drill that names none
}

func (f *drillRunFlags) register(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.Uint64Var(&f.firstSeed, "seed", 1, "the first seed")
	flags.Uint64Var(&f.seedCount, "seeds", 1, "number of consecutive seeds to run")
	flags.BoolVar(&f.virtual, "virtual", false, "run in virtual time")
	flags.BoolVar(&f.fleetOff, "off", false, "run each coordinator alone, without a consensus group, for comparison")
	flags.BoolVar(&f.debug, "debug", false, "make coordinators log each request and each endpoint update, as input for aniseloftctl fleet logs")
	flags.StringSliceVar(&f.disabledGuardNames, "without", nil, "guards to disable, only with --virtual: fence, asked, vote, drift")
	flags.StringVar(&f.coordinator, "coordinator", filepath.Join("bin", "aniseloft"), "path of the coordinator program")
	flags.StringVar(&f.olderCoordinator, "older", "", "path of an earlier coordinator program, which each process runs until its first graceful shutdown, as in a rolling upgrade")
	flags.StringVar(&f.outputDirectory, "out", "", "directory for the logs and disks of the processes")
	flags.StringVar(&f.scenario, "scenario", "calm-weekday", "scenario of the engines and clients, for a drill with real processes that names none")
	flags.BoolVar(&f.asJSON, "json", false, "print JSON")
}

func drillRunCommand() *cobra.Command {
	var flags drillRunFlags
	cmd := &cobra.Command{
		Use: "run NAME|FILE", Short: "Run a drill, with real processes or many times in virtual time", Args: cobra.ExactArgs(1),
		Long: "Without --virtual, the drill runs in real time with processes on loopback: coordinators, emulated engines and clients, the journal " +
			"service, and proxies between them that inject network faults. With --virtual, the replicas and lease holders run in virtual time, " +
			"thousands of seeds per minute. Exit code 3: a rule was violated. --without disables a guard, to show that the checkers " +
			"detect the resulting violations.",
		Example: "  aniseloftctl drill run drawn --virtual --seeds 10000\n" +
			"  aniseloftctl drill run owner-killed --seed 7 --out out\n" +
			"  aniseloftctl drill run drawn --virtual --seeds 100 --without fence",
		RunE: func(cmd *cobra.Command, args []string) error {
			selected, err := selectDrill(args[0], flags.disabledGuardNames)
			if err != nil {
				return err
			}
			if flags.virtual {
				return runVirtualDrill(cmd, selected, &flags)
			}
			if selected.disabledGuards != (drill.DisabledGuards{}) {
				return usageError(errors.New("--without requires --virtual: guards cannot be disabled in real processes"))
			}
			return runRealDrill(cmd, selected.drill, &flags)
		},
	}
	flags.register(cmd)
	return cmd
}

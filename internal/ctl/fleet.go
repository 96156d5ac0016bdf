package ctl

import "github.com/spf13/cobra"

func fleetCommand() *cobra.Command {
	return commandGroup("fleet", "Inspect and administer the coordinators' consensus group, and summarize their logs",
		fleetStatusCommand(), fleetJobsCommand(), fleetHistoryCommand(), fleetMoveCommand(), fleetStepDownCommand(), fleetLogsCommand())
}

package ctl

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"aniseloft/internal/fleetconf"
	"aniseloft/internal/lease"
	"aniseloft/internal/transport/coordination"
)

// adminFlags holds the flags of the commands that send a request to the consensus group.
type adminFlags struct {
	file, replica string // fleet configuration file; replica to ask, empty: each in turn
	asJSON        bool
	timeout       time.Duration
}

func (f *adminFlags) register(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.file, "file", fleetconf.File, "fleet configuration file, which lists the replicas (seats) of the consensus group")
	cmd.Flags().StringVar(&f.replica, "at", "", "name of the replica to ask; empty: each in turn")
	cmd.Flags().BoolVar(&f.asJSON, "json", false, "print JSON")
	cmd.Flags().DurationVar(&f.timeout, "timeout", 2*time.Second, "how long to wait for each replica")
}

// config reads and validates the fleet configuration file.
func (f *adminFlags) config() (fleetconf.Config, error) {
	raw, err := os.ReadFile(f.file)
	if err != nil {
		return fleetconf.Config{}, usageError(fmt.Errorf("fleet: %w; name the file with --file", err))
	}
	conf, err := fleetconf.Parse(raw)
	if err != nil {
		return conf, usageError(err)
	}
	if !conf.Enabled() {
		return conf, usageError(fmt.Errorf("fleet: %s names no installation, so there is no consensus group", f.file))
	}
	return conf, nil
}

// send sends a request to the consensus group. An error in its response is returned as an error.
func (f *adminFlags) send(ctx context.Context, request lease.AdminRequest) (lease.AdminResponse, error) {
	conf, err := f.config()
	if err != nil {
		return lease.AdminResponse{}, err
	}
	response, err := coordination.Admin(ctx, conf, f.replica, request, f.timeout)
	if err != nil {
		return response, fmt.Errorf("fleet: %w", err)
	}
	if response.Error != "" {
		return response, fmt.Errorf("fleet: %s", response.Error)
	}
	return response, nil
}

func fleetStatusCommand() *cobra.Command {
	var f adminFlags
	cmd := &cobra.Command{
		Use: "status", Short: "Show the consensus group: leader, replicas (seats), clients (members) and holders (owners) of jobs", Args: cobra.NoArgs,
		Example: "  aniseloftctl fleet status\n  aniseloftctl fleet status --at n1 --json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			status, err := f.leaderStatus(cmd.Context())
			if err != nil {
				return err
			}
			if f.asJSON {
				return printJSON(cmd, status)
			}
			return printStatus(cmd, status)
		},
	}
	f.register(cmd)
	return cmd
}

// leaderStatus returns the leader's status, as only the leader knows the clients. If the leader is unknown or cannot be
// asked, it returns the status of the replica that answered; with --at, always that of the named replica.
func (f *adminFlags) leaderStatus(ctx context.Context) (*lease.Status, error) {
	response, err := f.send(ctx, lease.AdminRequest{Operation: lease.AdminStatus})
	if err != nil {
		return nil, err
	}
	status := response.Status
	if f.replica != "" || status.Leader == "" || status.Leader == status.Replica {
		return status, nil
	}
	atLeader := *f
	atLeader.replica = status.Leader
	if response, err = atLeader.send(ctx, lease.AdminRequest{Operation: lease.AdminStatus}); err == nil {
		status = response.Status
	}
	return status, nil
}

func printStatus(cmd *cobra.Command, s *lease.Status) error {
	w := tableWriter(cmd)
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
	leader := s.Leader
	if leader == "" {
		leader = "none: no new lease is granted until a majority of the replicas communicate"
	}
	printf("replica\t%s\nleader\t%s\nterm\t%d\ngroup\t%s, generation %d, replicas %v\n\n", s.Replica, leader, s.Term, s.GroupID, s.Generation, s.Replicas)
	printJobs(printf, s.Jobs)
	if len(s.Clients) > 0 {
		printf("\nclient\tkeep-alive ms ago\tcapacity\t\n")
	}
	for _, client := range s.Clients {
		clientState := ""
		if client.Draining {
			clientState = "draining"
		} else if client.HeldDown {
			clientState = "held down: it let leases expire"
		}
		printf("%s\t%.0f\t%.1f\t%s\n", client.Name, client.AgeMS, client.Capacity, clientState)
	}
	return w.Flush()
}

func printJobs(printf printFunc, jobs []lease.JobStatus) {
	printf("job\tfence\tholder\trenewed ms ago\tpreferred\n")
	for _, job := range jobs {
		holder := job.Holder
		if holder == "" {
			holder = "none"
		}
		printf("%s\t%d\t%s\t%.0f\t%s\n", job.Job, job.Fence, holder, job.AgeMS, job.Preferred)
	}
}

func fleetJobsCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{Use: "jobs", Short: "List the jobs that one coordinator performs for all, and where their fences are checked", Args: cobra.NoArgs,
		Example: "  aniseloftctl fleet jobs",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if asJSON {
				return printJSON(cmd, lease.Jobs())
			}
			for _, job := range lease.Jobs() {
				_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%s\n  %s\n  fence: %s\n", job.Name, job.Description, job.FenceCheck)
				if job.OverlapSafety != "" {
					_, _ = fmt.Fprintf(cmd.OutOrStdout(), "  safe with two holders: %s\n", job.OverlapSafety)
				}
			}
			return nil
		}}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func fleetHistoryCommand() *cobra.Command {
	var f adminFlags
	cmd := &cobra.Command{Use: "history", Short: "Show the latest lease grants and releases, and the preferred holders that operators have set", Args: cobra.NoArgs,
		Example: "  aniseloftctl fleet history\n  aniseloftctl fleet history --json",
		RunE: func(cmd *cobra.Command, _ []string) error {
			response, err := f.send(cmd.Context(), lease.AdminRequest{Operation: lease.AdminHistory})
			if err != nil {
				return err
			}
			if f.asJSON {
				return printJSON(cmd, response.History)
			}
			w := tableWriter(cmd)
			_, _ = fmt.Fprintln(w, "index\tjob\tfence\tevent\tholder\treason")
			for _, e := range response.History {
				_, _ = fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\t%s\n", e.Index, e.Job, e.Fence, e.Event, e.Holder, e.Reason)
			}
			return w.Flush()
		}}
	f.register(cmd)
	return cmd
}

func fleetMoveCommand() *cobra.Command {
	var f adminFlags
	var preferredHolder string
	cmd := &cobra.Command{Use: "move JOB", Short: "Set the preferred holder of a job", Args: cobra.ExactArgs(1),
		Long: "The holder finishes its active operation and releases the job; then the named coordinator is granted the job, with the next fence. The " +
			"preference stays: while that coordinator is unavailable another one holds the job. Without --to the preference is cleared.",
		Example: "  aniseloftctl fleet move prune-record --to n2\n  aniseloftctl fleet move prune-record",
		RunE: func(cmd *cobra.Command, args []string) error {
			response, err := f.send(cmd.Context(), lease.AdminRequest{Operation: lease.AdminMove, Job: args[0], Target: preferredHolder})
			if err != nil {
				return err
			}
			if f.asJSON {
				return printJSON(cmd, response.Status)
			}
			return printStatus(cmd, response.Status)
		}}
	f.register(cmd)
	cmd.Flags().StringVar(&preferredHolder, "to", "", "the preferred holder; empty: no preference")
	return cmd
}

func fleetStepDownCommand() *cobra.Command {
	var f adminFlags
	cmd := &cobra.Command{Use: "step-down", Short: "Transfer leadership of the consensus group to another replica", Args: cobra.NoArgs,
		Long:    "Holders keep their jobs. Use it before maintenance of the leader's machine.",
		Example: "  aniseloftctl fleet step-down",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := f.send(cmd.Context(), lease.AdminRequest{Operation: lease.AdminStepDown}); err != nil {
				return err
			}
			_, _ = fmt.Fprintln(cmd.ErrOrStderr(), "requested; fleet status shows the leader")
			return nil
		}}
	f.register(cmd)
	return cmd
}

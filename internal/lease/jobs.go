package lease

// Job is a kind of work that one coordinator does for the whole fleet.
type Job struct {
	Name        string `json:"Name"`
	Description string `json:"Tells"`
	FenceCheck  string `json:"Fenced"` // where the target stores and checks the fence
	// OverlapSafety says why two holders at the same time do no harm; empty: they would do harm. It is required for a job
	// whose target cannot check the fence in one transaction with the operation.
	OverlapSafety string `json:"Harmless"`
}

// Names of the jobs of this release. Jobs describes them.
const (
	JobPruneRecord  = "prune-record"
	JobReadJournal  = "read-journal"
	JobCollectSpool = "collect-spool"
)

// Jobs returns all jobs of this release. `aniseloftctl fleet jobs` prints their texts, also as JSON, so they must not
// change. The text on two holders of JobCollectSpool means: each spool directory has a lock, only the process that
// holds the lock collects the directory, and a second collection finds nothing left to delete.
func Jobs() []Job {
	return []Job{
		{
			Name: JobPruneRecord, Description: "drops expired queries from the REST record that the coordinators share",
			FenceCheck: "the record's table fence, in the transaction that drops",
		},
		{
			Name: JobCollectSpool, Description: "drops what is over in the spool folders of coordinators that are gone, under a root that all share",
			FenceCheck:    "the root's fences.json, under the root's lock for as long as the act lasts",
			OverlapSafety: "a folder is collected by whom holds its lock: twice finds nothing more",
		},
		{
			Name: JobReadJournal, Description: "follows the journal service and publishes the list to all others",
			FenceCheck:    "each follower, durably, before it follows a published list",
			OverlapSafety: "two readers only call the journal service twice: what they publish is the same list",
		},
	}
}

// JobNames returns the names of all jobs of this release.
func JobNames() (names []string) {
	for _, job := range Jobs() {
		names = append(names, job.Name)
	}
	return names
}

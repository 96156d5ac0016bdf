package engine

// Job is a query at the engine. Work is the time of all its threads together, in ms, on a
// cold data set and with all the memory that it needs.
type Job struct {
	ID             uint64
	Class          int
	Group          uint64
	Work, IORatio  float64
	Threads        int
	NeedMB         int64
	GrantMB        int64 // memory that the coordinator grants; 0: the engine chooses, from EstimateMB or else BaselineMB
	EstimateMB     int64
	BaselineMB     int64
	OverloadWeight float64 // work that counts towards an overload of a cold engine
	Coordinator    int     // index of the coordinator that sent the query
	Priority       int
	LoadsDataSet   bool    // the query blocks its data set while it runs
	WaitsForLoads  bool    // a load on its data set blocks the query
	Expires        float64 // time at which the query leaves the queue unserved
	Owner          any     // any value that the caller attaches; the engine ignores it

	state     state
	seq       int // order of arrival
	grantedMB int64
	total     float64         // work at this engine in ms, as Total returns it
	ioWork    float64         // part of total that is done on disks
	finish    float64         // value of the share's clock at which the job is done
	workLeft  float64         // part of total that is not done yet; valid while the job has no share
	share     *processorShare // processor share that runs the job; nil: the job does not run
	index     int             // position in the heap of the job's share
}

// Total returns the work of the job at this engine in ms: less than Work on a warm data set,
// more if it spills.
func (j *Job) Total() float64 { return j.total }

// state is the state of a job at the engine.
type state int

const (
	notOffered state = iota // Start has not been called
	waiting                 // waits in the queue for memory
	running
	blocked // waits for a load on its data set; the job keeps its memory
	ended
)

// StartResult is the result of starting a query.
type StartResult int

// The results of Start.
const (
	Accepted   StartResult = iota // the query runs, or waits in the queue
	Rejected                      // the engine holds as many queries as it has sessions; the query never ran
	Overloaded                    // the engine failed of overload; all its queries are lost
)

// End is a job that ended, and how.
type End struct {
	Job     *Job
	Expired bool // whether the job expired in the queue and never ran
}

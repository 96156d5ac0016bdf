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
	GrantMB        int64 // 0: the engine chooses, from EstimateMB or else BaselineMB
	EstimateMB     int64
	BaselineMB     int64
	OverloadWeight float64 // work that counts towards an overload of a cold engine
	Coordinator    int     // the coordinator that sent it
	Priority       int
	LoadsDataSet   bool    // blocks its data set while it runs
	WaitsForLoads  bool    // is blocked by a load on its data set
	Expires        float64 // time at which it leaves the queue unserved
	Owner          any     // for the caller's use

	state     state
	seq       int // order of arrival
	grantedMB int64
	total     float64 // see Total
	ioWork    float64 // part of total that is done on disks
	finish    float64 // value of its share's clock at which it is done
	workLeft  float64 // of total, while it has no share
	share     *processorShare
	index     int // position in its share's heap
}

// Total returns the work of the job at this engine in ms: less than Work on a warm data set,
// more if it spills.
func (j *Job) Total() float64 { return j.total }

type state int

const (
	fresh state = iota
	waiting
	running
	blocked // by a load on its data set; the job keeps its memory
	ended
)

// StartResult is the result of starting a query.
type StartResult int

// The results of Start.
const (
	Accepted   StartResult = iota // it runs, or waits in the queue
	Rejected                      // the engine holds as many queries as it has sessions; the query never ran
	Overloaded                    // the engine failed of overload; all its queries are lost
)

// End is a job that ended, and how.
type End struct {
	Job     *Job
	Expired bool // its time ran out in the queue; it never ran
}

package engine

// Job is a query at the engine. Work is milliseconds of all threads together, cold
// and with all the memory that it needs.
type Job struct {
	ID             uint64
	Class          int
	Group          uint64
	Work, IORatio  float64
	Threads        int
	NeedMB         int64
	GrantMB        int64 // 0: the engine's choice, from EstimateMB or else BaselineMB
	EstimateMB     int64
	BaselineMB     int64
	OverloadWeight float64 // weight towards falling over
	Coordinator    int     // the coordinator that sent it
	Priority       int
	LoadsDataSet   bool // holds its data set while it runs
	WaitsForLoads  bool // stands still behind a load on its data set
	Expires        float64
	Owner          any // whatever the driver keeps by it

	state   state
	seq     int
	granted int64
	total   float64 // work to do here: warmth saves some, spilling adds some
	ioWork  float64
	finish  float64 // by its share's clock
	left    float64 // of total, while it has no share
	share   *processorShare
	index   int // in its share
}

// Total is the work that it is here: warmth saves some, spilling adds some.
func (j *Job) Total() float64 { return j.total }

type state int

const (
	fresh state = iota
	waiting
	running
	blocked // behind a load on its data set; it keeps its memory
	over
)

// StartResult is the result of starting a query.
type StartResult int

// What Start answers.
const (
	Accepted   StartResult = iota // it runs, or waits in the line
	Rejected                      // its line is full: it never ran
	Overloaded                    // the engine fell over under it: all that it held is lost
)

// End is how a job ended.
type End struct {
	Job     *Job
	Expired bool // its time ran out in the line: it never ran
}

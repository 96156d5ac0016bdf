package engine

// Report is what a probe hears.
type Report struct{ InFlight, Queue, Util, Memory, Disk float64 }

// sample is a report as it was taken.
type sample struct {
	time float64
	Report
}

func (e *Engine) state() Report {
	return Report{InFlight: float64(len(e.jobs)), Queue: float64(len(e.line)), Util: e.coresIn / e.kind.Cores,
		Memory: float64(e.granted) / float64(e.kind.MemoryMB), Disk: e.disksIn / e.kind.Disks}
}

// Report is the latest report that has come out; it lags behind the truth.
func (e *Engine) Report(now float64) Report {
	e.passTime(now)
	if e.kind.ReportPeriodMS == 0 {
		return e.state()
	}
	return e.publishReport(now)
}

// publishReport is the latest sample that has come out by now; older ones are forgotten.
func (e *Engine) publishReport(now float64) Report {
	for len(e.samples) > 1 && e.samples[1].time+e.kind.ReportDelayMS+e.late <= now {
		e.samples = e.samples[1:]
	}
	if len(e.samples) > 0 && e.samples[0].time+e.kind.ReportDelayMS+e.late <= now {
		e.shown = e.samples[0].Report
	}
	return e.shown
}

// SetReportDelay makes reports come out so much later than usual; what is out stays out.
func (e *Engine) SetReportDelay(now, ms float64) {
	e.passTime(now)
	e.publishReport(now)
	e.late = ms
}

// Progress is what an engine tells of a query that is here.
type Progress struct {
	Ratio      float64 // of its work done
	MissingMB  int64   // MB that it spills for
	WaitReason int     // 1 for memory, 2 for a load; 0: it runs
}

// Progress tells of a query; false: it is not here.
func (e *Engine) Progress(now float64, id uint64) (Progress, bool) {
	e.passTime(now)
	j := e.jobs[id]
	if j == nil {
		return Progress{}, false
	}
	switch j.state {
	case waiting:
		return Progress{WaitReason: 1}, true
	case blocked:
		return Progress{WaitReason: 2}, true
	}
	return Progress{Ratio: 1 - e.remaining(j)/max(j.total, 1e-9), MissingMB: max(j.NeedMB-j.granted, 0)}, true
}

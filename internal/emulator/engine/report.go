package engine

// Report is a load report, as a probe reads it. All values but InFlight and Queue are ratios.
type Report struct{ InFlight, Queue, Util, Memory, Disk float64 }

// sample is a report and the time at which it was taken.
type sample struct {
	time float64
	Report
}

// currentReport returns a report on the engine's present state.
func (e *Engine) currentReport() Report {
	return Report{InFlight: float64(len(e.jobs)), Queue: float64(len(e.queue)), Util: e.coresInUse / e.config.Cores,
		Memory: float64(e.grantedMB) / float64(e.config.MemoryMB), Disk: e.disksInUse / e.config.Disks}
}

// Report returns the latest published report, which lags behind the present state unless
// ReportPeriodMS is 0.
func (e *Engine) Report(now float64) Report {
	e.passTime(now)
	if e.config.ReportPeriodMS == 0 {
		return e.currentReport()
	}
	return e.publishReport(now)
}

// publishReport returns the latest sample whose report delay has passed by now, and drops
// older samples.
func (e *Engine) publishReport(now float64) Report {
	for len(e.samples) > 1 && e.samples[1].time+e.config.ReportDelayMS+e.extraReportDelay <= now {
		e.samples = e.samples[1:]
	}
	if len(e.samples) > 0 && e.samples[0].time+e.config.ReportDelayMS+e.extraReportDelay <= now {
		e.published = e.samples[0].Report
	}
	return e.published
}

// SetReportDelay sets the delay that is added to ReportDelayMS. Reports that are already published stay published.
func (e *Engine) SetReportDelay(now, ms float64) {
	e.passTime(now)
	e.publishReport(now)
	e.extraReportDelay = ms
}

// Progress is the progress of a query that the engine holds.
type Progress struct {
	Ratio      float64 // part of the query's work that is done
	MissingMB  int64   // memory need beyond the grant; the query spills if it is above 0
	WaitReason int     // 0: the query runs, 1: it waits for memory, 2: it waits for a load on its data set
}

// Progress returns the progress of a query, and false if the engine does not hold it.
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
	return Progress{Ratio: 1 - e.remaining(j)/max(j.total, 1e-9), MissingMB: max(j.NeedMB-j.grantedMB, 0)}, true
}

package scenario

// Default returns the values of fields that a scenario file leaves out.
func Default() *Scenario {
	return &Scenario{
		WindowMS: 5000,
		Coordinators: Coordinators{Count: 3, QuantumMS: 0.5, TickMS: 5, MaxAttempts: 3, MaxOpenRequests: 30000,
			MaxRetryAfterMS: 2000, HedgingAllowed: true, ProbesAllowed: true, GossipDelayMS: Range{1, 20}},
		Network:    Network{SameZoneMS: Range{0.08, 0.3}, CrossZoneMS: Range{1.4, 2.6}, ClientMS: Range{0.4, 1.1}, Jitter: 0.25},
		FrontProxy: FrontProxy{DetectionMS: Range{900, 3400}},
		Engines: Engines{Count: 8, Kind: "std-16", Cores: 16, Disks: 12, MemoryMB: 32768, Speed: Range{0.9, 1.1},
			SaturationThreads: Range{1.4, 2.1}, ThrashRatio: Range{0.72, 0.9}, SeekPenalty: Range{0.28, 0.56}, SpillPenalty: Range{1.6, 3.4}, MaxGrantRatio: 0.4,
			Sessions: 128, Connections: 7000, HandshakeRTTs: 2, IdleTimeoutMS: 15000, ConnectTimeoutMS: 250,
			WarmSets: Range{3, 6}, WarmGain: Range{0.44, 0.65}, WarmupInitialRatio: Range{0.33, 0.49}, WarmupMS: Range{8700, 15000},
			ProbeTimeoutMS: 250, ReportPeriodMS: Range{120, 910}, ReportDelayMS: Range{8, 200},
			ReportNoise: 0.1, ErrorRate: 0.001, OrphanMS: 2000,
			Grants: true, Priorities: true, ReportsCost: true, MemoryShort: QueueForMemory, PagingPenalty: Range{4.1, 7}, Reports: ReportsByProbe},
		DataSets:  DataSets{Count: 20, Zipf: Range{0.54, 0.9}},
		Load:      Load{PerSecond: 210, Shape: "wave", Swing: Range{0.15, 0.31}, PeriodMS: 20000, ZoneSkew: Range{0.05, 0.2}},
		Clients:   Clients{PatienceRatio: Range{0.8, 1}},
		Discovery: Discovery{DetectionMS: Range{1100, 4600}, UnresponsiveDetectionMS: Range{4100, 14000}, PropagationMS: Range{50, 400}},
		Rules: Rules{AnswerSlackMS: 20, DrainGraceMS: 1000, OverloadMultiple: 3, OverloadMS: 2000, WarmupInitialRatio: 0.33, WarmupMS: 15000,
			RetryWindowMS: 10000},
		Objective: Objective{Service: 0.6, WorstWindow: 0.2, WorstClass: 0.2, CrossZone: 0.053, Waste: 0.059, Probe: 0.01, LateFail: 0.08},
	}
}

// fillLists sets the lists that a file leaves out. They are not in Default because a decoded entry would keep the fields of
// the default entry that it replaces.
func (s *Scenario) fillLists() {
	if s.Engines.ReportFields == nil {
		s.Engines.ReportFields = []string{"inflight", "util", "x1", "x0"}
	}
	if s.Zones == nil {
		s.Zones = []string{"hall-a", "hall-b"}
	}
	if s.Clients.Habits == nil {
		s.Clients.Habits = []Habit{{Frequency: 0.4}, {Frequency: 0.3, Retries: 1, HonorsRetryAfterRatio: 0.7}, {Frequency: 0.3, Retries: 1, WaitMS: Range{100, 600}, HonorsRetryAfterRatio: 0.7}}
	}
	if s.Classes != nil {
		return
	}
	s.Classes = []Class{
		{Name: "trip-lookup", Frequency: 0.79, WorkMS: Range{55, 75}, WorkCV: 1.1, IORatio: Range{0.2, 0.43}, Threads: 1, MemoryMB: 120, MemoryCV: 0.4,
			LatencyObjectiveMS: 500, ObjectivePerWork: 1.5, DeadlineMS: 2500, Weight: 1, LateWeightRatio: 0.1, Idempotency: "repeatable", EstimateBias: Range{0.6, 1.6}, EstimateCV: 0.4},
		{Name: "ridership-report", Frequency: 0.155, WorkMS: Range{2300, 2900}, WorkCV: 1.2, IORatio: Range{0.38, 0.63}, Threads: 4, MemoryMB: 900, MemoryCV: 0.5,
			LatencyObjectiveMS: 1500, ObjectivePerWork: 2.5, DeadlineMS: 20000, Weight: 20, LateWeightRatio: 0.4, Idempotency: "repeatable", EstimateBias: Range{0.6, 1.6}, EstimateCV: 0.4},
		{Name: "timetable-load", Frequency: 0.055, WorkMS: Range{2600, 3400}, WorkCV: 0.7, IORatio: Range{0.42, 0.64}, Threads: 2, MemoryMB: 900, MemoryCV: 0.4,
			LatencyObjectiveMS: 4000, ObjectivePerWork: 3, DeadlineMS: 25000, Weight: 25, LateWeightRatio: 0.6, Idempotency: "once", LoadsDataSet: true, EstimateBias: Range{0.6, 1.6}, EstimateCV: 0.4},
	}
}

package scenario

// Default is the calm weekday's fleet: what a file leaves out.
func Default() *Scenario {
	return &Scenario{
		WindowMS: 5000,
		Coordinators: Coordinators{Count: 3, QuantumMS: 0.5, TickMS: 5, MaxAttempts: 3, MaxOpen: 30000,
			MaxComeBackMS: 2000, MayDuplicate: true, Probes: true, PeerMS: Range{1, 20}},
		Network: Network{SameMS: Range{0.08, 0.3}, CrossMS: Range{1.4, 2.6}, ClientMS: Range{0.4, 1.1}, Jitter: 0.25},
		Front:   Front{NoticeMS: Range{900, 3400}},
		Engines: Engines{Count: 8, Kind: "std-16", Cores: 16, Disks: 12, MemoryMB: 32768, Speed: Range{0.9, 1.1},
			Knee: Range{1.4, 2.1}, Thrash: Range{0.72, 0.9}, Seek: Range{0.28, 0.56}, Spill: Range{1.6, 3.4}, MostGrant: 0.4,
			Sessions: 128, Connections: 7000, HandshakeRTTs: 2, IdleMS: 15000, ConnectMS: 250,
			WarmSets: Range{3, 6}, WarmGain: Range{0.44, 0.65}, ColdFrom: Range{0.33, 0.49}, ColdMS: Range{8700, 15000},
			ProbeTimeoutMS: 250, ReportPeriodMS: Range{120, 910}, ReportDelayMS: Range{8, 200},
			ReportNoise: 0.1, ErrorRate: 0.001, OrphanMS: 2000,
			Grants: true, Priorities: true, TellsCost: true, MemoryShort: LineUp, Page: Range{4.1, 7}, Reports: Pull},
		DataSets: DataSets{Count: 20, Zipf: Range{0.54, 0.9}},
		Load:     Load{PerS: 210, Shape: "wave", Swing: Range{0.15, 0.31}, PeriodMS: 20000, HallSkew: Range{0.05, 0.2}},
		Clients:  Clients{TryShare: Range{0.8, 1}},
		Roster:   Roster{NoticeMS: Range{1100, 4600}, SilentMS: Range{4100, 14000}, SpreadMS: Range{50, 400}},
		Rules: Rules{AnswerSlackMS: 20, DrainGraceMS: 1000, FallMultiple: 3, FallMS: 2000, ColdFrom: 0.33, ColdMS: 15000,
			RepeatWindowMS: 10000},
		Goal: Goal{Whole: 0.6, WorstWindow: 0.2, WorstClass: 0.2, CrossHall: 0.053, Waste: 0.059, Probe: 0.01, LateFail: 0.08},
	}
}

// fill gives the lists that a file leaves out. They are not in Default, as a list
// that is decoded over another keeps what its own entries leave out.
func (s *Scenario) fill() {
	if s.Engines.ReportFields == nil {
		s.Engines.ReportFields = []string{"inflight", "util", "x1", "x0"}
	}
	if s.Halls == nil {
		s.Halls = []string{"hall-a", "hall-b"}
	}
	if s.Clients.Habits == nil {
		s.Clients.Habits = []Habit{{Share: 0.4}, {Share: 0.3, Retries: 1, Honour: 0.7}, {Share: 0.3, Retries: 1, WaitMS: Range{100, 600}, Honour: 0.7}}
	}
	if s.Classes != nil {
		return
	}
	s.Classes = []Class{
		{Name: "trip-lookup", Share: 0.79, WorkMS: Range{55, 75}, CV: 1.1, IO: Range{0.2, 0.43}, Threads: 1, MemoryMB: 120, MemoryCV: 0.4,
			AimMS: 500, AimStretch: 1.5, DeadlineMS: 2500, Worth: 1, LateWorth: 0.1, Repeat: "repeatable", EstimateBias: Range{0.6, 1.6}, EstimateCV: 0.4},
		{Name: "ridership-report", Share: 0.155, WorkMS: Range{2300, 2900}, CV: 1.2, IO: Range{0.38, 0.63}, Threads: 4, MemoryMB: 900, MemoryCV: 0.5,
			AimMS: 1500, AimStretch: 2.5, DeadlineMS: 20000, Worth: 20, LateWorth: 0.4, Repeat: "repeatable", EstimateBias: Range{0.6, 1.6}, EstimateCV: 0.4},
		{Name: "timetable-load", Share: 0.055, WorkMS: Range{2600, 3400}, CV: 0.7, IO: Range{0.42, 0.64}, Threads: 2, MemoryMB: 900, MemoryCV: 0.4,
			AimMS: 4000, AimStretch: 3, DeadlineMS: 25000, Worth: 25, LateWorth: 0.6, Repeat: "once", Load: true, EstimateBias: Range{0.6, 1.6}, EstimateCV: 0.4},
	}
}

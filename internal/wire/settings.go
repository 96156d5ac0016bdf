package wire

import (
	"fmt"

	jsoniter "github.com/json-iterator/go"

	"aniseloft/decide"
)

// settingsJSON matches field names case-sensitively.
var settingsJSON = jsoniter.Config{CaseSensitive: true}.Froze()

// params are the settings with their JSON names. Unknown fields are ignored.
type params struct {
	Balancers     int `json:"balancers"`
	BalancerIndex int `json:"me"`
	Bounds        struct {
		CancellationEnabled       bool    `json:"cancel"`
		ConcurrentAttemptsEnabled bool    `json:"mayDuplicate"`
		MaxRetryAfterMS           float64 `json:"maxRetryAfterMs"`
		GossipEnabled             bool    `json:"peers"`
		ProbesEnabled             bool    `json:"probes"`
		RetryAfterEnabled         bool    `json:"retryAfter"`
		MaxAttempts               int     `json:"sendCap"`
		ConnectTimeoutMS          float64 `json:"connectTimeoutMs"`
		IdleConnectionTimeoutMS   float64 `json:"connIdleMs"`
		MaxOpenRequests           int     `json:"maxOpen"`
	} `json:"bounds"`
	Domain struct {
		WaitsForLocks       []bool    `json:"blockedByLoads"`
		LocksGroup          []bool    `json:"writesTables"`
		Threads             []int     `json:"classThreads"`
		ActualCostReported  bool      `json:"costInAnswers"`
		MemoryGrantsEnabled bool      `json:"grantsCount"`
		KindMemoryMB        []float64 `json:"kindMemoryMb"`
		Cores               []float64 `json:"sizeCores"`
		PrioritiesEnabled   bool      `json:"lanesCount"`
		MemoryExhaustion    string    `json:"memoryShort"`
		MaxGrantRatio       float64   `json:"mostGrant"`
		ProgressIntervalMS  float64   `json:"progressMs"`
	} `json:"domain"`
	Lanes []struct {
		Name               string  `json:"name"`
		ObjectivePerWork   float64 `json:"aimStretch"`
		LatencyObjectiveMS float64 `json:"promiseMs"`
		DeadlineMS         float64 `json:"deadlineMs"`
		Idempotency        string  `json:"repeat"`
		DedupScope         string  `json:"dedupScope"`
		DedupWindowMS      float64 `json:"repeatWindowMs"`
		OrderedByKey       bool    `json:"inTurn"`
		LateWeightRatio    float64 `json:"lateWorth"`
		PriorityWeight     float64 `json:"gain"`
		Kinds              []int   `json:"boundTo"`
		Zones              []int   `json:"confinedTo"`
	} `json:"lanes"`
	OverQuotaWeightRatio float64 `json:"overShareWorth"`
	Prices               struct {
		GossipCost float64 `json:"peer"`
		ProbeCost  float64 `json:"probe"`
	} `json:"prices"`
	DiscoveryMode string `json:"registryMode"`
	Report        struct {
		Fields []string `json:"fields"`
		Via    string   `json:"via"`
	} `json:"report"`
	Rules struct {
		AnswerSlackMS          float64  `json:"answerSlackMs"`
		SlowStartCapacityRatio float64  `json:"coldFrom"`
		SlowStartMS            float64  `json:"coldMs"`
		DrainGraceMS           float64  `json:"drainGraceMs"`
		OverloadWindowMS       float64  `json:"fallMs"`
		OverloadRatio          float64  `json:"fallMultiple"`
		SubscribeIntervalMS    float64  `json:"mustAskInMs"`
		RetryBudgetRatio       *float64 `json:"repeatRatio"`
		RetryBudgetWindowMS    float64  `json:"resendSpanMs"`
		RetryBudgetMin         float64  `json:"spareAttempts"`
		KeyOrderDelayMS        float64  `json:"orderSettleMs"`
	} `json:"rules"`
	Tenants []struct {
		QuotaPerSecond float64 `json:"allowancePerS"`
		WeightShare    float64 `json:"share"`
	} `json:"tenants"`
	TickIntervalMS float64  `json:"tickMs"`
	Zone           int      `json:"zone"`
	ZoneNames      []string `json:"zones"`
	KindNames      []string `json:"machineTypes"`
}

// lookup returns the value that a word of an enumerated field stands for. Its error names the field and the word.
func lookup[T any](field, word string, valuesByWord map[string]T) (T, error) {
	value, ok := valuesByWord[word]
	if !ok {
		return value, fmt.Errorf("field %s: %q is unknown", field, word)
	}
	return value, nil
}

// elementOrZero returns the element at an index of an optional list, or the zero value if the list is shorter.
func elementOrZero[T any](list []T, index int) (element T) {
	if index < len(list) {
		element = list[index]
	}
	return element
}

// The values of enumerated fields, by their words in the settings.
var (
	memoryExhaustionByWord = map[string]decide.MemoryExhaustion{
		"line_up":    decide.MemoryExhaustionQueues,
		"cut":        decide.MemoryExhaustionSpills,
		"overcommit": decide.MemoryExhaustionOvercommits,
	}
	idempotencyByWord = map[string]decide.Idempotency{
		"repeatable": decide.IdempotentAlways,
		"by_key":     decide.IdempotentByKey,
		"once":       decide.NotIdempotent,
	}
	dedupScopeByWord = map[string]decide.DedupScope{
		"all":  decide.DedupFleet,
		"zone": decide.DedupZone,
		"cell": decide.DedupCell,
	}
)

const (
	registryModeAsk = "ask"    // value of registryMode: the endpoint list goes only to subscribers
	reportViaSilent = "silent" // value of report.via: endpoints send no load reports
)

// Settings decodes the settings of one balancer. Its errors name the field that can't be decoded.
// decide.ValidateSettings checks the values.
func Settings(raw []byte) (decide.Settings, error) {
	var p params
	if err := settingsJSON.Unmarshal(raw, &p); err != nil {
		return decide.Settings{}, err
	}
	s := decide.Settings{
		Balancers:            p.Balancers,
		BalancerIndex:        p.BalancerIndex,
		TickInterval:         p.TickIntervalMS,
		Rules:                p.readRules(),
		OverQuotaWeightRatio: p.OverQuotaWeightRatio,
		SubscriptionRequired: p.DiscoveryMode == registryModeAsk,
		KindNames:            p.KindNames,
		ZoneNames:            p.ZoneNames,
		Zone:                 p.Zone,
	}
	p.readBounds(&s)
	p.readCosts(&s)
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants, decide.Tenant{QuotaPerSecond: t.QuotaPerSecond, WeightShare: t.WeightShare})
	}
	if err := p.readEndpoints(&s); err != nil {
		return s, err
	}
	return s, p.readClasses(&s)
}

func (p *params) readBounds(s *decide.Settings) {
	s.MaxAttempts = p.Bounds.MaxAttempts
	s.CancellationEnabled = p.Bounds.CancellationEnabled
	s.ConcurrentAttemptsEnabled = p.Bounds.ConcurrentAttemptsEnabled
	s.ProbesEnabled = p.Bounds.ProbesEnabled
	s.GossipEnabled = p.Bounds.GossipEnabled
	s.ConnectTimeout = p.Bounds.ConnectTimeoutMS
	s.IdleConnectionTimeout = p.Bounds.IdleConnectionTimeoutMS
	s.MaxOpenRequests = p.Bounds.MaxOpenRequests
	if p.Bounds.RetryAfterEnabled {
		s.MaxRetryAfter = p.Bounds.MaxRetryAfterMS
	}
}

func (p *params) readCosts(s *decide.Settings) {
	s.GossipCost = p.Prices.GossipCost
	s.ProbeCost = p.Prices.ProbeCost
	s.LoadReportsEnabled = p.Report.Via != reportViaSilent && p.Report.Via != ""
	s.LoadReportFields = p.Report.Fields
}

func (p *params) readRules() decide.Rules {
	rules := decide.Rules{
		AnswerSlack:            p.Rules.AnswerSlackMS,
		SlowStartCapacityRatio: p.Rules.SlowStartCapacityRatio,
		SlowStartDuration:      p.Rules.SlowStartMS,
		OverloadRatio:          p.Rules.OverloadRatio,
		OverloadWindow:         p.Rules.OverloadWindowMS,
		DrainGrace:             p.Rules.DrainGraceMS,
		SubscribeInterval:      p.Rules.SubscribeIntervalMS,
		KeyOrderDelay:          p.Rules.KeyOrderDelayMS,
		RetryBudgetEnabled:     p.Rules.RetryBudgetRatio != nil,
		RetryBudgetMin:         p.Rules.RetryBudgetMin,
		RetryBudgetWindow:      p.Rules.RetryBudgetWindowMS,
	}
	if p.Rules.RetryBudgetRatio != nil {
		rules.RetryBudgetRatio = *p.Rules.RetryBudgetRatio
	}
	return rules
}

func (p *params) readEndpoints(s *decide.Settings) (err error) {
	s.MemoryGrantsEnabled = p.Domain.MemoryGrantsEnabled
	s.PrioritiesEnabled = p.Domain.PrioritiesEnabled
	s.ActualCostReported = p.Domain.ActualCostReported
	s.ProgressInterval = p.Domain.ProgressIntervalMS
	s.MaxGrantRatio = p.Domain.MaxGrantRatio
	if p.Domain.MemoryExhaustion != "" {
		s.MemoryExhaustion, err = lookup("domain.memoryShort", p.Domain.MemoryExhaustion, memoryExhaustionByWord)
		if err != nil {
			return err
		}
	}
	for i, cores := range p.Domain.Cores {
		s.Kinds = append(s.Kinds, decide.EndpointKind{Cores: cores, MemoryMB: elementOrZero(p.Domain.KindMemoryMB, i)})
	}
	return nil
}

func (p *params) readClasses(s *decide.Settings) error {
	for i, lane := range p.Lanes {
		class := decide.Class{
			Name:             lane.Name,
			LatencyObjective: lane.LatencyObjectiveMS,
			ObjectivePerWork: lane.ObjectivePerWork,
			Deadline:         lane.DeadlineMS,
			PriorityWeight:   lane.PriorityWeight,
			LateWeightRatio:  lane.LateWeightRatio,
			Threads:          elementOrZero(p.Domain.Threads, i),
			DedupWindow:      lane.DedupWindowMS,
			OrderedByKey:     lane.OrderedByKey,
			Zones:            lane.Zones,
			Kinds:            lane.Kinds,
			LocksGroup:       elementOrZero(p.Domain.LocksGroup, i),
			WaitsForLocks:    elementOrZero(p.Domain.WaitsForLocks, i),
		}
		var err error
		if class.Idempotency, err = lookup("lanes.repeat", lane.Idempotency, idempotencyByWord); err != nil {
			return err
		}
		if lane.DedupScope != "" {
			if class.DedupScope, err = lookup("lanes.dedupScope", lane.DedupScope, dedupScopeByWord); err != nil {
				return err
			}
		}
		s.Classes = append(s.Classes, class)
	}
	return nil
}

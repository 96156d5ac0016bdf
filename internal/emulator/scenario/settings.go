package scenario

import (
	"encoding/json"
	"fmt"

	"aniseloft/decide"
	"aniseloft/internal/wire"
)

// SettingsJSON returns the settings of the coordinator with index me, as its configuration has them. Simulated and real
// coordinators get the same settings.
func (s *Scenario) SettingsJSON(me int) ([]byte, error) {
	type object = map[string]any
	var classes []object
	var threads []int
	var loads, waits []bool
	for _, c := range s.Classes {
		class := object{"name": c.Name, "promiseMs": c.LatencyObjectiveMS, "aimStretch": c.ObjectivePerWork, "deadlineMs": c.DeadlineMS,
			"repeat": c.Idempotency, "dedupScope": "all", "repeatWindowMs": c.IdempotencyWindowMS, "inTurn": c.OrderedByKey,
			"gain": c.Weight, "lateWorth": c.LateWeightRatio}
		if len(c.AllowedZones) > 0 {
			class["confinedTo"] = c.AllowedZones
		}
		classes = append(classes, class)
		threads, loads, waits = append(threads, c.Threads), append(loads, c.LoadsDataSet), append(waits, c.WaitsForLoads)
	}
	k, e, r := s.Coordinators, s.Engines, s.Rules
	rules := object{"answerSlackMs": r.AnswerSlackMS, "coldFrom": r.WarmupInitialRatio, "coldMs": r.WarmupMS, "drainGraceMs": r.DrainGraceMS,
		"fallMs": r.OverloadMS, "fallMultiple": r.OverloadMultiple, "mustAskInMs": 10000, "orderSettleMs": r.OrderSettleMS}
	if r.RetryRatio != nil {
		rules["repeatRatio"], rules["resendSpanMs"], rules["spareAttempts"] = *r.RetryRatio, r.RetryWindowMS, r.SpareAttempts
	}
	raw, err := json.Marshal(object{
		"balancers": k.Count, "me": me, "tickMs": k.TickMS, "zone": me % len(s.Zones), "zones": s.Zones,
		"machineTypes": []string{e.Kind},
		"bounds": object{"cancel": true, "connIdleMs": e.IdleTimeoutMS, "connectTimeoutMs": e.ConnectTimeoutMS, "maxOpen": k.MaxOpenRequests,
			"maxRetryAfterMs": k.MaxRetryAfterMS, "mayDuplicate": k.HedgingAllowed, "probes": k.ProbesAllowed, "peers": k.GossipAllowed,
			"retryAfter": k.MaxRetryAfterMS > 0, "sendCap": k.MaxAttempts, "streamsPerConn": 32},
		"domain": object{"sizeCores": []float64{e.Cores}, "kindMemoryMb": []float64{e.MemoryMB}, "classThreads": threads,
			"writesTables": loads, "blockedByLoads": waits, "costInAnswers": e.ReportsCost, "grantsCount": e.Grants,
			"lanesCount": e.Priorities, "memoryShort": e.MemoryShort, "mostGrant": e.MaxGrantRatio, "progressMs": e.ProgressMS},
		"clientHabits": object{"marksRetry": s.Clients.MarksRetries},
		"lanes":        classes, "registryMode": "push", "rules": rules, "prices": object{"probe": s.Objective.Probe, "handshake": s.Objective.Handshake,
			"peer": s.Objective.Gossip},
		"report": object{"via": e.Reports, "fields": e.ReportFields},
	})
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return raw, nil
}

// Settings returns the settings of SettingsJSON as the decision module reads them.
func (s *Scenario) Settings(me int) (decide.Settings, error) {
	raw, err := s.SettingsJSON(me)
	if err != nil {
		return decide.Settings{}, err
	}
	set, err := wire.Settings(raw)
	if err != nil {
		return decide.Settings{}, fmt.Errorf("settings: %w", err)
	}
	return set, nil
}

// ZoneOf returns the zone of the n-th coordinator or engine.
func (s *Scenario) ZoneOf(n int) int { return n % len(s.Zones) }

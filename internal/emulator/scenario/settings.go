package scenario

import (
	"encoding/json"
	"fmt"

	"aniseloft/decide"
	"aniseloft/internal/wire"
)

// SettingsJSON are the settings that coordinator me is told, in the form of its
// configuration: virtual and real coordinators get the same.
func (s *Scenario) SettingsJSON(me int) ([]byte, error) {
	type object = map[string]any
	var lanes []object
	var threads []int
	var loads, waits []bool
	for _, c := range s.Classes {
		lane := object{"name": c.Name, "promiseMs": c.AimMS, "aimStretch": c.AimStretch, "deadlineMs": c.DeadlineMS,
			"repeat": c.Repeat, "dedupScope": "all", "repeatWindowMs": c.RepeatWinMS, "inTurn": c.InOrder,
			"gain": c.Worth, "lateWorth": c.LateWorth}
		if len(c.Halls) > 0 {
			lane["confinedTo"] = c.Halls
		}
		lanes = append(lanes, lane)
		threads, loads, waits = append(threads, c.Threads), append(loads, c.Load), append(waits, c.Waits)
	}
	k, e, r := s.Coordinators, s.Engines, s.Rules
	rules := object{"answerSlackMs": r.AnswerSlackMS, "coldFrom": r.ColdFrom, "coldMs": r.ColdMS, "drainGraceMs": r.DrainGraceMS,
		"fallMs": r.FallMS, "fallMultiple": r.FallMultiple, "mustAskInMs": 10000, "orderSettleMs": r.OrderSettleMS}
	if r.RepeatRatio != nil {
		rules["repeatRatio"], rules["resendSpanMs"], rules["spareAttempts"] = *r.RepeatRatio, r.RepeatWindowMS, r.SpareAttempts
	}
	raw, err := json.Marshal(object{
		"balancers": k.Count, "me": me, "tickMs": k.TickMS, "zone": me % len(s.Halls), "zones": s.Halls,
		"machineTypes": []string{e.Kind},
		"bounds": object{"cancel": true, "connIdleMs": e.IdleMS, "connectTimeoutMs": e.ConnectMS, "maxOpen": k.MaxOpen,
			"maxRetryAfterMs": k.MaxComeBackMS, "mayDuplicate": k.MayDuplicate, "probes": k.Probes, "peers": k.Peers,
			"retryAfter": k.MaxComeBackMS > 0, "sendCap": k.MaxAttempts, "streamsPerConn": 32},
		"domain": object{"sizeCores": []float64{e.Cores}, "kindMemoryMb": []float64{e.MemoryMB}, "classThreads": threads,
			"writesTables": loads, "blockedByLoads": waits, "costInAnswers": e.TellsCost, "grantsCount": e.Grants,
			"lanesCount": e.Priorities, "memoryShort": e.MemoryShort, "mostGrant": e.MostGrant, "progressMs": e.ProgressMS},
		"clientHabits": object{"marksRetry": s.Clients.Marks},
		"lanes":        lanes, "registryMode": "push", "rules": rules, "prices": object{"probe": s.Goal.Probe, "handshake": s.Goal.Handshake,
			"peer": s.Goal.Peer},
		"report": object{"via": e.Reports, "fields": e.ReportFields},
	})
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return raw, nil
}

// Settings are the same, as the decision module reads them.
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

// HallOf is the hall that the n-th coordinator, or engine, stands in.
func (s *Scenario) HallOf(n int) int { return n % len(s.Halls) }

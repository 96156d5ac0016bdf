package observer

import (
	"math"

	"aniseloft/internal/emulator/scenario"
)

// Report is the result of a run. In virtual time a seed always gives the same report.
type Report struct {
	Scenario    string               `json:"scenario"`
	Seed        uint64               `json:"seed"`
	Policy      string               `json:"policy"`
	Mode        string               `json:"way"` // "virtual", or "rehearsed" with real coordinators
	Service     float64              `json:"service"`
	Parts       map[string]float64   `json:"parts"`
	RulesBroken int                  `json:"rules_broken"`
	Rules       []RuleViolations     `json:"rules"`
	Classes     []ClassReport        `json:"classes"`
	Windows     []WindowReport       `json:"windows"`
	Totals      Totals               `json:"totals"`
	Faults      []scenario.FaultSpan `json:"troubles"`
	Timeline    []Note               `json:"timeline"`
	Events      int                  `json:"events"`
}

// ClassReport is the result of one class. Latencies are those of served queries, from the first try to the answer, in
// ms.
type ClassReport struct {
	Name        string  `json:"name"`
	Service     float64 `json:"service"`
	First       int     `json:"first_tries"`
	Tries       int     `json:"tries"`
	Served      int     `json:"served"`
	Late        int     `json:"late"` // number of queries served after the latency objective
	Rejected    int     `json:"tries_refused"`
	Failed      int     `json:"tries_failed"`
	Lost        int     `json:"tries_lost"`
	NeverServed int     `json:"never_served"`
	P50         float64 `json:"p50_ms"`
	P95         float64 `json:"p95_ms"`
	P99         float64 `json:"p99_ms"`
	// Latency has one value for each of Quantiles.
	Latency []float64 `json:"latency_ms"`
}

// Quantiles are the quantiles of a class's latency distribution in a report, in percent.
var Quantiles = []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.9}

// WindowReport is the result of a window of time. A query counts in the window of its first try.
type WindowReport struct {
	AtMS     float64 `json:"at_ms"`
	Service  float64 `json:"service"`
	First    int     `json:"first_tries"`
	Tries    int     `json:"tries"`
	Served   int     `json:"served"`
	Rejected int     `json:"refused"`
	Failed   int     `json:"failed"`
}

// worstWindowMS is the length of the windows of time of which the worst one counts towards the service figure.
const worstWindowMS = 10000.0

// gossipUnitBytes is the number of datagram bytes that cost Objective.Gossip.
const gossipUnitBytes = 256

// Names of the parts of the service figure, as reports have them.
const (
	partService       = "whole"
	partWorstWindow   = "worst_window"
	partWorstClass    = "worst_class"
	partLateFailPrice = "late_fail_price"
	partWastePrice    = "waste_price"
	partCrossZone     = "cross_hall_price"
	partProbePrice    = "probe_price"
	partHandshake     = "handshake_price"
	partGossipPrice   = "peer_price"
)

// prices lists the parts that are subtracted from the service figure, in order of subtraction.
var prices = []string{partLateFailPrice, partWastePrice, partCrossZone, partProbePrice, partHandshake, partGossipPrice}

// Report sums up the run.
func (o *Observer) Report() *Report {
	r := &Report{Scenario: o.scenario.Name, Timeline: o.notes, Parts: map[string]float64{}}
	for i := range o.classes {
		r.Classes = append(r.Classes, o.classes[i].report(o.scenario.Classes[i].Name))
	}
	for i := range o.windows {
		r.Windows = append(r.Windows, o.windows[i].report(float64(i)*o.scenario.WindowMS))
	}
	o.addService(r)
	for _, rule := range RuleNames {
		if violations := o.violations[rule]; violations != nil {
			r.Rules = append(r.Rules, *violations)
			r.RulesBroken += violations.Count
		}
	}
	r.Totals = o.totals.rounded()
	return r
}

// addService sets the service figure and its parts. The figure is a weighted sum of ratios of earned to offered weight,
// minus the prices.
func (o *Observer) addService(r *Report) {
	var offered, earned, lateFailed float64
	for i := range o.classes {
		class := &o.classes[i]
		offered += class.offeredWeight
		earned += class.earnedWeight
		lateFailed += class.lateFailedWeight
	}
	served, worstWindow, worstClass := safeRatio(earned, offered), o.worstWindow(), o.worstClass()
	r.Parts[partService] = round(served)
	r.Parts[partWorstWindow] = round(worstWindow)
	r.Parts[partWorstClass] = round(worstClass)
	totals, objective := o.totals, o.scenario.Objective
	firstTries := float64(max(totals.FirstTries, 1))
	r.Parts[partLateFailPrice] = round(objective.LateFail * safeRatio(lateFailed, offered))
	r.Parts[partWastePrice] = round(objective.Waste * safeRatio(totals.Wasted, totals.WorkIn))
	r.Parts[partCrossZone] = round(objective.CrossZone * float64(totals.CrossZone) / firstTries)
	r.Parts[partProbePrice] = round(objective.Probe * float64(totals.Probes) / firstTries)
	r.Parts[partHandshake] = round(objective.Handshake * float64(totals.Handshakes) / firstTries)
	r.Parts[partGossipPrice] = round(objective.Gossip * float64(totals.GossipBytes) / gossipUnitBytes / firstTries)
	service := objective.Service*served + objective.WorstWindow*worstWindow + objective.WorstClass*worstClass
	for _, price := range prices {
		service -= r.Parts[price]
	}
	r.Service = round(max(service, 0))
}

// worstClass returns the least ratio of earned to offered weight of a class.
func (o *Observer) worstClass() float64 {
	worst := 1.0
	for i := range o.classes {
		if class := &o.classes[i]; class.offeredWeight > 0 {
			worst = min(worst, safeRatio(class.earnedWeight, class.offeredWeight))
		}
	}
	return worst
}

// worstWindow returns the least ratio of earned to offered weight over any span of worstWindowMS.
func (o *Observer) worstWindow() float64 {
	span := min(max(int(math.Round(worstWindowMS/o.scenario.WindowMS)), 1), len(o.windows))
	worst := 1.0
	for first := 0; first+span <= len(o.windows); first++ {
		var offered, earned float64
		for _, window := range o.windows[first : first+span] {
			offered += window.offeredWeight
			earned += window.earnedWeight
		}
		if offered > 0 {
			worst = min(worst, earned/offered)
		}
	}
	return worst
}

func (c *classTotals) report(name string) ClassReport {
	const microsPerMilli = 1000
	quantile := func(percent float64) float64 {
		return round(float64(c.latency.ValueAtPercentile(percent)) / microsPerMilli)
	}
	var latency []float64
	for _, percent := range Quantiles {
		latency = append(latency, quantile(percent))
	}
	return ClassReport{
		Name: name, Service: round(safeRatio(c.earnedWeight, c.offeredWeight)), First: c.firstTries, Tries: c.tries,
		Served: c.served, Late: c.late, Rejected: c.rejected, Failed: c.failed, Lost: c.lost, NeverServed: c.neverServed,
		P50: quantile(50), P95: quantile(95), P99: quantile(99), Latency: latency,
	}
}

func (w *windowTotals) report(atMS float64) WindowReport {
	return WindowReport{
		AtMS: atMS, Service: round(safeRatio(w.earnedWeight, w.offeredWeight)),
		First: w.firstTries, Tries: w.tries, Served: w.served, Rejected: w.rejected, Failed: w.failed,
	}
}

func (t Totals) rounded() Totals {
	t.WorkIn, t.Served, t.Wasted = round(t.WorkIn), round(t.Served), round(t.Wasted)
	t.Dropped, t.Left = round(t.Dropped), round(t.Left)
	return t
}

// safeRatio returns a/b, or 0 if b is 0.
func safeRatio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// round rounds to four decimal places.
func round(x float64) float64 { return math.Round(x*1e4) / 1e4 }

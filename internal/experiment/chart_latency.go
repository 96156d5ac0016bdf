package experiment

import (
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"aniseloft/internal/emulator/observer"
)

// minLatencyMS is the smallest latency that is drawn, because a logarithmic axis has no zero.
const minLatencyMS = 0.1

// latencyChart draws the cumulative distribution of the first class's latency for each policy, averaged over seeds.
func latencyChart(results []Result, scenario, variant string) (*plot.Plot, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "latency, ms (log)", "cumulative ratio of served requests"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max, p.Legend.Left, p.Legend.Top = 0, 1, true, true
	var policies []string
	quantiles := map[string][][]float64{} // latencies at observer.Quantiles, by policy, one list for each seed
	for _, r := range results {
		if r.Scenario != scenario || r.Variant != variant || len(r.Report.Classes) == 0 {
			continue
		}
		class := r.Report.Classes[0]
		p.Title.Text = dayLabel(scenario, variant) + ": " + class.Name
		if quantiles[r.Policy] == nil {
			policies = append(policies, r.Policy)
		}
		quantiles[r.Policy] = append(quantiles[r.Policy], class.Latency)
	}
	for i, policy := range policies {
		if err := addLine(p, policy, i, latencyCurve(quantiles[policy])); err != nil {
			return nil, err
		}
	}
	p.Add(plotter.NewGrid())
	return p, nil
}

// latencyCurve averages the latency at each of observer.Quantiles over seeds.
func latencyCurve(quantilesBySeed [][]float64) plotter.XYs {
	var curve plotter.XYs
	for i, percent := range observer.Quantiles {
		var latencies []float64
		for _, quantiles := range quantilesBySeed {
			latencies = append(latencies, max(quantiles[i], minLatencyMS))
		}
		curve = append(curve, plotter.XY{X: stat.Mean(latencies, nil), Y: percent / 100})
	}
	return curve
}

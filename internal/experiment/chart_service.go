package experiment

import (
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// serviceChart draws a group of bars for each scenario and variant, with a bar and its interval for each policy.
func serviceChart(rows []Row) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Service by policy, mean over seeds with 95% interval"
	p.Y.Label.Text, p.Y.Min = "service", 0
	p.Legend.XOffs = 0
	var days, policies []string
	for _, r := range rows {
		if day := dayLabel(r.Scenario, r.Variant); !slices.Contains(days, day) {
			days = append(days, day)
		}
		if !slices.Contains(policies, r.Policy) {
			policies = append(policies, r.Policy)
		}
	}
	width := vg.Points(max(3, 40/float64(len(policies))))
	for i, policy := range policies {
		offset := width * vg.Length(float64(i)-float64(len(policies)-1)/2)
		if err := addBars(p, rows, days, policy, i, width, offset); err != nil {
			return nil, err
		}
	}
	p.NominalX(days...)
	p.X.Min, p.X.Max = -0.6, float64(len(days))-0.4
	p.X.Tick.Label.Rotation, p.X.Tick.Label.XAlign = 0.5, -1
	p.Legend.Top, p.Legend.Left, p.Y.Max = true, true, 1.35
	return p, nil
}

// barsWithErrors holds the bars of one policy with their intervals, in the form that plotter.NewYErrorBars takes.
type barsWithErrors struct {
	plotter.XYs
	plotter.YErrors
}

// addBars adds one policy's bar to each group.
func addBars(p *plot.Plot, rows []Row, days []string, policy string, index int, width, offset vg.Length) error {
	values := make(plotter.Values, len(days))
	var bars barsWithErrors
	for _, r := range rows {
		if r.Policy != policy {
			continue
		}
		group := slices.Index(days, dayLabel(r.Scenario, r.Variant))
		values[group] = r.Service.Mean
		bars.XYs = append(bars.XYs, plotter.XY{X: float64(group), Y: r.Service.Mean})
		bars.YErrors = append(bars.YErrors, struct{ Low, High float64 }{r.Service.Mean - r.Service.Lower, r.Service.Upper - r.Service.Mean})
	}
	chart, err := plotter.NewBarChart(values, width)
	if err != nil {
		return err
	}
	chart.Color, chart.LineStyle.Width = plotutil.Color(index), 0
	chart.Offset = offset
	intervals, err := plotter.NewYErrorBars(bars)
	if err != nil {
		return err
	}
	intervals.CapWidth = width / 2
	p.Add(chart, offsetPlotter{intervals, offset})
	p.Legend.Add(policy, chart)
	return nil
}

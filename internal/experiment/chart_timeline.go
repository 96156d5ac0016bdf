package experiment

import (
	"fmt"
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"aniseloft/internal/emulator/observer"
	"aniseloft/internal/emulator/scenario"
)

// minFaultMS is the minimum width of a fault's shaded area, so that an instantaneous fault is visible.
const minFaultMS = 200

// timelineSeries are the curves of a timeline.
var timelineSeries = []struct {
	name  string
	count func(observer.WindowReport) int
}{
	{"attempts", func(w observer.WindowReport) int { return w.Tries }},
	{"served", func(w observer.WindowReport) int { return w.Served }},
	{"rejected", func(w observer.WindowReport) int { return w.Rejected }},
	{"failed", func(w observer.WindowReport) int { return w.Failed }},
}

// timelineChart draws attempts and outcomes per second over one day, with its faults shaded.
func timelineChart(r Result) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s, seed %d: service %.3f", dayLabel(r.Scenario, r.Variant), r.Policy, r.Seed, r.Report.Service)
	p.X.Label.Text, p.Y.Label.Text = "seconds", "per second"
	p.Legend.Top, p.Legend.Left = true, true
	windows := r.Report.Windows
	if len(windows) < 2 {
		return p, nil
	}
	windowMS := windows[1].AtMS - windows[0].AtMS
	endMS := windows[len(windows)-1].AtMS + windowMS
	var top float64
	for _, w := range windows {
		top = max(top, 1.25*float64(max(w.Tries, w.Served))/windowMS*1000)
	}
	if err := addFaults(p, r.Report.Faults, top, endMS); err != nil {
		return nil, err
	}
	for i, series := range timelineSeries {
		var points plotter.XYs
		for _, w := range windows {
			points = append(points, plotter.XY{X: (w.AtMS + windowMS/2) / 1000, Y: float64(series.count(w)) / windowMS * 1000})
		}
		if err := addLine(p, series.name, i, points); err != nil {
			return nil, err
		}
	}
	p.Y.Min, p.Y.Max, p.X.Min, p.X.Max = 0, top*1.2, 0, endMS/1000
	return p, nil
}

// addFaults shades the time of each fault up to the height top, and labels it with the fault's kind.
func addFaults(p *plot.Plot, faults []scenario.FaultSpan, top, endMS float64) error {
	for _, fault := range faults {
		from, to := fault.FromMS/1000, min(max(fault.ToMS, fault.FromMS+minFaultMS), endMS)/1000
		shade, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: from, Y: top}})
		if err != nil {
			return err
		}
		shade.Color, shade.Width = color.NRGBA{R: 200, G: 80, B: 40, A: 36}, 0
		p.Add(shade)
		height := top * (0.97 - 0.04*float64(slices.Index(faults, fault)))
		label, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: from, Y: height}}, Labels: []string{fault.Kind}})
		if err != nil {
			return err
		}
		p.Add(label)
	}
	return nil
}

package experiment

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Formats lists the file formats of charts. Each name is also the extension of the files.
var Formats = []string{"svg", "png"}

// ErrNoResults is returned by Charts if there are no results to draw.
var ErrNoResults = errors.New("charts: there are no results")

// Charts draws the service by policy, the latency curves of each scenario and variant, and the timeline of the first seed
// of each scenario, variant and policy. It returns the files in the order in which they were written.
func Charts(results []Result, directory string) ([]string, error) {
	if len(results) == 0 {
		return nil, ErrNoResults
	}
	w := &chartWriter{directory: directory, drawn: map[string]bool{}}
	rows := Rows(results)
	if err := w.draw("service", 28*vg.Centimeter, 13*vg.Centimeter, func() (*plot.Plot, error) { return serviceChart(rows) }); err != nil {
		return nil, err
	}
	for _, r := range results {
		if err := w.drawDay(results, r); err != nil {
			return nil, err
		}
	}
	return w.files, nil
}

// chartWriter draws each chart once, in every format.
type chartWriter struct {
	directory string
	drawn     map[string]bool // whether a chart is already drawn, by chart name
	files     []string
}

// drawDay draws the charts that contain the given result, unless they are already drawn.
func (w *chartWriter) drawDay(results []Result, r Result) error {
	name := strings.TrimSuffix(r.Scenario+"-"+r.Variant, "-"+unchangedVariant)
	name = strings.TrimSuffix(filepath.Base(name), ".json")
	err := w.draw("latency-"+name, 18*vg.Centimeter, 11*vg.Centimeter, func() (*plot.Plot, error) {
		return latencyChart(results, r.Scenario, r.Variant)
	})
	if err != nil {
		return err
	}
	return w.draw("timeline-"+name+"-"+r.Policy, 20*vg.Centimeter, 11*vg.Centimeter, func() (*plot.Plot, error) {
		return timelineChart(r)
	})
}

// draw calls chart and saves the result in every format, unless the chart with that name is already drawn.
func (w *chartWriter) draw(name string, width, height vg.Length, chart func() (*plot.Plot, error)) error {
	if w.drawn[name] {
		return nil
	}
	w.drawn[name] = true
	p, err := chart()
	if err != nil {
		return fmt.Errorf("chart: %w", err)
	}
	for _, format := range Formats {
		path := filepath.Join(w.directory, name+"."+format)
		if err := p.Save(width, height, path); err != nil {
			return fmt.Errorf("chart %s: %w", path, err)
		}
		w.files = append(w.files, path)
	}
	return nil
}

// dayLabel names a scenario and variant in a chart.
func dayLabel(scenario, variant string) string {
	return strings.TrimSuffix(strings.TrimSuffix(filepath.Base(scenario), ".json")+" "+variant, " "+unchangedVariant)
}

// addLine adds a line with an entry in the legend. The index selects the line's color.
func addLine(p *plot.Plot, name string, index int, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = plotutil.Color(index), vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

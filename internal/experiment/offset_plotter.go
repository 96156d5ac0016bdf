package experiment

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// offsetPlotter draws a plotter with a horizontal offset, so that each error bar is drawn over its own bar of a group.
type offsetPlotter struct {
	plot.Plotter
	offset vg.Length
}

// Plot implements plot.Plotter.
func (o offsetPlotter) Plot(c draw.Canvas, p *plot.Plot) {
	c.Min.X += o.offset
	c.Max.X += o.offset
	o.Plotter.Plot(c, p)
}

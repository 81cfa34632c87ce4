package load

import (
	"fmt"
	"image/color"
	"os"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"jayloft/core"
)

// plotStep is the length of the windows that a plot's points stand for.
const plotStep = 500 * time.Millisecond

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 24 * vg.Centimeter
	plotDPI    = 96
)

// line is one curve of a plot.
type line struct {
	name string
	take func(window) float64
}

// Plot writes a PNG file with three charts of the first load over time: the
// quantiles of latency, goodput beside the arrivals, and refusals and failures.
func (r *Report) Plot(name string) error {
	title := fmt.Sprintf("%s, %s, policy %s, seed %d", r.Name, r.Site, r.Policy, r.Seed)
	charts := []struct {
		title, unit string
		lines       []line
	}{
		{title, "latency, ms", []line{
			{"p50", measures["p50"].take}, {"p90", measures["p90"].take}, {"p99", measures["p99"].take},
		}},
		{"", "requests per second", []line{
			{"arrivals", func(w window) float64 { return float64(len(w.samples)) / w.length().Seconds() }},
			{"goodput", window.goodput},
		}},
		{"", "share of requests", []line{
			{"refused", func(w window) float64 { return w.outcome(core.OutcomeRefused) }},
			{"failed or unknown", func(w window) float64 {
				return w.outcome(core.OutcomeFailed) + w.outcome(core.OutcomeUnknown)
			}},
			{"broken", func(w window) float64 { return w.outcome(core.Outcome(OutcomeBroken)) }},
		}},
	}
	img := vgimg.NewWith(vgimg.UseWH(plotWidth, plotHeight), vgimg.UseDPI(plotDPI))
	tiles := draw.Tiles{Rows: len(charts), Cols: 1, PadY: vg.Centimeter, PadTop: vg.Millimeter, PadBottom: vg.Millimeter}
	canvas := draw.New(img)
	for i, c := range charts {
		p, err := r.chart(c.title, c.unit, c.lines)
		if err != nil {
			return err
		}
		p.Draw(tiles.At(canvas, 0, i))
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return f.Close()
}

// colours tells the curves of a chart apart, also in grey.
var colours = []color.Color{
	color.RGBA{R: 0x1b, G: 0x5e, B: 0x9b, A: 0xff},
	color.RGBA{R: 0xe0, G: 0x8a, B: 0x1e, A: 0xff},
	color.RGBA{R: 0xa0, G: 0x1c, B: 0x3c, A: 0xff},
}

func (r *Report) chart(title, unit string, lines []line) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text, p.X.Label.Text = title, unit, "seconds since the start"
	p.Y.Min, p.Legend.Top = 0, true
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		c, err := plotter.NewLine(r.points(l.take))
		if err != nil {
			return nil, fmt.Errorf("plot: %w", err)
		}
		c.Color, c.Width = colours[i], vg.Points(1.5)
		p.Add(c)
		p.Legend.Add(l.name, c)
	}
	return p, nil
}

// points takes a measure of the first load in every step of the run.
func (r *Report) points(take func(window) float64) plotter.XYs {
	var xys plotter.XYs
	all := r.window(Ref{})
	for at := time.Duration(0); at+plotStep <= all.to; at += plotStep {
		w := all
		w.from, w.to = at, at+plotStep
		w.samples = between(all.samples, w.from, w.to)
		if len(w.samples) > 0 {
			xys = append(xys, plotter.XY{X: at.Seconds(), Y: finite(take(w))})
		}
	}
	if len(xys) == 0 {
		xys = plotter.XYs{{}} // a chart needs a point
	}
	return xys
}

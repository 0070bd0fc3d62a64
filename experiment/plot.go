package experiment

import (
	"os"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 6 * vg.Centimeter
)

// series is one line of a plot.
type series struct {
	name  string
	value func(sample) float64
}

// Plot writes an SVG file of the queue length, the engines' activity and their memory use over time.
func (r *Report) Plot(file string) error {
	servers := float64(max(1, r.workload.servers))
	rows := []struct {
		title string
		lines []series
	}{
		{"requests", []series{
			{"waiting", func(s sample) float64 { return float64(s.waiting) }},
			{"writing", func(s sample) float64 { return float64(s.decodingRequests) }},
		}},
		{"engines", []series{
			{"with answers", func(s sample) float64 { return float64(s.decodingEngines) }},
			{"with prompts to read", func(s sample) float64 { return float64(s.prefillingEngines) }},
		}},
		{"part of the engines' memory, and seconds to read", []series{
			{"memory", func(s sample) float64 { return float64(s.memory) / servers / float64(r.workload.engine.Memory()) }},
			{"backlog", func(s sample) float64 { return s.backlog.Seconds() / servers }},
		}},
	}
	canvas := vgsvg.New(plotWidth, vg.Length(len(rows))*plotHeight)
	tiles := draw.Tiles{Rows: len(rows), Cols: 1}
	for i, row := range rows {
		p := plot.New()
		p.Title.Text = row.title
		p.X.Label.Text = "s"
		var lines []any
		for _, line := range row.lines {
			points := make(plotter.XYs, 0, len(r.samples))
			for _, s := range r.samples {
				points = append(points, plotter.XY{X: s.at.Seconds(), Y: line.value(s)})
			}
			lines = append(lines, line.name, points)
		}
		if err := plotutil.AddLines(p, lines...); err != nil {
			return eris.Wrapf(err, "plot %s", row.title)
		}
		p.Draw(tiles.At(draw.New(canvas), 0, i))
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(out); err != nil {
		out.Close()
		return err
	}
	return out.Close()
}

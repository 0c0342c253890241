package measure

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
)

// plottedPolicies are the policies in the plot with their line styles.
var plottedPolicies = []struct {
	policy string
	colour color.Color
	width  vg.Length
}{
	{PolicyStatic, color.RGBA{150, 150, 150, 255}, 1.5},
	{PolicyReactive, color.RGBA{230, 150, 30, 255}, 1.5},
	{PolicyClairvoyant, color.RGBA{40, 40, 40, 255}, 1.5},
	{PolicyHigh, color.RGBA{60, 130, 220, 255}, 1.5},
	{PolicyLow, color.RGBA{30, 150, 60, 255}, 2.5},
}

const (
	plotColumns = 2
	plotWidth   = 36 * vg.Centimeter
	plotHeight  = 30 * vg.Centimeter
)

// plot writes a PNG image to path with the goodput over time, one panel per trace.
func (c *Campaign) plot(path string) error {
	var names []string
	byTrace := map[string]map[string]*Result{}
	for _, r := range c.Results {
		if byTrace[r.Trace] == nil {
			byTrace[r.Trace] = map[string]*Result{}
			names = append(names, r.Trace)
		}
		byTrace[r.Trace][r.Policy] = r
	}
	rows := (len(names) + plotColumns - 1) / plotColumns
	grid := make([][]*plot.Plot, rows)
	for i := range grid {
		grid[i] = make([]*plot.Plot, plotColumns)
		for k := range grid[i] {
			grid[i][k] = plot.New()
		}
	}
	for i, name := range names {
		if err := drawPanel(grid[i/plotColumns][i%plotColumns], name, byTrace[name], i == 0); err != nil {
			return fmt.Errorf("plot trace %q: %w", name, err)
		}
	}
	return savePNG(grid, path)
}

// drawPanel draws the goodput of the plotted policies on one trace, with the means in the title.
func drawPanel(p *plot.Plot, name string, results map[string]*Result, legend bool) error {
	p.Title.Text = name
	for _, k := range []string{PolicyLow, PolicyClairvoyant, PolicyStatic} {
		p.Title.Text += fmt.Sprintf("   %s %.2f", k, results[k].Goodput)
	}
	p.X.Label.Text, p.Y.Label.Text = "time of arrival (s)", "goodput"
	p.Y.Min, p.Y.Max = 0, 1.05
	p.X.Min, p.X.Max = 0, traceLength.Seconds()
	p.X.Tick.Marker = plot.ConstantTicks(minuteTicks())
	p.Add(plotter.NewGrid())
	for _, s := range plottedPolicies {
		r := results[s.policy]
		line, err := plotter.NewLine(points(r))
		if err != nil {
			return err
		}
		line.Color, line.Width = s.colour, s.width
		p.Add(line)
		if legend {
			p.Legend.Add(s.policy, line)
		}
	}
	p.Legend.Top = false
	p.Legend.Left = true
	return nil
}

// minuteTicks returns one tick for each minute of a trace, labelled in seconds.
func minuteTicks() []plot.Tick {
	var out []plot.Tick
	for t := time.Duration(0); t <= traceLength; t += time.Minute {
		out = append(out, plot.Tick{Value: t.Seconds(), Label: fmt.Sprintf("%.0f", t.Seconds())})
	}
	return out
}

func points(r *Result) plotter.XYs {
	out := make(plotter.XYs, len(r.Timeline))
	for i, v := range r.Timeline {
		out[i] = plotter.XY{X: float64(i) * TimelineStep.Seconds(), Y: v}
	}
	return out
}

func savePNG(grid [][]*plot.Plot, path string) error {
	img := vgimg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{
		Rows: len(grid), Cols: plotColumns, PadX: vg.Centimeter, PadY: vg.Centimeter,
		PadTop: vg.Centimeter / 2, PadBottom: vg.Centimeter / 2, PadLeft: vg.Centimeter / 2, PadRight: vg.Centimeter / 2,
	}
	canvases := plot.Align(grid, tiles, draw.New(img))
	for i, row := range grid {
		for k, p := range row {
			p.Draw(canvases[i][k])
		}
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if _, err := (vgimg.PngCanvas{Canvas: img}).WriteTo(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

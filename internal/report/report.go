// Package report renders a comparison: a table for a terminal, JSON for programs, and one HTML file with plots
// that needs no network.
package report

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"starlingvalve/internal/experiment"
	"starlingvalve/internal/model"
)

// Comparison is the content of a report. It is written out as JSON.
type Comparison struct {
	Scenario  string                `json:"scenario"`
	A         string                `json:"a"`
	B         string                `json:"b"`
	Seed      uint64                `json:"first_seed"`
	Width     float64               `json:"wanted_half_width"`
	Wanted    int                   `json:"wanted_pairs"`
	Intervals []experiment.Interval `json:"intervals"`
	// Timelines are the seconds of one run of each side, with the first seed.
	Timelines [2][]model.Second `json:"-"`
	Curve     *Curve            `json:"curve,omitempty"`
}

// Curve is the worth in time at several loads, for some policies.
type Curve struct {
	Loads []float64             `json:"loads"` // factors on the scenario's load
	Lines map[string][]Estimate `json:"lines"`
	Names []string              `json:"names"` // keys of Lines, in the order of display
}

// Estimate is a mean and its confidence interval. It is written out as JSON under the names of its fields.
type Estimate struct{ Mean, Low, High float64 }

// Verdict returns the result of the main measure in one sentence.
func (c *Comparison) Verdict() string {
	if len(c.Intervals) == 0 {
		return "nothing was measured"
	}
	i := c.Intervals[0]
	switch {
	case i.A == 0 && i.B == 0:
		return "no verdict: neither served anything in time"
	case i.Low > 0:
		return fmt.Sprintf("b is better: %s %+.4f (%+.4f to %+.4f)", i.Name, i.Mean, i.Low, i.High)
	case i.High < 0:
		return fmt.Sprintf("b is worse: %s %+.4f (%+.4f to %+.4f)", i.Name, i.Mean, i.Low, i.High)
	}
	return fmt.Sprintf("no difference seen: %s %+.4f (%+.4f to %+.4f); %d pairs would see %.4f four times in five",
		i.Name, i.Mean, i.Low, i.High, i.Pairs, i.Smallest)
}

// Short reports that there were fewer pairs than the wanted width needs; it is empty if there were enough. The
// HTML template calls it by this name.
func (c *Comparison) Short() string {
	if len(c.Intervals) == 0 || c.Intervals[0].Pairs >= c.Wanted {
		return ""
	}
	return fmt.Sprintf("%d pairs of the %d that a half-width of %.4f wants: the interval is wider",
		c.Intervals[0].Pairs, c.Wanted, c.Width)
}

// Text writes the table for a terminal.
func (c *Comparison) Text(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "measure\ta: %s\tb: %s\tb - a\t95%% interval\tsmallest seen\n", c.A, c.B)
	for _, i := range c.Intervals {
		mark := ""
		if i.Differs() {
			mark = " *"
		}
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%+.4g\t%+.4g to %+.4g%s\t%.3g\n", i.Name, i.A, i.B, i.Mean, i.Low, i.High,
			mark, i.Smallest)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, line := range []string{c.Short(), c.Verdict()} {
		if line != "" {
			fmt.Fprintln(to, line)
		}
	}
	return nil
}

// JSON writes the comparison as indented JSON.
func (c *Comparison) JSON(to io.Writer) error {
	e := json.NewEncoder(to)
	e.SetIndent("", "  ")
	return e.Encode(c)
}

//go:embed page.html
var page string

// HTML writes one page that contains all plots as SVG.
func (c *Comparison) HTML(to io.Writer) error {
	t, err := template.New("page").Parse(page)
	if err != nil {
		return err
	}
	var plots []template.HTML
	for _, makePlot := range []func() (*plot.Plot, error){c.plotDifferences, c.plotOrders, c.plotModes, c.plotCurve} {
		p, err := makePlot()
		if err != nil {
			return err
		}
		if p == nil {
			continue
		}
		svg, err := render(p)
		if err != nil {
			return err
		}
		plots = append(plots, template.HTML(svg)) // safe: made of numbers, and of names that the plotter escapes
	}
	return t.Execute(to, map[string]any{"C": c, "Plots": plots})
}

// render draws a plot as an SVG element.
func render(p *plot.Plot) (string, error) {
	const width, height = 18 * vg.Centimeter, 8 * vg.Centimeter
	canvas := vgsvg.New(width, height)
	p.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.String()
	if i := strings.Index(text, "<svg"); i > 0 {
		text = text[i:] // cut off the XML declaration
	}
	return text, nil
}

// plotDifferences plots the intervals of the measures that are fractions of what was requested. It leaves out a
// measure with a mean above 1.
func (c *Comparison) plotDifferences() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Difference, b - a, with its interval"
	var names []string
	var at plotter.XYs
	var bars plotter.XErrors
	for _, i := range c.Intervals {
		if math.Max(math.Abs(i.A), math.Abs(i.B)) > 1 {
			continue // not a fraction
		}
		at = append(at, plotter.XY{X: i.Mean, Y: float64(len(names))})
		bars = append(bars, struct{ Low, High float64 }{i.Mean - i.Low, i.High - i.Mean})
		names = append(names, i.Name)
	}
	if len(names) == 0 {
		return nil, nil
	}
	points, err := plotter.NewScatter(at)
	if err != nil {
		return nil, err
	}
	errors, err := plotter.NewXErrorBars(struct {
		plotter.XYer
		plotter.XErrorer
	}{at, bars})
	if err != nil {
		return nil, err
	}
	zero, err := plotter.NewLine(plotter.XYs{{X: 0, Y: -0.5}, {X: 0, Y: float64(len(names)) - 0.5}})
	if err != nil {
		return nil, err
	}
	zero.Dashes = plotutil.Dashes(1)
	p.Add(zero, errors, points)
	p.NominalY(names...)
	return p, nil
}

// plotOrders plots the orders requested, answered in time and refused in each second.
func (c *Comparison) plotOrders() (*plot.Plot, error) {
	return c.plotTimeline("Orders answered in time and refused, one run of each", "orders a second", []timelineLine{
		{"asked", 0, func(s model.Second) int { return s.Orders }},
		{"a, in time", 0, func(s model.Second) int { return s.InAim }},
		{"b, in time", 1, func(s model.Second) int { return s.InAim }},
		{"a, refused", 0, func(s model.Second) int { return s.Refused }},
		{"b, refused", 1, func(s model.Second) int { return s.Refused }}})
}

// plotModes plots the requests at servers and the servers that are not normal, in each second.
func (c *Comparison) plotModes() (*plot.Plot, error) {
	return c.plotTimeline("Requests at servers, and servers that are not normal (over all nodes)", "", []timelineLine{
		{"a, requests", 0, func(s model.Second) int { return s.InFlight }},
		{"b, requests", 1, func(s model.Second) int { return s.InFlight }},
		{"a, overloaded or blocking", 0, func(s model.Second) int { return s.Overloaded + s.Blocking }},
		{"b, the same", 1, func(s model.Second) int { return s.Overloaded + s.Blocking }},
		{"a, suspect or cold", 0, func(s model.Second) int { return s.Excluded }},
		{"b, the same", 1, func(s model.Second) int { return s.Excluded }}})
}

// timelineLine is one line of a plot over time: the side (0: a, 1: b) and the figure plotted.
type timelineLine struct {
	name  string
	side  int
	value func(model.Second) int
}

// plotTimeline plots lines over the seconds of a run. It returns nil if there are no timelines.
func (c *Comparison) plotTimeline(title, unit string, lines []timelineLine) (*plot.Plot, error) {
	if len(c.Timelines[0]) < 2 || len(c.Timelines[1]) < 2 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text, p.Legend.Top = title, "s", unit, true
	for n, l := range lines {
		var at plotter.XYs
		seconds := c.Timelines[l.side]
		for x, s := range seconds[:len(seconds)-1] { // the last second is incomplete
			at = append(at, plotter.XY{X: float64(x), Y: float64(l.value(s))})
		}
		drawn, err := plotter.NewLine(at)
		if err != nil {
			return nil, err
		}
		drawn.Color, drawn.Dashes = plotutil.Color(n), plotutil.Dashes(l.side*2)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	return p, nil
}

// plotCurve plots worth against load for each policy. It returns nil if there is no curve.
func (c *Comparison) plotCurve() (*plot.Plot, error) {
	if c.Curve == nil {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Worth in time against load", "times the scenario's load",
		"of what was asked"
	p.Y.Min, p.Y.Max = 0, 1
	for n, name := range c.Curve.Names {
		var at plotter.XYs
		var bars plotter.YErrors
		for i, e := range c.Curve.Lines[name] {
			at = append(at, plotter.XY{X: c.Curve.Loads[i], Y: e.Mean})
			bars = append(bars, struct{ Low, High float64 }{e.Mean - e.Low, e.High - e.Mean})
		}
		drawn, err := plotter.NewLine(at)
		if err != nil {
			return nil, err
		}
		errors, err := plotter.NewYErrorBars(struct {
			plotter.XYer
			plotter.YErrorer
		}{at, bars})
		if err != nil {
			return nil, err
		}
		drawn.Color, errors.Color = plotutil.Color(n), plotutil.Color(n)
		p.Add(drawn, errors)
		p.Legend.Add(name, drawn)
	}
	return p, nil
}

// Package timeline writes an HTML page of one release: how many members of each group of each budget were out of
// service over time, the limit of the budget, and the steps of the release. It writes SVG itself, since the package
// is part of the node's program, and the fonts and tables of a plotting library would be in the memory of each node.
package timeline

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"starlingvalve/internal/fleet/fleetpb"
)

//go:embed page.html
var page string

func clock(ms int64) string { return time.UnixMilli(ms).UTC().Format("15:04:05.000") }

// Dimensions of the drawing, in SVG units: left and right edge of the graphs, height of a graph and gap between them.
const (
	left, right, height, gap = 220.0, 960.0, 46.0, 14.0
)

// row is the graph of one group of a budget. page.html uses its fields by name, as it does those of mark.
type row struct {
	Label, Path     string
	Top, Base, Line float64 // y coordinates: top and base of the graph, and the limit's line, negative if there is no limit
	Worst           uint32  // most members that were out at once
	Most            int32   // limit of members that may be out; -1 if there is none
	Over            bool    // the limit was exceeded
}

// mark is a step of the release, drawn as a vertical line.
type mark struct {
	X     float64
	Title string
}

// Write writes the page of the release in a state. It fails if the state has no release.
func Write(to io.Writer, s *fleetpb.State) error {
	release := s.Release
	if release == nil {
		return fmt.Errorf("no release has begun")
	}
	from, until := s.NowMs, release.EndMs
	if until == 0 {
		until = s.NowMs
	}
	var steps []*fleetpb.Event
	name := "release " + release.Plan.Name
	for _, e := range s.History {
		if e.By == name || strings.HasPrefix(e.What, name+" ") || strings.HasPrefix(e.What, name+",") {
			steps = append(steps, e)
			from = min(from, e.AtMs)
		}
	}
	for _, x := range s.Samples {
		from = min(from, x.AtMs)
	}
	until = max(until, from+1)
	xOf := func(ms int64) float64 { return left + (right-left)*float64(ms-from)/float64(until-from) }
	data := struct {
		S            *fleetpb.State
		R            *fleetpb.Release
		Wave         int32 // from 1
		From, Until  int64
		Rows         []*row
		Marks        []mark
		Steps        []*fleetpb.Event
		Width, Depth float64
	}{S: s, R: release, Wave: release.Wave + 1, From: from, Until: until, Steps: steps, Width: right + 10}
	groups, order := map[string][]*fleetpb.Sample{}, []string{}
	for _, x := range s.Samples {
		key := x.Budget + ", " + x.Group
		if groups[key] == nil {
			order = append(order, key)
		}
		groups[key] = append(groups[key], x)
	}
	top := gap
	for _, key := range order {
		data.Rows = append(data.Rows, drawGroup(key, groups[key], top, xOf, until))
		top += height + gap
	}
	for _, e := range steps {
		data.Marks = append(data.Marks, mark{xOf(e.AtMs), clock(e.AtMs) + " " + e.What})
	}
	data.Depth = top
	// Parsed here and not at start, since nodes write no pages.
	t, err := template.New("release").Funcs(template.FuncMap{"clock": clock}).Parse(page)
	if err != nil {
		return err
	}
	return t.Execute(to, data)
}

// drawGroup draws the samples of a group as one filled step path. top is the y coordinate of the graph, xOf maps a
// time in ms to an x coordinate, and until is the end of the time axis in ms.
func drawGroup(key string, list []*fleetpb.Sample, top float64, xOf func(int64) float64, until int64) *row {
	drawn := &row{Label: key, Top: top, Base: top + height, Most: list[len(list)-1].Most, Line: -1}
	scale := float64(max(1, drawn.Most+1))
	for _, x := range list {
		drawn.Worst = max(drawn.Worst, x.Out)
		drawn.Over = drawn.Over || x.Most >= 0 && x.Out > uint32(x.Most)
	}
	scale = max(scale, float64(drawn.Worst))
	y := func(n float64) float64 { return drawn.Base - height*n/scale }
	var path strings.Builder
	fmt.Fprintf(&path, "M%.1f %.1f", xOf(list[0].AtMs), drawn.Base)
	for i, x := range list {
		end := until
		if i+1 < len(list) {
			end = list[i+1].AtMs
		}
		fmt.Fprintf(&path, "V%.1fH%.1f", y(float64(x.Out)), xOf(max(end, x.AtMs)))
	}
	fmt.Fprintf(&path, "V%.1fZ", drawn.Base)
	drawn.Path = path.String()
	if drawn.Most >= 0 {
		drawn.Line = y(float64(drawn.Most))
	}
	return drawn
}

package capacity

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
)

// Paths of files, relative to the project's root.
const (
	PageFile    = "docs/CAPACITY.md"
	ResultsFile = "docs/capacity.json"
)

// Markers of a table on the page. All text between them is generated from the results.
const (
	beginMarker = "<!-- table %s, made by `rig capacity -page` -->"
	endMarker   = "<!-- end of the table -->"
)

// tables holds the functions that generate the page's tables, by table name.
var tables = map[string]func(*Results) (string, error){
	"runs":      runsTable,
	"estimates": estimatesTable,
	"slopes":    slopesTable,
	"missing":   missingTable,
	"effects":   assumptionsTable,
	"calibrate": calibrateTable,
	"promises":  promisesTable,
}

// Page returns the page with its tables generated from results.
func Page(page string, r *Results) (string, error) {
	for name, make := range tables {
		text, err := make(r)
		if err != nil {
			return "", fmt.Errorf("table %s: %w", name, err)
		}
		if page, err = replace(page, name, text); err != nil {
			return "", err
		}
	}
	for _, role := range roles {
		text, err := roleTable(r, role)
		if err != nil {
			return "", fmt.Errorf("role %s: %w", role.name, err)
		}
		if page, err = replace(page, role.name, text); err != nil {
			return "", err
		}
	}
	return page, nil
}

// replace replaces the text between a table's markers.
func replace(page, name, text string) (string, error) {
	begin := fmt.Sprintf(beginMarker, name)
	before, rest, ok := strings.Cut(page, begin)
	if !ok {
		return "", fmt.Errorf("the page has no line %q", begin)
	}
	_, after, ok := strings.Cut(rest, endMarker)
	if !ok {
		return "", fmt.Errorf("the page's table %s has no end", name)
	}
	return before + begin + "\n" + text + endMarker + after, nil
}

// WritePage generates the tables of a page file from a results file.
func WritePage(page, results string) error {
	raw, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	r, err := Read(results)
	if err != nil {
		return err
	}
	if len(r.Sections) == 0 {
		return errors.New(results + ": no results; run rig capacity -results " + results)
	}
	text, err := Page(string(raw), r)
	if err != nil {
		return fmt.Errorf("%s: %w", page, err)
	}
	return os.WriteFile(page, []byte(text), 0o644)
}

// grid builds a Markdown table.
type grid struct{ strings.Builder }

func (g *grid) row(cells ...string) {
	for i, c := range cells {
		cells[i] = strings.ReplaceAll(strings.Join(strings.Fields(c), " "), "|", "\\|")
	}
	fmt.Fprintf(g, "| %s |\n", strings.Join(cells, " | "))
}

func (g *grid) head(cells ...string) {
	g.row(cells...)
	g.WriteString(strings.Repeat("| --- ", len(cells)) + "|\n")
}

// value is a figure, or the value of a slope at the design size.
type value struct {
	value        float64
	unit         string
	formula      string // base + slope x size; empty for a figure
	section      *Section
	extrapolated bool // the design size is larger than the largest size that was run
}

// String returns the value with its unit, marked if it is extrapolated.
func (v value) String() string {
	text := formatValue(v.value) + " " + v.unit
	if v.extrapolated {
		text += " *extrapolated*"
	}
	return text
}

// find returns the value of the slope or the figure with a name.
func (r *Results) find(name string) (value, error) {
	if l, s, ok := r.FindSlope(name); ok {
		return value{l.AtDesign, l.Unit, formula(l), s, l.Extrapolated}, nil
	}
	if f, s, ok := r.Find(name); ok {
		return value{value: f.Value, unit: f.Unit, section: s}, nil
	}
	return value{}, fmt.Errorf("no figure %s in the results", name)
}

func formula(l Slope) string {
	sign, base := "+", l.Base
	if base < 0 {
		sign, base = "-", -base
	}
	return fmt.Sprintf("%s x %ss %s %s", formatValue(l.Slope), l.Per, sign, formatValue(base))
}

func sizesOf(l Slope) string {
	var list []string
	for _, p := range l.Points {
		list = append(list, fmt.Sprintf("%s: %s", formatValue(p.Size), formatValue(p.Value)))
	}
	return strings.Join(list, ", ")
}

func runsTable(r *Results) (string, error) {
	var g grid
	g.head("section", "begun", "took", "seed", "machine", "load average before and after", "late by at most",
		"most at once")
	for _, s := range r.Sections {
		late := "no times measured"
		if s.MaxDelay > 0 {
			late = s.MaxDelay.Round(time.Millisecond).String()
		}
		g.row(s.Name, s.Began.Format(time.RFC3339), s.Took.Round(time.Second).String(), fmt.Sprint(s.Seed), s.Machine,
			s.Load, late,
			fmt.Sprintf("%d processes, %d MiB", s.Peak.Processes, s.Peak.Memory>>10))
	}
	return g.String(), nil
}

func slopesTable(r *Results) (string, error) {
	var g grid
	g.head("figure", "unit", "line", "residual, of the largest", "at each size that was run", "at the design size")
	for _, s := range r.Sections {
		for _, l := range s.Slopes {
			at := formatValue(l.Design) + ": " + formatValue(l.AtDesign)
			if l.Extrapolated {
				at += " *extrapolated*"
			}
			g.row(l.Name, l.Unit, formula(l), formatValue(l.Residual), sizesOf(l), at)
		}
	}
	return g.String(), nil
}

func promisesTable(r *Results) (string, error) {
	var g grid
	g.head("promise", "verdict")
	for _, s := range r.Sections {
		for _, p := range s.Promises {
			verdict := "kept"
			if !p.Kept {
				verdict = "**BROKEN**"
			}
			g.row(p.Text, verdict)
		}
	}
	return g.String(), nil
}

// factor returns a value divided by its budget, as text.
func factor(v, budget float64) string {
	if budget == 0 {
		return "-"
	}
	text := formatValue(v / budget)
	if v > budget {
		text = "**" + text + "**"
	}
	return text
}

func roleTable(r *Results, role role) (string, error) {
	var table grid
	table.head("what", "when", "measured", "line", "budget", "factor", "carried by")
	for _, e := range role.entries {
		if e.figure == "" {
			table.row(e.what, e.when, "*not run*", "", e.budgetText(), "-", e.mechanism)
			continue
		}
		v, e, err := r.valueOf(e)
		if why := r.missingReason(e.figure); err != nil && why != "" {
			table.row(e.what, e.when, "*"+why+"*", "", e.budgetText(), "-", e.mechanism)
			continue
		}
		if err != nil {
			return "", err
		}
		table.row(e.what, e.when, v.String(), v.formula, e.budgetText(), factor(v.value, e.budget), e.mechanism)
	}
	return table.String(), nil
}

func calibrateTable(r *Results) (string, error) {
	var table grid
	table.head("figure", "nodes", "real", "hollow", "hollow over real", "")
	for _, name := range []string{"calls", "datagrams", "bytes", "processor", "memory"} {
		for _, size := range []int{10, 40} {
			at := fmt.Sprintf("calibrate.%d.%s.", size, name)
			var v [3]value
			for i, which := range []string{"real", "hollow", "ratio"} {
				var err error
				if v[i], err = r.find(at + which); err != nil {
					return "", err
				}
			}
			verdict := "equal within 15%"
			if v[2].value < 1-maxDifference || v[2].value > 1+maxDifference {
				verdict = "differs: the figure of real nodes is used"
			}
			table.row(name+", "+v[0].unit, fmt.Sprint(size), formatValue(v[0].value), formatValue(v[1].value), formatValue(v[2].value),
				verdict)
		}
	}
	return table.String(), nil
}

package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Results holds the last run of each of the rig's sections.
type Results struct {
	Sections []*Section `json:"sections"`
}

// Section is the results of one run of one section of the rig.
type Section struct {
	Name     string        `json:"name"`
	Began    time.Time     `json:"began"`
	Took     time.Duration `json:"took_ns"`
	Seed     uint64        `json:"seed"`
	Quick    bool          `json:"quick"`
	Machine  string        `json:"machine"`
	Load     string        `json:"load"`    // load average before and after, which shows other work on the machine
	MaxDelay time.Duration `json:"late_ns"` // longest delay of the machine while times were measured
	Peak     struct {
		Processes int `json:"processes"`
		Memory    int `json:"memory_kib"`
	} `json:"most"` // highest usage of the rig at any time
	Figures  []Figure  `json:"figures"`
	Slopes   []Slope   `json:"slopes"`
	Promises []Promise `json:"promises"`
	// Missing tells why figures are missing, by prefix of their names: void because the machine was delayed, or failed.
	Missing map[string]string `json:"lacks,omitempty"`
}

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

// Point is the value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is the straight line Base + Slope x size that fits the values at several sizes best.
type Slope struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"` // unit of the value
	Per      string  `json:"per"`  // what the size is a number of
	Base     float64 `json:"base"`
	Slope    float64 `json:"slope"`
	Residual float64 `json:"residual"` // largest distance of a point from the line, divided by the largest value
	Points   []Point `json:"points"`
	Design   float64 `json:"design"` // design size
	AtDesign float64 `json:"at_design"`
	// Extrapolated reports that the design size is larger than the largest size that was run.
	Extrapolated bool `json:"extrapolated"`
}

// Promise is a threshold that was stated before the run, with its verdict.
type Promise struct {
	Text string `json:"text"`
	Kept bool   `json:"kept"`
}

// minSizes is the minimum number of sizes for a slope.
const minSizes = 4

// fitSlope fits a line to points by linear regression. If the design size was run, AtDesign is the measured value.
func fitSlope(name, unit, per string, design float64, points []Point) (Slope, error) {
	if len(points) < minSizes {
		return Slope{}, fmt.Errorf("slope %s: %d sizes, want %d at least", name, len(points), minSizes)
	}
	var sizes, values []float64
	largest := 0.0
	for _, p := range points {
		sizes, values = append(sizes, p.Size), append(values, p.Value)
		largest = max(largest, math.Abs(p.Value))
	}
	slope := Slope{Name: name, Unit: unit, Per: per, Points: points, Design: design}
	slope.Base, slope.Slope = stat.LinearRegression(sizes, values, nil, false)
	for _, p := range points {
		if largest > 0 {
			slope.Residual = max(slope.Residual, math.Abs(p.Value-slope.Base-slope.Slope*p.Size)/largest)
		}
	}
	slope.AtDesign, slope.Extrapolated = slope.Base+slope.Slope*design, design > slices.Max(sizes)
	if at := slices.Index(sizes, design); at >= 0 {
		slope.AtDesign = values[at]
	}
	return slope, nil
}

// addFigure adds and prints a measured value.
func (s *Section) addFigure(out io.Writer, name string, value float64, unit string) {
	f := Figure{s.Name + "." + name, value, unit}
	s.Figures = append(s.Figures, f)
	fmt.Fprintln(out, f.Name, formatValue(value), unit)
}

// addSlope fits, adds and prints a slope.
func (s *Section) addSlope(out io.Writer, name, unit, per string, design float64, points []Point) error {
	l, err := fitSlope(s.Name+"."+name, unit, per, design, points)
	if err != nil {
		return err
	}
	s.Slopes = append(s.Slopes, l)
	mark := ""
	if l.Extrapolated {
		mark = " extrapolated"
	}
	fmt.Fprintf(out, "%s.slope %s %s a %s; base %s, at %s: %s%s; residual %.2f of the largest\n", l.Name,
		formatValue(l.Slope), unit, per, formatValue(l.Base),
		formatValue(design), formatValue(l.AtDesign), mark, l.Residual)
	return nil
}

// addPromise adds and prints the verdict on a threshold.
func (s *Section) addPromise(out io.Writer, kept bool, format string, args ...any) {
	p := Promise{s.Name + ": " + fmt.Sprintf(format, args...), kept}
	s.Promises = append(s.Promises, p)
	verdict := "kept"
	if !kept {
		verdict = "BROKEN"
	}
	fmt.Fprintln(out, verdict, p.Text)
}

// brokenPromises returns the number of promises that were not kept.
func (s *Section) brokenPromises() (n int) {
	for _, p := range s.Promises {
		if !p.Kept {
			n++
		}
	}
	return n
}

// formatValue formats a value with three significant digits, without an exponent.
func formatValue(v float64) string {
	if v == 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	text := strconv.FormatFloat(v, 'f', digits, 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return text
}

// addMissing records and prints why the figures with a name prefix are missing.
func (s *Section) addMissing(out io.Writer, prefix string, err error) {
	if s.Missing == nil {
		s.Missing = map[string]string{}
	}
	why := "failed: " + err.Error()
	if errors.Is(err, errVoid) {
		why = "void: the machine was late"
	}
	s.Missing[s.Name+"."+prefix] = why
	fmt.Fprintln(out, "lacks", s.Name+"."+prefix, err)
}

// missingReason returns why a figure is missing, or an empty string if no reason is recorded.
func (r *Results) missingReason(name string) string {
	for _, s := range r.Sections {
		for prefix, why := range s.Missing {
			if strings.HasPrefix(name, prefix) {
				return why
			}
		}
	}
	return ""
}

// replaceSection puts a section's run in place of an earlier one, or appends it.
func (r *Results) replaceSection(s *Section) {
	if at := slices.IndexFunc(r.Sections, func(o *Section) bool { return o.Name == s.Name }); at >= 0 {
		r.Sections[at] = s
		return
	}
	r.Sections = append(r.Sections, s)
}

// Find returns the figure with a name, and its section.
func (r *Results) Find(name string) (Figure, *Section, bool) {
	for _, s := range r.Sections {
		for _, f := range s.Figures {
			if f.Name == name {
				return f, s, true
			}
		}
	}
	return Figure{}, nil, false
}

// FindSlope returns the slope with a name, and its section.
func (r *Results) FindSlope(name string) (Slope, *Section, bool) {
	for _, s := range r.Sections {
		for _, l := range s.Slopes {
			if l.Name == name {
				return l, s, true
			}
		}
	}
	return Slope{}, nil, false
}

// Read reads results from a file. Without the file the results are empty.
func Read(path string) (*Results, error) {
	r := &Results{}
	raw, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return r, nil
	}
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// Write writes the results to a file.
func (r *Results) Write(path string) error {
	raw, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o644)
}

// machineNote describes the machine of a run: cores, memory, Go version.
func machineNote(b bounds) string {
	return fmt.Sprintf("%d cores, %d MiB of memory, %s", runtime.NumCPU(), int(float64(b.memory)/memoryShare)>>10,
		runtime.Version())
}

// loadNote returns the machine's load average over a minute.
func loadNote() string {
	raw, _ := os.ReadFile("/proc/loadavg")
	first, _, _ := strings.Cut(string(raw), " ")
	return first
}

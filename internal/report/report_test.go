package report

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"strings"
	"testing"

	"starlingvalve/internal/experiment"
	"starlingvalve/internal/model"
)

func sample() *Comparison {
	seconds := []model.Second{{Orders: 10, InAim: 8, Refused: 1, InFlight: 3, Normal: 6},
		{Orders: 12, InAim: 9, InFlight: 5, Overloaded: 2}, {}}
	return &Comparison{Scenario: "calm", A: "module", B: "<b>.toml", Seed: 3, Width: 0.01, Wanted: 30,
		Timelines: [2][]model.Second{seconds, seconds},
		Intervals: []experiment.Interval{{Name: "worth in time", Mean: -0.02, Low: -0.03, High: -0.01, Pairs: 20,
			A: 0.9, B: 0.88, Smallest: 0.01},
			{Name: "p99 ms", Mean: 3, Low: -5, High: 11, Pairs: 20, A: 400, B: 403}},
		Curve: &Curve{Loads: []float64{0.5, 1}, Names: []string{"module"},
			Lines: map[string][]Estimate{"module": {{1, 0.99, 1}, {0.9, 0.88, 0.92}}}}}
}

// Guards against a page that lacks a plot, loads something from elsewhere, or takes names as HTML.
func TestPage(t *testing.T) {
	var out bytes.Buffer
	if err := sample().HTML(&out); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if n := strings.Count(text, "<svg"); n != 4 {
		t.Errorf("%d plots, want 4", n)
	}
	for _, want := range []string{"b is worse: worth in time -0.0200", "20 pairs of the 30", "&lt;b&gt;.toml",
		"Worth in time against load"} {
		if !strings.Contains(text, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	for _, bad := range []string{"<script", "src=", "<link", "@import", "<b>.toml"} {
		if strings.Contains(text, bad) {
			t.Errorf("the page contains %q", bad)
		}
	}
	for rest := text; strings.Contains(rest, "<svg"); {
		start, end := strings.Index(rest, "<svg"), strings.Index(rest, "</svg>")+len("</svg>")
		if err := xml.Unmarshal([]byte(rest[start:end]), new(struct{})); err != nil {
			t.Errorf("a plot is not well formed: %v", err)
		}
		rest = rest[end:]
	}
}

func TestVerdicts(t *testing.T) {
	for want, i := range map[string]experiment.Interval{
		"b is better":        {Name: "worth", A: 0.5, B: 0.6, Mean: 0.1, Low: 0.05, High: 0.15},
		"no difference seen": {Name: "worth", A: 0.5, B: 0.5, Low: -0.1, High: 0.1, Pairs: 10, Smallest: 0.2},
		"no verdict":         {Name: "worth"},
	} {
		c := &Comparison{Intervals: []experiment.Interval{i}}
		if got := c.Verdict(); !strings.HasPrefix(got, want) {
			t.Errorf("%q, want %q", got, want)
		}
		var out bytes.Buffer
		if err := c.HTML(&out); err != nil || strings.Contains(out.String(), "NaN") {
			t.Errorf("%s: %v", want, err)
		}
	}
	if got := (&Comparison{}).Verdict(); got != "nothing was measured" {
		t.Error(got)
	}
}

func TestTableAndJSON(t *testing.T) {
	var table, raw bytes.Buffer
	if err := sample().Text(&table); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(table.String()), "\n")
	if len(lines) != 5 || !strings.Contains(lines[1], "*") || strings.Contains(lines[2], "*") {
		t.Errorf("%s", table.String())
	}
	if err := sample().JSON(&raw); err != nil {
		t.Fatal(err)
	}
	var back Comparison
	if err := json.Unmarshal(raw.Bytes(), &back); err != nil || back.Intervals[0].Low != -0.03 ||
		back.Curve.Lines["module"][1].Mean != 0.9 {
		t.Errorf("%+v, %v", back, err)
	}
}

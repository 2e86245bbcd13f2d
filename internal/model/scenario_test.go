package model

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a shipped scenario that is not accepted, does not end, or breaks a rule.
func TestShippedScenarios(t *testing.T) {
	files, err := filepath.Glob("../../deploy/scenarios/*.toml")
	if err != nil || len(files) < 12 {
		t.Fatalf("%d scenarios, %v", len(files), err)
	}
	for _, path := range files {
		sc, err := LoadScenario(path)
		if err != nil {
			t.Error(err)
			continue
		}
		s := Simulate(sc, 1)
		if s.Orders < 1000 || s.Served+s.Refused+s.Failed != s.Orders || s.DuplicateRuns > 0 ||
			s.WorthFraction() < 0.3 {
			t.Errorf("%s: worth %.3f, %+v", path, s.WorthFraction(), s)
		}
		t.Logf("%s: worth %.3f, %d orders", filepath.Base(path), s.WorthFraction(), s.Orders)
	}
}

// Guards against a scenario error that does not name the file, the line and the key in one line.
func TestScenarioFaults(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/scenarios/lost-hall.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, bad := range [][3]string{{`nodes = 3`, `ndoes = 3`, ":4: ndoes: unknown key"},
		{`length = "60s"`, `length = "60"`, ":2: length"},
		{`load = 0.45`, `load = nan`, ":3: load: "}, {`load = 0.45`, `load = "much"`, ":3: load: "},
		{`effect = "keyed"`, `effect = "odd"`, "class[3].effect: want safe"},
		{`dedup_window = "8s"`, ``, "class[3].dedup_window: a keyed class"},
		{`name = "viewer-clip"`, `name = "cut-order"`, "class[2].name: "},
		{`aim = "2s"`, `aim = "7s"`, "class[2].aim: "}, {`cores = 6`, `cores = 0`, "servers[0].cores: "},
		{`count = 5`, `count = 999999`, "servers[0].count: "},
		{`kind = "crash"`, `kind = "tired"`, "fault[0].kind: "},
		{`[0, 1, 2, 3, 4]`, `[0, 12]`, "fault[0].servers: there is no server 12"}, {`at = "15s"`, `at = "2m"`, "fault[0].at: "}} {
		text := strings.Replace(string(raw), bad[0], bad[1], 1)
		if text == string(raw) {
			t.Fatalf("the file lacks %q", bad[0])
		}
		_, err := parseScenario("x.toml", []byte(text))
		if err == nil || !strings.HasPrefix(err.Error(), "x.toml:") || !strings.Contains(err.Error(), bad[2]) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %q", bad[1], err, bad[2])
		}
	}
}

func FuzzScenario(f *testing.F) {
	raw, err := os.ReadFile("../../deploy/scenarios/lost-hall.toml")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(raw))
	f.Fuzz(func(t *testing.T, text string) {
		sc, err := parseScenario("x.toml", []byte(text))
		if (sc == nil) == (err == nil) || err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("%v, %v", sc, err)
		}
	})
}

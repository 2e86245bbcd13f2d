package supervise

import (
	"os"
	"path/filepath"
	"time"

	"starlingvalve/internal/control"
	"starlingvalve/internal/tomlfile"
)

// Config is a supervisor's file, checked. Paths in it are relative to its folder.
type Config struct {
	Path   string
	Fleet  *control.Config
	Folder string        // of programs
	Args   []string      // of the node
	End    time.Duration // of a process that was told to end, until it is killed
	Ready  time.Duration // a node that is not ready by then counts as crashed
}

// Load reads a file and checks all of it, the fleet file that it names included.
func Load(path string, now time.Time) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f struct {
		Supervise struct {
			Fleet   string   `toml:"fleet"`
			Folder  string   `toml:"folder"`
			Args    []string `toml:"args"`
			EndMs   int      `toml:"end_ms"`
			ReadyMs int      `toml:"ready_ms"`
		} `toml:"supervise"`
	}
	f.Supervise.EndMs, f.Supervise.ReadyMs = 10_000, 15_000
	if err := tomlfile.Decode(path, raw, &f); err != nil {
		return nil, err
	}
	fault := tomlfile.KeyErrors(path, raw)
	s := f.Supervise
	beside := tomlfile.RelativeTo(path)
	if s.Folder == "" {
		return nil, fault("supervise.folder", "is missing")
	}
	for _, l := range []struct {
		key               string
		have, least, most int
	}{{"supervise.end_ms", s.EndMs, 1000, 600_000}, {"supervise.ready_ms", s.ReadyMs, 500, 600_000}} {
		if l.have < l.least || l.have > l.most {
			return nil, fault(l.key, "want %d to %d, have %d", l.least, l.most, l.have)
		}
	}
	for key, name := range map[string]*string{"supervise.folder": &s.Folder, "supervise.fleet": &s.Fleet} { // the node may be started elsewhere
		if *name, err = filepath.Abs(beside(*name)); err != nil {
			return nil, fault(key, "%v", err)
		}
	}
	c := &Config{Path: path, Folder: s.Folder, Args: append([]string{"-fleet", s.Fleet}, s.Args...),
		End: time.Duration(s.EndMs) * time.Millisecond, Ready: time.Duration(s.ReadyMs) * time.Millisecond}
	if c.Fleet, err = control.Load(s.Fleet, now); err != nil {
		return nil, fault("supervise.fleet", "%v", err)
	}
	return c, nil
}

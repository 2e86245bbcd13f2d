package supervise

import (
	"os"
	"path/filepath"
	"time"

	"starlingvalve/internal/control"
	"starlingvalve/internal/tomlfile"
)

// Config is a validated supervisor file. Paths in the file are relative to its folder.
type Config struct {
	Path          string          // of the supervisor file
	Fleet         *control.Config // the fleet file that it names
	ProgramFolder string          // of the programs; absolute
	Args          []string        // command line arguments of the node
	EndTimeout    time.Duration   // from SIGTERM to SIGKILL
	ReadyTimeout  time.Duration   // a node that is not ready this long after its start counts as crashed
}

// Load reads and validates a supervisor file and the fleet file that it names.
func Load(path string, now time.Time) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var file struct {
		Supervise struct {
			Fleet   string   `toml:"fleet"`
			Folder  string   `toml:"folder"`
			Args    []string `toml:"args"`
			EndMs   int      `toml:"end_ms"`
			ReadyMs int      `toml:"ready_ms"`
		} `toml:"supervise"`
	}
	file.Supervise.EndMs, file.Supervise.ReadyMs = 10_000, 15_000
	if err := tomlfile.Decode(path, raw, &file); err != nil {
		return nil, err
	}
	keyError := tomlfile.KeyErrors(path, raw)
	s := file.Supervise
	pathOf := tomlfile.RelativeTo(path)
	if s.Folder == "" {
		return nil, keyError("supervise.folder", "is missing")
	}
	for _, l := range []struct {
		key                   string
		have, lowest, highest int
	}{{"supervise.end_ms", s.EndMs, 1000, 600_000}, {"supervise.ready_ms", s.ReadyMs, 500, 600_000}} {
		if l.have < l.lowest || l.have > l.highest {
			return nil, keyError(l.key, "want %d to %d, have %d", l.lowest, l.highest, l.have)
		}
	}
	// The paths become absolute, since the node's working directory may be another one.
	for key, name := range map[string]*string{"supervise.folder": &s.Folder, "supervise.fleet": &s.Fleet} {
		if *name, err = filepath.Abs(pathOf(*name)); err != nil {
			return nil, keyError(key, "%v", err)
		}
	}
	c := &Config{Path: path, ProgramFolder: s.Folder, Args: append([]string{"-fleet", s.Fleet}, s.Args...),
		EndTimeout: time.Duration(s.EndMs) * time.Millisecond, ReadyTimeout: time.Duration(s.ReadyMs) * time.Millisecond}
	if c.Fleet, err = control.Load(s.Fleet, now); err != nil {
		return nil, keyError("supervise.fleet", "%v", err)
	}
	return c, nil
}

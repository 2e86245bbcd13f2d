package model

import (
	"fmt"
	"os"
	"time"

	"starlingvalve/decide"
	"starlingvalve/internal/tomlfile"
)

// Limits of a scenario, so that a run ends and fits into a machine's memory. maxRate is in orders a second.
const (
	maxLength  = time.Hour
	maxRate    = 100_000.0
	maxServers = 10_000
	maxNodes   = 256
	maxFaults  = 10_000
	maxCores   = 1024
)

// seconds is a duration in a scenario or version file, such as "600ms" or "1.2s".
type seconds struct{ time.Duration }

// UnmarshalText parses Go's form of a duration.
func (s *seconds) UnmarshalText(text []byte) (err error) {
	s.Duration, err = time.ParseDuration(string(text))
	return err
}

// scenarioFile is the structure of a scenario file.
type scenarioFile struct {
	Length         seconds `toml:"length"`
	Load           float64 `toml:"load"` // work offered, as a part of the servers' capacity
	Nodes          int     `toml:"nodes"`
	Hop            seconds `toml:"hop"`
	Retries        int     `toml:"retries"`
	IgnoresHoldOff float64 `toml:"heedless"`
	NodeCost       seconds `toml:"node_cost"`
	RegistryLag    seconds `toml:"registry_lag"`
	Class          []struct {
		Name     string  `toml:"name"`
		Share    float64 `toml:"share"`
		Worth    float64 `toml:"worth"`
		Work     seconds `toml:"work"`
		WorkCV   float64 `toml:"work_cv"`
		Aim      seconds `toml:"aim"`
		Patience seconds `toml:"patience"`
		Wait     seconds `toml:"wait"`
		Effect   string  `toml:"effect"`
		Window   seconds `toml:"dedup_window"`
	} `toml:"class"`
	Servers []struct {
		Count    int     `toml:"count"`
		Zone     string  `toml:"zone"`
		Cores    int     `toml:"cores"`
		Speed    float64 `toml:"speed"`
		Room     int     `toml:"room"`
		ColdFrom float64 `toml:"cold_from"`
		ColdTime seconds `toml:"cold_time"`
		CrowdAt  int     `toml:"crowd_from"`
		Crowd    float64 `toml:"crowd_slow"`
	} `toml:"servers"`
	Fault []struct {
		At      seconds `toml:"at"`
		For     seconds `toml:"for"`
		Servers []int   `toml:"servers"` // numbers of servers, from 0
		Kind    string  `toml:"kind"`
	} `toml:"fault"`
}

var effects = map[string]decide.Effect{"safe": decide.Safe, "keyed": decide.Keyed, "unsafe": decide.Unsafe}

var faultKinds = map[string]FaultKind{"mute": Unresponsive, "crash": Crash, "slow": Slow}

// LoadScenario reads a scenario file and checks all of it. An error is one line with the file, the line and the
// key.
func LoadScenario(path string) (*Scenario, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parseScenario(path, raw)
}

// parseScenario checks the text of a scenario file and builds the scenario. path names the file in errors.
func parseScenario(path string, raw []byte) (*Scenario, error) {
	var file scenarioFile
	if err := tomlfile.Decode(path, raw, &file); err != nil {
		return nil, err
	}
	keyError := tomlfile.KeyErrors(path, raw)
	within := func(key string, have, least, most float64) error {
		if !(have >= least && have <= most) { // also catches NaN
			return keyError(key, "want %v to %v, have %v", least, most, have)
		}
		return nil
	}
	duration := func(key string, have seconds, least, most time.Duration) error {
		if have.Duration < least || have.Duration > most {
			return keyError(key, "want %v to %v, have %v", least, most, have.Duration)
		}
		return nil
	}
	scenario := &Scenario{Length: file.Length.Duration, Nodes: file.Nodes, Hop: file.Hop.Duration,
		Retries: file.Retries, IgnoresHoldOff: file.IgnoresHoldOff, NodeCost: file.NodeCost.Duration,
		RegistryLag: file.RegistryLag.Duration}
	for _, err := range []error{duration("length", file.Length, time.Second, maxLength),
		within("load", file.Load, 0.01, 10), within("nodes", float64(file.Nodes), 1, maxNodes),
		duration("hop", file.Hop, 0, time.Second), within("retries", float64(file.Retries), 0, 10),
		within("heedless", file.IgnoresHoldOff, 0, 1), duration("node_cost", file.NodeCost, 0, time.Second),
		duration("registry_lag", file.RegistryLag, 0, time.Minute)} {
		if err != nil {
			return nil, err
		}
	}
	if len(file.Class) == 0 {
		return nil, keyError("class", "want one at least")
	}
	share, meanWork := 0.0, 0.0
	names := map[string]bool{}
	for i, c := range file.Class {
		at := fmt.Sprintf("class[%d].", i)
		effect, known := effects[c.Effect]
		switch {
		case c.Name == "" || names[c.Name]:
			return nil, keyError(at+"name", "want a name that no other class has, have %q", c.Name)
		case !known:
			return nil, keyError(at+"effect", "want safe, keyed or unsafe, have %q", c.Effect)
		case effect == decide.Keyed && c.Window.Duration <= 0:
			return nil, keyError(at+"dedup_window", "a keyed class wants one")
		}
		names[c.Name] = true
		for _, err := range []error{within(at+"share", c.Share, 1e-6, 1e6), within(at+"worth", c.Worth, 0, 1e6),
			within(at+"work_cv", c.WorkCV, 0, 10),
			duration(at+"work", c.Work, time.Microsecond, time.Minute),
			duration(at+"patience", c.Patience, time.Millisecond, time.Minute),
			duration(at+"aim", c.Aim, time.Millisecond, c.Patience.Duration),
			duration(at+"wait", c.Wait, 0, time.Minute)} {
			if err != nil {
				return nil, err
			}
		}
		class := Class{Share: c.Share, Work: c.Work.Duration, WorkCV: c.WorkCV, Wait: c.Wait.Duration,
			Class: decide.Class{Name: c.Name, Worth: c.Worth, Aim: c.Aim.Duration,
				Deadline: c.Patience.Duration, Effect: effect, KeyScope: decide.ScopeCell, DedupWindow: c.Window.Duration}}
		scenario.Classes = append(scenario.Classes, class)
		scenario.Settings.Classes = append(scenario.Settings.Classes, class.Class)
		share, meanWork = share+c.Share, meanWork+c.Share*c.Work.Seconds()
	}
	capacity := 0.0 // capacity of all servers, in seconds of work a second
	zones := map[string]bool{}
	for i, spec := range file.Servers {
		at := fmt.Sprintf("servers[%d].", i)
		for _, err := range []error{within(at+"count", float64(spec.Count), 1, maxServers),
			within(at+"cores", float64(spec.Cores), 1, maxCores), within(at+"speed", spec.Speed, 0.01, 100),
			within(at+"room", float64(spec.Room), 1, 1e6), within(at+"cold_from", spec.ColdFrom, 0.01, 1),
			within(at+"crowd_from", float64(spec.CrowdAt), 0, 1e6), within(at+"crowd_slow", spec.Crowd, 0, 100),
			duration(at+"cold_time", spec.ColdTime, 0, maxLength)} {
			if err != nil {
				return nil, err
			}
		}
		if len(scenario.Servers)+spec.Count > maxServers {
			return nil, keyError(at+"count", "%d servers in all, %d at most", len(scenario.Servers)+spec.Count,
				maxServers)
		}
		for range spec.Count {
			n := len(scenario.Servers)
			scenario.Servers = append(scenario.Servers, ServerSpec{Name: fmt.Sprint("s-", n), Zone: spec.Zone,
				Cell: n / 2, Cores: spec.Cores, Speed: spec.Speed, MaxRequests: spec.Room,
				ColdFrom: spec.ColdFrom, ColdTime: spec.ColdTime.Duration, CongestedFrom: spec.CrowdAt,
				CongestionSlowdown: spec.Crowd})
			capacity += float64(spec.Cores) * spec.Speed
		}
		scenario.Settings.ColdFrom, scenario.Settings.ColdTime = spec.ColdFrom,
			max(scenario.Settings.ColdTime, spec.ColdTime.Duration)
		if !zones[spec.Zone] {
			zones[spec.Zone] = true
			scenario.Settings.Zones = append(scenario.Settings.Zones, spec.Zone)
		}
	}
	if len(scenario.Servers) == 0 {
		return nil, keyError("servers", "want one at least")
	}
	if len(file.Fault) > maxFaults {
		return nil, keyError("fault", "%d, %d at most", len(file.Fault), maxFaults)
	}
	for i, entry := range file.Fault {
		at := fmt.Sprintf("fault[%d].", i)
		kind, known := faultKinds[entry.Kind]
		if !known {
			return nil, keyError(at+"kind", "want mute, crash or slow, have %q", entry.Kind)
		}
		for _, err := range []error{duration(at+"at", entry.At, 0, scenario.Length),
			duration(at+"for", entry.For, time.Millisecond, maxLength)} {
			if err != nil {
				return nil, err
			}
		}
		for _, n := range entry.Servers {
			if n < 0 || n >= len(scenario.Servers) {
				return nil, keyError(at+"servers", "there is no server %d: they are 0 to %d", n,
					len(scenario.Servers)-1)
			}
			scenario.Faults = append(scenario.Faults, Fault{At: entry.At.Duration, For: entry.For.Duration, Server: n,
				Kind: kind})
		}
	}
	scenario.Rate = file.Load * capacity / (meanWork / share)
	if err := within("load", scenario.Rate, 0, maxRate); err != nil {
		return nil, keyError("load", "that is %.0f orders a second, %.0f at most", scenario.Rate, maxRate)
	}
	settings := &scenario.Settings
	settings.Zone, settings.MaxAttempts, settings.MayCancel, settings.HoldOffs, settings.MaxHoldOff,
		settings.ConnectTimeout = scenario.Servers[0].Zone, 4, true, true, 2*time.Second, 250*time.Millisecond
	return scenario, nil
}

package model

import (
	"os"
	"strings"
	"time"

	"starlingvalve/internal/tomlfile"
)

// Version is one side of a comparison: a change to the scenario's policy, to the nodes' settings, or to the fleet.
type Version struct {
	Name   string
	modify func(*Scenario)
}

// versionFile is the structure of a version file. Keys that it leaves out keep the scenario's values.
type versionFile struct {
	Policy   string `toml:"policy"` // see FindPolicy
	Settings struct {
		MaxAttempts    *int     `toml:"max_attempts"`
		MayOverlap     *bool    `toml:"may_overlap"`
		MayCancel      *bool    `toml:"may_cancel"`
		HoldOffs       *bool    `toml:"hold_offs"`
		MaxHoldOff     *seconds `toml:"max_hold_off"`
		ConnectTimeout *seconds `toml:"connect_timeout"`
		ColdFrom       *float64 `toml:"cold_from"` // what nodes assume of servers' cold starts
		ColdTime       *seconds `toml:"cold_time"`
	} `toml:"settings"`
	Fleet struct {
		Speed    *float64 `toml:"speed"` // factor on the speed of all servers of the scenario
		Load     *float64 `toml:"load"`  // factor on the scenario's orders a second
		Nodes    *int     `toml:"nodes"`
		Lag      *seconds `toml:"registry_lag"`
		Heedless *float64 `toml:"heedless"`
		Retries  *int     `toml:"retries"`
	} `toml:"fleet"`
}

// FindVersion returns the version that uses the policy of that name. If the name ends in .toml, it reads the
// version file of that path.
func FindVersion(name string) (*Version, error) {
	if strings.HasSuffix(name, ".toml") {
		raw, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		return parseVersion(name, raw)
	}
	p, err := FindPolicy(name)
	if err != nil {
		return nil, err
	}
	return &Version{name, func(sc *Scenario) { sc.Policy = p }}, nil
}

// parseVersion checks the text of a version file. path names the file in errors.
func parseVersion(path string, raw []byte) (*Version, error) {
	var file versionFile
	if err := tomlfile.Decode(path, raw, &file); err != nil {
		return nil, err
	}
	keyError := tomlfile.KeyErrors(path, raw)
	policy := Policies()[0]
	if file.Policy != "" {
		var err error
		if policy, err = FindPolicy(file.Policy); err != nil {
			return nil, keyError("policy", "%v", err)
		}
	}
	settings, fleet := file.Settings, file.Fleet
	for _, err := range []error{
		inRange(keyError, "settings.max_attempts", settings.MaxAttempts, 1, 100),
		inRange(keyError, "settings.cold_from", settings.ColdFrom, 0.01, 1),
		inRange(keyError, "fleet.speed", fleet.Speed, 0.01, 100),
		inRange(keyError, "fleet.load", fleet.Load, 0.01, 100),
		inRange(keyError, "fleet.nodes", fleet.Nodes, 1, maxNodes),
		inRange(keyError, "fleet.heedless", fleet.Heedless, 0, 1),
		inRange(keyError, "fleet.retries", fleet.Retries, 0, 10),
		durationInRange(keyError, "settings.max_hold_off", settings.MaxHoldOff, 0, time.Minute),
		durationInRange(keyError, "settings.connect_timeout", settings.ConnectTimeout,
			time.Millisecond, time.Minute),
		durationInRange(keyError, "settings.cold_time", settings.ColdTime, 0, maxLength),
		durationInRange(keyError, "fleet.registry_lag", fleet.Lag, 0, time.Minute),
	} {
		if err != nil {
			return nil, err
		}
	}
	return &Version{path, func(sc *Scenario) {
		sc.Policy = policy
		t := &sc.Settings
		setIfGiven(&t.MaxAttempts, settings.MaxAttempts)
		setIfGiven(&t.MayOverlap, settings.MayOverlap)
		setIfGiven(&t.MayCancel, settings.MayCancel)
		setIfGiven(&t.HoldOffs, settings.HoldOffs)
		setIfGiven(&t.ColdFrom, settings.ColdFrom)
		setDurationIfGiven(&t.MaxHoldOff, settings.MaxHoldOff)
		setDurationIfGiven(&t.ConnectTimeout, settings.ConnectTimeout)
		setDurationIfGiven(&t.ColdTime, settings.ColdTime)
		setIfGiven(&sc.Nodes, fleet.Nodes)
		setIfGiven(&sc.IgnoresHoldOff, fleet.Heedless)
		setIfGiven(&sc.Retries, fleet.Retries)
		setDurationIfGiven(&sc.RegistryLag, fleet.Lag)
		if fleet.Load != nil {
			sc.Rate *= *fleet.Load
		}
		if fleet.Speed != nil {
			for i := range sc.Servers {
				sc.Servers[i].Speed *= *fleet.Speed
			}
		}
	}}, nil
}

// errorMaker makes an error that names the file, the line and the key.
type errorMaker = func(key, format string, args ...any) error

// inRange returns an error if a value is given and is not within least and most.
func inRange[T int | float64](fault errorMaker, key string, v *T, least, most T) error {
	if v != nil && !(*v >= least && *v <= most) {
		return fault(key, "want %v to %v, have %v", least, most, *v)
	}
	return nil
}

// durationInRange returns an error if a duration is given and is not within least and most.
func durationInRange(fault errorMaker, key string, v *seconds, least, most time.Duration) error {
	if v != nil && (v.Duration < least || v.Duration > most) {
		return fault(key, "want %v to %v, have %v", least, most, v.Duration)
	}
	return nil
}

// setIfGiven sets a value if the version file gives it.
func setIfGiven[T any](to *T, v *T) {
	if v != nil {
		*to = *v
	}
}

// setDurationIfGiven sets a duration if the version file gives it.
func setDurationIfGiven(to *time.Duration, v *seconds) {
	if v != nil {
		*to = v.Duration
	}
}

// Apply returns a copy of the scenario with this version's changes. salt differs between the sides of a
// comparison, so that the deciders of each side draw random numbers of their own, also where both versions are the
// same.
func (v *Version) Apply(sc *Scenario, salt string) *Scenario {
	c := *sc
	c.Servers = append([]ServerSpec(nil), sc.Servers...)
	c.Salt = salt
	v.modify(&c)
	return &c
}

// ScaleLoad returns a copy of the scenario with load times its orders a second.
func (sc *Scenario) ScaleLoad(load float64) *Scenario {
	c := *sc
	c.Rate *= load
	return &c
}

// Measures returns the names of the compared measures, the main one first. All except the times (ms), the tries
// and the turns are fractions of what was requested.
func (sc *Scenario) Measures() []string {
	names := []string{"worth in time", "refused", "failed", "tries an order", "p50 ms", "p99 ms", "p99.9 ms", "turns"}
	for _, c := range sc.Classes {
		names = append(names, "in time, "+c.Name)
	}
	return names
}

// Values returns the figures of a run in the order of Measures. Where nothing was requested or served, fractions and
// times are 0.
func (o *Outcome) Values() []float64 {
	part := func(n, of int) float64 { return float64(n) / float64(max(1, of)) }
	time := func(q float64) float64 { return float64(o.Times.ValueAtQuantile(q)) / 1e3 }
	v := []float64{o.WorthFraction(), part(o.Refused, o.Orders), part(o.Failed, o.Orders), part(o.Tries, o.Orders),
		time(50), time(99), time(99.9), float64(o.ModeChanges)}
	for _, c := range o.Classes {
		v = append(v, part(c.InAim, c.Orders))
	}
	return v
}

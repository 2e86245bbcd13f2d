// Package wire translates between the simulator's JSON lines and the types of the decision module (package decide).
// It contains no decisions. Times on the wire are in nanoseconds, from the start of the simulation where they are
// absolute.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"starlingvalve/decide"
)

// Outcome codes on the wire (the key disposition).
const (
	codeOK            = 0
	codeCancelled     = 1
	codeTimeout       = 4
	codeFull          = 8
	codeMoot          = 9
	codeReset         = 10
	codeError         = 13
	codeConnectFailed = 14
)

// Bits of the key flags of a submit event.
const (
	flagHint   = 1 // cost_guess_ns is set
	flagRepeat = 2 // the client has sent the request before
	flagWrite  = 4 // the request changes data
)

var outcomes = map[int]decide.OutcomeCode{
	codeOK: decide.OK, codeCancelled: decide.Cancelled, codeTimeout: decide.TimedOut, codeFull: decide.Full,
	codeMoot: decide.Moot, codeReset: decide.Reset, codeError: decide.ServerError,
	codeConnectFailed: decide.ConnectFailed,
}

// Start is the event `up`: an instance starts, with its settings and the seed of its random numbers.
type Start struct {
	Settings decide.Settings
	Seed     int64
}

// InstanceEvent is one event for an instance. Exactly one of its fields is set: Start when the instance starts,
// Retire when it ends, otherwise Event, for the decision module.
type InstanceEvent struct {
	Start  *Start
	Retire bool
	Event  decide.Event
}

// Group holds the events of one instance, in order. Node is its id.
type Group struct {
	Node   int
	Events []InstanceEvent
}

// Batch is one line from the simulator: the events of one moment.
type Batch struct {
	Now    decide.Time
	Groups []Group
}

// DecodeBatch decodes one line. An error names the node, the event and what is wrong with it.
func DecodeBatch(line []byte) (Batch, error) {
	var in struct {
		Now    *int64 `json:"sim_time_ns"`
		Groups []struct {
			Node     *int                         `json:"node_id"`
			Happened []map[string]json.RawMessage `json:"happened"`
		} `json:"groups"`
	}
	if err := json.Unmarshal(line, &in); err != nil {
		return Batch{}, fmt.Errorf("batch: %w", err)
	}
	if in.Now == nil {
		return Batch{}, errors.New("batch: sim_time_ns is missing")
	}
	batch := Batch{Now: time.Duration(*in.Now)}
	for i, g := range in.Groups {
		if g.Node == nil {
			return Batch{}, fmt.Errorf("group %d: node_id is missing", i)
		}
		group := Group{Node: *g.Node}
		for j, event := range g.Happened {
			where := fmt.Sprintf("node %d, event %d", *g.Node, j)
			if len(event) != 1 {
				return Batch{}, fmt.Errorf("%s: want one key, have %d", where, len(event))
			}
			for name, raw := range event {
				decoded, err := decodeEvent(name, raw)
				if err != nil {
					return Batch{}, fmt.Errorf("%s, %s: %w", where, name, err)
				}
				group.Events = append(group.Events, decoded)
			}
		}
		batch.Groups = append(batch.Groups, group)
	}
	return batch, nil
}

// missingField is the error for a mandatory field that is not in the JSON.
type missingField string

// Error returns the name of the field, and that it is missing.
func (m missingField) Error() string { return string(m) + " is missing" }

// listEntry is one server in a roster_change event.
type listEntry struct {
	Backend *uint32 `json:"backend"`
	Zone    string  `json:"zone"`
	Model   string  `json:"model"`
	Pod     int     `json:"pod"`
	State   string  `json:"state"`
	Nominal float64 `json:"nominal"`
	ReadyAt int64   `json:"ready_at_ns"`
}

// decodeEvent decodes the event with that name (the key of its JSON object).
func decodeEvent(name string, raw json.RawMessage) (InstanceEvent, error) {
	switch name {
	case "submit":
		var event struct {
			Req      *string `json:"req"`
			Band     string  `json:"band"`
			Group    any     `json:"user_group"`
			Key      string  `json:"partition_key"`
			Patience *int64  `json:"patience_left_ns"`
			Cost     int64   `json:"cost_guess_ns"`
			Flags    int     `json:"flags"`
		}
		if err := json.Unmarshal(raw, &event); err != nil {
			return InstanceEvent{}, err
		}
		if event.Req == nil {
			return InstanceEvent{}, missingField("req")
		}
		if event.Patience == nil {
			return InstanceEvent{}, missingField("patience_left_ns")
		}
		tenant, _ := event.Group.(string)
		return InstanceEvent{Event: decide.RequestArrived{ID: decide.RequestID(*event.Req), Class: event.Band, Tenant: tenant,
			Key: event.Key, Patience: time.Duration(*event.Patience), WorkHint: time.Duration(event.Cost),
			HasHint: event.Flags&flagHint != 0, Repeat: event.Flags&flagRepeat != 0, Write: event.Flags&flagWrite != 0}}, nil
	case "attempt_end", "probe_result", "streaming":
		return decodeOutcome(name, raw)
	case "due":
		var event struct {
			Label *int64 `json:"label"`
		}
		if err := json.Unmarshal(raw, &event); err != nil {
			return InstanceEvent{}, err
		}
		if event.Label == nil {
			return InstanceEvent{}, missingField("label")
		}
		return InstanceEvent{Event: decide.TimerFired{Token: *event.Label}}, nil
	case "abandoned":
		var event struct {
			Req *string `json:"req"`
		}
		if err := json.Unmarshal(raw, &event); err != nil {
			return InstanceEvent{}, err
		}
		if event.Req == nil {
			return InstanceEvent{}, missingField("req")
		}
		return InstanceEvent{Event: decide.RequestAbandoned{ID: decide.RequestID(*event.Req)}}, nil
	case "note_from":
		var event struct {
			From  *int   `json:"from"`
			Bytes []byte `json:"bytes"`
		}
		if err := json.Unmarshal(raw, &event); err != nil {
			return InstanceEvent{}, err
		}
		if event.From == nil {
			return InstanceEvent{}, missingField("from")
		}
		return InstanceEvent{Event: decide.MessageReceived{From: *event.From, Data: event.Bytes}}, nil
	case "roster_change":
		return decodeList(raw)
	case "up":
		return decodeStart(raw)
	case "retire":
		return InstanceEvent{Retire: true}, nil
	}
	return InstanceEvent{}, errors.New("unknown event")
}

// decodeOutcome decodes the events attempt_end, probe_result and streaming.
func decodeOutcome(name string, raw json.RawMessage) (InstanceEvent, error) {
	var event struct {
		Req         *string                    `json:"req"`
		Leg         *int                       `json:"leg"`
		Backend     *uint32                    `json:"backend"`
		Over        bool                       `json:"over"`
		Delay       int64                      `json:"delay_seen_ns"`
		Disposition *int                       `json:"disposition"`
		Feedback    map[string]json.RawMessage `json:"feedback"`
	}
	if err := json.Unmarshal(raw, &event); err != nil {
		return InstanceEvent{}, err
	}
	if event.Backend == nil {
		return InstanceEvent{}, missingField("backend")
	}
	server, took := decide.ServerID(*event.Backend), time.Duration(event.Delay)
	var id decide.RequestID
	if name != "probe_result" {
		if event.Req == nil {
			return InstanceEvent{}, missingField("req")
		}
		if event.Leg == nil {
			return InstanceEvent{}, missingField("leg")
		}
		id = decide.RequestID(*event.Req)
	}
	if name == "streaming" {
		return InstanceEvent{Event: decide.StreamStarted{ID: id, Attempt: *event.Leg, Server: server, Elapsed: took}}, nil
	}
	if event.Disposition == nil {
		return InstanceEvent{}, missingField("disposition")
	}
	code, ok := outcomes[*event.Disposition]
	if !ok {
		return InstanceEvent{}, fmt.Errorf("unknown disposition %d", *event.Disposition)
	}
	report := decodeReport(event.Feedback)
	if name == "probe_result" {
		return InstanceEvent{Event: decide.ProbeEnded{Server: server, Code: code, Elapsed: took, Report: report}}, nil
	}
	return InstanceEvent{Event: decide.AttemptEnded{ID: id, Attempt: *event.Leg, Server: server, RequestDone: event.Over,
		Elapsed: took, Code: code, Report: report}}, nil
}

// decodeReport decodes a server's load report. Unknown keys and values that are no numbers are skipped; without any
// known key the result is nil.
func decodeReport(values map[string]json.RawMessage) *decide.Report {
	var r decide.Report
	known := false
	for name, raw := range values {
		v, err := strconv.ParseFloat(string(raw), 64)
		if err != nil {
			continue
		}
		known = SetReport(&r, name, v) || known
	}
	if !known {
		return nil
	}
	return &r
}

// SetReport sets one value of a load report, by its name in the simulator (first of each pair) or in the servers'
// load header (second). It reports whether the name is known.
func SetReport(r *decide.Report, name string, v float64) bool {
	switch name {
	case "active", "inflight":
		r.InFlight, r.HasInFlight = v, true
	case "waiting", "queue":
		r.Queue, r.HasQueue = v, true
	case "cpu", "util":
		r.Utilisation = v
	case "avg_ms", "latency_ms":
		r.ServiceTime = time.Duration(v * float64(time.Millisecond))
	case "rps", "qps":
		r.Rate = v
	case "err_rps", "eps":
		r.ErrorRate = v
	default:
		return false
	}
	return true
}

var listKinds = map[string]decide.ListKind{
	"D": decide.ListChanges, "F": decide.ListFull, "C": decide.ListCached, "X": decide.ListFailed,
}

var states = map[string]decide.ServerState{
	"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Removed,
}

// decodeList decodes a roster_change event: a list of servers, or changes to it.
func decodeList(raw json.RawMessage) (InstanceEvent, error) {
	var event struct {
		How     string      `json:"how"`
		Version uint64      `json:"version"`
		Items   []listEntry `json:"items"`
	}
	if err := json.Unmarshal(raw, &event); err != nil {
		return InstanceEvent{}, err
	}
	kind, ok := listKinds[event.How]
	if !ok {
		return InstanceEvent{}, fmt.Errorf("unknown how %q", event.How)
	}
	update := decide.ListUpdate{Kind: kind, Version: event.Version}
	for i, item := range event.Items {
		if item.Backend == nil {
			return InstanceEvent{}, fmt.Errorf("entry %d: %w", i, missingField("backend"))
		}
		state, ok := states[item.State]
		if !ok {
			return InstanceEvent{}, fmt.Errorf("entry %d: unknown state %q", i, item.State)
		}
		update.Entries = append(update.Entries, decide.Server{ID: decide.ServerID(*item.Backend), Zone: item.Zone, Kind: item.Model,
			Cell: item.Pod, State: state, Size: item.Nominal, StartedAt: time.Duration(item.ReadyAt)})
	}
	return InstanceEvent{Event: update}, nil
}

var effects = map[string]decide.Effect{"retryable": decide.Safe, "dedup": decide.Keyed, "fragile": decide.Unsafe}

var scopes = map[string]decide.Scope{"cell": decide.ScopeCell, "zone": decide.ScopeZone, "all": decide.ScopeAll}

var reportVias = map[string]decide.ReportVia{
	"none": decide.ReportNone, "probe": decide.ReportProbe, "answers": decide.ReportAnswers,
}

// decodeStart decodes an up event. A seed that is no unsigned 64-bit integer is taken as a float64, and its bits are
// the seed.
func decodeStart(raw json.RawMessage) (InstanceEvent, error) {
	var event struct {
		Seed    *json.Number    `json:"seed"`
		Profile json.RawMessage `json:"profile_data"`
	}
	if err := json.Unmarshal(raw, &event); err != nil {
		return InstanceEvent{}, err
	}
	if event.Seed == nil {
		return InstanceEvent{}, missingField("seed")
	}
	if event.Profile == nil {
		return InstanceEvent{}, missingField("profile_data")
	}
	seed, err := strconv.ParseUint(event.Seed.String(), 10, 64)
	if err != nil {
		f, ferr := event.Seed.Float64()
		if ferr != nil {
			return InstanceEvent{}, fmt.Errorf("seed: %w", err)
		}
		seed = math.Float64bits(f)
	}
	settings, err := DecodeSettings(event.Profile)
	if err != nil {
		return InstanceEvent{}, err
	}
	return InstanceEvent{Start: &Start{Settings: settings, Seed: int64(seed)}}, nil
}

// DecodeSettings decodes the settings of the decision module from the profile_data object of an up event. A real node
// has the same object in its configuration.
func DecodeSettings(raw json.RawMessage) (decide.Settings, error) {
	var profile *struct {
		Accounts []struct {
			Name     string  `json:"name"`
			Quota    float64 `json:"quota_per_s"`
			Fraction float64 `json:"fraction"`
		} `json:"accounts"`
		Balancers int `json:"balancers"`
		Caps      struct {
			Cancel         bool    `json:"cancel"`
			ConnIdle       int64   `json:"conn_idle_ns"`
			ConnectTimeout int64   `json:"connect_timeout_ns"`
			CPUPerRequest  float64 `json:"cpu_us_per_request"`
			CPUPerSecond   float64 `json:"cpu_us_per_s"`
			MaxAttempts    int     `json:"max_attempts"`
			MaxRetryAfter  int64   `json:"max_retry_after_ns"`
			MayDuplicate   bool    `json:"may_duplicate"`
			MostHeld       int     `json:"most_held"`
			Multiplex      int     `json:"multiplex"`
			Peers          bool    `json:"peers"`
			Probes         bool    `json:"probes"`
			RetryAfter     bool    `json:"retry_after"`
		} `json:"caps"`
		Charges struct {
			Connection float64 `json:"connection"`
			CrossZone  float64 `json:"cross_zone"`
			Fleet      float64 `json:"fleet"`
			Handshake  float64 `json:"handshake"`
			LateFail   float64 `json:"late_fail"`
			Lines      float64 `json:"membership_mode"`
			Moves      float64 `json:"moves"`
			Origin     float64 `json:"origin"`
			Peer       float64 `json:"peer"`
			Probe      float64 `json:"probe"`
			Waste      float64 `json:"waste"`
		} `json:"charges"`
		Classes []struct {
			AimStretch float64 `json:"aim_stretch"`
			Aim        int64   `json:"aim_ns"`
			Dedup      int64   `json:"dedup_window_ns"`
			Effect     string  `json:"effect"`
			GiveUp     int64   `json:"give_up_ns"`
			Importance float64 `json:"importance"`
			KeyScope   string  `json:"key_scope"`
			LateWorth  float64 `json:"late_worth"`
			Name       string  `json:"name"`
			Streamed   bool    `json:"streamed"`
		} `json:"classes"`
		Habits struct {
			MarksRetry bool `json:"marks_retry"`
		} `json:"client_habits"`
		Domains []string `json:"failure_domains"`
		Family  string   `json:"family"`
		Goal    struct {
			Whole       float64 `json:"whole"`
			WorstClass  float64 `json:"worst_class"`
			WorstTenant float64 `json:"worst_tenant"`
			WorstWindow float64 `json:"worst_window"`
		} `json:"goal"`
		Kinds      []string `json:"kinds"`
		Membership string   `json:"membership_mode"`
		OverShare  float64  `json:"over_share_worth"`
		Report     struct {
			Fields []string `json:"fields"`
			How    string   `json:"how"`
		} `json:"report"`
		Slot      int `json:"slot_no"`
		Specifics struct {
			PassesDeadline bool `json:"passes_deadline"`
			WarmKeys       bool `json:"warm_keys"`
		} `json:"specifics"`
		Invariants struct {
			AnswerSlack    int64   `json:"answer_slack_ns"`
			AskWithin      int64   `json:"ask_within_ns"`
			ColdFrom       float64 `json:"cold_from"`
			Cold           int64   `json:"cold_ns"`
			DrainGrace     int64   `json:"drain_grace_ns"`
			OverloadFactor float64 `json:"overload_factor"`
			TipAfter       int64   `json:"tip_after_ns"`
		} `json:"invariants"`
		Tick       int64    `json:"tick_ns"`
		Tier       int      `json:"tier"`
		Tiers      []string `json:"tiers"`
		WeightKind string   `json:"weight_kind"`
		WorthBy    string   `json:"worth_by"`
		Zone       string   `json:"zone"`
	}
	if err := json.Unmarshal(raw, &profile); err != nil {
		return decide.Settings{}, err
	}
	if profile == nil {
		return decide.Settings{}, missingField("profile_data")
	}
	settings := decide.Settings{Nodes: profile.Balancers, Self: profile.Slot, Zone: profile.Zone, Zones: profile.Domains, Kinds: profile.Kinds,
		MaxAttempts: profile.Caps.MaxAttempts, MayOverlap: profile.Caps.MayDuplicate, MayCancel: profile.Caps.Cancel,
		MayProbe: profile.Caps.Probes, MayMessage: profile.Caps.Peers, HoldOffs: profile.Caps.RetryAfter,
		MaxHoldOff: time.Duration(profile.Caps.MaxRetryAfter), MarksRepeats: profile.Habits.MarksRetry,
		ConnectTimeout: time.Duration(profile.Caps.ConnectTimeout), MinTick: time.Duration(profile.Tick),
		ListOnRequest: profile.Membership == "on_request", SizeKnown: profile.WeightKind != "none",
		SizeLive: profile.WeightKind == "live", OverShareWorth: profile.OverShare, WorthByWork: profile.WorthBy == "work",
		ReportVia: reportVias[profile.Report.How], ReportFields: profile.Report.Fields,
		AnswerSlack: time.Duration(profile.Invariants.AnswerSlack), MaxListRequestInterval: time.Duration(profile.Invariants.AskWithin),
		DrainGrace: time.Duration(profile.Invariants.DrainGrace), ColdFrom: profile.Invariants.ColdFrom,
		ColdTime: time.Duration(profile.Invariants.Cold), OverloadFactor: profile.Invariants.OverloadFactor,
		OverloadTime: time.Duration(profile.Invariants.TipAfter), Family: profile.Family, Tier: profile.Tier, Tiers: profile.Tiers,
		WarmKeys: profile.Specifics.WarmKeys, PassesDeadline: profile.Specifics.PassesDeadline,
		StreamsPerConn: profile.Caps.Multiplex, ConnIdle: time.Duration(profile.Caps.ConnIdle), MaxOpen: profile.Caps.MostHeld,
		CPUPerSecond:  time.Duration(profile.Caps.CPUPerSecond * float64(time.Microsecond)),
		CPUPerRequest: time.Duration(profile.Caps.CPUPerRequest * float64(time.Microsecond)),
		Goal: decide.Goal{Whole: profile.Goal.Whole, WorstWindow: profile.Goal.WorstWindow, WorstClass: profile.Goal.WorstClass,
			WorstTenant: profile.Goal.WorstTenant},
		Prices: decide.Prices{Connection: profile.Charges.Connection, Handshake: profile.Charges.Handshake,
			CrossZone: profile.Charges.CrossZone, Waste: profile.Charges.Waste, LateFail: profile.Charges.LateFail,
			Probe: profile.Charges.Probe, Message: profile.Charges.Peer, Moves: profile.Charges.Moves, Origin: profile.Charges.Origin,
			ListLines: profile.Charges.Lines, Fleet: profile.Charges.Fleet}}
	for _, class := range profile.Classes {
		effect, ok := effects[class.Effect]
		if !ok {
			return decide.Settings{}, fmt.Errorf("class %s: unknown effect %q", class.Name, class.Effect)
		}
		scope, ok := scopes[class.KeyScope]
		if !ok && effect == decide.Keyed {
			return decide.Settings{}, fmt.Errorf("class %s: unknown key_scope %q", class.Name, class.KeyScope)
		}
		settings.Classes = append(settings.Classes, decide.Class{Name: class.Name, Worth: class.Importance, Aim: time.Duration(class.Aim),
			AimStretch: class.AimStretch, Deadline: time.Duration(class.GiveUp), LateWorth: class.LateWorth, Effect: effect,
			KeyScope: scope, DedupWindow: time.Duration(class.Dedup), Streamed: class.Streamed})
	}
	for _, tenant := range profile.Accounts {
		settings.Tenants = append(settings.Tenants, decide.Tenant{Name: tenant.Name, Quota: tenant.Quota, Share: tenant.Fraction})
	}
	return settings, nil
}

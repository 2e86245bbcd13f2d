package wire

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"starlingvalve/decide"
)

// startEvent has most settings, a seed that a float64 can't hold exactly, and an unknown key.
const startEvent = `{"up":{"seed":9007199254740993,"profile_data":{"accounts":[{"name":"a","quota_per_s":5,"fraction":0.5}],
"balancers":3,"caps":{"cancel":true,"connect_timeout_ns":250000000,"cpu_us_per_s":15000,"cpu_us_per_request":2.5,"most_held":9,"multiplex":100,"conn_idle_ns":5,"max_attempts":4,"may_duplicate":true,"peers":true,
"probes":true,"retry_after":true,"max_retry_after_ns":2000000000},"classes":[{"aim_ns":600000000,"dedup_window_ns":8,
"effect":"dedup","give_up_ns":1200000000,"importance":12.0,"key_scope":"cell","late_worth":0.5,"name":"x","streamed":true}],
"failure_domains":["n"],"membership_mode":"on_request","report":{"fields":["active"],"how":"answers"},"slot_no":2,
"invariants":{"answer_slack_ns":20000000,"ask_within_ns":10000000000,"cold_from":0.32,"cold_ns":8300000000,
"drain_grace_ns":500000000,"overload_factor":2.5,"tip_after_ns":1000000000},"tick_ns":5000000,"weight_kind":"live",
"charges":{"cross_zone":0.02,"membership_mode":0.5},"goal":{"whole":0.6,"worst_window":0.4},"family":"proxy","tiers":["a","b"],
"tier":1,"specifics":{"warm_keys":true},"zone":"n","key_of_tomorrow":[1]}}}`

// batchOf returns a batch with events for one instance.
func batchOf(events string) string {
	return `{"sim_time_ns":1,"groups":[{"node_id":3,"happened":[` + events + `]}]}`
}

// decodeOne decodes a batch with one event.
func decodeOne(t *testing.T, event string) InstanceEvent {
	t.Helper()
	b, err := DecodeBatch([]byte(batchOf(event)))
	if err != nil {
		t.Fatal(err)
	}
	return b.Groups[0].Events[0]
}

// Guards against settings of the simulator that are lost or get into the wrong field, and a seed that is rounded.
func TestStart(t *testing.T) {
	h := decodeOne(t, strings.ReplaceAll(startEvent, "\n", ""))
	s := h.Start.Settings
	if h.Start.Seed != 9007199254740993 || s.Nodes != 3 || s.Self != 2 || !s.ListOnRequest || !s.SizeLive || !s.MayOverlap ||
		s.ReportVia != decide.ReportAnswers || s.DrainGrace != 500*time.Millisecond || s.OverloadFactor != 2.5 {
		t.Errorf("wrong seed or settings: %+v", h.Start)
	}
	if s.CPUPerSecond != 15*time.Millisecond || s.CPUPerRequest != 2500*time.Nanosecond || s.MaxOpen != 9 || s.ConnIdle != 5 ||
		s.StreamsPerConn != 100 || s.Prices != (decide.Prices{CrossZone: 0.02, ListLines: 0.5}) || s.Tier != 1 || len(s.Tiers) != 2 ||
		s.Goal != (decide.Goal{Whole: 0.6, WorstWindow: 0.4}) || s.Family != "proxy" || !s.WarmKeys || s.PassesDeadline {
		t.Errorf("wrong settings: %+v", s)
	}
	c := s.Classes[0]
	if c.Effect != decide.Keyed || c.KeyScope != decide.ScopeCell || c.Worth != 12 || !c.Streamed || c.Deadline != 1200*time.Millisecond {
		t.Errorf("wrong class settings: %+v", c)
	}
}

// Guards against outcome codes that are mixed up, and load reports that are lost beside an unknown key.
func TestOutcomeCodes(t *testing.T) {
	for code, want := range map[string]decide.OutcomeCode{"0": decide.OK, "13": decide.ServerError, "8": decide.Full,
		"4": decide.TimedOut, "14": decide.ConnectFailed, "10": decide.Reset, "1": decide.Cancelled, "9": decide.Moot} {
		h := decodeOne(t, `{"attempt_end":{"req":"q","leg":1,"backend":7,"delay_seen_ns":5,"disposition":`+code+`,
			"feedback":{"active":7,"unheard_of":3,"waiting":2}}}`)
		e := h.Event.(decide.AttemptEnded)
		if e.Code != want || e.Attempt != 1 || e.Server != 7 || e.RequestDone || e.Report.InFlight != 7 || e.Report.Queue != 2 {
			t.Errorf("code %s was decoded as %+v", code, e)
		}
	}
}

// Guards against an empty load report that is passed on: without a known key there is none.
func TestReportWithNoKnownFieldIsNone(t *testing.T) {
	h := decodeOne(t, `{"attempt_end":{"req":"q","leg":0,"backend":7,"disposition":0,"feedback":{"unheard_of":"x"}}}`)
	if e := h.Event.(decide.AttemptEnded); e.Report != nil {
		t.Errorf("got report %+v, want none", e.Report)
	}
}

// Guards against a batch or reply without events that is rejected or malformed.
func TestEmptyBatch(t *testing.T) {
	b, err := DecodeBatch([]byte(`{"sim_time_ns":8412250000,"groups":[]}`))
	if err != nil || len(b.Groups) != 0 || string(AppendReply(nil, nil)) != "{\"groups\":[]}\n" {
		t.Error(b, err)
	}
}

// Guards against malformed input that is accepted, or whose error does not say what is wrong.
func TestBadInputIsNamed(t *testing.T) {
	for in, want := range map[string]string{
		`nonsense`:                        "batch",
		`{"groups":[]}`:                   "sim_time_ns is missing",
		`{"sim_time_ns":1,"groups":[{}]}`: "node_id is missing",
		batchOf(`{"dance":{}}`):           "unknown event",
		batchOf(`{}`):                     "want one key",
		batchOf(`{"submit":{"patience_left_ns":1}}`):                                                            "node 3, event 0, submit: req is missing",
		batchOf(`{"submit":{"req":"q"}}`):                                                                       "patience_left_ns is missing",
		batchOf(`{"due":{}}`):                                                                                   "label is missing",
		batchOf(`{"roster_change":{"how":"Q"}}`):                                                                "unknown how",
		batchOf(`{"up":{"seed":1}}`):                                                                            "profile_data is missing",
		batchOf(`{"probe_result":{"disposition":0}}`):                                                           "backend is missing",
		batchOf(`{"attempt_end":{"req":"q","leg":0,"backend":1}}`):                                              "disposition is missing",
		batchOf(`{"attempt_end":{"req":"q","leg":0,"backend":1,"disposition":99}}`):                             "unknown disposition 99",
		batchOf(`{"roster_change":{"how":"F","items":[{"zone":"z","state":"ready"}]}}`):                         "backend is missing",
		batchOf(`{"up":{"seed":1,"profile_data":{"classes":[{"name":"x","effect":"odd","key_scope":"all"}]}}}`): "unknown effect",
	} {
		if _, err := DecodeBatch([]byte(in)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want %q in it", in, err, want)
		}
	}
}

// Guards against replies that are not valid JSON, lose an action, or change a value.
func TestReplyIsJSON(t *testing.T) {
	line := AppendReply(nil, []Reply{{Node: 3, Actions: []decide.Action{
		decide.Send{ID: "q", Server: 4294967295, Timeout: 80 * time.Millisecond}, decide.Refuse{ID: "q", HoldOff: 5},
		decide.Fail{ID: "q"}, decide.CancelAttempt{ID: "q", Attempt: 1}, decide.SetTimer{After: 5, Token: 77},
		decide.Probe{Server: 1}, decide.SendMessage{ToAll: true, Data: []byte("hi")}, decide.SendMessage{To: 2},
		decide.Subscribe{On: true}, decide.FetchList{}, decide.CloseIdle{Server: 1}, decide.Log{Line: "a \"b\""}}}, {Node: 4}})
	var v struct {
		Groups []struct {
			Node    int                         `json:"node_id"`
			Actions []map[string]map[string]any `json:"actions"`
		} `json:"groups"`
	}
	if err := json.Unmarshal(line, &v); err != nil {
		t.Fatal(err, string(line))
	}
	if len(v.Groups) != 1 || len(v.Groups[0].Actions) != 12 || v.Groups[0].Actions[0]["assign"]["try_for_ns"] != 8e7 ||
		v.Groups[0].Actions[6]["tell"]["dest"] != "*" || v.Groups[0].Actions[11]["trace"]["message"] != `a "b"` {
		t.Error(string(line))
	}
}

// Guards against a panic on any line, and an empty line that is accepted.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(batchOf(strings.ReplaceAll(startEvent, "\n", ""))))
	f.Add([]byte(batchOf(`{"submit":{"req":"q","patience_left_ns":1}},{"due":{"label":7}},{"retire":{}}`)))
	f.Add([]byte(batchOf(`{"attempt_end":{"req":"q","leg":0,"backend":1,"disposition":0,"feedback":{"active":1e400}}}`)))
	f.Add([]byte(`{"sim_time_ns":1,"groups":[{"node_id":3,"happened":[{"subm`))
	f.Fuzz(func(t *testing.T, line []byte) {
		if b, err := DecodeBatch(line); err == nil && b.Groups == nil && len(line) == 0 {
			t.Fatal("an empty line was decoded as a batch")
		}
	})
}

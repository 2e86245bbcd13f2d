package timeline

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"

	"starlingvalve/internal/fleet/fleetpb"
)

// Guards against a page that is not well formed, that lists events of other operations, that does not mark a group
// which exceeded its budget, or that does not escape names. The release's name has characters that need escaping.
func TestPage(t *testing.T) {
	s := &fleetpb.State{NowMs: 9000, Release: &fleetpb.Release{Plan: &fleetpb.Plan{Name: "r<1>", Version: "v2", Before: "v1", Waves: []*fleetpb.Wave{{}, {}}}, State: "done", Cause: "all waves are ready", EndMs: 6000},
		History: []*fleetpb.Event{{AtMs: 1000, By: "eva", What: "release r<1> of v2 begins"}, {AtMs: 1500, By: "eva", What: "drain of server/s-1 granted"}, {AtMs: 6000, By: "agreement", What: "release r<1>, wave 2: done"}},
		Samples: []*fleetpb.Sample{{AtMs: 1000, Budget: "all", Group: "fleet", Members: 6, Most: 2}, {AtMs: 1000, Budget: "halls", Group: "zone a", Members: 3, Most: 1},
			{AtMs: 2000, Budget: "all", Group: "fleet", Out: 2, Members: 6, Most: 2}, {AtMs: 2000, Budget: "halls", Group: "zone a", Out: 2, Members: 3, Most: 1}, {AtMs: 5000, Budget: "all", Group: "fleet", Members: 6, Most: 2}}}
	var b bytes.Buffer
	if err := Write(&b, s); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	d := xml.NewDecoder(strings.NewReader(strings.NewReplacer("<!doctype html>", "", `<meta charset="utf-8">`, "").Replace(page)))
	d.Entity = xml.HTMLEntity
	for {
		if _, err := d.Token(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatalf("%v\n%s", err, page)
		}
	}
	for want, n := range map[string]int{`class="out"`: 1, `class="over"`: 1, `class="most"`: 2, "all, fleet: 2 at most, of 2 allowed": 1, "halls, zone a: 2 at most, of 1 allowed": 1, "<td>eva</td>": 1, "server/s-1": 0, "r<1>": 0,
		"r&lt;1&gt;, wave 2: done": 2, "00:00:01.000 to 00:00:06.000": 1, "wave 1 of 2": 1} {
		if got := strings.Count(page, want); got != n {
			t.Errorf("%q %d times, want %d\n%s", want, got, n, page)
		}
	}
	// Two members are out from 2 s to 5 s, and the axis is from 1 s to 6 s: the step is from one to four fifths of
	// the width.
	if !strings.Contains(page, "H368.0V29.3H812.0V60.0H960.0") {
		t.Errorf("the step is not where it should be: %s", page)
	}
	if err := Write(io.Discard, &fleetpb.State{}); err == nil {
		t.Error("a page was written without a release")
	}
}

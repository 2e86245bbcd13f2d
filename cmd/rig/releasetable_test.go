package main

import "testing"

// Guards against judgements of health that halt good versions or let bad ones pass. In the model a bad version halts in the
// wave in which it shows, and a good version is released to the end, while a fixed threshold lets a version pass that is
// slightly slower.
func TestReleaseTable(t *testing.T) {
	maxNodes := map[string]int{"crashes at start": 1, "refuses everything": 1, "fails 2% of a class": 1, "10% slow": 1}
	var kinds []modelKind
	for _, k := range modelKinds {
		if maxNodes[k.name] > 0 || k.name == "good" {
			kinds = append(kinds, k)
		}
	}
	for _, c := range releaseTable(kinds, 2, 1) {
		switch {
		case c.kind == "good" && c.done != 2:
			t.Errorf("%s: a good version is done in %d of 2 trials", c.way, c.done)
		case c.way == "agreed" && c.kind != "good" && (c.mostMet > maxNodes[c.kind] || c.stopped != 2 || c.back > 30):
			t.Errorf("%s: %+v", c.kind, c)
		case c.way == "fixed threshold" && c.kind == "10% slow" && c.mostMet != modelNodes:
			t.Errorf("a fixed threshold halts a version that it should not detect: %+v", c)
		}
	}
}

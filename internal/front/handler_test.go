package front

import (
	"net/http"
	"testing"
)

// A Connection header that names a request's id or key does not take it away: without them a repeat can't be told.
func TestConnectionHeaderKeepsIdentity(t *testing.T) {
	t.Parallel()
	h := endToEnd(http.Header{"Connection": {"X-Hop, x-correlation-id", "idempotency-key"}, "X-Hop": {"1"}, "X-Correlation-Id": {"q"}, "Idempotency-Key": {"k"}})
	if len(h) != 2 || h.Get("X-Correlation-Id") != "q" || h.Get("Idempotency-Key") != "k" {
		t.Errorf("%v goes on", h)
	}
}

// queryValue finds what url.Values.Get finds.
func TestQueryValue(t *testing.T) {
	for query, want := range map[string]string{"": "", "obj=7f": "7f", "a=1&obj=x%20y&obj=2": "x y", "o%62j=z": "z", "obj": "", "objx=1": "",
		"obj=a;b": "", "obj=%zz&obj=ok": "ok", "a=b+c&obj=b+c": "b c"} {
		if got := queryValue(query, "obj"); got != want {
			t.Errorf("%q: %q, want %q", query, got, want)
		}
	}
}

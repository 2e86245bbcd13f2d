package front

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"starlingvalve/decide"
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

// A hand-off that does not fit this site's settings has not run, and says so; to a client it is the client's fault.
func TestForeignMisfit(t *testing.T) {
	s := decide.Settings{Classes: []decide.Class{{Name: "read", Effect: decide.Safe}, {Name: "tag", Effect: decide.Keyed}}}
	for _, c := range []struct {
		method, path string
		own          int
	}{{"GET", "/unheard-of", 404}, {"POST", "/read", 405}, {"GET", "/read", 400}} {
		for _, foreign := range []bool{false, true} {
			h := NewHandler(nil, s, 1<<20, nil)
			h.Foreign = foreign
			w := httptest.NewRecorder()
			h.ServeHTTP(w, httptest.NewRequest(c.method, c.path, nil))
			want := c.own
			if foreign {
				want = 503
			}
			if w.Code != want {
				t.Errorf("%s %s, foreign %v: %d, want %d", c.method, c.path, foreign, w.Code, want)
			}
		}
	}
	h := NewHandler(nil, s, 1<<20, nil)
	h.Foreign = true
	r := httptest.NewRequest("POST", "/tag", nil)
	r.Header.Set("X-Correlation-Id", "q")
	r.Header.Set("X-Time-Left", "1")
	r.Header.Set("Idempotency-Key", "k")
	w := httptest.NewRecorder()
	if h.ServeHTTP(w, r); w.Code != 503 {
		t.Errorf("a keyed hand-off: %d", w.Code)
	}
}

package gateway

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"starlingvalve/internal/ledger"
	"starlingvalve/internal/standin"
)

const validFile = `[site]
name = "hall-a.example.org"
listen = "127.0.0.1:7443"
certificate = "a.crt"
key = "a.key"

[limits]
handoffs_out = 100

[[peer]]
name = "hall-b.example.org"
roots = "b.roots"
addresses = ["127.0.0.1:7444"]
`

// writeFiles writes the certificates, keys and roots that validFile names, and invalid ones, and returns the path of
// the gateway file, which it does not write.
func writeFiles(t testing.TB) string {
	dir := t.TempDir()
	a, err := standin.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	_, cert, key, err := a.Issue("hall-a.example.org", time.Now().Add(time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	_, old, oldKey, err := a.Issue("hall-a.example.org", time.Now().Add(-time.Hour))
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"a.crt": cert, "a.key": key, "b.roots": a.RootPEM(), "old.crt": old, "old.key": oldKey, "empty": nil} {
		if err := os.WriteFile(filepath.Join(dir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, "gateway.toml")
}

// Guards against errors that do not name their place: each fault in a file is one line with file, line and key.
func TestFaultsNameTheirPlace(t *testing.T) {
	path := writeFiles(t)
	c, err := parse(path, []byte(validFile), time.Now())
	if err != nil || c.MaxHandOffsOut != 100 || c.MaxHandOffsIn != 256 || c.Identity.Site != "hall-a.example.org" || len(c.Identity.Peers) != 1 {
		t.Fatalf("%+v, %v", c, err)
	}
	for _, bad := range []struct{ from, to, want string }{
		{"[site]", "[site", ":1: "},
		{"handoffs_out = 100", "handoffs_uot = 100", ":8: limits.handoffs_uot: unknown key"},
		{"handoffs_out = 100", `handoffs_out = "100"`, ":8: limits.handoffs_out: "},
		{"handoffs_out = 100", "handoffs_out = 0", ":8: limits.handoffs_out: want 1 to"},
		{"handoffs_out = 100", "ledger_entries = 5", ":8: limits.ledger_entries: want as many"},
		{"handoffs_out = 100", "spare_share = nan", ":8: limits.spare_share: "},
		{`"hall-a.example.org"`, `"Hall A"`, ":2: site.name: "},
		{`"127.0.0.1:7443"`, `"127.0.0.1"`, ":3: site.listen: "},
		{`"a.crt"`, `"none.crt"`, ":4: site.certificate: "},
		{`"hall-a.example.org"`, `"hall-c.example.org"`, ":4: site.certificate: "},
		{`"hall-b.example.org"`, `"hall-a.example.org"`, ":11: peer[0].name: "},
		{`"b.roots"`, `"empty"`, ":12: peer[0].roots: "},
		{`"b.roots"`, `"a.key"`, ":12: peer[0].roots: "},
		{`["127.0.0.1:7444"]`, `["hall-b.example.org:7444"]`, ":13: peer[0].addresses: "},
		{`["127.0.0.1:7444"]`, `["127.0.0.1:7443"]`, ":13: peer[0].addresses: "},
		{`["127.0.0.1:7444"]`, `[]`, ":13: peer[0].addresses: "},
		{`addresses = ["127.0.0.1:7444"]`, ``, ":10: peer[0].addresses: "},
	} {
		_, err := parse(path, []byte(strings.Replace(validFile, bad.from, bad.to, 1)), time.Now())
		if err == nil || !strings.HasPrefix(err.Error(), path+bad.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s in place of %s: got error %v, want %q", bad.to, bad.from, err, bad.want)
		}
	}
	expired := strings.Replace(strings.Replace(validFile, "a.crt", "old.crt", 1), "a.key", "old.key", 1)
	if _, err := parse(path, []byte(expired), time.Now()); err == nil || !strings.Contains(err.Error(), ":4: site.certificate: good from") {
		t.Errorf("an expired certificate: got error %v", err)
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none"), time.Now()); err == nil {
		t.Error("no error for a missing file")
	}
}

// Guards against a panic, a result that is neither a configuration nor an error, and an error of several lines.
func FuzzParse(f *testing.F) {
	path := writeFiles(f)
	f.Add(validFile)
	f.Add("[[peer]]\n[[peer]]\nname = 1")
	f.Add("site.name = 'a'\nsite = 3")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := parse(path, []byte(text), time.Now())
		if (c == nil) == (err == nil) {
			t.Error("got neither a configuration nor an error, or both")
		}
		if err != nil && strings.Contains(err.Error(), "\n") {
			t.Errorf("the error has several lines: %q", err)
		}
	})
}

// Guards against a wrong ledger state for an answer (only 503 and 429 may become Refused), and against a changed
// time left, site name or response.
func TestHandle(t *testing.T) {
	const request = "POST /order HTTP/1.1\r\nHost: h\r\nX-Time-Left: 99\r\nContent-Length: 1\r\n\r\nx"
	for _, c := range []struct {
		request string
		status  int
		gone    bool
		want    ledger.State
	}{{request, 200, false, ledger.Done}, {request, 404, false, ledger.Done}, {request, 503, false, ledger.Refused}, {request, 502, false, ledger.Failed},
		{request, 409, false, ledger.Failed}, {request, 200, true, ledger.Failed}, {"no request", 200, false, ledger.Refused}} {
		ctx, cancel := context.WithCancel(t.Context())
		state, answer := NewHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("X-Time-Left") != "1.500000" || r.RemoteAddr != "hall-a" {
				t.Errorf("the handler got header %v from %s", r.Header, r.RemoteAddr)
			}
			if c.gone {
				cancel()
			}
			w.Header()["X-None"] = nil
			w.Header().Set("Connection", "close")
			w.WriteHeader(c.status)
			w.Write([]byte("ok"))
		}))(ctx, "hall-a", []byte(c.request), 1500*time.Millisecond)
		cancel()
		if state != c.want {
			t.Errorf("status %d, client gone %v: got state %v, want %v", c.status, c.gone, state, c.want)
		}
		if state != ledger.Done {
			continue
		}
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(answer)), nil)
		if err != nil || resp.StatusCode != c.status || resp.ContentLength != 2 || resp.Close {
			t.Errorf("the answer %q is wrong: %v", answer, err)
		}
	}
}

// Guards against a shipped example that the `check` command rejects once its certificates exist, or that shows other
// values than the defaults.
func TestShippedExample(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/gateway.toml")
	if err != nil {
		t.Fatal(err)
	}
	path := writeFiles(t)
	for from, to := range map[string]string{"a.crt": "hall-a.crt", "a.key": "hall-a.key", "b.roots": "hall-b.roots"} {
		if err := os.Rename(filepath.Join(filepath.Dir(path), from), filepath.Join(filepath.Dir(path), to)); err != nil {
			t.Fatal(err)
		}
	}
	c, err := parse(path, raw, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if c.MaxHandOffsOut != 256 || c.MaxHandOffsIn != 256 || c.LedgerEntries != 10_000 || c.LedgerBytes != 16<<20 || c.SpareShare != 0.5 || len(c.Identity.Peers[0].Addresses) != 2 {
		t.Errorf("the example does not show the defaults: %+v", c)
	}
}

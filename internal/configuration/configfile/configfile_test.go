package configfile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration"
	"starlingvalve/internal/configuration/configpb"
)

const good = `
[[service]]
name = "pay"
registry_name = "payments"
timeout_ms = 1500
max_attempts = 3
if_revision = 0

[[service]]
name = "cart"

[[route]]
name = "pay-all"
host = "shop.example.org"
path_prefix = "/pay"
service = "pay"

[[tenant]]
name = "acme"
[[tenant.limits]]
service = "pay"
share = 0.25
[[tenant.limits]]
service = "cart"
requests_per_second = 100.0
`

// Entries that are committed from a file, rendered and read again are the same, and committing them again changes
// nothing. Guards against overwriting another operator's change: a rendered file is refused once one of its entries has
// changed.
func TestRoundTrip(t *testing.T) {
	f, err := parse("f.toml", []byte(good))
	if err != nil {
		t.Fatal(err)
	}
	s := configuration.New()
	if o, err := s.Commit(1, f.Transaction); err != nil || o.Revision != 1 || s.Len() != 4 {
		t.Fatalf("%v, %v", o, err)
	}
	text, err := Render(s.Entries())
	if err != nil {
		t.Fatal(err)
	}
	again, err := parse("f.toml", text)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if o, err := s.Commit(1, again.Transaction); err != nil || o.Changed || len(again.Transaction.Conditions) != 4 {
		t.Errorf("%v, %v", o, err)
	}
	if d := again.Differences(s.Entries()); len(d) != 0 {
		t.Errorf("%v", d)
	}
	text = []byte("[[service]]\nname = \"cart\"\ntimeout_ms = 5\n[[delete]]\nentry = \"tenant/acme\"\n")
	other, err := parse("f.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	d := other.Differences(s.Entries())
	if len(d) != 2 || d[0].Key != "service/cart" || d[0].Before == nil || d[0].After.GetService().GetTimeoutMs() != 5 {
		t.Fatalf("%v", d)
	}
	if d[1].After != nil || !proto.Equal(d[1].Before, s.Entry("tenant/acme")) {
		t.Errorf("%v", d[1])
	}
	if _, err := s.Commit(1, other.Transaction); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Commit(1, again.Transaction); err == nil {
		t.Error("a file was accepted though one of its entries has changed")
	}
}

// The error for an invalid file is one line with the file, the line and the key.
func TestBadFiles(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"[[service]]\nname = \"pay\"\ntime = 5\n", "f.toml:3: service.time: unknown key"},
		{"[[service]]\nname = 5\n", "f.toml:2: "},
		{"[[service]\n", "f.toml:1: "},
		{"", "f.toml: a transaction without a change"},
		{"[[service]]\nname = \"a b\"\n", "f.toml:2: service[0].name: service/a b: want up to"},
		{"[[service]]\nname = \"a\"\n[[service]]\nname = \"a\"\n", "f.toml:3: service[1]: service/a: it occurs twice"},
		{"[[tenant]]\nname = \"t\"\n[[tenant.limits]]\nservice = \"a\"\nshare = 1.5\n",
			"tenant[0].limits: tenant/t: share at service a: want 0 to 1, have 1.5"},
		{"[[delete]]\nentry = \"x\"\n", "f.toml:1: delete[0]: x: want service/NAME"},
	} {
		_, err := parse("f.toml", []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: %v", c.text, err)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none")); !os.IsNotExist(err) {
		t.Error(err)
	}
}

// A refusal by the store is reported with the line in the file.
func TestFault(t *testing.T) {
	text := "[[route]]\nname = \"r\"\nhost = \"a.org\"\npath_prefix = \"/\"\nservice = \"x\"\n"
	f, err := parse("f.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	_, err = configuration.New().Commit(1, f.Transaction)
	want := "f.toml:5: route[0].service: route/r: there is no service x"
	if got := f.RefusalError(configuration.RefusalOf(err)); got.Error() != want {
		t.Error(got)
	}
	if got := f.RefusalError(&configpb.Refusal{Reason: "too much"}); got.Error() != "f.toml: too much" {
		t.Error(got)
	}
	named := &configpb.Refusal{Entry: "service/y", Reason: "it is named"}
	if got := f.RefusalError(named); got.Error() != "f.toml: service/y: it is named" {
		t.Error(got)
	}
}

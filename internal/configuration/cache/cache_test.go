package cache

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration"
	"starlingvalve/internal/configuration/configpb"
)

func snapshot(t testing.TB) *configpb.Snapshot {
	t.Helper()
	s := configuration.New()
	for i := range 5 {
		service := &configpb.Service{Name: fmt.Sprint("s", i)}
		put := &configpb.Entry{Value: &configpb.Entry_Service{Service: service}}
		change := &configpb.Change{What: &configpb.Change_Put{Put: put}}
		if _, err := s.Commit(1, &configpb.Transaction{Changes: []*configpb.Change{change}}); err != nil {
			t.Fatal(err)
		}
	}
	return s.Snapshot()
}

// A saved snapshot is loaded with its log and revision. A missing file is no error.
func TestSaveAndLoad(t *testing.T) {
	path, r := filepath.Join(t.TempDir(), "cache"), configuration.NewReplica(nil)
	if log, err := Load(path, r); err != nil || log != "" || r.Revision() != 0 {
		t.Errorf("without a file: %q, %v", log, err)
	}
	want := snapshot(t)
	for range 2 { // the second file replaces the first
		if err := Save(path, "l1", want); err != nil {
			t.Fatal(err)
		}
	}
	log, err := Load(path, r)
	if err != nil || log != "l1" || !proto.Equal(r.Snapshot(), want) {
		t.Errorf("%q, %v, %v", log, err, r.Snapshot())
	}
}

// Guards against a damaged configuration after a crash during a write or a disk fault: a file that is truncated at any
// byte, or has any byte changed, is refused with an error of one line. It is kept under another name, and the replica
// is unchanged.
func TestTornOrDamaged(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "cache")
	if err := Save(path, "l1", snapshot(t)); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	refused := func(name string, raw []byte) error {
		t.Helper()
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			t.Fatal(err)
		}
		r, reason := configuration.NewReplica(nil), (*RefusedError)(nil)
		log, err := Load(path, r)
		if !errors.As(err, &reason) || log != "" || r.Revision() != 0 || r.Len() != 0 {
			t.Fatalf("%s: %q, %v, revision %d", name, log, err, r.Revision())
		}
		if strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), path) {
			t.Errorf("%s: %v", name, err)
		}
		kept, err := os.ReadFile(reason.KeptAs)
		if err != nil || string(kept) != string(raw) {
			t.Errorf("%s: kept %d of %d bytes, %v", name, len(kept), len(raw), err)
		}
		if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
			t.Errorf("%s: the file still has its name: %v", name, err)
		}
		return reason
	}
	for n := range whole {
		refused(fmt.Sprintf("torn off at %d", n), whole[:n])
		changed := append([]byte(nil), whole...)
		changed[n] ^= 0x40
		refused(fmt.Sprintf("byte %d changed", n), changed)
	}
	refused("a byte more", append(append([]byte(nil), whole...), 0))
	if err := refused("too long", make([]byte, maxFileBytes+1)); !strings.Contains(err.Error(), "longer than") {
		t.Error(err)
	}
}

// Guards against a file with a correct checksum whose content is no valid configuration: it is refused, too.
func TestForeign(t *testing.T) {
	path := filepath.Join(t.TempDir(), "cache")
	wrong := proto.CloneOf(snapshot(t))
	wrong.Entries[0].Revision = 99
	for name, save := range map[string]func() error{
		"not valid":   func() error { return Save(path, "l1", wrong) },
		"no log":      func() error { return Save(path, "", snapshot(t)) },
		"no snapshot": func() error { return Save(path, "l1", nil) },
	} {
		if err := save(); err != nil {
			t.Fatal(err)
		}
		refused := (*RefusedError)(nil)
		if _, err := Load(path, configuration.NewReplica(nil)); !errors.As(err, &refused) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against silently overwriting a refused file that can't be renamed: the error reports that, and the file is
// unchanged.
func TestCantBeSetAside(t *testing.T) {
	path := filepath.Join(t.TempDir(), "cache")
	if err := os.WriteFile(path, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Join(path+refusedSuffix, "full"), 0o700); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path, configuration.NewReplica(nil))
	if err == nil || !strings.Contains(err.Error(), "can't be set aside") {
		t.Error(err)
	}
	if raw, err := os.ReadFile(path); err != nil || string(raw) != "x" {
		t.Errorf("%q, %v", raw, err)
	}
}

// Guards against panics by any content of a file: decode returns either content or a reason.
func FuzzDecode(f *testing.F) {
	path := filepath.Join(f.TempDir(), "cache")
	if err := Save(path, "l1", snapshot(f)); err != nil {
		f.Fatal(err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole)
	f.Add(whole[:40])
	f.Add([]byte(magic))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, reason := decode(raw)
		if (c == nil) == (reason == "") {
			t.Errorf("%v, %q", c, reason)
		}
	})
}

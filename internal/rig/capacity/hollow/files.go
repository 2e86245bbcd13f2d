package hollow

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"starlingvalve/internal/control"
	"starlingvalve/internal/standin"
)

// Domain is the DNS domain of all node names in the certificates of a rig's fleet.
const Domain = "fleet.example.org"

const certificateLifetime = 6 * time.Hour

// Fleet holds what the files of all nodes of a rig's fleet have in common.
type Fleet struct {
	Authority       *standin.Authority
	Voters          []control.Voter // the control machines
	SessionLifetime time.Duration   // lifetime of a session; 0: the program's default
	Tick            time.Duration   // interval of the voters' logical clock; 0: the program's default
	Budgets         string          // TOML of the fleet's budgets, appended to each fleet file; empty: none
}

// Write writes a node's fleet file, certificate, key and root certificates to a folder. listen is the address that
// a voter listens on; it is empty for other nodes.
func (f *Fleet) Write(folder, name, zone, listen string) error {
	_, cert, key, err := f.Authority.Issue(name+"."+Domain, time.Now().Add(certificateLifetime))
	if err != nil {
		return err
	}
	var b bytes.Buffer
	fmt.Fprintf(&b,
		"[node]\nname = %q\ndomain = %q\nzone = %q\ncertificate = %q\nkey = %q\nroots = %q\nfolder = %q\nsocket = %q\n",
		name, Domain, zone, name+".crt", name+".key", name+".roots", name, name+".sock")
	if listen != "" {
		fmt.Fprintf(&b, "listen = %q\n", listen)
	}
	b.WriteString("\n[timing]\n")
	if f.SessionLifetime > 0 {
		fmt.Fprintf(&b, "session_ms = %d\n", f.SessionLifetime.Milliseconds())
	}
	if f.Tick > 0 {
		fmt.Fprintf(&b, "tick_ms = %d\n", f.Tick.Milliseconds())
	}
	for _, v := range f.Voters {
		fmt.Fprintf(&b, "\n[[voter]]\nname = %q\naddress = %q\n", v.Name, v.Address)
	}
	b.WriteString(f.Budgets)
	for file, content := range map[string][]byte{name + ".crt": cert, name + ".key": key,
		name + ".roots": f.Authority.RootPEM(), name + ".toml": b.Bytes()} {
		if err := os.WriteFile(filepath.Join(folder, file), content, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// Socket returns the path of the Unix socket on which a node answers operators' requests.
func Socket(folder, name string) string { return filepath.Join(folder, name+".sock") }

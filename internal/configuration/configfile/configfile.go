// Package configfile reads and writes entries of the fleet's configuration as TOML files for operators.
package configfile

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"starlingvalve/internal/configuration"
	"starlingvalve/internal/configuration/configpb"
	"starlingvalve/internal/tomlfile"
)

// fileFormat is the content of a file. Each table puts or deletes one entry. With if_revision, the file is applied only
// if the last change of the entry was at that revision, or, for 0, if there is no such entry.
type fileFormat struct {
	Service []service `toml:"service,omitempty"`
	Route   []route   `toml:"route,omitempty"`
	Tenant  []tenant  `toml:"tenant,omitempty"`
	Delete  []deleted `toml:"delete,omitempty"`
}

type service struct {
	Name         string  `toml:"name"`
	RegistryName string  `toml:"registry_name,omitempty"`
	TimeoutMs    uint32  `toml:"timeout_ms,omitempty"`
	MaxAttempts  uint32  `toml:"max_attempts,omitempty"`
	IfRevision   *uint64 `toml:"if_revision,omitempty"`
}

type route struct {
	Name       string  `toml:"name"`
	Host       string  `toml:"host"`
	PathPrefix string  `toml:"path_prefix"`
	Service    string  `toml:"service"`
	IfRevision *uint64 `toml:"if_revision,omitempty"`
}

type tenant struct {
	Name       string  `toml:"name"`
	IfRevision *uint64 `toml:"if_revision,omitempty"`
	Limits     []limit `toml:"limits,omitempty"`
}

type limit struct {
	Service           string  `toml:"service"`
	Share             float64 `toml:"share,omitempty"`
	RequestsPerSecond float64 `toml:"requests_per_second,omitempty"`
}

type deleted struct {
	Entry      string  `toml:"entry"`
	IfRevision *uint64 `toml:"if_revision,omitempty"`
}

// File is a file that was read, as a transaction.
type File struct {
	Transaction *configpb.Transaction // without its author and reason
	path        string
	tables      map[string]string // the table of each entry, as tomlfile.KeyErrors names tables, by the entry's key
	keyError    func(key, format string, args ...any) error
}

// Load reads a file and checks it by itself, without the entries that exist. An error is one line with the file, the
// line and the key.
func Load(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parse(path, raw)
}

func parse(path string, raw []byte) (*File, error) {
	content := fileFormat{}
	if err := tomlfile.Decode(path, raw, &content); err != nil {
		return nil, err
	}
	parsed := &File{
		Transaction: &configpb.Transaction{},
		path:        path,
		tables:      map[string]string{},
		keyError:    tomlfile.KeyErrors(path, raw),
	}
	for i, s := range content.Service {
		parsed.put(fmt.Sprintf("service[%d]", i), s.entry(), s.IfRevision)
	}
	for i, r := range content.Route {
		parsed.put(fmt.Sprintf("route[%d]", i), r.entry(), r.IfRevision)
	}
	for i, n := range content.Tenant {
		parsed.put(fmt.Sprintf("tenant[%d]", i), n.entry(), n.IfRevision)
	}
	for i, d := range content.Delete {
		change := &configpb.Change{What: &configpb.Change_Delete{Delete: d.Entry}}
		parsed.add(fmt.Sprintf("delete[%d]", i), d.Entry, change, d.IfRevision)
	}
	if err := configuration.CheckTransaction(parsed.Transaction); err != nil {
		return nil, parsed.RefusalError(configuration.RefusalOf(err))
	}
	return parsed, nil
}

// put adds a change that puts an entry. condition is the file's if_revision, or nil.
func (f *File) put(table string, e *configpb.Entry, condition *uint64) {
	f.add(table, configuration.Key(e), &configpb.Change{What: &configpb.Change_Put{Put: e}}, condition)
}

// add adds a change of the entry with a key, and its condition.
func (f *File) add(table, key string, c *configpb.Change, condition *uint64) {
	f.Transaction.Changes = append(f.Transaction.Changes, c)
	if condition != nil {
		f.Transaction.Conditions = append(f.Transaction.Conditions, &configpb.Condition{Key: key, Revision: *condition})
	}
	f.tables[key] = table // if two tables have the same key, the later one is the error
}

// RefusalError returns a refusal of the transaction as one line with the file, the line, the key and the reason.
func (f *File) RefusalError(r *configpb.Refusal) error {
	table := f.tables[r.GetEntry()]
	reason := strings.Join(strings.Fields(r.GetReason()), " ")
	switch {
	case table == "" && r.GetEntry() == "":
		return fmt.Errorf("%s: %s", f.path, reason)
	case table == "":
		return fmt.Errorf("%s: %s: %s", f.path, r.GetEntry(), reason)
	case r.GetField() == "":
		return f.keyError(table, "%s: %s", r.GetEntry(), reason)
	}
	return f.keyError(table+"."+r.GetField(), "%s: %s", r.GetEntry(), reason)
}

func (s service) entry() *configpb.Entry {
	return &configpb.Entry{Value: &configpb.Entry_Service{Service: &configpb.Service{
		Name: s.Name, RegistryName: s.RegistryName, TimeoutMs: s.TimeoutMs, MaxAttempts: s.MaxAttempts,
	}}}
}

func (r route) entry() *configpb.Entry {
	return &configpb.Entry{Value: &configpb.Entry_Route{Route: &configpb.Route{
		Name: r.Name, Host: r.Host, PathPrefix: r.PathPrefix, Service: r.Service,
	}}}
}

func (t tenant) entry() *configpb.Entry {
	p := &configpb.Tenant{Name: t.Name}
	for _, l := range t.Limits {
		p.Limits = append(p.Limits, &configpb.Limit{
			Service: l.Service, Share: l.Share, RequestsPerSecond: l.RequestsPerSecond,
		})
	}
	return &configpb.Entry{Value: &configpb.Entry_Tenant{Tenant: p}}
}

// Render returns entries as the text of a file, each with the revision of its last change as its condition. So an
// edited file is refused if any of its entries has changed since.
func Render(entries []*configpb.Entry) ([]byte, error) {
	content := fileFormat{}
	for _, e := range entries {
		revision := e.GetRevision()
		switch v := e.GetValue().(type) {
		case *configpb.Entry_Service:
			s := v.Service
			content.Service = append(content.Service, service{s.Name, s.RegistryName, s.TimeoutMs, s.MaxAttempts, &revision})
		case *configpb.Entry_Route:
			r := v.Route
			content.Route = append(content.Route, route{r.Name, r.Host, r.PathPrefix, r.Service, &revision})
		case *configpb.Entry_Tenant:
			n := tenant{Name: v.Tenant.Name, IfRevision: &revision}
			for _, l := range v.Tenant.Limits {
				n.Limits = append(n.Limits, limit{l.Service, l.Share, l.RequestsPerSecond})
			}
			content.Tenant = append(content.Tenant, n)
		default:
			return nil, errors.New("an entry of a kind that this program does not know: " +
				"use a version at least as new as the leader's")
		}
	}
	return toml.Marshal(content)
}

// Difference is the change of one entry by a file.
type Difference struct {
	Key    string
	Before *configpb.Entry // nil: there is no such entry
	After  *configpb.Entry // nil: the entry is deleted
}

// Differences returns what the file would change in entries, in the order of the file.
func (f *File) Differences(entries []*configpb.Entry) (list []Difference) {
	now := map[string]*configpb.Entry{}
	for _, e := range entries {
		now[configuration.Key(e)] = e
	}
	for _, c := range f.Transaction.Changes {
		key := cmp.Or(configuration.Key(c.GetPut()), c.GetDelete())
		if configuration.SameValue(now[key], c.GetPut()) || now[key] == nil && c.GetPut() == nil {
			continue
		}
		list = append(list, Difference{Key: key, Before: now[key], After: c.GetPut()})
	}
	return list
}

package configuration

import (
	"regexp"
	"strings"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"starlingvalve/internal/configuration/configpb"
)

// Bounds of the configuration. Each control machine and each node has all of it in memory.
const (
	MaxServices    = 2_000
	MaxRoutes      = 20_000
	MaxTenants     = 60_000
	MaxBytes       = 8 << 20   // size of all encoded entries
	MaxEntryBytes  = 4 << 10   // size of one encoded entry
	MaxChanges     = 1_000     // in one transaction; conditions likewise
	MaxChangeBytes = 256 << 10 // size of one encoded transaction
	maxName        = 100       // bytes of a name
	maxText        = 200       // bytes of a change's author, and of its reason
	maxPath        = 1_000     // bytes of a route's path prefix
	maxTimeoutMs   = 10 * 60 * 1000
	maxAttempts    = 100
	maxRate        = 1e9 // requests per second of a limit
)

// AnyHost is the host of a route that matches requests for every host.
const AnyHost = "*"

var (
	namePattern = regexp.MustCompile(`^[a-zA-Z0-9]([a-zA-Z0-9._-]*[a-zA-Z0-9])?$`)
	hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?(\.[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?)*$`)
)

// checkEntry checks an entry by itself, without the entries that it refers to.
func checkEntry(e *configpb.Entry) *InvalidError {
	key := Key(e)
	if key == "" {
		return invalid("", "", "an entry of a kind that this program does not know")
	}
	if size := proto.Size(e); size > MaxEntryBytes {
		return invalid(truncateKey(key), "", "%d bytes, at most %d", size, MaxEntryBytes)
	}
	if _, name, _ := strings.Cut(key, "/"); !validName(name) {
		return invalid(truncateKey(key), "name", "want up to %d letters, digits, dots, hyphens and underscores", maxName)
	}
	switch v := e.Value.(type) {
	case *configpb.Entry_Service:
		return checkService(key, v.Service)
	case *configpb.Entry_Route:
		return checkRoute(key, v.Route)
	case *configpb.Entry_Tenant:
		return checkTenant(key, v.Tenant)
	}
	return nil
}

// validName reports whether name is valid as the name of an entry.
func validName(name string) bool { return len(name) <= maxName && namePattern.MatchString(name) }

// truncateKey cuts off a key that is too long to be quoted in an error.
func truncateKey(key string) string {
	const most = maxName + len(KindService) + 1
	if len(key) <= most {
		return strings.ToValidUTF8(key, "?")
	}
	return strings.ToValidUTF8(key[:most], "?") + "..."
}

func checkService(key string, s *configpb.Service) *InvalidError {
	switch {
	case s.RegistryName != "" && !validName(s.RegistryName):
		return invalid(key, "registry_name", "want up to %d letters, digits, dots, hyphens and underscores", maxName)
	case s.TimeoutMs > maxTimeoutMs:
		return invalid(key, "timeout_ms", "want 0 to %d, have %d", maxTimeoutMs, s.TimeoutMs)
	case s.MaxAttempts > maxAttempts:
		return invalid(key, "max_attempts", "want 0 to %d, have %d", maxAttempts, s.MaxAttempts)
	}
	return nil
}

func checkRoute(key string, r *configpb.Route) *InvalidError {
	switch {
	case r.Host != AnyHost && (len(r.Host) > 253 || !hostPattern.MatchString(r.Host)):
		return invalid(key, "host", "want a DNS name in lower case, or %q, have %.100q", AnyHost, r.Host)
	case !validPath(r.PathPrefix):
		return invalid(key, "path_prefix", "want / and up to %d printable characters without space, ? and #", maxPath)
	case !validName(r.Service):
		return invalid(key, "service", "want the name of a service, have %.100q", r.Service)
	}
	return nil
}

// validPath reports whether p is valid as the path prefix of a route.
func validPath(p string) bool {
	if len(p) == 0 || len(p) > maxPath || p[0] != '/' {
		return false
	}
	for i := range len(p) {
		if p[i] <= ' ' || p[i] >= 0x7f || p[i] == '?' || p[i] == '#' {
			return false
		}
	}
	return true
}

func checkTenant(key string, t *configpb.Tenant) *InvalidError {
	seen := map[string]bool{}
	for _, l := range t.Limits {
		service := l.GetService()
		switch {
		case !validName(service):
			return invalid(key, "limits", "want the name of a service, have %.100q", service)
		case seen[service]:
			return invalid(key, "limits", "two limits at service %s", service)
		case !(l.Share >= 0 && l.Share <= 1): // true for NaN, too
			return invalid(key, "limits", "share at service %s: want 0 to 1, have %v", service, l.Share)
		case !(l.RequestsPerSecond >= 0 && l.RequestsPerSecond <= maxRate):
			return invalid(key, "limits", "requests_per_second at service %s: want 0 to %v, have %v",
				service, maxRate, l.RequestsPerSecond)
		case l.Share == 0 && l.RequestsPerSecond == 0:
			return invalid(key, "limits", "at service %s neither a share nor requests_per_second is limited", service)
		}
		seen[service] = true
	}
	return nil
}

// CheckTransaction checks a transaction by itself, without the entries that exist. An error is an *InvalidError.
func CheckTransaction(tx *configpb.Transaction) error {
	if err := checkTransaction(tx); err != nil {
		return err
	}
	return nil
}

// checkTransaction is CheckTransaction with a typed result, so that its nil is not a non-nil error.
func checkTransaction(tx *configpb.Transaction) *InvalidError {
	switch {
	case len(tx.Changes) == 0:
		return invalid("", "", "a transaction without a change")
	case len(tx.Changes) > MaxChanges || len(tx.Conditions) > MaxChanges:
		return invalid("", "", "%d changes and %d conditions in one transaction, at most %d each",
			len(tx.Changes), len(tx.Conditions), MaxChanges)
	case proto.Size(tx) > MaxChangeBytes:
		return invalid("", "", "a transaction of %d bytes, at most %d", proto.Size(tx), MaxChangeBytes)
	}
	if err := checkText(tx.By, tx.Why); err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, c := range tx.Changes {
		key, err := checkChange(c)
		if err != nil {
			return err
		}
		if seen[key] {
			return invalid(key, "", "it occurs twice in the transaction")
		}
		seen[key] = true
	}
	return nil
}

// checkText checks the author and the reason of a change.
func checkText(texts ...string) *InvalidError {
	for _, t := range texts {
		if len(t) > maxText || !utf8.ValidString(t) {
			return invalid("", "", "want up to %d bytes of UTF-8 for who makes a change and for why", maxText)
		}
	}
	return nil
}

// checkChange checks a change by itself and returns the key of its entry.
func checkChange(c *configpb.Change) (string, *InvalidError) {
	switch w := c.GetWhat().(type) {
	case *configpb.Change_Put:
		if err := checkEntry(w.Put); err != nil {
			return "", err
		}
		return Key(w.Put), nil
	case *configpb.Change_Delete:
		if kindOf(w.Delete) == "" {
			return "", invalid(truncateKey(w.Delete), "", "want service/NAME, route/NAME or tenant/NAME")
		}
		return w.Delete, nil
	}
	return "", invalid("", "", "a change of a kind that this program does not know")
}

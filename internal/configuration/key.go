package configuration

import (
	"strings"

	"starlingvalve/internal/configuration/configpb"
)

// Kinds of entries, as the first part of their keys.
const (
	KindService = "service"
	KindRoute   = "route"
	KindTenant  = "tenant"
)

// ServiceKey returns the key of a service's entry.
func ServiceKey(name string) string { return KindService + "/" + name }

// RouteKey returns the key of a route's entry.
func RouteKey(name string) string { return KindRoute + "/" + name }

// TenantKey returns the key of a tenant's entry.
func TenantKey(name string) string { return KindTenant + "/" + name }

// Key returns the key of an entry, "KIND/NAME". It is empty if the entry has no value, or a value of a kind that this
// version of the program does not know.
func Key(e *configpb.Entry) string {
	switch v := e.GetValue().(type) {
	case *configpb.Entry_Service:
		return ServiceKey(v.Service.GetName())
	case *configpb.Entry_Route:
		return RouteKey(v.Route.GetName())
	case *configpb.Entry_Tenant:
		return TenantKey(v.Tenant.GetName())
	}
	return ""
}

// kindOf returns the kind in a key, or an empty string if the key has no name or an unknown kind.
func kindOf(key string) string {
	kind, name, _ := strings.Cut(key, "/")
	if name == "" {
		return ""
	}
	switch kind {
	case KindService, KindRoute, KindTenant:
		return kind
	}
	return ""
}

// references returns the services that an entry refers to, each with the field that names it.
func references(e *configpb.Entry) (list []reference) {
	switch v := e.GetValue().(type) {
	case *configpb.Entry_Route:
		list = append(list, reference{"service", v.Route.GetService()})
	case *configpb.Entry_Tenant:
		for _, l := range v.Tenant.GetLimits() {
			list = append(list, reference{"limits", l.GetService()})
		}
	}
	return list
}

// reference is the name of a service in a field of an entry.
type reference struct{ field, service string }

// match is the requests that a route is for. No two routes have the same match.
type match struct{ host, pathPrefix string }

// matchOf returns the match of an entry, if it is a route.
func matchOf(e *configpb.Entry) (m match, isRoute bool) {
	v, isRoute := e.GetValue().(*configpb.Entry_Route)
	if !isRoute {
		return match{}, false
	}
	return match{v.Route.GetHost(), v.Route.GetPathPrefix()}, true
}

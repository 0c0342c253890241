// Package routes holds the configuration of routes and services and matches requests
// to routes. It performs no I/O.
package routes

import (
	"slices"
	"strings"
	"time"

	"github.com/lentilpick/lentilpick/types"
	"github.com/lentilpick/lentilpick/workspaces"
)

// Kind classifies routes by whether requests may be repeated.
type Kind uint8

// Kinds of route.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota
	// KindNonIdempotent requests run at most once for each attempt of the caller.
	KindNonIdempotent
	// KindStream requests are answered by a stream of events. They run at most once
	// unless the route is resumable.
	KindStream
)

var kindNames = [...]string{"idempotent", "once", "stream"}

// String returns the name used in logs.
func (k Kind) String() string { return kindNames[k] }

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	Service types.ServiceID
	// Weight is relative to the weights of the other services of the route. Negative
	// weights count as 0.
	Weight int
}

// Route maps requests for a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds the time from arrival to the end of a request.
	Timeout time.Duration
	// Objective is the latency objective for the response, or for the first event of
	// a stream.
	Objective time.Duration
	// TokenInterval is the latency objective for the interval between events of a
	// stream.
	TokenInterval time.Duration
	// Priority orders routes; 0 is the highest.
	Priority int
	// MaxRuns is the maximum number of targets that may run one attempt of a caller.
	MaxRuns int
	// Resumable streams may be continued on another target.
	Resumable bool
	// Public routes need no credential.
	Public   bool
	Services []WeightedService
}

// WithPriority returns a copy of the route with another priority.
func (r *Route) WithPriority(priority int) *Route {
	c := *r
	c.Priority = priority
	return &c
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == KindIdempotent }

// Uses reports whether the route sends requests to the service.
func (r *Route) Uses(id types.ServiceID) bool {
	return slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == id })
}

// PickService returns the service for a request, or "" if the route has none. The hash
// distributes requests over the services by weight; equal hashes give the same service.
// If no weight is positive, it returns the first service.
func (r *Route) PickService(hash uint64) types.ServiceID {
	total := 0
	for _, b := range r.Services {
		total += max(b.Weight, 0)
	}
	if total == 0 {
		if len(r.Services) == 0 {
			return ""
		}
		return r.Services[0].Service
	}
	position := int(hash % uint64(total))
	for _, b := range r.Services {
		position -= max(b.Weight, 0)
		if position < 0 {
			return b.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// Engine describes the engines of a service.
type Engine struct {
	// Slots is the maximum number of concurrent requests on one engine.
	Slots int
	// KVTokens is the KV cache capacity of one engine in tokens.
	KVTokens int
	// KVTokenBytes is the size of the KV cache of one token in bytes.
	KVTokenBytes int
	// LinkMbps is the rate of KV transfers in Mbit/s.
	LinkMbps float64
	// HandleTTL is how long an engine retains the KV cache of a finished prefill.
	HandleTTL time.Duration
	// RoleChangeTime is how long an engine is unavailable during a change of role.
	RoleChangeTime time.Duration
}

// Service is a service in the configuration.
type Service struct {
	Name types.ServiceID
	// MaxConns bounds the connections of all daemons to one target.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is an immutable version of the configuration. Tables of successive versions share what
// they have in common.
type Table struct {
	Version uint64
	Limits  Limits
	// Workspaces identify callers by their credentials. With nil callers need none.
	Workspaces *workspaces.Set
	services   map[types.ServiceID]*Service
	// all are the routes as configured. byHost leaves out those that are not used.
	all    []*Route
	byHost map[string]map[string]*Route
}

// NewTable returns the table of a configuration. Of several routes with the same host
// and prefix, the first one is used.
func NewTable(version uint64, limits Limits, all []Route, services []Service) *Table {
	routePointers, servicePointers := make([]*Route, len(all)), make([]*Service, len(services))
	for i := range all {
		routePointers[i] = &all[i]
	}
	for i := range services {
		servicePointers[i] = &services[i]
	}
	return NextTable(nil, version, limits, routePointers, servicePointers)
}

// NextTable returns the table of a configuration as NewTable does. It reuses the parts of an
// earlier table, which may be nil, whose routes or services are the same pointers. The slices,
// routes and services must not be changed afterwards.
func NextTable(earlier *Table, version uint64, limits Limits, all []*Route, services []*Service) *Table {
	if earlier == nil {
		earlier = &Table{}
	}
	return &Table{
		Version: version, Limits: limits, all: all,
		services: mapServices(services), byHost: nextHosts(earlier, all),
	}
}

func mapServices(services []*Service) map[types.ServiceID]*Service {
	m := make(map[types.ServiceID]*Service, len(services))
	for _, s := range services {
		m[s.Name] = s
	}
	return m
}

// nextHosts returns the routes by host and prefix. Hosts with the same routes as in the earlier
// table share its maps.
func nextHosts(earlier *Table, all []*Route) map[string]map[string]*Route {
	before, after := difference(earlier.all, all)
	if len(before)+len(after) == 0 && earlier.byHost != nil {
		return earlier.byHost
	}
	changed := map[string]bool{}
	for _, part := range [][]*Route{before, after} {
		for _, r := range part {
			changed[strings.ToLower(r.Host)] = true
		}
	}
	byHost := make(map[string]map[string]*Route, len(earlier.byHost)+len(changed))
	for host, byPrefix := range earlier.byHost {
		if !changed[host] {
			byHost[host] = byPrefix
		}
	}
	for _, r := range all {
		host := strings.ToLower(r.Host)
		if !changed[host] {
			continue
		}
		byPrefix := byHost[host]
		if byPrefix == nil {
			byPrefix = make(map[string]*Route, len(earlier.byHost[host]))
			byHost[host] = byPrefix
		}
		if _, ok := byPrefix[r.Prefix]; !ok {
			byPrefix[r.Prefix] = r
		}
	}
	return byHost
}

// difference returns a and b without their common beginning and end.
func difference(a, b []*Route) (onlyA, onlyB []*Route) {
	for len(a) > 0 && len(b) > 0 && a[0] == b[0] {
		a, b = a[1:], b[1:]
	}
	for len(a) > 0 && len(b) > 0 && a[len(a)-1] == b[len(b)-1] {
		a, b = a[:len(a)-1], b[:len(b)-1]
	}
	return a, b
}

// RouteCount returns the number of configured routes.
func (t *Table) RouteCount() int { return len(t.all) }

// Service returns the service with the given name, or nil.
func (t *Table) Service(id types.ServiceID) *Service { return t.services[id] }

// Services calls f for each service.
func (t *Table) Services(f func(*Service)) {
	for _, s := range t.services {
		f(s)
	}
}

// Routes calls f with each route, in no particular sequence.
func (t *Table) Routes(f func(*Route)) {
	for _, byPrefix := range t.byHost {
		for _, r := range byPrefix {
			f(r)
		}
	}
}

// Lookup returns the route of the host with the longest matching path prefix, or nil.
// The path must not contain a query. The cost is proportional to the number of slashes
// in the path and does not depend on the number of routes.
func (t *Table) Lookup(host, path string) *Route {
	prefixes := t.byHost[host]
	if prefixes == nil {
		prefixes = t.byHost[strings.ToLower(host)]
	}
	if prefixes == nil {
		return nil
	}
	for end := len(path); end > 0; {
		i := strings.LastIndexByte(path[:end], '/')
		if i < 0 {
			return nil
		}
		if r := prefixes[path[:i+1]]; r != nil {
			return r
		}
		end = i
	}
	return nil
}

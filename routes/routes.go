// Package routes holds the operators' configuration of routes and services and
// finds the route of a request. It performs no I/O.
package routes

import (
	"strings"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Kind says what may be repeated on a route.
type Kind uint8

// Kinds of route.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota
	// KindNonIdempotent requests run at most once for each attempt of the caller.
	KindNonIdempotent
	// KindStream requests are answered by a stream of events. They run at most
	// once unless the route is resumable.
	KindStream
)

var kindNames = [...]string{"idempotent", "once", "stream"}

// String returns the name used in logs.
func (k Kind) String() string { return kindNames[k] }

// WeightedService is a service that gets a share of the requests of a route.
type WeightedService struct {
	Service types.ServiceID
	// Weight is relative to the other backends of the route.
	Weight int
}

// Route is one route of the configuration.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a
	// stream, has its full worth.
	Objective time.Duration
	// TokenInterval is the longest pause between events of a stream that is in time.
	TokenInterval time.Duration
	// Priority is the rank of the route, 0 first.
	Priority int
	// Attempts is how many targets may run one attempt of a caller.
	MaxRuns int
	// Resumable streams may go on at another target.
	Resumable bool
	Services  []WeightedService
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == KindIdempotent }

// PickService returns the service for a request. hash spreads requests over the
// backends by weight; the same hash gets the same backend.
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
	at := int(hash % uint64(total))
	for _, b := range r.Services {
		at -= max(b.Weight, 0)
		if at < 0 {
			return b.Service
		}
	}
	return r.Services[len(r.Services)-1].Service
}

// Engine describes the engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs at a time.
	Slots int
	// KVTokens is the KV cache of one engine in tokens.
	KVTokens int
	// KVTokenBytes is the size of one token in the KV cache.
	KVTokenBytes int
	// LinkMbps is the rate of KV transfers in Mbit/s.
	LinkMbps float64
	// HandleTTL is how long an engine keeps the KV cache of a finished prefill.
	HandleTTL time.Duration
	// SwitchTime is how long an engine is away for a change of role.
	RoleChangeTime time.Duration
}

// Service is one service of the configuration.
type Service struct {
	Name types.ServiceID
	// MaxConns bounds the connections to one target, over all daemons.
	MaxConns int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration. It is immutable.
type Table struct {
	Version  uint64
	Limits   Limits
	services map[types.ServiceID]*Service
	hosts    map[string]map[string]*Route
	routes   int
}

// NewTable builds the table of a configuration. Of two routes with the same
// host and prefix the first one holds.
func NewTable(version uint64, limits Limits, all []Route, services []Service) *Table {
	t := &Table{
		Version: version, Limits: limits, routes: len(all),
		services: make(map[types.ServiceID]*Service, len(services)),
		hosts:    map[string]map[string]*Route{},
	}
	for i := range services {
		t.services[services[i].Name] = &services[i]
	}
	for i := range all {
		r := &all[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		if _, ok := t.hosts[host][r.Prefix]; !ok {
			t.hosts[host][r.Prefix] = r
		}
	}
	return t
}

// Routes returns the number of routes.
func (t *Table) RouteCount() int { return t.routes }

// Service returns a service, or nil.
func (t *Table) Service(id types.ServiceID) *Service { return t.services[id] }

// Services calls f for each service.
func (t *Table) Services(f func(*Service)) {
	for _, s := range t.services {
		f(s)
	}
}

// Lookup returns the route of the host with the longest prefix of the path, or
// nil. The path must not contain a query. Its cost depends on the number of
// slashes in the path, not on the number of routes.
func (t *Table) Lookup(host, path string) *Route {
	prefixes := t.hosts[host]
	if prefixes == nil {
		prefixes = t.hosts[strings.ToLower(host)]
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

// Package plainservice is a stand-in for a plain service: a booking or order
// system behind several instances. Each execution of a write is counted by its
// key, so that a request that ran twice is seen. A write is visible at once on
// the instance that ran it and after a lag on the others.
//
// It does not model a limit on concurrent calls, partial failures of a write,
// keys that the service itself remembers, or writes that are lost.
package plainservice

import (
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/standin/web"
)

type order struct {
	instance string
	at       time.Time
	body     string
}

// Store is the state that all instances of one service share.
type Store struct {
	lag time.Duration

	mu         sync.Mutex
	orders     map[string]order
	executions map[string]int
	unkeyed    int
}

// NewStore returns an empty store whose writes reach other instances after lag.
func NewStore(lag time.Duration) *Store {
	return &Store{lag: lag, orders: map[string]order{}, executions: map[string]int{}}
}

// Stats counts executions.
type Stats struct {
	Keys       int `json:"keys"`
	Executions int `json:"executions"`
	// Duplicated counts executions beyond the first for one key.
	Duplicated int `json:"duplicated"`
	Unkeyed    int `json:"unkeyed"`
}

// Stats returns the counts so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{Keys: len(s.executions), Unkeyed: s.unkeyed}
	for _, n := range s.executions {
		st.Executions += n
		st.Duplicated += n - 1
	}
	return st
}

func (s *Store) execute(instance, key, id, body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key == "" {
		s.unkeyed++
	} else {
		s.executions[key]++
	}
	s.orders[id] = order{instance: instance, at: time.Now(), body: body}
}

func (s *Store) read(instance, id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.orders[id]
	if !ok || (o.instance != instance && time.Since(o.at) < s.lag) {
		return "", false
	}
	return o.body, true
}

// Instance is one instance of the service.
type Instance struct {
	Name  string
	Store *Store
	// ServiceTime is how long a call takes.
	ServiceTime time.Duration

	mu      sync.Mutex
	running int
	leaving bool
	slow    time.Duration
	moving  chan struct{} // closed by SetSilent(false); nil while not silent
}

// SetSlow adds a time to each later call.
func (i *Instance) SetExtraDelay(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.slow = d
}

// SetSilent stops the instance: it accepts connections and requests but runs
// and answers nothing until it is set to false. The calls that it then holds
// run late, as those of a process that was paused.
func (i *Instance) SetUnresponsive(v bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case v && i.moving == nil:
		i.moving = make(chan struct{})
	case !v && i.moving != nil:
		close(i.moving)
		i.moving = nil
	}
}

// hold waits while the instance is silent and returns how long a call takes.
func (i *Instance) hold() time.Duration {
	for {
		i.mu.Lock()
		moving, took := i.moving, i.ServiceTime+i.slow
		i.mu.Unlock()
		if moving == nil {
			return took
		}
		<-moving
	}
}

// SetLeaving marks the instance as leaving in its reports.
func (i *Instance) SetLeaving(v bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leaving = v
}

func (i *Instance) enter(n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running += n
}

func (i *Instance) report() any {
	i.mu.Lock()
	defer i.mu.Unlock()
	return map[string]any{"role": "mixed", "running": i.running, "leaving": i.leaving}
}

// Handle serves POST /orders/{id}, GET /orders/{id} and the target protocol's
// report and state.
func (i *Instance) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	took := i.hold()
	switch {
	case path == "/v1/report" || path == "/v1/state":
		web.Reply(ctx, i.report())
	case path == "/v1/report/stream":
		web.Stream(ctx, i.report)
	case strings.HasPrefix(path, "/orders/"):
		i.enter(1)
		defer i.enter(-1)
		web.Wait(took)
		i.handleOrder(ctx, strings.TrimPrefix(path, "/orders/"))
	default:
		web.Fail(ctx, fasthttp.StatusNotFound, "no such path")
	}
	ctx.Response.Header.SetBytesV("X-Request-Id", ctx.Request.Header.Peek("X-Request-Id"))
}

func (i *Instance) handleOrder(ctx *fasthttp.RequestCtx, id string) {
	if ctx.IsGet() {
		body, ok := i.Store.read(i.Name, id)
		if !ok {
			web.Fail(ctx, fasthttp.StatusNotFound, "no such order")
			return
		}
		ctx.SetBodyString(body)
		return
	}
	if !ctx.IsPost() {
		web.Fail(ctx, fasthttp.StatusMethodNotAllowed, "method is not allowed")
		return
	}
	i.Store.execute(i.Name, string(ctx.Request.Header.Peek("Idempotency-Key")), id, string(ctx.PostBody()))
	ctx.SetStatusCode(fasthttp.StatusCreated)
	web.Reply(ctx, map[string]string{"order": id})
	ctx.SetStatusCode(fasthttp.StatusCreated)
}

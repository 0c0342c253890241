// Package plainservice is a stand-in for a plain service: a booking or order
// system with several instances. It counts the executions of writes by idempotency
// key, so that tests detect a request that ran twice. A write is visible at once on
// the instance that executed it and after a lag on the others.
//
// It does not model a limit on concurrent calls, partial failures of a write,
// deduplication by the service itself, or lost writes.
package plainservice

import (
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/standin/web"
)

type order struct {
	instance  string
	writtenAt time.Time
	body      string
}

// Store is the state shared by all instances of one service.
type Store struct {
	replicationLag time.Duration

	mu         sync.Mutex
	orders     map[string]order
	executions map[string]int
	unkeyed    int
}

// NewStore returns an empty store. A write becomes visible on instances other than
// the one that executed it after replicationLag.
func NewStore(replicationLag time.Duration) *Store {
	return &Store{replicationLag: replicationLag, orders: map[string]order{}, executions: map[string]int{}}
}

// Stats counts the executions of writes.
type Stats struct {
	// Keys is the number of distinct idempotency keys.
	Keys int `json:"keys"`
	// Executions counts the executions of writes with a key.
	Executions int `json:"executions"`
	// Duplicated counts the executions after the first one for each key.
	Duplicated int `json:"duplicated"`
	// Unkeyed counts the executions of writes without a key.
	Unkeyed int `json:"unkeyed"`
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
	s.orders[id] = order{instance: instance, writtenAt: time.Now(), body: body}
}

func (s *Store) read(instance, id string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.orders[id]
	if !ok || (o.instance != instance && time.Since(o.writtenAt) < s.replicationLag) {
		return "", false
	}
	return o.body, true
}

// Instance is one instance of the service.
type Instance struct {
	Name  string
	Store *Store
	// ServiceTime is the duration of a call.
	ServiceTime time.Duration

	mu         sync.Mutex
	running    int
	leaving    bool
	extraDelay time.Duration
	resumed    chan struct{} // closed by SetUnresponsive(false); nil while responsive
}

// SetExtraDelay adds d to the duration of each later call.
func (i *Instance) SetExtraDelay(d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.extraDelay = d
}

// SetUnresponsive sets whether the instance stalls: it then accepts connections and
// requests but neither runs them nor responds. Pending requests run when the
// instance is responsive again, as those of a process that was suspended.
func (i *Instance) SetUnresponsive(v bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case v && i.resumed == nil:
		i.resumed = make(chan struct{})
	case !v && i.resumed != nil:
		close(i.resumed)
		i.resumed = nil
	}
}

// awaitResponsive waits until the instance is responsive and returns the duration of
// a call.
func (i *Instance) awaitResponsive() time.Duration {
	for {
		i.mu.Lock()
		resumed, duration := i.resumed, i.ServiceTime+i.extraDelay
		i.mu.Unlock()
		if resumed == nil {
			return duration
		}
		<-resumed
	}
}

// SetLeaving sets whether the instance reports that it is draining.
func (i *Instance) SetLeaving(v bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leaving = v
}

func (i *Instance) addRunning(n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running += n
}

func (i *Instance) report() any {
	i.mu.Lock()
	defer i.mu.Unlock()
	return map[string]any{"role": "mixed", "running": i.running, "leaving": i.leaving}
}

// Handle serves POST and GET of /orders/{id}, and the load report and the state of
// the target protocol.
func (i *Instance) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	duration := i.awaitResponsive()
	switch {
	case path == "/v1/report" || path == "/v1/state":
		web.Reply(ctx, i.report())
	case path == "/v1/report/stream":
		web.Stream(ctx, i.report)
	case strings.HasPrefix(path, "/orders/"):
		i.addRunning(1)
		defer i.addRunning(-1)
		web.Wait(duration)
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

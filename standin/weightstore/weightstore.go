// Package weightstore is a stand-in for the platform's rate-limited store of
// model weights. It serves only the size of the weights, since the model
// engine stand-in loads none. It does not model the time of a transfer or its
// bandwidth; a read over the rate is refused, never queued.
package weightstore

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/standin/web"
)

// Store limits the rate of weight reads. It is safe for concurrent use.
type Store struct {
	perMinute int
	now       func() time.Time

	mu     sync.Mutex
	minute int64
	reads  int
}

// New returns a store that serves perMinute reads a minute; 0 means no limit.
func New(perMinute int, now func() time.Time) *Store {
	return &Store{perMinute: perMinute, now: now}
}

// Allow takes one read from the rate and reports whether there was one.
func (s *Store) Allow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.perMinute == 0 {
		return true
	}
	if m := s.now().Unix() / 60; m != s.minute {
		s.minute, s.reads = m, 0
	}
	s.reads++
	return s.reads <= s.perMinute
}

// Handle serves /v1/weights/{model}/{version} and reports whether the path is
// its own.
func (s *Store) Handle(ctx *fasthttp.RequestCtx) bool {
	const prefix = "/v1/weights/"
	if p := string(ctx.Path()); len(p) <= len(prefix) || p[:len(prefix)] != prefix {
		return false
	}
	if !s.Allow() {
		web.Fail(ctx, fasthttp.StatusTooManyRequests, "weight reads are limited")
		return true
	}
	web.Reply(ctx, map[string]int64{"bytes": 16 << 30})
	return true
}

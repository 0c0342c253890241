// Package weightstore is a stand-in for the platform's rate-limited store of
// model weights. It serves only the size of the weights, because the stand-in for
// the model engine loads no weights. It does not model the duration or bandwidth
// of a transfer. A read over the rate limit is refused, never queued.
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

	mu            sync.Mutex
	rateMinute    int64
	readsInMinute int
}

// New returns a store that serves perMinute reads a minute; 0 means no limit.
func New(perMinute int, now func() time.Time) *Store {
	return &Store{perMinute: perMinute, now: now}
}

// Allow counts a read and reports whether it is within the rate limit.
func (s *Store) Allow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.perMinute == 0 {
		return true
	}
	if m := s.now().Unix() / 60; m != s.rateMinute {
		s.rateMinute, s.readsInMinute = m, 0
	}
	s.readsInMinute++
	return s.readsInMinute <= s.perMinute
}

// Handle serves /v1/weights/{model}/{version}. It reports whether it handled the
// request.
func (s *Store) Handle(ctx *fasthttp.RequestCtx) bool {
	const prefix = "/v1/weights/"
	if p := string(ctx.Path()); len(p) <= len(prefix) || p[:len(prefix)] != prefix {
		return false
	}
	if !s.Allow() {
		web.Fail(ctx, fasthttp.StatusTooManyRequests, "rate limit for reads of weights is exceeded")
		return true
	}
	web.Reply(ctx, map[string]int64{"bytes": 16 << 30})
	return true
}

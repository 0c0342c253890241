package plainservice

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

func book(i *Instance, key, id string) {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(fasthttp.MethodPost)
	ctx.Request.SetRequestURI("/orders/" + id)
	if key != "" {
		ctx.Request.Header.Set("Idempotency-Key", key)
	}
	i.Handle(&ctx)
}

// Guards against a service that hides a second execution of a key: the demo
// would report no duplicates whatever the daemons do.
func TestDuplicateExecutionsAreCounted(t *testing.T) {
	s := NewStore(time.Hour)
	a, b := &Instance{Name: "a", Store: s}, &Instance{Name: "b", Store: s}
	book(a, "k1", "o1")
	book(b, "k1", "o1")
	book(b, "k2", "o2")
	book(b, "", "o3")
	assert.DeepEqual(t, s.Stats(), Stats{Keys: 2, Executions: 3, Duplicated: 1, Unkeyed: 1})
}

// Guards against instances that see each other's writes at once: a read that
// went to the wrong instance would look right.
func TestWritesReachOtherInstancesLate(t *testing.T) {
	s := NewStore(time.Hour)
	s.execute("a", "k", "o", "body")
	_, ok := s.read("b", "o")
	assert.Equal(t, ok, false)
	body, ok := s.read("a", "o")
	assert.Assert(t, ok)
	assert.Equal(t, body, "body")
}

// Guards against a silent instance that runs calls, or loses those it holds.
func TestSilentInstanceHoldsCalls(t *testing.T) {
	s := NewStore(time.Hour)
	i := &Instance{Name: "a", Store: s}
	i.SetUnresponsive(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		book(i, "k", "o")
	}()
	assert.Equal(t, s.Stats().Executions, 0)
	i.SetUnresponsive(false)
	<-done
	assert.Equal(t, s.Stats().Executions, 1)
}

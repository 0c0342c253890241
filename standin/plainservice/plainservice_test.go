package plainservice

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

func placeOrder(i *Instance, key, id string) {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(fasthttp.MethodPost)
	ctx.Request.SetRequestURI("/orders/" + id)
	if key != "" {
		ctx.Request.Header.Set("Idempotency-Key", key)
	}
	i.Handle(&ctx)
}

// Guards against a service that does not count a second execution for a key: the demo
// would then report no duplicates, whatever the daemons do.
func TestDuplicateExecutionsAreCounted(t *testing.T) {
	s := NewStore(time.Hour)
	a, b := &Instance{Name: "a", Store: s}, &Instance{Name: "b", Store: s}
	placeOrder(a, "k1", "o1")
	placeOrder(b, "k1", "o1")
	placeOrder(b, "k2", "o2")
	placeOrder(b, "", "o3")
	assert.DeepEqual(t, s.Stats(), Stats{Keys: 2, Executions: 3, Duplicated: 1, Unkeyed: 1})
}

// Guards against instances that see each other's writes at once: tests would then not
// detect a read that was sent to the wrong instance.
func TestWritesReachOtherInstancesAfterLag(t *testing.T) {
	s := NewStore(time.Hour)
	s.execute("a", "k", "o", "body")
	_, ok := s.read("b", "o")
	assert.Equal(t, ok, false)
	body, ok := s.read("a", "o")
	assert.Assert(t, ok)
	assert.Equal(t, body, "body")
}

// Guards against an unresponsive instance that executes calls or loses pending ones.
func TestUnresponsiveInstanceDelaysCalls(t *testing.T) {
	s := NewStore(time.Hour)
	i := &Instance{Name: "a", Store: s}
	i.SetUnresponsive(true)
	done := make(chan struct{})
	go func() {
		defer close(done)
		placeOrder(i, "k", "o")
	}()
	assert.Equal(t, s.Stats().Executions, 0)
	i.SetUnresponsive(false)
	<-done
	assert.Equal(t, s.Stats().Executions, 1)
}

package control

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/authority"
	"github.com/lentilpick/lentilpick/daemon"
)

// Guards against an order without a result that keeps the daemon from stopping within its timeout.
func TestStopDoesNotWaitForOrdersBeyondItsTimeout(t *testing.T) {
	s := DefaultSettings()
	s.VM, s.DataCentre, s.Platform, s.StopTimeout = "vm", "a", "127.0.0.1:1", time.Second
	d, err := New(s, daemon.NewLogger(io.Discard, "error", "test"))
	assert.NilError(t, err)
	defer d.pool.Release()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	assert.Assert(t, d.orders.orders.BeginRead("e", 1))
	order := d.orders.orders.FinishRead("e", authority.DesiredState{Drain: true}, &authority.ObservedState{}, 1)
	assert.Assert(t, order != nil) // its result never arrives
	go d.orders.run(ctx)
	keysDone, stopped := make(chan struct{}), make(chan struct{})
	close(keysDone)
	go func() {
		d.stop(&http.Server{}, &http.Server{}, func() {}, keysDone)
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Fatal("the daemon waits for the order")
	}
}

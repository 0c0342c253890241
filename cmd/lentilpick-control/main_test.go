package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
	"github.com/lentilpick/lentilpick/api/admin/v1/adminv1connect"
	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"
	"github.com/lentilpick/lentilpick/api/peer/v1/peerv1connect"

	"github.com/lentilpick/lentilpick/cmd/internal/proctest"
	"github.com/lentilpick/lentilpick/standin/logservice"
	"github.com/lentilpick/lentilpick/standin/web"
)

func TestMain(m *testing.M) { proctest.Main(m, main) }

// Guards against SIGHUP that ends the process, and against a repeated signal that ends a stop at once.
func TestSignals(t *testing.T) {
	address := proctest.FreeAddress(t)
	p := proctest.Start(t, fmt.Sprintf("vm = \"a\"\ndata_centre = \"a\"\nlisten = %q\nadmin = %q\nplatform = \"127.0.0.1:1\"\n",
		address, proctest.FreeAddress(t)), address)
	p.Signal(t, syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	resp, err := http.Get("http://" + address + "/metrics")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP} {
		p.Signal(t, s)
	}
	state, log := p.Wait(t)
	assert.Equal(t, state.ExitCode(), 0, log)
	assert.Assert(t, strings.Contains(log, `"msg":"stopped"`), log)
}

// Guards against calls that are in progress at the end of a stop and lose their connection without a
// result.
func TestCallsInProgressAtStopTimeoutGetAResult(t *testing.T) {
	log := logservice.New(logservice.Settings{}, time.Now)
	platform := proctest.FreeAddress(t)
	e, err := web.Serve(platform, func(ctx *fasthttp.RequestCtx) { log.Handle(ctx) }, func(error) {})
	assert.NilError(t, err)
	t.Cleanup(e.Close)
	address, admin := proctest.FreeAddress(t), proctest.FreeAddress(t)
	p := proctest.Start(t, fmt.Sprintf("vm = \"a\"\ndata_centre = \"a\"\nlisten = %q\nadmin = %q\nplatform = %q\nstop_timeout = \"2s\"\n",
		address, admin, platform), address)
	log.SetFaults(logservice.Faults{DelayMs: 60_000})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	change, end := make(chan error, 1), make(chan error, 1)
	go func() {
		_, err := adminv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+admin).Apply(ctx, connect.NewRequest(&adminv1.ApplyRequest{
			ChangeId: "c", Object: &adminv1.ApplyRequest_Workspace{Workspace: &adminv1.Workspace{Id: "club", Share: 1}},
		}))
		change <- err
	}()
	go func() {
		_, err := peerv1connect.NewViewServiceClient(http.DefaultClient, "http://"+address).FinishKey(ctx, connect.NewRequest(&peerv1.FinishKeyRequest{
			Key: &peerv1.KeyID{Service: "book", Workspace: "club", Key: "k"}, Attempt: "x", End: peerv1.KeyEnd_KEY_END_COMPLETED, Forwarded: true,
		}))
		end <- err
	}()
	time.Sleep(5500 * time.Millisecond) // an append of a change has no result after 5 s; the call then waits to read it
	p.Signal(t, syscall.SIGTERM)
	for name, result := range map[string]chan error{"change": change, "end of a key": end} {
		err := <-result
		assert.Assert(t, connect.IsWireError(err), "%s: %v", name, err)
	}
	state, text := p.Wait(t)
	assert.Equal(t, state.ExitCode(), 0, text)
}

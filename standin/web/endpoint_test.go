package web

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// Guards against a simulated crash that leaves connections open or still accepts
// requests: a client would then not see the loss of a process.
func TestEndpointCrashResetsConnectionsAndRestarts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	entered, release := make(chan struct{}), make(chan struct{})
	handler := func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/hold" {
			close(entered)
			<-release
		}
	}
	e, err := Serve(address, handler, func(err error) { t.Errorf("endpoint failed: %v", err) })
	assert.NilError(t, err)
	defer e.Close()
	interrupted := make(chan error, 1)
	go func() {
		_, _, err := fasthttp.Get(nil, "http://"+address+"/hold")
		interrupted <- err
	}()
	<-entered
	e.Crash(time.Hour)
	assert.Assert(t, <-interrupted != nil)
	close(release)
	_, err = net.Dial("tcp", address)
	assert.ErrorContains(t, err, "refused")
	assert.NilError(t, e.restart())
	_, _, err = fasthttp.Get(nil, "http://"+address+"/")
	assert.NilError(t, err)
}

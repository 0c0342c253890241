package web

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// Guards against a crash that leaves connections open or keeps answering: a
// client would then see a refusal instead of the loss of a process.
func TestEndpointCrashDropsAndComesBack(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	entered, leave := make(chan struct{}), make(chan struct{})
	handler := func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/hold" {
			close(entered)
			<-leave
		}
	}
	e, err := Serve(address, handler, func(err error) { t.Errorf("endpoint failed: %v", err) })
	assert.NilError(t, err)
	defer e.Close()
	held := make(chan error, 1)
	go func() {
		_, _, err := fasthttp.Get(nil, "http://"+address+"/hold")
		held <- err
	}()
	<-entered
	e.Crash(time.Hour)
	assert.Assert(t, <-held != nil)
	close(leave)
	_, err = net.Dial("tcp", address)
	assert.ErrorContains(t, err, "refused")
	assert.NilError(t, e.restart())
	_, _, err = fasthttp.Get(nil, "http://"+address+"/")
	assert.NilError(t, err)
}

package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/cmd/internal/proctest"
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

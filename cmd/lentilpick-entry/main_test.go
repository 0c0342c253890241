package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/cmd/internal/proctest"
)

func TestMain(m *testing.M) { proctest.Main(m, main) }

func start(t *testing.T) (p *proctest.Process, address string) {
	t.Helper()
	address = proctest.FreeAddress(t)
	settings := fmt.Sprintf("vm = \"a\"\ndata_centre = \"a\"\nlisten = %q\nmetrics = %q\ncontrol = [\"127.0.0.1:1\"]\nstop_timeout = \"3s\"\n",
		address, proctest.FreeAddress(t))
	return proctest.Start(t, settings, address), address
}

// Guards against SIGHUP that ends the process and cuts its requests.
func TestHangupDoesNotEndTheProcess(t *testing.T) {
	p, address := start(t)
	p.Signal(t, syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	resp, err := http.Get("http://" + address + "/healthz")
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	p.Signal(t, syscall.SIGTERM)
	state, log := p.Wait(t)
	assert.Equal(t, state.ExitCode(), 0, log)
}

// Guards against a repeated signal that ends a stop at once, and against a stop with a request in
// progress that cuts it or fails.
func TestRepeatedSignalsDoNotShortenAStop(t *testing.T) {
	p, address := start(t)
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = io.WriteString(c, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n")
	assert.NilError(t, err)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
		p.Signal(t, s)
		time.Sleep(50 * time.Millisecond)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(b), `"outcome":"not_run","reason":"stopping"`), "%s", b)
	state, log := p.Wait(t)
	assert.Equal(t, state.ExitCode(), 0, log)
	assert.Assert(t, strings.Contains(log, `"msg":"stopped"`), log)
}

// Guards against a stop that cuts its requests because no one reads the log any more.
func TestStopWithoutReaderOfTheLog(t *testing.T) {
	p, address := start(t)
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	_, err = io.WriteString(c, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n")
	assert.NilError(t, err)
	p.CloseLog(t)
	p.Signal(t, syscall.SIGTERM)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	state, _ := p.Wait(t)
	assert.Equal(t, state.ExitCode(), 0, state.String())
}

package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentilpick/lentilpick/platform"
	"github.com/lentilpick/lentilpick/platform/standin"
)

// mainVariable makes the test binary run the program instead of the tests.
const mainVariable = "LENTILPICK_NODE_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// program returns a command that runs the program with the settings file and the platform's settings.
func program(t *testing.T, settings, machine string) (cmd *exec.Cmd, out *bytes.Buffer) {
	out = &bytes.Buffer{}
	cmd = exec.Command(os.Args[0], "--settings", settings)
	cmd.Env = append(os.Environ(), mainVariable+"=1", platform.SettingsVariable+"="+machine)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd, out
}

// Guards against a node that ends when its settings change just after its start, because SIGHUP has
// its default action until the program handles it.
func TestHangupDuringStartIsNotFatal(t *testing.T) {
	settings := filepath.Join(t.TempDir(), "node.toml")
	assert.NilError(t, syscall.Mkfifo(settings, 0o600))
	cmd, out := program(t, settings, "none")
	assert.NilError(t, cmd.Start())
	// Opening a FIFO waits until the program opens it, and the program waits for its content.
	w, err := os.OpenFile(settings, os.O_WRONLY, 0)
	assert.NilError(t, err)
	assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond)
	_, writeErr := w.WriteString("unknown_key = 1\n")
	assert.NilError(t, w.Close())
	err = cmd.Wait()
	assert.Assert(t, cmd.ProcessState.Exited(), "%v: %s", err, out)
	assert.NilError(t, writeErr)
	assert.Assert(t, strings.Contains(out.String(), "unknown_key"), out)
}

func freePort(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	_, port, err := net.SplitHostPort(l.Addr().String())
	assert.NilError(t, err)
	return port
}

// Guards against a graceful stop that a second SIGTERM, or SIGHUP, cuts short, and against the loss of
// its last log lines.
func TestSignalsDuringStop(t *testing.T) {
	store, err := standin.NewStore("127.0.0.1:0")
	assert.NilError(t, err)
	defer store.Close()
	store.Configure(1)
	ip := fmt.Sprintf("127.78.%d.1", os.Getpid()%250+1)
	dir := t.TempDir()
	settings, machine := filepath.Join(dir, "node.toml"), filepath.Join(dir, "machine.toml")
	assert.NilError(t, os.WriteFile(settings, nil, 0o600))
	ready := net.JoinHostPort(ip, freePort(t))
	m := standin.NodeSettings{
		Name: "node-1", IP: ip, Zone: "dc1", CallerAddress: net.JoinHostPort(ip, freePort(t)), ReadyAddress: ready,
		StoreAddress: store.Address(), ControlAddress: net.JoinHostPort(ip, "7396"),
	}
	assert.NilError(t, m.WriteFile(machine))
	cmd, out := program(t, settings, machine)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	for c, err := net.Dial("tcp4", ready); ; c, err = net.Dial("tcp4", ready) {
		if err == nil {
			_ = c.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	began := time.Now()
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM} {
		assert.NilError(t, cmd.Process.Signal(s))
		time.Sleep(300 * time.Millisecond)
	}
	assert.NilError(t, cmd.Wait(), out)
	assert.Assert(t, time.Since(began) > 2*time.Second, "stopped after %s", time.Since(began))
	assert.Assert(t, strings.Contains(out.String(), `"msg":"stopped"`), out)
}

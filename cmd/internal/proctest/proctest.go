// Package proctest runs the main function of a program as a process of its own, for tests of signals.
package proctest

import (
	"bytes"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runMain is the environment variable that makes the test binary run the program.
const runMain = "LENTILPICK_PROCTEST"

// Main runs the program in a process that Start has started, and the tests otherwise. It is for TestMain.
func Main(m *testing.M, program func()) {
	if os.Getenv(runMain) != "" {
		program()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// Process is a running program.
type Process struct {
	cmd    *exec.Cmd
	stderr *os.File // the end of the log's pipe that is read
	copied sync.WaitGroup
	log    bytes.Buffer
	exited chan struct{}
}

// Start starts the program with a settings file and waits until it accepts connections at an address.
func Start(t *testing.T, settings, address string) *Process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	p := &Process{cmd: exec.Command(os.Args[0], "--settings", path), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), runMain+"=1")
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	p.stderr, p.cmd.Stderr = r, w
	assert.NilError(t, p.cmd.Start())
	assert.NilError(t, w.Close())
	p.copied.Go(func() { _, _ = io.Copy(&p.log, r) })
	go func() {
		_ = p.cmd.Wait()
		p.copied.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		c, err := net.Dial("tcp", address)
		if err == nil {
			_ = c.Close()
			return p
		}
		assert.Assert(t, time.Now().Before(end), "the program does not accept connections: %s", err)
	}
}

// CloseLog closes the pipe to which the process writes its log, as a log collector that ends does.
func (p *Process) CloseLog(t *testing.T) {
	t.Helper()
	assert.NilError(t, p.stderr.Close())
}

// Signal sends a signal.
func (p *Process) Signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	assert.NilError(t, p.cmd.Process.Signal(s))
}

// Wait waits until the process has ended, and returns its state and log.
func (p *Process) Wait(t *testing.T) (*os.ProcessState, string) {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(30 * time.Second):
		t.Fatal("the process has not ended")
	}
	return p.cmd.ProcessState, p.log.String()
}

// FreeAddress returns a loopback address on which nothing listens.
func FreeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

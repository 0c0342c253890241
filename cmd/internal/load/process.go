package load

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
)

// processes runs the programs of one deployment. It ends only processes that
// it started.
type processes struct {
	bin  string
	logs string

	mu   sync.Mutex
	cmds map[string]*process
}

type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

func newProcesses(bin, logs string) *processes {
	return &processes{bin: bin, logs: logs, cmds: map[string]*process{}}
}

// start runs a program in the background with its output in a log file.
func (p *processes) start(name, program string, args ...string) error {
	if err := os.MkdirAll(p.logs, 0o755); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(p.logs, name+".log"))
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(p.bin, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	pr := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		pr.err = cmd.Wait()
		_ = out.Close()
		close(pr.done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmds[name] = pr
	return nil
}

// run runs a program to its end.
func (p *processes) run(program string, args ...string) error {
	var out bytes.Buffer
	cmd := exec.Command(filepath.Join(p.bin, program), args...)
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Run(); err != nil {
		return merry.Appendf(ErrDemo, "%s %v: %v: %s", program, args, err, out.String())
	}
	return nil
}

// terminate sends SIGTERM to a process and waits for its end.
func (p *processes) terminate(name string, timeout time.Duration) error {
	p.mu.Lock()
	pr, ok := p.cmds[name]
	delete(p.cmds, name)
	p.mu.Unlock()
	if !ok {
		return merry.Appendf(ErrDemo, "no process %s", name)
	}
	if err := pr.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-pr.done:
		if pr.err != nil {
			return merry.Appendf(ErrDemo, "%s: %v", name, pr.err)
		}
		return nil
	case <-time.After(timeout):
		_ = pr.cmd.Process.Kill()
		return merry.Appendf(ErrDemo, "%s did not stop within %s", name, timeout)
	}
}

// stopAll ends the remaining processes.
func (p *processes) stopAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pr := range p.cmds {
		_ = pr.cmd.Process.Signal(syscall.SIGTERM)
	}
	deadline := time.After(10 * time.Second)
	for _, pr := range p.cmds {
		select {
		case <-pr.done:
		case <-deadline:
			_ = pr.cmd.Process.Kill()
		}
	}
}

const readyPause = 100 * time.Millisecond

func waitFor(what string, timeout time.Duration, ready func() bool) error {
	end := time.Now().Add(timeout)
	for !ready() {
		if time.Now().After(end) {
			return merry.Append(ErrDemo, fmt.Sprintf("%s is not ready after %s", what, timeout))
		}
		after(readyPause)
	}
	return nil
}

func waitHTTP(url string, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	return waitFor(url, timeout, func() bool {
		resp, err := client.Get(url)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func waitListening(address string, timeout time.Duration) error {
	return waitFor(address, timeout, func() bool {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return false
		}
		_ = c.Close()
		return true
	})
}

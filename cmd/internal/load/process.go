package load

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/lentilpick/lentilpick/daemon"
)

// ErrProcess reports that a process or a request to it failed.
var ErrProcess = merry.New("process failed")

// processes runs the programs of one deployment. It signals only processes that
// it started.
type processes struct {
	binDir string
	logDir string

	mu sync.Mutex
	// running holds the started processes by name, without those that were ended
	// by kill or terminate.
	running map[string]*process
}

type process struct {
	cmd *exec.Cmd
	// done is closed when the process has exited; exitErr is set before.
	done    chan struct{}
	exitErr error
}

func newProcesses(binDir, logDir string) *processes {
	return &processes{binDir: binDir, logDir: logDir, running: map[string]*process{}}
}

// start starts a program in the background and appends its output to the file
// name.log in the log directory.
func (p *processes) start(name, program string, args ...string) error {
	if err := os.MkdirAll(p.logDir, 0o755); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.logDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(p.binDir, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	endWithParent(cmd)
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	pr := &process{cmd: cmd, done: make(chan struct{})}
	go func() {
		pr.exitErr = cmd.Wait()
		_ = out.Close()
		close(pr.done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[name] = pr
	return nil
}

// run runs a program and waits until it exits. An error includes the program's
// output.
func (p *processes) run(ctx context.Context, program string, args ...string) error {
	var out bytes.Buffer
	cmd := exec.CommandContext(ctx, filepath.Join(p.binDir, program), args...)
	cmd.Stdout, cmd.Stderr = &out, &out
	endWithParent(cmd)
	if err := cmd.Run(); err != nil {
		return merry.Appendf(ErrProcess, "%s %v: %v: %s", program, args, err, out.String())
	}
	return nil
}

func (p *processes) remove(name string) (*process, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr, ok := p.running[name]
	if !ok {
		return nil, merry.Appendf(ErrProcess, "no running process %q", name)
	}
	delete(p.running, name)
	return pr, nil
}

// signal sends a signal to a process.
func (p *processes) signal(name string, s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr, ok := p.running[name]
	if !ok {
		return merry.Appendf(ErrProcess, "no running process %q", name)
	}
	return pr.cmd.Process.Signal(s)
}

// kill sends SIGKILL to a process and waits until it exits.
func (p *processes) kill(name string) error {
	pr, err := p.remove(name)
	if err != nil {
		return err
	}
	err = pr.cmd.Process.Kill()
	<-pr.done
	return err
}

// terminate sends SIGTERM to a process and waits until it exits. After the
// timeout it kills the process and returns an error.
func (p *processes) terminate(name string, timeout time.Duration) error {
	pr, err := p.remove(name)
	if err != nil {
		return err
	}
	if err := pr.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if !pr.wait(timeout) {
		_ = pr.cmd.Process.Kill()
		<-pr.done
		return merry.Appendf(ErrProcess, "%s did not stop within %s", name, timeout)
	}
	if pr.exitErr != nil {
		return merry.Appendf(ErrProcess, "%s: %v", name, pr.exitErr)
	}
	return nil
}

func (pr *process) wait(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-pr.done:
		return true
	case <-t.C:
		return false
	}
}

// exited returns the names of the processes that exited without kill or
// terminate.
func (p *processes) exited() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for name, pr := range p.running {
		select {
		case <-pr.done:
			out = append(out, name)
		default:
		}
	}
	return out
}

const stopAllTimeout = 5 * time.Second

// stopAll stops the remaining processes and waits until they exit. The stand-ins
// stop last, so that the daemons can shut down gracefully.
func (p *processes) stopAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	daemons, standins := []*process{}, []*process{}
	for name, pr := range p.running {
		if slices.Contains(standinNames, name) {
			standins = append(standins, pr)
		} else {
			daemons = append(daemons, pr)
		}
	}
	stopProcesses(daemons)
	stopProcesses(standins)
	clear(p.running)
}

// standinNames lists the process names of the stand-ins.
var standinNames = []string{"platform", "targets"}

func stopProcesses(list []*process) {
	for _, pr := range list {
		_ = pr.cmd.Process.Signal(syscall.SIGTERM)
		_ = pr.cmd.Process.Signal(syscall.SIGCONT) // a stopped process handles SIGTERM only after SIGCONT
	}
	end := time.Now().Add(stopAllTimeout)
	for _, pr := range list {
		if !pr.wait(time.Until(end)) {
			_ = pr.cmd.Process.Kill()
			<-pr.done
		}
	}
}

const readyPollInterval = 50 * time.Millisecond

// waitFor polls ready until it returns true. It returns an error after the
// timeout, which names what was waited for.
func waitFor(ctx context.Context, name string, timeout time.Duration, ready func() bool) error {
	end := time.Now().Add(timeout)
	for !ready() {
		if time.Now().After(end) {
			return merry.Appendf(ErrProcess, "%s not ready after %s", name, timeout)
		}
		if !daemon.Sleep(ctx, readyPollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

func waitHTTP(ctx context.Context, url string, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	return waitFor(ctx, url, timeout, func() bool {
		resp, err := client.Get(url)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

func waitListening(ctx context.Context, address string, timeout time.Duration) error {
	return waitFor(ctx, address, timeout, func() bool {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return false
		}
		_ = c.Close()
		return true
	})
}

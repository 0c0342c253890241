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

// ErrProcess reports that a program did not run as it should.
var ErrProcess = merry.New("process failed")

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

// start runs a program in the background and appends its output to a log file.
func (p *processes) start(name, program string, args ...string) error {
	if err := os.MkdirAll(p.logs, 0o755); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(p.bin, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	endWithParent(cmd)
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
func (p *processes) run(ctx context.Context, program string, args ...string) error {
	var out bytes.Buffer
	cmd := exec.CommandContext(ctx, filepath.Join(p.bin, program), args...)
	cmd.Stdout, cmd.Stderr = &out, &out
	endWithParent(cmd)
	if err := cmd.Run(); err != nil {
		return merry.Appendf(ErrProcess, "%s %v: %v: %s", program, args, err, out.String())
	}
	return nil
}

func (p *processes) take(name string) (*process, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr, ok := p.cmds[name]
	if !ok {
		return nil, merry.Appendf(ErrProcess, "no process %s", name)
	}
	delete(p.cmds, name)
	return pr, nil
}

// signal sends a signal to a process.
func (p *processes) signal(name string, s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	pr, ok := p.cmds[name]
	if !ok {
		return merry.Appendf(ErrProcess, "no process %s", name)
	}
	return pr.cmd.Process.Signal(s)
}

// kill ends a process without notice and waits for its end.
func (p *processes) kill(name string) error {
	pr, err := p.take(name)
	if err != nil {
		return err
	}
	err = pr.cmd.Process.Kill()
	<-pr.done
	return err
}

// terminate sends SIGTERM to a process and waits for its end.
func (p *processes) terminate(name string, timeout time.Duration) error {
	pr, err := p.take(name)
	if err != nil {
		return err
	}
	if err := pr.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if !pr.await(timeout) {
		_ = pr.cmd.Process.Kill()
		<-pr.done
		return merry.Appendf(ErrProcess, "%s did not stop within %s", name, timeout)
	}
	if pr.err != nil {
		return merry.Appendf(ErrProcess, "%s: %v", name, pr.err)
	}
	return nil
}

func (pr *process) await(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-pr.done:
		return true
	case <-t.C:
		return false
	}
}

// exited returns the names of the processes that ended by themselves.
func (p *processes) exited() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for name, pr := range p.cmds {
		select {
		case <-pr.done:
			out = append(out, name)
		default:
		}
	}
	return out
}

const stopLimit = 5 * time.Second

// stopAll ends the remaining processes and waits until they are gone. The
// stand-ins end last, so that the daemons can stop gracefully.
func (p *processes) stopAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	daemons, standins := []*process{}, []*process{}
	for name, pr := range p.cmds {
		if slices.Contains(standinNames, name) {
			standins = append(standins, pr)
		} else {
			daemons = append(daemons, pr)
		}
	}
	stopProcesses(daemons)
	stopProcesses(standins)
	clear(p.cmds)
}

// standinNames are the names under which stand-ins are started.
var standinNames = []string{"platform", "targets"}

func stopProcesses(list []*process) {
	for _, pr := range list {
		_ = pr.cmd.Process.Signal(syscall.SIGTERM)
		_ = pr.cmd.Process.Signal(syscall.SIGCONT) // a stopped process does not see SIGTERM
	}
	end := time.Now().Add(stopLimit)
	for _, pr := range list {
		if !pr.await(time.Until(end)) {
			_ = pr.cmd.Process.Kill()
			<-pr.done
		}
	}
}

const readyPause = 50 * time.Millisecond

func waitFor(ctx context.Context, what string, timeout time.Duration, ready func() bool) error {
	end := time.Now().Add(timeout)
	for !ready() {
		if time.Now().After(end) {
			return merry.Appendf(ErrProcess, "%s is not ready after %s", what, timeout)
		}
		if !daemon.Sleep(ctx, readyPause) {
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

package modelengine

import (
	"sync"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Runner drives an Engine in real time. One goroutine steps the engine; the
// HTTP handlers add and cancel jobs under the same lock.
type Runner struct {
	lag time.Duration

	mu      sync.Mutex
	engine  *Engine
	outputs map[*Job]chan Output
	reports []types.LoadReport
	silent  bool
	wake    chan struct{}
	stop    chan struct{}
}

const (
	reportEvery = 100 * time.Millisecond
	maxReports  = 128
)

// NewRunner starts an engine whose load reports are late by lag.
func NewRunner(e *Engine, lag time.Duration) *Runner {
	r := &Runner{
		lag: lag, engine: e, outputs: map[*Job]chan Output{},
		wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	go r.run()
	go r.recordReports()
	return r
}

// Close stops the engine; jobs get no further output.
func (r *Runner) Close() { close(r.stop) }

// Do calls f with the engine under the runner's lock and delivers the outputs
// that f returns.
func (r *Runner) Do(f func(e *Engine, now time.Time) []Output) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(f(r.engine, time.Now()))
	r.signal()
}

// Submit adds a job and returns the channel of its outputs.
func (r *Runner) Submit(j *Job, m types.ModelID, a types.AdapterID) (<-chan Output, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.engine.Submit(j, m, a, time.Now()); err != nil {
		return nil, err
	}
	// One place for each token and one for a cut, so that delivery never blocks.
	ch := make(chan Output, max(j.MaxTokens-j.Produced, 0)+2)
	r.outputs[j] = ch
	r.signal()
	return ch, nil
}

// SetSilent makes the engine produce nothing while its connections stay open.
func (r *Runner) SetSilent(v bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = v
	r.signal()
}

// Report returns the newest report that is at least lag old, and its age.
func (r *Runner) Report() (types.LoadReport, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	rep := r.engine.Report(now)
	for i := len(r.reports) - 1; i >= 0; i-- {
		if now.Sub(r.reports[i].At) >= r.lag {
			rep = r.reports[i]
			break
		}
	}
	return rep, now.Sub(rep.At)
}

func (r *Runner) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		d, out := r.step()
		if d == 0 {
			// An engine that is changing has no work until the change ends.
			d = 50 * time.Millisecond
		}
		timer.Reset(d)
		if !r.await(timer, len(out) > 0) {
			return
		}
		r.mu.Lock()
		r.deliver(out)
		r.mu.Unlock()
	}
}

// await waits for the timer, or for new work when nothing is being computed.
func (r *Runner) await(timer *time.Timer, busy bool) bool {
	wake := r.wake
	if busy {
		wake = nil
	}
	select {
	case <-timer.C:
		return true
	case <-wake:
		return true
	case <-r.stop:
		return false
	}
}

func (r *Runner) step() (time.Duration, []Output) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent {
		return 0, nil
	}
	d, out := r.engine.Step(time.Now())
	if d > 0 && len(out) == 0 {
		out = []Output{{}} // an iteration of prefill only still takes its time
	}
	return d, out
}

func (r *Runner) deliver(out []Output) {
	for _, o := range out {
		ch, ok := r.outputs[o.Job]
		if !ok {
			continue
		}
		ch <- o
		if o.Done {
			delete(r.outputs, o.Job)
			close(ch)
		}
	}
}

// Drop cancels a job whose caller is gone.
func (r *Runner) Drop(j *Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engine.Cancel(j)
	delete(r.outputs, j)
}

func (r *Runner) recordReports() {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	var seq uint64
	for {
		select {
		case <-ticker.C:
		case <-r.stop:
			return
		}
		r.mu.Lock()
		seq++
		rep := r.engine.Report(time.Now())
		rep.Sequence = seq
		r.reports = append(r.reports, rep)
		if len(r.reports) > maxReports {
			r.reports = r.reports[1:]
		}
		r.mu.Unlock()
	}
}

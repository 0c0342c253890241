package modelengine

import (
	"sync"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Runner drives an Engine in real time. One goroutine steps the engine; the
// HTTP handlers add and cancel jobs under the same lock. While there is no
// work the goroutine waits for a signal or for the end of a change.
type Runner struct {
	start   time.Time
	weights WeightStore

	mu      sync.Mutex
	engine  *Engine
	lag     time.Duration
	outputs map[*Job]chan Output
	byID    map[types.RequestID]*Job
	reports []types.LoadReport
	events  eventLog
	moving  chan struct{} // closed while the engine is not silent
	wake    chan struct{}
	stop    chan struct{}
}

// RunnerSettings of an engine in real time.
type RunnerSettings struct {
	// ReportLag is how late load reports are.
	ReportLag time.Duration
	Events    EventSettings
	// Weights, if set, is read before a model is loaded.
	Weights WeightStore
}

const (
	// reportEvery is the least time between two recorded reports.
	reportEvery = 100 * time.Millisecond
	maxReports  = 1024
)

// NewRunner starts an engine.
func NewRunner(e *Engine, s RunnerSettings) *Runner {
	r := &Runner{
		start: time.Now(), weights: s.Weights, lag: s.ReportLag, engine: e,
		outputs: map[*Job]chan Output{}, byID: map[types.RequestID]*Job{},
		events: eventLog{settings: s.Events}, moving: make(chan struct{}),
		wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	close(r.moving)
	e.SetCacheObserver(func(k CacheEventKind, b uint64) { r.events.add(k, b, time.Now()) })
	r.record(r.start)
	go r.run()
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
	r.byID[j.ID] = j
	r.signal()
	return ch, nil
}

// Cancel ends the job of a request and reports whether there was one. The
// stream of its answer ends without an end marker.
func (r *Runner) Cancel(id types.RequestID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.byID[id]
	if !ok {
		return false
	}
	r.engine.Cancel(j)
	r.deliver([]Output{{Job: j, Done: true, Interrupted: true}})
	r.signal()
	return true
}

// Drop cancels a job whose caller is gone.
func (r *Runner) Drop(j *Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engine.Cancel(j)
	r.forget(j)
	r.signal()
}

// SetSilent makes the engine produce nothing while its connections stay open.
func (r *Runner) SetUnresponsive(v bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v == r.silent() {
		return
	}
	if v {
		r.moving = make(chan struct{})
		return
	}
	close(r.moving)
	r.signal()
}

// silent reports whether the engine is silent. The lock is held.
func (r *Runner) silent() bool {
	select {
	case <-r.moving:
		return false
	default:
		return true
	}
}

// Moving returns a channel that is closed while the engine is not silent.
func (r *Runner) Responsive() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.moving
}

// SetLag sets how late load reports are.
func (r *Runner) SetReportLag(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lag = d
}

// Report returns the load as it was one lag ago, and its age. An engine that
// has run for less than the lag reports its first state.
func (r *Runner) Report() (types.LoadReport, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	asOf := time.Now().Add(-r.lag)
	if asOf.Before(r.start) {
		asOf = r.start
	}
	rep := r.reports[0]
	for i := len(r.reports) - 1; i >= 0; i-- {
		if !r.reports[i].At.After(asOf) {
			rep = r.reports[i]
			break
		}
	}
	rep.At = asOf
	rep.Sequence = uint64(asOf.Sub(r.start)/reportEvery) + 1
	return rep, time.Since(asOf)
}

// Events returns the cache events after sequence number n that can be read now.
func (r *Runner) Events(n uint64) []CacheEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.events.after(n, time.Now())
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
	<-timer.C
	for {
		d, out, busy := r.step()
		var fire <-chan time.Time
		if d > 0 {
			timer.Reset(d)
			fire = timer.C
		}
		if !r.await(fire, busy) {
			return
		}
		timer.Stop()
		r.mu.Lock()
		r.deliver(out)
		r.mu.Unlock()
	}
}

// await waits for the timer, or for a signal while no iteration is computed.
func (r *Runner) await(fire <-chan time.Time, busy bool) bool {
	wake := r.wake
	if busy {
		wake = nil
	}
	select {
	case <-fire:
		return true
	case <-wake:
		return true
	case <-r.stop:
		return false
	}
}

// step computes an iteration. Without work it returns the time until the end
// of a change, or 0 when only a signal can bring work.
func (r *Runner) step() (d time.Duration, out []Output, busy bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.silent() {
		return 0, nil, false
	}
	if d, out = r.engine.Step(now); d > 0 {
		r.recordLater(now)
		return d, out, true
	}
	r.record(now)
	if end, ok := r.engine.ChangeEnds(now); ok {
		return max(end.Sub(now), time.Microsecond), nil, false
	}
	return 0, nil, false
}

func (r *Runner) deliver(out []Output) {
	for _, o := range out {
		ch, ok := r.outputs[o.Job]
		if !ok {
			continue
		}
		if o.Done && !o.Interrupted && o.Job.PrefillOnly {
			_ = r.engine.RetainKV(o.Job.ID, KV{PromptTokens: o.Job.PromptTokens}, time.Now())
		}
		ch <- o
		if o.Done {
			r.forget(o.Job)
			close(ch)
		}
	}
}

func (r *Runner) forget(j *Job) {
	delete(r.outputs, j)
	if r.byID[j.ID] == j {
		delete(r.byID, j.ID)
	}
}

// recordLater records a report unless the last one is recent.
func (r *Runner) recordLater(now time.Time) {
	if now.Sub(r.reports[len(r.reports)-1].At) >= reportEvery {
		r.record(now)
	}
}

// record notes the load at now. It is called before each wait without end, so
// that the last report holds while the engine is idle.
func (r *Runner) record(now time.Time) {
	if n := len(r.reports); n > 1 && now.Sub(r.reports[n-2].At) < reportEvery {
		r.reports = r.reports[:n-1] // bounds the reports to one per reportEvery
	}
	r.reports = append(r.reports, r.engine.Report(now))
	if extra := len(r.reports) - maxReports; extra > 0 {
		r.reports = append(r.reports[:0], r.reports[extra:]...)
	}
}

package modelengine

import (
	"sync"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Runner runs an Engine in real time. One goroutine steps the engine; HTTP
// handlers add and cancel jobs under the same lock. Without work the goroutine
// waits for a signal or for the end of a change.
type Runner struct {
	start   time.Time
	weights WeightStore

	mu         sync.Mutex
	engine     *Engine
	reportLag  time.Duration
	outputs    map[*Job]chan Output
	jobsByID   map[types.RequestID]*Job
	reports    []types.LoadReport
	events     eventLog
	responsive chan struct{} // closed while the engine is responsive
	wake       chan struct{}
	stop       chan struct{}
}

// RunnerSettings configures a Runner.
type RunnerSettings struct {
	// ReportLag is the delay of load reports.
	ReportLag time.Duration
	Events    EventSettings
	// Weights, if not nil, is read before a change to another model or version.
	Weights WeightStore
}

const (
	// reportInterval is the minimum time between two recorded reports.
	reportInterval = 100 * time.Millisecond
	maxReports     = 1024
)

// NewRunner starts running an engine. The caller has to close the runner.
func NewRunner(e *Engine, s RunnerSettings) *Runner {
	r := &Runner{
		start: time.Now(), weights: s.Weights, reportLag: s.ReportLag, engine: e,
		outputs: map[*Job]chan Output{}, jobsByID: map[types.RequestID]*Job{},
		events: eventLog{settings: s.Events}, responsive: make(chan struct{}),
		wake: make(chan struct{}, 1), stop: make(chan struct{}),
	}
	close(r.responsive)
	e.SetCacheObserver(func(k CacheEventKind, b uint64) { r.events.add(k, b, time.Now()) })
	r.recordReport(r.start)
	go r.run()
	return r
}

// Close stops the engine; jobs receive no further output.
func (r *Runner) Close() { close(r.stop) }

// Do calls f with the engine under the runner's lock and delivers the outputs
// that f returns.
func (r *Runner) Do(f func(e *Engine, now time.Time) []Output) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(f(r.engine, time.Now()))
	r.signal()
}

// Submit adds a job and returns the channel of its outputs. Errors: those of
// Engine.Submit.
func (r *Runner) Submit(j *Job, m types.ModelID, a types.AdapterID) (<-chan Output, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.engine.Submit(j, m, a, time.Now()); err != nil {
		return nil, err
	}
	// One slot for each token and one for an interruption, so that delivery never
	// blocks.
	ch := make(chan Output, max(j.MaxTokens-j.Produced, 0)+2)
	r.outputs[j] = ch
	r.jobsByID[j.ID] = j
	r.signal()
	return ch, nil
}

// Cancel ends the job of a request and reports whether there was one. The stream
// of its response ends without an end marker.
func (r *Runner) Cancel(id types.RequestID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	j, ok := r.jobsByID[id]
	if !ok {
		return false
	}
	r.engine.Cancel(j)
	r.deliver([]Output{{Job: j, Done: true, Interrupted: true}})
	r.signal()
	return true
}

// Drop cancels a job whose client has disconnected; it delivers no further output.
func (r *Runner) Drop(j *Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.engine.Cancel(j)
	r.removeJob(j)
	r.signal()
}

// SetUnresponsive sets whether the engine stalls: it produces nothing while its
// connections stay open.
func (r *Runner) SetUnresponsive(v bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v == r.unresponsive() {
		return
	}
	if v {
		r.responsive = make(chan struct{})
		return
	}
	close(r.responsive)
	r.signal()
}

// unresponsive reports whether the engine is set unresponsive. The caller holds r.mu.
func (r *Runner) unresponsive() bool {
	select {
	case <-r.responsive:
		return false
	default:
		return true
	}
}

// Responsive returns a channel that is closed while the engine is responsive.
func (r *Runner) Responsive() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.responsive
}

// SetReportLag sets the delay of load reports.
func (r *Runner) SetReportLag(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportLag = d
}

// Report returns the load as of one report lag ago, and its age. An engine that
// has run for less than the lag returns its first report.
func (r *Runner) Report() (types.LoadReport, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	asOf := time.Now().Add(-r.reportLag)
	if asOf.Before(r.start) {
		asOf = r.start
	}
	report := r.reports[0]
	for i := len(r.reports) - 1; i >= 0; i-- {
		if !r.reports[i].At.After(asOf) {
			report = r.reports[i]
			break
		}
	}
	report.At = asOf
	report.Sequence = uint64(asOf.Sub(r.start)/reportInterval) + 1
	return report, time.Since(asOf)
}

// Events returns the available cache events with a sequence number above n.
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
		d, out, iterating := r.step()
		var fire <-chan time.Time // never ready without a duration
		if d > 0 {
			timer.Reset(d)
			fire = timer.C
		}
		if !r.waitForWork(fire, iterating) {
			return
		}
		timer.Stop()
		r.mu.Lock()
		r.deliver(out)
		r.mu.Unlock()
	}
}

// waitForWork waits for the timer or, unless an iteration is in progress, for a
// signal. It returns false when the runner is closed.
func (r *Runner) waitForWork(timer <-chan time.Time, iterating bool) bool {
	wake := r.wake
	if iterating {
		wake = nil
	}
	select {
	case <-timer:
		return true
	case <-wake:
		return true
	case <-r.stop:
		return false
	}
}

// step computes an iteration and returns its duration and outputs. Without work it
// returns the time until the end of a change, or 0 if there is no change.
func (r *Runner) step() (d time.Duration, out []Output, iterating bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.unresponsive() {
		return 0, nil, false
	}
	if d, out = r.engine.Step(now); d > 0 {
		r.recordReportIfDue(now)
		return d, out, true
	}
	r.recordReport(now)
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
			r.removeJob(o.Job)
			close(ch)
		}
	}
}

func (r *Runner) removeJob(j *Job) {
	delete(r.outputs, j)
	if r.jobsByID[j.ID] == j {
		delete(r.jobsByID, j.ID)
	}
}

// recordReportIfDue records a report unless the last one is newer than
// reportInterval.
func (r *Runner) recordReportIfDue(now time.Time) {
	if now.Sub(r.reports[len(r.reports)-1].At) >= reportInterval {
		r.recordReport(now)
	}
}

// recordReport records the load at now. It is called before each wait without a
// time limit, so that the last report stays correct while the engine is idle.
func (r *Runner) recordReport(now time.Time) {
	if n := len(r.reports); n > 1 && now.Sub(r.reports[n-2].At) < reportInterval {
		r.reports = r.reports[:n-1] // at most one report per reportInterval
	}
	r.reports = append(r.reports, r.engine.Report(now))
	if extra := len(r.reports) - maxReports; extra > 0 {
		r.reports = append(r.reports[:0], r.reports[extra:]...)
	}
}

package entry

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/engine"
	"github.com/lentilpick/lentilpick/routing"
	"github.com/lentilpick/lentilpick/server/localview"
	"github.com/lentilpick/lentilpick/types"
)

// part is a piece of the response that an exchange passes to the goroutine that writes to the caller.
// Only the last part has an outcome.
type part struct {
	index   int
	count   int
	text    string
	outcome types.Outcome
}

// maxBufferedParts is the number of parts that are buffered for a slow caller before the exchange
// stops reading from the target.
const maxBufferedParts = 32

// exchange serves one completion request: it dispatches the request to a target and, if the target
// fails, resumes on another one at the offset after the last token passed to the caller. It runs on a
// worker of the daemon's pool.
type exchange struct {
	daemon  *Daemon
	request *completion
	view    *localview.View
	service types.ServiceID
	budget  *admission.RetryBudget
	release func()

	attempt      types.Attempt
	route        routing.Request
	parts        chan part
	callerClosed chan struct{} // closed by abandon
	closeOnce    sync.Once     // closes callerClosed
	settled      atomic.Bool   // the outcome has been determined
	tokens       int           // tokens passed to the caller
	// prefillTarget is the engine that prefills the prompt for the target that selectTarget returned;
	// nil if prefill and decode are combined.
	prefillTarget *routing.Target
	ticket        admission.Ticket
	prediction    routing.Prediction // of the last routing decision
	demandCounted bool               // whether the request is counted in the demand for its model
}

func newExchange(d *Daemon, c *completion, v *localview.View, budget *admission.RetryBudget) *exchange {
	return &exchange{
		daemon: d, request: c, view: v, budget: budget,
		parts: make(chan part, maxBufferedParts), callerClosed: make(chan struct{}),
		route: routing.Request{
			Model: c.Model, Adapter: c.Adapter, PromptTokens: types.EstimateTokens(len(c.Prompt)), MaxTokens: c.MaxTokens,
			Blocks: routing.HashBlocks(nil, []byte(c.Prompt)), Deadline: c.Deadline, TokenInterval: c.TokenInterval,
		},
	}
}

// run serves the request to completion. It delivers exactly one outcome, as the last part, unless the
// end of a stop has determined the outcome before.
func (x *exchange) run() {
	defer close(x.parts)
	if o := x.serveAdmitted(); x.settle(o) {
		x.deliver(part{outcome: o})
	}
}

// settle records the outcome of the request. It returns false if the request already has one.
func (x *exchange) settle(o types.Outcome) bool {
	if !x.settled.CompareAndSwap(false, true) {
		return false
	}
	x.daemon.counters.recordOutcome(o)
	return true
}

// abandon makes the exchange end at its next delivery, because no one reads its parts any more.
func (x *exchange) abandon() { x.closeOnce.Do(func() { close(x.callerClosed) }) }

// nextPart returns the next part of the response. At the end of a stop it returns the outcome instead of
// waiting for the target.
func (x *exchange) nextPart() (part, bool) {
	if x.daemon.requests.Err() == nil {
		select {
		case p, ok := <-x.parts:
			return p, ok
		case <-x.daemon.requests.Done():
		}
	}
	if o := x.attempt.Refuse(types.RefusedStopping); x.settle(o) {
		x.daemon.logEnded(x.request.ID, o)
		x.abandon()
		return part{outcome: o}, true
	}
	p, ok := <-x.parts
	return p, ok
}

func (x *exchange) serveAdmitted() (o types.Outcome) {
	defer x.release()
	defer x.daemon.recoverPanic(x.request.ID, func() { o = x.attempt.Refuse(types.RefusedInternal) })
	return x.serve()
}

// deliver passes a part to the goroutine that writes to the caller. It returns false if the exchange
// was abandoned.
func (x *exchange) deliver(p part) bool {
	select {
	case x.parts <- p:
		return true
	case <-x.callerClosed:
		return false
	}
}

func (x *exchange) serve() types.Outcome {
	x.budget.Earn()
	var lastFailure failure
	for retries := 0; ; retries++ {
		t, reason := x.selectTarget()
		if t == nil {
			return lastFailure.refuse(&x.attempt, reason)
		}
		if !x.daemon.mayBegin(&x.attempt, x.service, time.Now().Add(x.daemon.settings.MaxAnswerTime)) {
			return x.attempt.Refuse(types.RefusedStopping)
		}
		err := x.dispatch(t)
		if err == nil {
			x.daemon.recordDuration(x.service, x.request.Arrived)
			return types.Answered{}
		}
		switch {
		case errors.Is(err, errCallerDisconnected):
			return x.attempt.Refuse(types.RefusedCallerGone)
		case errors.Is(err, errStopped):
			return x.attempt.Refuse(types.RefusedStopping)
		}
		f := classify(err)
		lastFailure = f
		x.daemon.recordFailure(t, x.request.ID, err)
		if retries == x.daemon.settings.MaxRetries {
			return x.attempt.Refuse(f.refusal)
		}
		if !f.mayRetry(x.budget) {
			return x.attempt.Refuse(types.RefusedRetryBudget)
		}
		x.daemon.counters.recordRetry(f.retry)
		x.route.Excluded = append(x.route.Excluded, t.ID)
	}
}

// selectTarget returns the target for the next attempt, or nil and the reason for the refusal.
func (x *exchange) selectTarget() (*routing.Target, types.RefusalReason) {
	v := x.daemon.views.Load()
	if x.tokens > 0 {
		// Once the caller has the first token, its deadline no longer applies to the remaining ones. No
		// prefill engine has the KV cache of the tokens generated so far, so the request is not split.
		x.route.Deadline, x.route.TokenInterval, x.route.Combined = time.Time{}, 0, true
	}
	decision := x.daemon.router.Route(v.Fleet, &x.route, time.Now(), newRand())
	x.countDemand(decision.Prediction.PrefillTokens)
	if decision.Target == nil {
		return nil, decision.Reason
	}
	x.prediction, x.prefillTarget = decision.Prediction, decision.Prefill
	return decision.Target, 0
}

// countDemand adds the request to the demand for its model, at most once per request. prefillTokens
// is the part of the prompt that is not expected in a prefix cache; at 0, which is the value without
// a target, the whole prompt counts.
func (x *exchange) countDemand(prefillTokens int) {
	if x.demandCounted {
		return
	}
	x.demandCounted = true
	if prefillTokens == 0 {
		prefillTokens = x.route.PromptTokens
	}
	x.daemon.demand.add(x.request.Model, prefillTokens, x.request.MaxTokens)
}

// errCallerDisconnected ends a dispatch whose caller closed the connection.
var errCallerDisconnected = errors.New("caller closed the connection")

// dispatch serves the request on a target. If the routing decision splits the request, the prompt is
// first prefilled on prefillTarget.
func (x *exchange) dispatch(t *routing.Target) error {
	if x.prefillTarget != nil {
		return x.dispatchSplit(x.prefillTarget, t)
	}
	return x.generate(t, "", x.prediction.PrefillTokens)
}

// generate sends the request to a target and relays the response to the caller. kvSource is the
// address of the engine from which the target imports the KV cache of the prompt, or empty;
// prefillTokens is the number of tokens that the target has to prefill.
func (x *exchange) generate(t *routing.Target, kvSource string, prefillTokens int) error {
	p := x.prediction
	p.PrefillTokens = prefillTokens
	load := startLoad(t, p)
	defer load.end()
	s, err := x.openStream(t, x.newGenerate(kvSource))
	if err != nil {
		return err
	}
	if err := x.relay(s, load); err != nil {
		s.Close()
		return err
	}
	s.Finish()
	t.Counters.Failures.Store(0)
	return nil
}

func (x *exchange) newGenerate(kvSource string) *engine.GenerateRequest {
	return &engine.GenerateRequest{
		RequestID: x.request.ID, Model: x.request.Model, Adapter: x.request.Adapter, Prompt: x.request.Prompt,
		MaxTokens: x.request.MaxTokens, Priority: x.request.Priority, ResumeFrom: x.tokens, KVSource: kvSource,
	}
}

// openStream sends a request to a target and counts it as an attempt. It sends nothing after the end of
// a stop, which it checks after counting, so that nextPart cannot report an attempt as not run.
func (x *exchange) openStream(t *routing.Target, g *engine.GenerateRequest) (*engine.Stream, error) {
	d := x.attempt.Begin()
	if x.daemon.requests.Err() != nil {
		d.NotStarted()
		return nil, errStopped
	}
	s, err := x.daemon.targets.Generate(t.Address, g, time.Now().Add(x.daemon.settings.MaxAnswerTime))
	if errors.Is(err, engine.ErrNotSent) {
		d.NotStarted()
	}
	return s, err
}

// relay delivers the events of a stream to the caller up to the end marker.
func (x *exchange) relay(s *engine.Stream, load *targetLoad) error {
	for {
		e, err := s.Next()
		if err != nil {
			return err
		}
		if e.Done {
			return nil
		}
		if load.recordFirstToken() && x.tokens == 0 {
			x.daemon.admission.ObserveFirstToken(x.ticket, time.Now().After(x.request.Deadline))
		}
		if !x.deliver(part{index: e.Index, count: e.Count, text: e.Text}) {
			return errCallerDisconnected
		}
		x.tokens += e.Count
	}
}

// targetLoad counts one request in a target's load counters until end is called.
type targetLoad struct {
	target        *routing.Target
	counters      *routing.Counters
	started       time.Time
	predicted     time.Duration // time to the first token
	prefillTokens int64
	decoding      bool
}

func startLoad(t *routing.Target, p routing.Prediction) *targetLoad {
	l := &targetLoad{
		target: t, counters: t.Counters, started: time.Now(), predicted: p.FirstToken, prefillTokens: int64(p.PrefillTokens),
	}
	l.counters.InFlight.Add(1)
	l.counters.QueuedPrefill.Add(l.prefillTokens)
	return l
}

// recordFirstToken moves the request from prefill to decode in the target's counters. It returns
// whether this is the first call; further calls do nothing.
func (l *targetLoad) recordFirstToken() bool {
	if l.decoding {
		return false
	}
	l.decoding = true
	adaptTargetLimit(l.target, time.Since(l.started), l.predicted)
	l.counters.QueuedPrefill.Add(-l.prefillTokens)
	l.counters.Decoding.Add(1)
	return true
}

func (l *targetLoad) end() {
	l.counters.InFlight.Add(-1)
	if l.decoding {
		l.counters.Decoding.Add(-1)
		return
	}
	l.counters.QueuedPrefill.Add(-l.prefillTokens)
}

package entry

import (
	"errors"
	"time"

	"github.com/lentilpick/lentilpick/admission"
	"github.com/lentilpick/lentilpick/engine"
	"github.com/lentilpick/lentilpick/routing"
	"github.com/lentilpick/lentilpick/server/localview"
	"github.com/lentilpick/lentilpick/types"
)

// part is what an exchange passes to the caller's side. The last part has an
// outcome.
type part struct {
	index   int
	count   int
	text    string
	outcome types.Outcome
}

// partBuffer is how many parts may wait for a slow caller before the exchange
// stops reading from the target.
const partBuffer = 32

// exchange serves one completion request: it dispatches to a target and, when
// the target fails, resumes on another one at the token offset that the caller
// has. It runs on a worker of the daemon's pool.
type exchange struct {
	daemon  *Daemon
	request *completion
	view    *localview.View
	budget  *admission.RetryBudget
	release func()

	attempt types.Attempt
	route   routing.Request
	parts   chan part
	gone    chan struct{} // closed when the caller is gone
	tokens  int           // tokens passed to the caller
	// prefill is the engine that prefills the prompt for the target that choose
	// returned; nil when the request is served whole.
	prefill    *routing.Target
	ticket     admission.Ticket
	prediction routing.Prediction // of the last decision
	counted    bool               // in the demand for the model
}

func newExchange(d *Daemon, c *completion, v *localview.View, budget *admission.RetryBudget) *exchange {
	return &exchange{
		daemon: d, request: c, view: v, budget: budget,
		parts: make(chan part, partBuffer), gone: make(chan struct{}),
		route: routing.Request{
			Model: c.Model, Adapter: c.Adapter, PromptTokens: types.EstimateTokens(len(c.Prompt)), MaxTokens: c.MaxTokens,
			Blocks: routing.HashBlocks(nil, []byte(c.Prompt)), Deadline: c.Deadline, TokenInterval: c.TokenInterval,
		},
	}
}

// run serves the request to its end. It always passes exactly one outcome.
func (x *exchange) run() {
	defer close(x.parts)
	o := x.serveAdmitted()
	x.daemon.counters.finished(o)
	x.pass(part{outcome: o})
}

func (x *exchange) serveAdmitted() types.Outcome {
	defer x.release()
	return x.serve()
}

// pass hands a part to the caller's side and reports whether the caller is there.
func (x *exchange) pass(p part) bool {
	select {
	case x.parts <- p:
		return true
	case <-x.gone:
		return false
	}
}

func (x *exchange) serve() types.Outcome {
	x.budget.Earn()
	var last failure
	for retries := 0; ; retries++ {
		t, reason := x.choose()
		if t == nil {
			return last.refuse(&x.attempt, reason)
		}
		err := x.dispatch(t)
		if err == nil {
			return types.Answered{}
		}
		if errors.Is(err, errCallerGone) {
			return x.attempt.Refuse(types.RefusedCallerGone)
		}
		f := classify(err)
		last = f
		x.daemon.failed(t, x.request.ID, err)
		if retries == x.daemon.settings.MaxRetries {
			return x.attempt.Refuse(f.refusal)
		}
		if !f.mayRetry(x.budget) {
			return x.attempt.Refuse(types.RefusedRetryBudget)
		}
		x.daemon.counters.retried(f.retry)
		x.route.Excluded = append(x.route.Excluded, t.ID)
	}
}

// choose returns a target, or the reason why there is none.
func (x *exchange) choose() (*routing.Target, types.RefusalReason) {
	v := x.daemon.views.Load()
	if x.tokens > 0 {
		// The first token is out, so that only the end matters now. The KV cache
		// of the tokens that the caller has is not on any prefill engine.
		x.route.Deadline, x.route.TokenInterval, x.route.Combined = time.Time{}, 0, true
	}
	dec := x.daemon.router.Route(v.Fleet, &x.route, time.Now(), seed())
	x.countDemand(dec.Prediction.PrefillTokens)
	if dec.Target == nil {
		return nil, dec.Reason
	}
	x.prediction, x.prefill = dec.Prediction, dec.Prefill
	return dec.Target, 0
}

// countDemand adds the request to the demand for its model once. prefill is the
// part of the prompt that is not expected in a prefix cache, 0 if no engine
// could be asked.
func (x *exchange) countDemand(prefill int) {
	if x.counted {
		return
	}
	x.counted = true
	if prefill == 0 {
		prefill = x.route.PromptTokens
	}
	x.daemon.demand.add(x.request.Model, prefill, x.request.MaxTokens)
}

// errCallerGone ends a dispatch whose caller closed the connection.
var errCallerGone = errors.New("caller is gone")

// dispatch serves the request on a target, after a prefill on another one if
// the decision was to split it.
func (x *exchange) dispatch(t *routing.Target) error {
	if x.prefill != nil {
		return x.dispatchSplit(x.prefill, t)
	}
	return x.generate(t, "", x.prediction.PrefillTokens)
}

// generate passes a target's answer to the caller. kvSource names the engine
// that holds the KV cache of the prompt, if any; prefill is the number of
// tokens that the target has to prefill.
func (x *exchange) generate(t *routing.Target, kvSource string, prefill int) error {
	p := x.prediction
	p.PrefillTokens = prefill
	load := startLoad(t, p)
	defer load.end()
	s, err := x.open(t, x.body(kvSource))
	if err != nil {
		return err
	}
	if err := x.copy(s, load); err != nil {
		s.Close()
		return err
	}
	s.Finish()
	t.Counters.Failures.Store(0)
	return nil
}

func (x *exchange) body(kvSource string) *engine.GenerateRequest {
	return &engine.GenerateRequest{
		RequestID: x.request.ID, Model: x.request.Model, Adapter: x.request.Adapter, Prompt: x.request.Prompt,
		MaxTokens: x.request.MaxTokens, Priority: x.request.Priority, ResumeFrom: x.tokens, KVSource: kvSource,
	}
}

// open sends a request to a target.
func (x *exchange) open(t *routing.Target, g *engine.GenerateRequest) (*engine.Stream, error) {
	d := x.attempt.Begin()
	s, err := x.daemon.targets.Generate(t.Address, g, time.Now().Add(x.daemon.settings.MaxAnswerTime))
	if errors.Is(err, engine.ErrNotSent) {
		d.NotStarted()
	}
	return s, err
}

// copy passes the events of a stream to the caller until its end marker.
func (x *exchange) copy(s *engine.Stream, load *targetLoad) error {
	for {
		e, err := s.Next()
		if err != nil {
			return err
		}
		if e.Done {
			return nil
		}
		if load.firstToken() && x.tokens == 0 {
			x.daemon.admission.ObserveFirstToken(x.ticket, time.Now().After(x.request.Deadline))
		}
		if !x.pass(part{index: e.Index, count: e.Count, text: e.Text}) {
			return errCallerGone
		}
		x.tokens += e.Count
	}
}

// targetLoad keeps a target's counters while a request is on it.
type targetLoad struct {
	target    *routing.Target
	c         *routing.Counters
	started   time.Time
	predicted time.Duration // until the first token
	prefill   int64
	decodes   bool
}

func startLoad(t *routing.Target, p routing.Prediction) *targetLoad {
	l := &targetLoad{
		target: t, c: t.Counters, started: time.Now(), predicted: p.FirstToken, prefill: int64(p.PrefillTokens),
	}
	l.c.InFlight.Add(1)
	l.c.QueuedPrefill.Add(l.prefill)
	return l
}

// firstToken reports whether this is the first call.
func (l *targetLoad) firstToken() bool {
	if l.decodes {
		return false
	}
	l.decodes = true
	observe(l.target, time.Since(l.started), l.predicted)
	l.c.QueuedPrefill.Add(-l.prefill)
	l.c.Decoding.Add(1)
	return true
}

func (l *targetLoad) end() {
	l.c.InFlight.Add(-1)
	if l.decodes {
		l.c.Decoding.Add(-1)
		return
	}
	l.c.QueuedPrefill.Add(-l.prefill)
}

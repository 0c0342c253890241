package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// patience is the shortest time after which callers leave a stream without
	// an event; longer objectives and pauses extend it. Platform protocol.
	patience          = 2 * time.Second
	patienceObjective = 4
	patienceGap       = 8
	// lateShare is the part of the caller's patience up to which a late first
	// event is still worth sending the request.
	lateShare = 0.6
	// resumeGaps is after how many of the route's pauses without an event a
	// stream is taken to be stuck, if it can go on elsewhere.
	resumeGaps = 4
	// prefillSlack is how much longer than predicted a prefill may take before
	// another engine is asked.
	prefillSlack = time.Second
	// cacheShare is the share of the KV cache that holds prompt parts beside the
	// running requests and the handles that wait to be taken.
	cacheShare = 0.8
	// connectionTime is how long an open connection is expected to be used again.
	// Targets and requests that must not be lost bound it to a few seconds.
	connectionTime = 3 * time.Second
	// minRetryAfter is the shortest time after which a refused caller is asked
	// to come back.
	minRetryAfter = 100 * time.Millisecond
)

// patience returns how long a caller waits for an event.
func (x *exchange) patience() time.Duration {
	return max(patience, patienceObjective*x.route.Objective, patienceGap*x.route.TokenInterval)
}

// serveStream serves a request that is answered by a stream of events.
func (x *exchange) serveStream() types.Outcome {
	s := stream{exchange: x, lastEvent: x.r.ResumeAfter}
	defer s.release()
	for {
		err := s.try()
		if err == nil {
			return types.Answered{}
		}
		var end *ended
		if errors.As(err, &end) {
			return end.outcome
		}
		if o := x.stopped(); o != nil {
			return o
		}
		f := classify(err)
		if s.prefillFailed {
			f.notRun = true
		}
		if !x.mayRetry(f, s.prefillFailed) {
			return x.refuse(f.refusal, x.route.Objective)
		}
		s.prefillFailed = false
	}
}

// ended is an error that ends a request with an outcome.
type ended struct{ outcome types.Outcome }

// Error implements error.
func (e *ended) Error() string { return "request ended" }

// stream is the state of a streamed request over several tries.
type stream struct {
	*exchange
	lastEvent string
	events    int
	handle    Handle
	// prefillFailed says that the last error is that of a prefill.
	prefillFailed bool
}

// release frees the KV cache of a prefill that no engine has taken.
func (s *stream) release() {
	if s.handle.ID != "" {
		s.g.targets.Release(s.handle)
		s.handle = Handle{}
	}
}

// try sends the request once: split over two engines, or whole.
func (s *stream) try() error {
	if s.service == nil || s.service.Engine == nil || s.r.Prompt == nil {
		return s.whole(placement.Available{}, placement.PlainScorer{Costs: s.g.settings.Costs, ServiceTime: plainWork})
	}
	if s.events > 0 {
		return s.whole(placement.GeneratesTokens{}, s.combinedScorer())
	}
	if s.handle.ID != "" {
		return s.decode()
	}
	p := s.pick(placement.HasRole(types.RolePrefill), s.prefillScorer())
	if p.Target == nil {
		return s.whole(placement.GeneratesTokens{}, s.combinedScorer())
	}
	if err := s.check(p); err != nil {
		return err
	}
	if err := s.prefill(p); err != nil {
		s.prefillFailed = true
		return err
	}
	return s.decode()
}

func (s *stream) link() placement.Link {
	e := s.service.Engine
	return placement.Link{TokenBytes: e.KVTokenBytes, Mbps: e.LinkMbps, TransferCostPerToken: s.g.settings.TransferCostPerToken}
}

func (s *stream) prefillScorer() placement.PrefillScorer {
	return placement.PrefillScorer{
		Costs: s.costs(), Speed: s.g.settings.Speed, Link: s.link(), FetchCostPerToken: s.g.settings.FetchCostPerToken,
		Source: placement.FindCacheSource(s.candidates(), s.query(), s.costs()),
	}
}

func (s *stream) combinedScorer() placement.CombinedScorer {
	return placement.CombinedScorer{Costs: s.costs(), Speed: s.g.settings.Speed, Engine: *s.service.Engine}
}

// check refuses a request whose first event would come so late that it is
// worth little, before any engine has worked on it.
func (s *stream) check(p placement.Choice) error {
	elapsed := s.now().Sub(s.r.Arrived)
	limit := time.Duration(lateShare * float64(s.patience()))
	over := elapsed + p.Predicted() - limit
	if over <= 0 {
		return nil
	}
	return &ended{s.refuse(types.RefusedOverload, max(over, minRetryAfter))}
}

// prefill has an engine read the prompt.
func (s *stream) prefill(p placement.Choice) error {
	t := p.Target
	w := s.begin(t, directory.Work{Requests: 1, PrefillPrompts: 1, PrefillTokens: p.PrefillWork})
	defer w.end()
	s.use(t, s.brought(p))
	s.sending(p, StagePrefill)
	c := s.call(t, StagePrefill)
	c.FetchFrom = p.FetchFrom
	c.Priority = s.route.Priority
	c.ProgressTimeout = min(2*p.Predicted()+prefillSlack, c.ProgressTimeout)
	began := s.now()
	h, err := s.g.targets.Prefill(s.ctx, c)
	if err != nil {
		if !classify(err).notSent {
			s.prefills++
			s.budget.Charge()
		}
		s.blame(t, err)
		return err
	}
	s.prefills++
	t.Load.RecordActivity(s.now())
	t.Load.RecordSuccess()
	t.Load.RecordDelay(s.now().Sub(began) - p.Predicted())
	s.handle = h
	return nil
}

// use records that an engine holds the shared parts of the prompt, and how many
// tokens it has brought in for it.
func (s *stream) use(t *directory.Target, read int) {
	parts := s.r.Prompt.Parts
	t.Load.RecordPrefill(parts, read)
	s.g.share.NotifyPartsUsed(t, parts)
}

// brought returns the tokens that a prefill brings into the KV cache of its
// engine, read or fetched.
func (s *stream) brought(p placement.Choice) int {
	held := p.Target.Load.CachedTokens(s.r.Prompt.Parts, s.costs().CacheTokens)
	return max(s.r.Prompt.Tokens-held, 0)
}

// costs returns what engines of the service are weighed with.
func (s *stream) costs() placement.Costs {
	c := s.g.settings.Costs
	c.CacheTokens = int(cacheShare * float64(s.service.Engine.KVTokens))
	return c
}

// decode runs the request from the KV cache of the prefill.
func (s *stream) decode() error {
	h := s.handle
	d := s.pick(placement.GeneratesTokens{}, placement.DecodeScorer{
		Costs: s.costs(), Speed: s.g.settings.Speed, Engine: *s.service.Engine, Link: s.link(), SourceDataCentre: h.Target.DataCentre,
	})
	if d.Target == nil {
		return &ended{s.noTarget()}
	}
	c := s.call(d.Target, StageDecode)
	c.KVSource = h
	err := s.run(d, c)
	if err == nil || !classify(err).notSent {
		s.handle = Handle{}
	}
	if err == nil {
		// The engine keeps the parts that it has fetched.
		s.use(d.Target, d.UncachedTokens+s.r.Prompt.MaxOutputTokens)
	}
	return err
}

// whole runs the request on one target.
func (s *stream) whole(f placement.Filter, sc placement.Scorer) error {
	c := s.pick(f, sc)
	if c.Target == nil {
		return &ended{s.noTarget()}
	}
	if s.r.Prompt != nil && s.service != nil && s.service.Engine != nil {
		if s.events == 0 {
			if err := s.check(c); err != nil {
				return err
			}
		}
		s.use(c.Target, c.UncachedTokens)
	}
	return s.run(c, s.call(c.Target, StageCombined))
}

// run sends the request and passes the events to the caller.
func (s *stream) run(p placement.Choice, c *Call) error {
	t := p.Target
	load := directory.Work{Requests: 1}
	if s.r.Prompt != nil {
		load.StreamTokens = int64(s.r.Prompt.Tokens + s.r.Prompt.MaxOutputTokens)
	}
	if c.Stage == StageCombined {
		load.PrefillTokens, load.PrefillPrompts = p.PrefillWork, 1
	}
	w := s.begin(t, load)
	defer w.end()
	c.Priority = s.route.Priority
	c.ResumeAfter = s.lastEvent
	c.ProgressTimeout = s.stall()
	s.sending(p, c.Stage)
	d := s.attempt.Begin()
	began := s.now()
	a, err := s.g.targets.Send(s.ctx, c)
	s.sent(err, d)
	if err != nil {
		s.blame(t, err)
		return err
	}
	defer a.Close()
	t.Load.RecordActivity(s.now())
	if a.Status() != http.StatusOK {
		return s.failed(a)
	}
	err = s.copy(a, t, func() {
		t.Load.RecordDelay(s.now().Sub(began) - p.Predicted())
		load.PrefillTokens, load.PrefillPrompts, load.Streams = 0, 0, 1
		w.change(load)
	})
	if err != nil {
		s.blame(t, err)
		return err
	}
	t.Load.RecordSuccess()
	t.Load.SetConnectedUntil(s.now().Add(connectionTime))
	return nil
}

// stall returns how long a target may be silent.
func (s *stream) stall() time.Duration {
	if s.route.Resumable && s.runs+1 < s.route.MaxRuns && s.events > 0 {
		return max(resumeGaps*s.route.TokenInterval, minRetryAfter)
	}
	return s.patience() + s.route.TokenInterval
}

// failed passes a target's own failure to the caller.
func (s *stream) failed(a Response) error {
	body, err := s.readWhole(a)
	if err != nil {
		return err
	}
	if s.started {
		return ErrInvalidResponse
	}
	return &ended{s.pass(a, body)}
}

// copy passes whole events to the caller until the end of the stream. The head
// of the answer is passed with the first event, so that a stream without any
// can still go elsewhere.
func (s *stream) copy(a Response, t *directory.Target, first func()) error {
	b := newEventBuffer()
	defer b.release()
	for {
		n, err := b.fill(a)
		if n > 0 {
			t.Load.RecordActivity(s.now())
			if events := b.complete(); len(events) > 0 {
				if s.events == 0 {
					s.first = s.now().Sub(s.r.Arrived)
				}
				if s.events == 0 || !s.started {
					first()
				}
				if werr := s.forward(a, events); werr != nil {
					return werr
				}
				s.events++
				s.lastEvent = lastID(events, s.lastEvent)
				b.drop(len(events))
			}
		}
		if isEnd(err) {
			return s.finish(a, b.rest())
		}
		if err != nil {
			return err
		}
	}
}

// forward passes events to the caller.
func (s *stream) forward(a Response, events []byte) error {
	if !s.started {
		s.started, s.status = true, a.Status()
		if err := s.w.BeginStream(a); err != nil {
			return s.gone()
		}
	}
	if err := s.w.WriteChunk(events); err != nil {
		return s.gone()
	}
	return nil
}

// finish passes the end of a whole stream.
func (s *stream) finish(a Response, rest []byte) error {
	if !s.started || len(rest) > 0 {
		if err := s.forward(a, rest); err != nil {
			return err
		}
	}
	if s.w.EndStream() != nil {
		return s.gone()
	}
	return nil
}

func (s *stream) gone() error { return &ended{s.attempt.Refuse(types.RefusedCallerGone)} }

package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/lentilpick/lentilpick/demand"
	"github.com/lentilpick/lentilpick/directory"
	"github.com/lentilpick/lentilpick/placement"
	"github.com/lentilpick/lentilpick/types"
)

const (
	// minEventWait is the minimum time that callers wait for an event of a stream before
	// they disconnect. It is extended to waitPerObjective times the objective or
	// waitPerTokenInterval times the token interval of the route, whichever is longer.
	// The values are those of the platform protocol.
	minEventWait         = 2 * time.Second
	waitPerObjective     = 4
	waitPerTokenInterval = 8
	// maxWaitShare is the share of the callers' wait limit within which the first event
	// must be predicted. Otherwise the request is refused as overload.
	maxWaitShare = 0.6
	// resumeAfterIntervals is the number of token intervals without an event after which
	// a stream counts as stalled, if it can be resumed on another target.
	resumeAfterIntervals = 4
	// prefillSlack is added to twice the predicted time of a prefill to give its progress
	// timeout. After this timeout another engine is tried.
	prefillSlack = time.Second
	// cacheShare is the share of the KV cache that is available for prompt parts. The
	// rest is used by running requests and by handles that were not yet fetched.
	cacheShare = 0.8
	// connectionReuseTime is how long an idle connection is expected to be reusable.
	// Targets and requests that require a live connection limit it to a few seconds.
	connectionReuseTime = 3 * time.Second
	// prefillReuseTime is the same for prefill engines, whose requests may be repeated.
	prefillReuseTime = 8 * time.Second
	// minRetryAfter is the minimum time after which a refused caller may retry.
	minRetryAfter = 100 * time.Millisecond
)

// eventWaitLimit returns how long a caller waits for an event.
func (x *exchange) eventWaitLimit() time.Duration {
	return max(minEventWait, waitPerObjective*x.route.Objective, waitPerTokenInterval*x.route.TokenInterval)
}

// serveStream serves a request that is answered by a stream of events.
func (x *exchange) serveStream() types.Outcome {
	s := stream{exchange: x, lastEvent: x.r.ResumeAfter}
	defer s.release()
	if o := s.bindVersion(); o != nil {
		return o
	}
	for {
		err := s.attempt()
		if err == nil {
			return types.Answered{}
		}
		var end *outcomeError
		if errors.As(err, &end) {
			return end.outcome
		}
		if o := x.contextOutcome(); o != nil {
			return o
		}
		f := classify(err)
		if s.prefillFailed {
			f.notRun = true
		}
		if !x.mayRetry(f, s.prefillFailed) {
			return x.giveUp(f)
		}
		s.prefillFailed = false
	}
}

// attempt makes one attempt, through another daemon if this one does not reach the targets.
func (s *stream) attempt() error {
	if err := s.checkCrashes(); err != nil {
		return err
	}
	if s.mustForward() {
		s.release()
		if err := s.forwardToPeer(); !errors.Is(err, errNoPeer) {
			return err
		}
	}
	if o := s.endForwarded(); o != nil {
		return &outcomeError{o}
	}
	return s.sendOnce()
}

// outcomeError ends a request with an outcome instead of a retry.
type outcomeError struct{ outcome types.Outcome }

// Error implements error.
func (e *outcomeError) Error() string { return "request ended" }

// stream is the state of a streamed request across its attempts.
type stream struct {
	*exchange
	lastEvent string
	// runEvents is the number of events of the last run, while events of the exchange counts the
	// reads with events of all runs.
	runEvents int
	pace      pace
	handle    Handle
	// prefillFailed reports whether the last error is that of a prefill.
	prefillFailed bool
	offered       bool // the request was recorded as demand
}

// release frees the KV cache of a prefill that no engine has fetched.
func (s *stream) release() {
	if s.handle.ID != "" {
		s.g.targets.Release(s.handle)
		s.handle = Handle{}
	}
}

// sendOnce makes one attempt: with prefill and decode on separate engines, or combined on
// one target.
func (s *stream) sendOnce() error {
	if s.service == nil || s.service.Engine == nil || s.r.Prompt == nil {
		return s.runCombined(placement.Available{}, placement.PlainScorer{Costs: s.g.settings.Costs, ServiceTime: plainServiceTime})
	}
	if s.begun() {
		return s.runCombined(placement.GeneratesTokens{}, s.combinedScorer())
	}
	if s.handle.ID != "" {
		return s.decode()
	}
	p := s.pickPrefill()
	if p.Target == nil {
		return s.runCombined(placement.GeneratesTokens{}, s.combinedScorer())
	}
	s.offer(p)
	if err := s.checkOverload(p); err != nil {
		return err
	}
	d, err := s.checkLimits(p)
	if err != nil {
		return err
	}
	if err := s.awaitLimit(p.Target); err != nil {
		return err
	}
	// Reserved before the prefill, which would be in vain without it.
	if d != nil && d.Load.Limit.Limited() {
		s.reserveTime(d)
	}
	if err := s.prefill(p); err != nil {
		s.prefillFailed = true
		return err
	}
	// The part may have been blocked during the prefill.
	if err := s.checkCrashes(); err != nil {
		return err
	}
	return s.decode()
}

// offer records the request as demand, once, whether it is served or refused afterwards.
func (s *stream) offer(p placement.Choice) {
	if s.offered || s.r.Forwarded != nil && s.r.Forwarded.Offered {
		return
	}
	s.offered = true
	q, speed := s.r.Prompt, s.speed()
	s.demand().Offer(s.route.Name, speed.PrefillTime(p.PrefillWork), q.Tokens+q.MaxOutputTokens, time.Duration(q.MaxOutputTokens)*speed.IterationTime)
}

func (s *stream) demand() *demand.Service { return s.g.settings.Demand.Service(s.serviceID) }

// speed returns the speed of the engines of the service, as learned from earlier prefills.
func (s *stream) speed() placement.EngineSpeed {
	v := s.g.settings.Speed
	v.PrefillTokensPerMs /= s.demand().Slowdown()
	return v
}

func (s *stream) kvLink() placement.Link {
	e := s.service.Engine
	return placement.Link{TokenBytes: e.KVTokenBytes, Mbps: e.LinkMbps, TransferCostPerToken: s.g.settings.TransferCostPerToken}
}

func (s *stream) prefillScorer(source placement.CacheSource) placement.PrefillScorer {
	return placement.PrefillScorer{
		Costs: s.costs(), Speed: s.speed(), Link: s.kvLink(), FetchCostPerToken: s.g.settings.FetchCostPerToken,
		Source: source,
	}
}

func (s *stream) combinedScorer() placement.CombinedScorer {
	return placement.CombinedScorer{Costs: s.costs(), Speed: s.speed(), Engine: *s.service.Engine}
}

// checkOverload refuses a request whose first event is predicted to be too late, before
// any engine has spent work on it.
func (s *stream) checkOverload(p placement.Choice) error {
	elapsed := s.now().Sub(s.r.Arrived)
	limit := time.Duration(maxWaitShare * float64(s.eventWaitLimit()))
	over := elapsed + p.Predicted() - limit
	if over <= 0 {
		return nil
	}
	return &outcomeError{s.refuse(types.RefusedOverload, max(over, minRetryAfter))}
}

// prefill runs the prefill of the prompt on the chosen engine.
func (s *stream) prefill(choice placement.Choice) error {
	t := choice.Target
	w := s.beginWork(t, directory.Work{Requests: 1, PrefillPrompts: 1, PrefillTokens: choice.PrefillWork})
	defer w.end()
	s.recordPrefill(t, s.insertedTokens(choice))
	s.recordSend(choice, StagePrefill)
	c := s.newCall(t, StagePrefill)
	c.RequireLiveConnection = false // a prefill may be repeated
	c.FetchFrom = choice.FetchFrom
	c.Priority = s.route.Priority
	c.ProgressTimeout = min(2*choice.Predicted()+prefillSlack, c.ProgressTimeout)
	began := s.now()
	h, err := s.g.targets.Prefill(s.ctx, c)
	if err != nil {
		if !classify(err).notSent {
			s.prefills++
			s.budget.Charge()
		}
		s.recordFailure(t, err)
		return err
	}
	s.prefills++
	t.Load.RecordActivity(s.now())
	t.Load.RecordSuccess()
	t.Load.SetConnectedUntil(s.now().Add(prefillReuseTime))
	took := s.now().Sub(began)
	t.Load.RecordDelay(took - choice.Predicted())
	s.recordSpeed(choice, took)
	s.handle = h
	return nil
}

// minSpeedSample is the minimum time of a prefill from which the speed of engines is learned.
// In shorter ones the fixed times and the network dominate.
const minSpeedSample = 20 * time.Millisecond

// recordSpeed learns the speed of engines from a prefill that had its engine for itself.
func (s *stream) recordSpeed(choice placement.Choice, took time.Duration) {
	settings := s.g.settings.Speed
	work := settings.PrefillTime(choice.PrefillWork) - settings.PrefillSetup
	if choice.Wait == 0 && choice.FetchFrom == nil && work >= minSpeedSample {
		s.demand().RecordPrefill(work, took-settings.PrefillSetup)
	}
}

// recordPrefill records and publishes that an engine has cached the shared parts of the
// prompt. inserted is the number of tokens that were inserted into its KV cache.
func (s *stream) recordPrefill(t *directory.Target, inserted int) {
	parts := s.r.Prompt.Parts
	t.Load.RecordPrefill(parts, inserted)
	s.g.directory.RecordHolders(t, parts)
	s.g.publisher.NotifyPartsUsed(t, parts)
}

// insertedTokens returns the number of tokens that a prefill inserts into the KV cache
// of its engine, computed or fetched.
func (s *stream) insertedTokens(p placement.Choice) int {
	cached := p.Target.Load.CachedTokens(s.r.Prompt.Parts, s.costs().CacheTokens)
	return max(s.r.Prompt.Tokens-cached, 0)
}

// costs returns the cost parameters for engines of the service.
func (s *stream) costs() placement.Costs {
	c := s.g.settings.Costs
	c.CacheTokens = int(cacheShare * float64(s.service.Engine.KVTokens))
	return c
}

// runCombined runs the complete request on one target.
func (s *stream) runCombined(filter placement.Filter, scorer placement.Scorer) error {
	c := s.pickTarget(filter, scorer)
	if c.Target == nil {
		return &outcomeError{s.noTarget()}
	}
	if s.r.Prompt != nil && s.service != nil && s.service.Engine != nil {
		if !s.begun() {
			if err := s.checkOverload(c); err != nil {
				return err
			}
		}
		s.recordPrefill(c.Target, c.UncachedTokens)
	}
	return s.run(c, s.newCall(c.Target, StageCombined))
}

// run sends the request and passes its events to the caller.
func (s *stream) run(choice placement.Choice, call *Call) error {
	t := choice.Target
	if err := s.awaitLimit(t); err != nil {
		return err
	}
	load := directory.Work{Requests: 1}
	if s.r.Prompt != nil {
		load.StreamTokens = int64(s.r.Prompt.Tokens + s.r.Prompt.MaxOutputTokens)
	}
	if call.Stage == StageCombined {
		load.PrefillTokens, load.PrefillPrompts = choice.PrefillWork, 1
	} else {
		load.Streams = 1
	}
	w := s.beginWork(t, load)
	defer w.end()
	call.Priority = s.route.Priority
	call.ResumeAfter = s.lastEvent
	call.ProgressTimeout = s.progressTimeout()
	if s.started && s.runs+1 >= s.route.MaxRuns {
		call.ProgressTimeout = s.deadline.Sub(s.now())
	}
	s.recordSend(choice, call.Stage)
	s.runEvents = 0
	d := s.callerAttempt.Begin()
	began := s.now()
	resp, err := s.g.targets.Send(s.ctx, call)
	s.recordAttempt(err, d)
	if err != nil {
		s.recordRunFailure(t, err)
		return err
	}
	defer resp.Close()
	firstAt := s.now()
	t.Load.RecordActivity(firstAt)
	if resp.Status() != http.StatusOK {
		return s.writeErrorResponse(resp, t)
	}
	err = s.copyEvents(resp, t, func() {
		firstAt = s.now()
		t.Load.RecordDelay(firstAt.Sub(began) - choice.Predicted())
		if call.Stage == StageCombined {
			load.PrefillTokens, load.PrefillPrompts, load.Streams = 0, 0, 1
			w.replace(load)
		}
	})
	if err != nil {
		s.recordRunFailure(t, err)
		return err
	}
	s.recordRunEnd(t, resp)
	t.Load.RecordSuccess()
	t.Load.SetConnectedUntil(s.now().Add(connectionReuseTime))
	if call.Stage == StageDecode {
		s.demand().RecordStream(s.route.Name, s.now().Sub(firstAt)+min(firstAt.Sub(began), maxFirstEventTime))
		if interval, ok := s.pace.interval(); ok {
			s.demand().RecordInterval(s.pace.streams, interval)
		}
	}
	return nil
}

// maxFirstEventTime bounds the time to the first event that counts as use of a slot. A longer
// one includes the wait for a slot.
const maxFirstEventTime = 150 * time.Millisecond

// pace measures the mean interval between the events of a stream by their IDs, because one
// read may return several events.
type pace struct {
	firstID, lastID int
	firstAt, lastAt time.Time
	streams         int64 // on the engine at the first event
	invalid         bool  // IDs are not numbers
}

// minPaceEvents is the minimum number of events from which the interval is measured.
const minPaceEvents = 4

func (p *pace) record(id string, at time.Time, t *directory.Target) {
	n, err := strconv.Atoi(id)
	if err != nil {
		p.invalid = true
		return
	}
	if p.firstAt.IsZero() {
		p.firstID, p.firstAt, p.streams = n, at, max(t.Load.Total().Streams, 1)
	}
	p.lastID, p.lastAt = n, at
}

func (p *pace) interval() (time.Duration, bool) {
	n := p.lastID - p.firstID
	if p.invalid || n < minPaceEvents {
		return 0, false
	}
	return p.lastAt.Sub(p.firstAt) / time.Duration(n), true
}

// mayResume reports whether another target may resume the stream.
func (s *stream) mayResume() bool { return s.route.Resumable && s.runs < s.route.MaxRuns }

// progressTimeout returns how long a target may make no progress on the stream.
func (s *stream) progressTimeout() time.Duration {
	if s.route.Resumable && s.runs+1 < s.route.MaxRuns && s.begun() {
		return max(resumeAfterIntervals*s.route.TokenInterval, minRetryAfter)
	}
	return s.eventWaitLimit() + s.route.TokenInterval
}

// writeErrorResponse passes an error response of the target to the caller. It fails if the
// stream to the caller has already started.
func (s *stream) writeErrorResponse(resp Response, t *directory.Target) error {
	body, err := s.readResponse(resp)
	if err != nil {
		s.recordRunFailure(t, err)
		return err
	}
	if s.started {
		return ErrInvalidResponse
	}
	return &outcomeError{s.writeResponse(resp, body)}
}

// copyEvents passes complete events to the caller until the end of the stream. The head
// of the response is passed with the first event, so that a stream without events can
// still be retried on another target. t is nil for a stream of another daemon, which checks its
// target. onFirst is called before the first event. The
// error wraps ErrStalled if the target sends bytes but completes no event within the
// progress timeout, or nothing while the stream can be resumed. Otherwise a silent target
// keeps the stream until its deadline: the caller decides how long to wait.
func (s *stream) copyEvents(resp Response, t *directory.Target, onFirst func()) error {
	b := newEventBuffer()
	defer b.release()
	var incompleteSince time.Time // of the first byte of an incomplete event
	for {
		n, err := b.fill(resp)
		if n > 0 {
			if events := b.complete(); len(events) > 0 {
				at := s.now()
				if t != nil {
					t.Load.RecordActivity(at)
				}
				if s.events == 0 {
					s.timeToFirst = s.now().Sub(s.r.Arrived)
				}
				if s.events == 0 || !s.started {
					onFirst()
				}
				if t != nil {
					// The caller gets the rest of the stream from the same version only.
					s.binding = versionBinding{t.Version, true}
				}
				s.recordBegin()
				if writeErr := s.forward(resp, events); writeErr != nil {
					return writeErr
				}
				s.events++
				s.runEvents += countEvents(events)
				s.lastEvent = lastID(events, s.lastEvent)
				if t != nil {
					s.pace.record(s.lastEvent, at, t)
				}
				s.progress.Extend(at.Sub(s.r.Arrived))
				b.drop(len(events))
				incompleteSince = time.Time{}
				if !s.mayResume() {
					resp.SetProgressTimeout(s.deadline.Sub(at))
				}
			}
		}
		if isEnd(err) {
			return s.finish(resp, b.incomplete())
		}
		if err != nil {
			return err
		}
		if len(b.incomplete()) > 0 {
			// A caller that reads slowly does not make its target silent.
			now := s.now()
			if incompleteSince.IsZero() {
				incompleteSince = now
			}
			if silent := now.Sub(incompleteSince); silent > s.progressTimeout() {
				return fmt.Errorf("no complete event for %s: %w", silent, ErrStalled)
			}
		}
	}
}

// forward passes the head of the response, if it was not passed yet, and events to the
// caller.
func (s *stream) forward(resp Response, events []byte) error {
	if !s.started {
		s.started, s.status = true, resp.Status()
		if err := s.w.BeginStream(resp); err != nil {
			return s.callerGone()
		}
	}
	if err := s.w.WriteChunk(events); err != nil {
		return s.callerGone()
	}
	return nil
}

// finish passes the end of a complete stream. A response without a length ends with its
// connection, also if the target crashes, so that an incomplete last event means that the
// stream is truncated. So does a stream without any event that must have some.
func (s *stream) finish(resp Response, rest []byte) error {
	if len(rest) > 0 {
		return fmt.Errorf("stream ends within an event: %w", ErrInvalidResponse)
	}
	if p := s.r.Prompt; p != nil && p.MaxOutputTokens > 0 && s.runEvents == 0 && s.mustHaveEvents(resp) {
		return fmt.Errorf("stream ends without an event: %w", ErrInvalidResponse)
	}
	if !s.started {
		if err := s.forward(resp, nil); err != nil {
			return err
		}
	}
	if s.w.EndStream() != nil {
		return s.callerGone()
	}
	return nil
}

// mustHaveEvents reports whether a response without events is truncated. One that resumes a stream
// may have none left, but if another target has broken off, an end that is not marked is more
// likely that of a target that has crashed as well.
func (s *stream) mustHaveEvents(resp Response) bool {
	if s.begun() {
		return !resp.EndMarked()
	}
	return s.lastEvent == ""
}

func (s *stream) callerGone() error {
	return &outcomeError{s.callerAttempt.Refuse(types.RefusedCallerGone)}
}

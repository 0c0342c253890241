package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/lentilpick/lentilpick/types"
)

// Peers are the other daemons of the deployment, which serve requests of this one while it does not
// reach the targets. Its methods are safe for concurrent use.
type Peers interface {
	// TargetsLost reports whether this daemon has lost its links to the targets. It does not
	// block.
	TargetsLost() bool
	// Choose returns a daemon that accepts the request and is not among those tried before, and
	// false if there is none. It does not block.
	Choose(r *Request, tried []types.VMID) (types.VMID, bool)
	// Send sends the request to a daemon and returns the response when its head has arrived. The
	// error wraps ErrNotSent if no byte was sent, or a *PeerRefusal if the daemon has ended the
	// request without a response of a target. After any other error the request may have run.
	Send(ctx context.Context, to types.VMID, c *PeerCall) (Response, error)
}

// noPeers is a deployment of one daemon.
type noPeers struct{}

func (noPeers) TargetsLost() bool                                { return false }
func (noPeers) Choose(*Request, []types.VMID) (types.VMID, bool) { return "", false }

func (noPeers) Send(context.Context, types.VMID, *PeerCall) (Response, error) {
	return nil, ErrNotSent
}

// PeerCall is a request that another daemon serves in place of this one.
type PeerCall struct {
	Request *Request
	// Forwarded is the state of the request at this daemon.
	Forwarded Forwarded
	// Deadline is the time after which the response is of no use.
	Deadline time.Time
	// ResumeAfter is the ID of the last event that the caller has received, or empty.
	ResumeAfter string
}

// Forwarded is the state of a request that one daemon forwards to another, which goes on with it: the
// caller is identified once, and attempts count against the limits of the route wherever they are
// made.
type Forwarded struct {
	// From is the daemon that received the request from the caller.
	From types.VMID
	// ConfigVersion is the version of the configuration at the arrival of the request.
	ConfigVersion uint64
	// Caller and Priority are those that the credential of the caller gives the request.
	Caller   Caller
	Priority int
	// Bound reports whether the stream may run only at the software version Version.
	Bound   bool
	Version types.SoftwareVersion
	// Attempts, Runs and Prefills are the requests for it that may have reached targets, those that
	// may have run, and those for a prefill.
	Attempts, Runs, Prefills int
	// Offered reports whether the request was recorded as demand.
	Offered bool
	// Begun reports whether the caller has received events of the response.
	Begun bool
	// Service is the one that the route has chosen for the request.
	Service types.ServiceID
}

// PeerRefusal is the end of a forwarded request without a response of a target.
type PeerRefusal struct {
	Reason types.RefusalReason
	// NotRun reports that the request has not run and will not run.
	NotRun bool
	// RetryAfter is the time after which the request may be sent again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *PeerRefusal) Error() string {
	if e.NotRun {
		return "daemon refused the request: " + e.Reason.String()
	}
	return "daemon failed to serve the request: " + e.Reason.String()
}

// ConcernsPeer reports whether another daemon may serve the request: the reason is the state of the
// daemon that refused it.
func (e *PeerRefusal) ConcernsPeer() bool {
	if !e.NotRun {
		return false
	}
	switch e.Reason {
	case types.RefusedPeerCredential, types.RefusedPeerConfiguration, types.RefusedPeerTargets, types.RefusedPoolFull,
		types.RefusedStopping, types.RefusedNoConfiguration, types.RefusedUnknownRoute, types.RefusedTargetUnreachable:
		return true
	}
	return false
}

// maxPeers bounds the daemons to which one request is sent. Each but the last has proved that it did
// not serve the request.
const maxPeers = 3

// maxUnreachable is the number of targets that one request finds unreachable before it is sent to
// another daemon, also if this one reaches others: it may have lost those of one service.
const maxUnreachable = 2

// errNoPeer reports that no other daemon has served the request and that it has not run at one.
var errNoPeer = errors.New("no other daemon serves the request")

// mustForward reports whether the request is sent to another daemon before any target. A request is
// forwarded once at most.
func (x *exchange) mustForward() bool {
	if x.r.Forwarded != nil || x.peersTried {
		return false
	}
	return x.g.settings.Peers.TargetsLost() || x.unreachable >= maxUnreachable && x.attempts+x.prefills == 0
}

// sendThroughPeers sends the request through another daemon. use passes the response on. The error is
// errNoPeer if the request may still be sent to targets; any other error ends it.
func (x *exchange) sendThroughPeers(f Forwarded, resumeAfter string, use func(Response) error) error {
	f.ConfigVersion, f.Caller, f.Priority = x.table.Version, x.currentCaller(), x.route.Priority
	f.Service, f.Bound, f.Version, f.Begun = x.serviceID, x.binding.bound, x.binding.version, x.events > 0
	f.Attempts, f.Runs, f.Prefills = x.attempts, x.runs, x.prefills
	call := &PeerCall{Request: x.r, Forwarded: f, Deadline: x.deadline, ResumeAfter: resumeAfter}
	var tried []types.VMID
	for range maxPeers {
		to, ok := x.g.settings.Peers.Choose(x.r, tried)
		if !ok {
			break
		}
		if !x.peersTried && x.prefills > 0 && !x.budget.Spend() {
			break // the prefill was in vain, and another one is a retry
		}
		tried, x.peersTried = append(tried, to), true
		resp, err := x.sendToPeer(to, call)
		if err == nil {
			defer resp.Close()
			return use(resp)
		}
		if o := x.contextOutcome(); o != nil {
			return &outcomeError{o}
		}
		reason, next := peerFailure(err)
		if !next {
			return &outcomeError{x.endOfPeer(err)}
		}
		x.recordPeerRetry(reason, to, err)
	}
	return errNoPeer
}

// sendToPeer sends the request to another daemon and records whether it may have run there.
func (x *exchange) sendToPeer(to types.VMID, c *PeerCall) (Response, error) {
	e := x.newEvent(KindForward)
	e.Peer = to
	x.recordDecision(e)
	d := x.callerAttempt.Begin()
	resp, err := x.g.settings.Peers.Send(x.ctx, to, c)
	var refusal *PeerRefusal
	if errors.Is(err, ErrNotSent) || errors.As(err, &refusal) && refusal.NotRun {
		d.NotStarted()
		return nil, err
	}
	x.attempts, x.runs = x.attempts+1, x.runs+1
	return resp, err
}

// peerFailure returns why the request is sent to the next daemon, or false if it is not.
func peerFailure(err error) (reason types.RetryReason, next bool) {
	var refusal *PeerRefusal
	switch {
	case errors.Is(err, ErrNotSent):
		return types.RetryPeerUnreachable, true
	case errors.As(err, &refusal):
		return types.RetryPeerRefused, refusal.ConcernsPeer()
	}
	return 0, false
}

func (x *exchange) recordPeerRetry(reason types.RetryReason, to types.VMID, err error) {
	e := x.newEvent(KindRetry)
	e.RetryReason, e.Peer, e.Err = reason, to, err
	x.recordDecision(e)
}

// endOfPeer returns the outcome of a request that another daemon has ended without a response, or
// whose connection to it broke.
func (x *exchange) endOfPeer(err error) types.Outcome {
	var refusal *PeerRefusal
	if errors.As(err, &refusal) {
		return x.refuse(refusal.Reason, refusal.RetryAfter)
	}
	return x.refuse(classify(err).refusal, 0)
}

// acceptForwarded takes over the state of a request that another daemon forwards. It returns false
// and a reason if this daemon cannot serve it.
func (x *exchange) acceptForwarded(f *Forwarded) (reason types.RefusalReason, ok bool) {
	if x.table.Version < f.ConfigVersion || !x.route.Uses(f.Service) {
		return types.RefusedPeerConfiguration, false
	}
	if x.g.settings.Peers.TargetsLost() {
		return types.RefusedPeerTargets, false
	}
	x.caller, x.serviceID = f.Caller, f.Service
	x.route = x.route.WithPriority(f.Priority)
	x.binding = versionBinding{f.Version, f.Bound}
	x.attempts, x.runs, x.prefills = f.Attempts, f.Runs, f.Prefills
	return 0, true
}

// endForwarded ends a request of another daemon once this one does not reach the targets either: the
// other daemon sends it to the next one. It returns nil otherwise, also if a target has received a part
// of the request from here, such as its prefill: the other daemon would have it made again.
func (x *exchange) endForwarded() types.Outcome {
	f := x.r.Forwarded
	if f == nil || x.started || x.attempts+x.prefills > f.Attempts+f.Prefills {
		return nil
	}
	if x.unreachable < maxUnreachable && !x.g.settings.Peers.TargetsLost() {
		return nil
	}
	return x.refuse(types.RefusedPeerTargets, 0)
}

// begun reports whether the caller has received events of the response, from this daemon or from the
// one that forwards the request.
func (x *exchange) begun() bool {
	return x.events > 0 || x.r.Forwarded != nil && x.r.Forwarded.Begun
}

// forwardPlain sends a request of a plain service through another daemon.
func (x *exchange) forwardPlain() error {
	return x.sendThroughPeers(Forwarded{}, x.r.ResumeAfter, x.passResponse)
}

// passResponse passes the complete response of another daemon to the caller. It always returns an
// error, which ends the request.
func (x *exchange) passResponse(resp Response) error {
	body, err := x.readResponse(resp)
	if err == nil {
		return &outcomeError{x.writeResponse(resp, body)}
	}
	if o := x.contextOutcome(); o != nil {
		return &outcomeError{o}
	}
	return &outcomeError{x.endOfPeer(err)}
}

// forwardToPeer sends a stream, or the rest of it, through another daemon.
func (s *stream) forwardToPeer() error {
	return s.sendThroughPeers(Forwarded{Offered: s.offered}, s.lastEvent, func(resp Response) error {
		if resp.Status() != http.StatusOK {
			if s.started {
				return &outcomeError{s.refuse(types.RefusedTargetFailed, 0)}
			}
			return s.passResponse(resp)
		}
		s.runEvents = 0
		err := s.copyEvents(resp, nil, func() {})
		var end *outcomeError
		if err == nil || errors.As(err, &end) {
			return err
		}
		if o := s.contextOutcome(); o != nil {
			return &outcomeError{o}
		}
		return &outcomeError{s.endOfPeer(fmt.Errorf("stream from another daemon: %w", err))}
	})
}

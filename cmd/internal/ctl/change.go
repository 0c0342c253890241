package ctl

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"connectrpc.com/connect"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
	"github.com/lentilpick/lentilpick/api/admin/v1/adminv1connect"

	"github.com/lentilpick/lentilpick/daemon"
)

// ChangeFlags are the flags of all commands that change the configuration.
type ChangeFlags struct {
	DryRun bool `xor:"publish" help:"Validate against the configuration in force and publish nothing."`
	Wait   bool `xor:"publish" help:"Wait until the change is in force on all daemons that status shows."`
}

// outcome is the result of one change as it is printed.
type outcome struct {
	Kind     string `json:"kind"`
	ID       string `json:"id"`
	ChangeID string `json:"change_id,omitempty"`
	// Result is accepted, unchanged, valid or failed.
	Result   string `json:"result"`
	Revision uint64 `json:"revision,omitempty"`
	Error    string `json:"error,omitempty"`
}

// publisher sends changes one after another and collects their outcomes. Its revision is the
// highest revision of an outcome.
type publisher struct {
	*Globals
	ChangeFlags
	client   adminv1connect.AdminServiceClient
	outcomes []outcome
	revision uint64
}

func (g *Globals) publisher(f ChangeFlags) *publisher {
	return &publisher{Globals: g, ChangeFlags: f, client: g.client(), outcomes: []outcome{}}
}

// run publishes or validates the changes and prints the outcomes.
func (p *publisher) run(ctx context.Context, changes []*adminv1.ApplyRequest) error {
	err := p.publish(ctx, changes)
	if err == nil && p.Wait {
		err = p.waitInForce(ctx)
	}
	return p.printOutcomes(err)
}

// printOutcomes prints the outcomes if JSON is requested, including those that precede the
// failure err.
func (p *publisher) printOutcomes(err error) error {
	if !p.JSON {
		return err
	}
	if e := p.printValue(p.outcomes); err == nil {
		err = e
	}
	return err
}

func (p *publisher) publish(ctx context.Context, changes []*adminv1.ApplyRequest) error {
	for _, r := range changes {
		r.ChangeId = rand.Text()
	}
	if p.DryRun {
		return p.validate(ctx, changes)
	}
	for _, r := range changes {
		if err := p.publishOne(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

func (p *publisher) publishOne(ctx context.Context, r *adminv1.ApplyRequest) error {
	kind, id := changedObject(r)
	o := outcome{Kind: kind, ID: id, ChangeID: r.GetChangeId(), Result: "accepted"}
	rev, err := p.send(ctx, r)
	if err != nil {
		o.Result, o.Error = "failed", err.Error()
	}
	o.Revision = rev
	p.revision = max(p.revision, rev)
	p.addOutcome(o)
	return err
}

func (p *publisher) addOutcome(o outcome) {
	p.outcomes = append(p.outcomes, o)
	if p.JSON {
		return
	}
	fmt.Fprintf(p.out, "%s %s: %s", o.Kind, o.ID, o.Result)
	if o.Revision > 0 {
		fmt.Fprintf(p.out, " at revision %d", o.Revision)
	}
	fmt.Fprintln(p.out)
}

// send sends a change until the server decides it or the timeout expires. All attempts carry the
// same change identifier, so that at most one takes effect.
func (p *publisher) send(ctx context.Context, r *adminv1.ApplyRequest) (uint64, error) {
	mayBePublished := false
	for {
		resp, err := p.client.Apply(ctx, connect.NewRequest(r))
		if err == nil {
			return resp.Msg.GetRevision(), nil
		}
		if isDecided(err) || (isCallRejected(err) && !mayBePublished) {
			return 0, p.callError(err)
		}
		mayBePublished = mayBePublished || !(isCertainlyNotPublished(err) || isCallRejected(err))
		if !isCallRejected(err) && waitForRetry(ctx) {
			continue
		}
		if mayBePublished {
			return 0, failf(ErrUnknown, "change %s may be in force (%v); check the output of history, and run the command again if the change is missing",
				r.GetChangeId(), err)
		}
		return 0, p.callError(err)
	}
}

const retryInterval = 300 * time.Millisecond

// waitForRetry waits before the next attempt and reports whether to make it. It leaves at least
// retryInterval for the last attempt to receive its response: an attempt that is cancelled by the
// timeout would turn the result "not published" into "unknown".
func waitForRetry(ctx context.Context) bool {
	if end, ok := ctx.Deadline(); ok && time.Until(end) < 2*retryInterval {
		return false
	}
	return daemon.Sleep(ctx, retryInterval)
}

// validate prints the outcomes of a dry run and returns the error of the first change that would
// not be accepted.
func (p *publisher) validate(ctx context.Context, changes []*adminv1.ApplyRequest) error {
	resp, err := p.client.Validate(ctx, connect.NewRequest(&adminv1.ValidateRequest{Changes: changes}))
	if err != nil {
		return p.callError(err)
	}
	var first error
	for _, r := range resp.Msg.GetResults() {
		o := outcome{Kind: r.GetKind(), ID: r.GetObjectId(), Result: "valid", Error: r.GetRefusal()}
		if o.Error != "" {
			o.Result = "failed"
		}
		p.addOutcome(o)
		if first == nil {
			first = refusalError(r)
		}
	}
	return first
}

func refusalError(r *adminv1.ChangeResult) error {
	switch {
	case r.GetConflict():
		return failf(ErrConflict, "%s; run the command again", r.GetRefusal())
	case r.GetRefusal() != "":
		return failf(ErrRefused, "%s", r.GetRefusal())
	}
	return nil
}

package ctl

import (
	"context"

	"google.golang.org/protobuf/proto"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
)

// DrainCmd drains a target.
type DrainCmd struct {
	Target string `arg:"" help:"Target to drain."`
	ChangeFlags
}

// Help implements kong.HelpProvider.
func (DrainCmd) Help() string {
	return `The status command shows the number of requests that the target is still running.

Example:

	lentilpickctl drain assistant-1 --wait`
}

// Run implements the command.
func (c DrainCmd) Run(g *Globals) error {
	return g.setState(c.Target, adminv1.TargetState_TARGET_STATE_DRAINING, c.ChangeFlags)
}

// ActivateCmd activates a target.
type ActivateCmd struct {
	Target string `arg:"" help:"Target to activate."`
	ChangeFlags
}

// Help implements kong.HelpProvider.
func (ActivateCmd) Help() string {
	return `Example:

	lentilpickctl activate assistant-1 --wait`
}

// Run implements the command.
func (c ActivateCmd) Run(g *Globals) error {
	return g.setState(c.Target, adminv1.TargetState_TARGET_STATE_ACTIVE, c.ChangeFlags)
}

// WithdrawCmd withdraws a target.
type WithdrawCmd struct {
	Target string `arg:"" help:"Target to withdraw."`
	ChangeFlags
}

// Help implements kong.HelpProvider.
func (WithdrawCmd) Help() string {
	return `A withdrawn target receives neither requests nor orders.

Example:

	lentilpickctl withdraw assistant-1 --wait`
}

// Run implements the command.
func (c WithdrawCmd) Run(g *Globals) error {
	return g.setState(c.Target, adminv1.TargetState_TARGET_STATE_WITHDRAWN, c.ChangeFlags)
}

func (g *Globals) setState(id string, s adminv1.TargetState, f ChangeFlags) error {
	ctx, cancel := g.context()
	defer cancel()
	p := g.publisher(f)
	conf, err := g.configuration(ctx, p.client)
	if err != nil {
		return err
	}
	t, err := targetIn(conf, id)
	if err != nil {
		return err
	}
	return p.run(ctx, p.changesTo(conf, []proto.Message{withState(t, s)}))
}

func targetIn(conf *adminv1.GetConfigurationResponse, id string) (*adminv1.Target, error) {
	o := object{kindTarget, id}
	e, ok := entriesByObject(conf)[o]
	if !ok {
		return nil, notFound(o)
	}
	return e.message.(*adminv1.Target), nil
}

func withState(t *adminv1.Target, s adminv1.TargetState) *adminv1.Target {
	t = proto.CloneOf(t)
	t.State = s
	return t
}

// ReplaceCmd adds a copy of a target at another address and drains the original.
type ReplaceCmd struct {
	Old     string `arg:"" help:"Target to replace and drain."`
	New     string `arg:"" help:"Target to add."`
	Address string `name:"new-address" required:"" help:"IP address and port of the added target."`
	ChangeFlags
}

// Help implements kong.HelpProvider.
func (ReplaceCmd) Help() string {
	return `The added target is a copy of the replaced one, but active and at another address. With --wait the old target is drained only after the new one is in force on all daemons. The command can be repeated after a failure.

Example:

	lentilpickctl replace assistant-1 assistant-9 --new-address 127.10.1.9:9000 --wait`
}

// Run implements the command.
func (c ReplaceCmd) Run(g *Globals) error {
	ctx, cancel := g.context()
	defer cancel()
	p := g.publisher(c.ChangeFlags)
	conf, err := g.configuration(ctx, p.client)
	if err != nil {
		return err
	}
	old, err := targetIn(conf, c.Old)
	if err != nil {
		return err
	}
	added := withState(old, adminv1.TargetState_TARGET_STATE_ACTIVE)
	added.Id, added.Address = c.New, c.Address
	if err := c.checkNew(conf, added); err != nil {
		return err
	}
	drained := withState(old, adminv1.TargetState_TARGET_STATE_DRAINING)
	return c.replace(ctx, p, conf, added, drained)
}

// checkNew refuses to overwrite an existing target, unless it is equal to the added one because
// an earlier run of the command has added it.
func (c ReplaceCmd) checkNew(conf *adminv1.GetConfigurationResponse, added *adminv1.Target) error {
	if c.Old == c.New {
		return failf(ErrUsage, "the added target must have an identifier other than %q", c.Old)
	}
	e, ok := entriesByObject(conf)[object{kindTarget, c.New}]
	if ok && !proto.Equal(e.message, added) {
		return failf(ErrRefused, "target %q exists and is not a copy of %q at the given address; choose another identifier or delete it", c.New, c.Old)
	}
	return nil
}

func (c ReplaceCmd) replace(ctx context.Context, p *publisher, conf *adminv1.GetConfigurationResponse, added, drained *adminv1.Target) error {
	if !c.Wait {
		return p.run(ctx, p.changesTo(conf, []proto.Message{added, drained}))
	}
	err := p.publish(ctx, p.changesTo(conf, []proto.Message{added}))
	if err == nil {
		err = p.waitInForce(ctx)
	}
	if err != nil {
		return p.printOutcomes(err)
	}
	return p.run(ctx, p.changesTo(conf, []proto.Message{drained}))
}

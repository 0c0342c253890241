// Package ctl implements the operators' command.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
	"github.com/lentilpick/lentilpick/api/admin/v1/adminv1connect"

	"github.com/lentilpick/lentilpick/daemon"
)

// Errors of the command.
var (
	// ErrNotFound reports an object that is not configured.
	ErrNotFound = merry.New("no such object")
	// ErrNotInForce reports that a change did not reach all daemons in time.
	ErrNotInForce = merry.New("the change is not in force on all daemons yet")
)

// Globals are the flags of all commands.
type Globals struct {
	Address string        `default:"127.0.0.1:7071" env:"LENTILPICK_ADDRESS" help:"Address of the administration API."`
	Token   string        `env:"LENTILPICK_TOKEN" help:"Bearer token of the administration API."`
	Timeout time.Duration `default:"15s" help:"Time for the whole command."`
	JSON    bool          `help:"Print JSON."`
}

// CLI is the command line.
type CLI struct {
	Globals
	Apply    ApplyCmd    `cmd:"" help:"Create or change the objects in a file."`
	Get      GetCmd      `cmd:"" help:"Print the configuration."`
	Status   StatusCmd   `cmd:"" help:"Print the state of daemons, lease and targets."`
	Drain    DrainCmd    `cmd:"" help:"Let a target finish its work and give it no more."`
	Activate ActivateCmd `cmd:"" help:"Give a drained target work again."`
	Withdraw WithdrawCmd `cmd:"" help:"Take a target out of use."`
}

func (g *Globals) client() adminv1connect.AdminServiceClient {
	auth := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if g.Token != "" {
				r.Header().Set("Authorization", "Bearer "+g.Token)
			}
			return next(ctx, r)
		}
	})
	return adminv1connect.NewAdminServiceClient(&http.Client{}, "http://"+g.Address, connect.WithInterceptors(auth))
}

func (g *Globals) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), g.Timeout)
}

func (g *Globals) printJSON(m proto.Message) error {
	b, err := protojson.MarshalOptions{Multiline: true}.Marshal(m)
	if err != nil {
		return err
	}
	fmt.Println(string(b))
	return nil
}

// GetCmd prints the configuration.
type GetCmd struct{}

// Run implements the command.
func (GetCmd) Run(g *Globals) error {
	ctx, cancel := g.context()
	defer cancel()
	r, err := g.client().GetConfiguration(ctx, connect.NewRequest(&adminv1.GetConfigurationRequest{}))
	if err != nil {
		return err
	}
	if g.JSON {
		return g.printJSON(r.Msg)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "revision %d\n", r.Msg.GetRevision())
	for _, e := range r.Msg.GetServices() {
		fmt.Fprintf(w, "service\t%s\t%s\trevision %d\n", e.GetService().GetId(), e.GetService().GetKind(), e.GetRevision())
	}
	for _, e := range r.Msg.GetTargets() {
		t := e.GetTarget()
		fmt.Fprintf(w, "target\t%s\t%s\t%s\t%s\t%s\t%s\trevision %d\n", t.GetId(), t.GetService(), t.GetDataCentre(),
			t.GetRole(), t.GetModel(), t.GetState(), e.GetRevision())
	}
	for _, e := range r.Msg.GetWorkspaces() {
		fmt.Fprintf(w, "workspace\t%s\tshare %d\trevision %d\n", e.GetWorkspace().GetId(), e.GetWorkspace().GetShare(), e.GetRevision())
	}
	return w.Flush()
}

// StatusCmd prints the state of the data centre.
type StatusCmd struct{}

// Run implements the command.
func (StatusCmd) Run(g *Globals) error {
	ctx, cancel := g.context()
	defer cancel()
	r, err := g.client().GetStatus(ctx, connect.NewRequest(&adminv1.GetStatusRequest{}))
	if err != nil {
		return err
	}
	if g.JSON {
		return g.printJSON(r.Msg)
	}
	m := r.Msg
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "vm %s in %s, revision %d\n", m.GetVm(), m.GetDataCentre(), m.GetRevision())
	fmt.Fprintf(w, "lease holder %s, fencing number %d\n", m.GetLease().GetHolderVm(), m.GetLease().GetFencingNumber())
	for _, d := range m.GetDaemons() {
		fmt.Fprintf(w, "daemon\t%s\t%s\t%s\trevision %d\t%d ms ago\n", d.GetKind(), d.GetVm(), d.GetDataCentre(), d.GetRevision(), d.GetAgeMs())
	}
	for _, t := range m.GetTargets() {
		fmt.Fprintf(w, "target\t%s\t%s\t%s\trunning %d\tleaving %t\tchanging %t\torder %s\t%d ms ago\n", t.GetId(), t.GetRole(),
			t.GetModel(), t.GetRunning(), t.GetLeaving(), t.GetChanging(), t.GetOrder(), t.GetReportAgeMs())
	}
	return w.Flush()
}

// DrainCmd drains a target.
type DrainCmd struct {
	Target string `arg:"" help:"Target to drain."`
}

// Run implements the command.
func (c DrainCmd) Run(g *Globals) error {
	return g.setState(c.Target, adminv1.TargetState_TARGET_STATE_DRAINING)
}

// ActivateCmd activates a target.
type ActivateCmd struct {
	Target string `arg:"" help:"Target to activate."`
}

// Run implements the command.
func (c ActivateCmd) Run(g *Globals) error {
	return g.setState(c.Target, adminv1.TargetState_TARGET_STATE_ACTIVE)
}

// WithdrawCmd withdraws a target.
type WithdrawCmd struct {
	Target string `arg:"" help:"Target to withdraw."`
}

// Run implements the command.
func (c WithdrawCmd) Run(g *Globals) error {
	return g.setState(c.Target, adminv1.TargetState_TARGET_STATE_WITHDRAWN)
}

func (g *Globals) setState(id string, s adminv1.TargetState) error {
	ctx, cancel := g.context()
	defer cancel()
	client := g.client()
	conf, err := client.GetConfiguration(ctx, connect.NewRequest(&adminv1.GetConfigurationRequest{}))
	if err != nil {
		return err
	}
	for _, e := range conf.Msg.GetTargets() {
		if t := e.GetTarget(); t.GetId() == id {
			t.State = s
			return g.apply(ctx, client, e.GetRevision(), &adminv1.ApplyRequest{Object: &adminv1.ApplyRequest_Target{Target: t}})
		}
	}
	return merry.Appendf(ErrNotFound, "target %q", id)
}

// apply sends one change. After a lost answer it asks again with the same
// change identifier.
func (g *Globals) apply(ctx context.Context, client adminv1connect.AdminServiceClient, base uint64, r *adminv1.ApplyRequest) error {
	r.BaseRevision = base
	r.ChangeId = newChangeID()
	for {
		resp, err := client.Apply(ctx, connect.NewRequest(r))
		if err == nil {
			fmt.Printf("accepted at revision %d\n", resp.Msg.GetRevision())
			return nil
		}
		code := connect.CodeOf(err)
		again := code == connect.CodeUnknown || code == connect.CodeUnavailable
		if !again || errors.Is(ctx.Err(), context.DeadlineExceeded) || !daemon.Sleep(ctx, retryPause) {
			return err
		}
	}
}

const retryPause = 300 * time.Millisecond

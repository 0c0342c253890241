package ctl

import (
	"context"
	"crypto/rand"
	"fmt"

	"connectrpc.com/connect"
	"github.com/BurntSushi/toml"
	"github.com/ansel1/merry/v2"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
	"github.com/lentilpick/lentilpick/api/admin/v1/adminv1connect"
)

// ErrFile reports a file of objects that cannot be used.
var ErrFile = merry.New("file of objects is not valid")

// ApplyCmd applies a file of objects.
type ApplyCmd struct {
	File string `short:"f" required:"" type:"existingfile" help:"File of objects (TOML)."`
}

type objects struct {
	Service   []serviceObject   `toml:"service"`
	Target    []targetObject    `toml:"target"`
	Workspace []workspaceObject `toml:"workspace"`
}

type serviceObject struct {
	ID               string  `toml:"id"`
	Kind             string  `toml:"kind"`
	RunWithoutLog    bool    `toml:"run_without_log"`
	RoleChangeWeight float64 `toml:"role_change_weight"`
	MinPerRole       uint32  `toml:"min_per_role"`
	RolesPlanned     bool    `toml:"roles_planned"`
}

type targetObject struct {
	ID            string   `toml:"id"`
	Service       string   `toml:"service"`
	Address       string   `toml:"address"`
	DataCentre    string   `toml:"data_centre"`
	State         string   `toml:"state"`
	ChecksFencing bool     `toml:"checks_fencing"`
	Role          string   `toml:"role"`
	Model         string   `toml:"model"`
	Version       string   `toml:"version"`
	Adapters      []string `toml:"adapters"`
	// Rates are in tokens a second and microseconds.
	PrefillTokensPerSecond    float64 `toml:"prefill_tokens_per_second"`
	KVTransferTokensPerSecond float64 `toml:"kv_transfer_tokens_per_second"`
	IterationBaseUs           int64   `toml:"iteration_base_us"`
	DecodeCostUs              int64   `toml:"decode_cost_us"`
	MaxStreams                uint32  `toml:"max_streams"`
}

type workspaceObject struct {
	ID       string   `toml:"id"`
	Share    int64    `toml:"share"`
	Services []string `toml:"services"`
}

// Run implements the command.
func (c ApplyCmd) Run(g *Globals) error {
	changes, err := readObjects(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := g.context()
	defer cancel()
	client := g.client()
	base, err := revisions(ctx, client)
	if err != nil {
		return err
	}
	for _, r := range changes {
		kind, id := objectID(r)
		fmt.Printf("%s %s: ", kind, id)
		if err := g.apply(ctx, client, base[kind+" "+id], r); err != nil {
			return err
		}
	}
	return nil
}

func readObjects(path string) ([]*adminv1.ApplyRequest, error) {
	var o objects
	md, err := toml.DecodeFile(path, &o)
	if err != nil {
		return nil, merry.Prependf(merry.Wrap(ErrFile, merry.WithCause(err)), "%s: %v", path, err)
	}
	if keys := md.Undecoded(); len(keys) > 0 {
		return nil, merry.Appendf(ErrFile, "%s: unknown key %q", path, keys[0].String())
	}
	var out []*adminv1.ApplyRequest
	for _, s := range o.Service {
		out = append(out, &adminv1.ApplyRequest{Object: &adminv1.ApplyRequest_Service{Service: s.message()}})
	}
	for _, t := range o.Target {
		out = append(out, &adminv1.ApplyRequest{Object: &adminv1.ApplyRequest_Target{Target: t.message()}})
	}
	for _, w := range o.Workspace {
		out = append(out, &adminv1.ApplyRequest{Object: &adminv1.ApplyRequest_Workspace{
			Workspace: &adminv1.Workspace{Id: w.ID, Share: w.Share, Services: w.Services},
		}})
	}
	return out, nil
}

func (s serviceObject) message() *adminv1.Service {
	return &adminv1.Service{
		Id: s.ID, Kind: kinds[s.Kind], RunWithoutLog: s.RunWithoutLog, RoleChangeWeight: s.RoleChangeWeight,
		MinPerRole: s.MinPerRole, RolesPlanned: s.RolesPlanned,
	}
}

func (t targetObject) message() *adminv1.Target {
	state := adminv1.TargetState_TARGET_STATE_ACTIVE
	if t.State != "" {
		state = states[t.State]
	}
	return &adminv1.Target{
		Id: t.ID, Service: t.Service, Address: t.Address, DataCentre: t.DataCentre, State: state, ChecksFencing: t.ChecksFencing,
		Role: roles[t.Role], Model: t.Model, Version: t.Version, Adapters: t.Adapters,
		Rates: &adminv1.Rates{
			PrefillTokensPerSecond: t.PrefillTokensPerSecond, KvTransferTokensPerSecond: t.KVTransferTokensPerSecond,
			IterationBaseUs: t.IterationBaseUs, DecodeCostUs: t.DecodeCostUs, MaxStreams: t.MaxStreams,
		},
	}
}

var kinds = map[string]adminv1.Kind{"engine": adminv1.Kind_KIND_ENGINE, "plain": adminv1.Kind_KIND_PLAIN}

var roles = map[string]adminv1.Role{
	"": adminv1.Role_ROLE_MIXED, "mixed": adminv1.Role_ROLE_MIXED,
	"prefill": adminv1.Role_ROLE_PREFILL, "decode": adminv1.Role_ROLE_DECODE,
}

var states = map[string]adminv1.TargetState{
	"active": adminv1.TargetState_TARGET_STATE_ACTIVE, "draining": adminv1.TargetState_TARGET_STATE_DRAINING,
	"withdrawn": adminv1.TargetState_TARGET_STATE_WITHDRAWN,
}

func revisions(ctx context.Context, client adminv1connect.AdminServiceClient) (map[string]uint64, error) {
	r, err := client.GetConfiguration(ctx, connect.NewRequest(&adminv1.GetConfigurationRequest{}))
	if err != nil {
		return nil, err
	}
	out := map[string]uint64{}
	for _, e := range r.Msg.GetServices() {
		out["service "+e.GetService().GetId()] = e.GetRevision()
	}
	for _, e := range r.Msg.GetTargets() {
		out["target "+e.GetTarget().GetId()] = e.GetRevision()
	}
	for _, e := range r.Msg.GetWorkspaces() {
		out["workspace "+e.GetWorkspace().GetId()] = e.GetRevision()
	}
	return out, nil
}

func objectID(r *adminv1.ApplyRequest) (kind, id string) {
	switch o := r.GetObject().(type) {
	case *adminv1.ApplyRequest_Service:
		return "service", o.Service.GetId()
	case *adminv1.ApplyRequest_Target:
		return "target", o.Target.GetId()
	case *adminv1.ApplyRequest_Workspace:
		return "workspace", o.Workspace.GetId()
	}
	return "", ""
}

func newChangeID() string { return rand.Text() }

package ctl

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"google.golang.org/protobuf/proto"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
)

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
	// Rates are in tokens per second and microseconds.
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

func readObjects(path string) ([]proto.Message, error) {
	var o objects
	md, err := toml.DecodeFile(path, &o)
	if err != nil {
		return nil, failf(ErrRefused, "file of objects %s: %v", path, err)
	}
	if keys := md.Undecoded(); len(keys) > 0 {
		return nil, failf(ErrRefused, "file of objects %s: unknown key %q; remove it", path, keys[0].String())
	}
	if err := o.checkEnumValues(); err != nil {
		return nil, failf(ErrRefused, "file of objects %s: %v", path, err)
	}
	return o.messages(), nil
}

// checkEnumValues rejects names that have no enum value. Otherwise a misspelt role would be sent
// as unset, which means mixed.
func (o objects) checkEnumValues() error {
	for _, s := range o.Service {
		if err := checkEnumValue("kind of service "+s.ID, s.Kind, kindByName); err != nil {
			return err
		}
	}
	for _, t := range o.Target {
		if err := checkEnumValue("state of target "+t.ID, t.State, stateByName); err != nil {
			return err
		}
		if err := checkEnumValue("role of target "+t.ID, t.Role, roleByName); err != nil {
			return err
		}
	}
	return nil
}

func checkEnumValue[V any](subject, name string, allowed map[string]V) error {
	if _, ok := allowed[name]; ok {
		return nil
	}
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(allowed)), func(n string) bool { return n == "" })
	return fmt.Errorf("%s: %q is not one of %s", subject, name, strings.Join(names, ", "))
}

// messages returns the objects as messages, services first because the other objects refer to
// them.
func (o objects) messages() []proto.Message {
	var out []proto.Message
	for _, s := range o.Service {
		out = append(out, s.message())
	}
	for _, t := range o.Target {
		out = append(out, t.message())
	}
	for _, w := range o.Workspace {
		out = append(out, &adminv1.Workspace{Id: w.ID, Share: w.Share, Services: w.Services})
	}
	return out
}

func (s serviceObject) message() *adminv1.Service {
	return &adminv1.Service{
		Id: s.ID, Kind: kindByName[s.Kind], RunWithoutLog: s.RunWithoutLog, RoleChangeWeight: s.RoleChangeWeight,
		MinPerRole: s.MinPerRole, RolesPlanned: s.RolesPlanned,
	}
}

func (t targetObject) message() *adminv1.Target {
	return &adminv1.Target{
		Id: t.ID, Service: t.Service, Address: t.Address, DataCentre: t.DataCentre, State: stateByName[t.State], ChecksFencing: t.ChecksFencing,
		Role: roleByName[t.Role], Model: t.Model, Version: t.Version, Adapters: t.Adapters,
		Rates: &adminv1.Rates{
			PrefillTokensPerSecond: t.PrefillTokensPerSecond, KvTransferTokensPerSecond: t.KVTransferTokensPerSecond,
			IterationBaseUs: t.IterationBaseUs, DecodeCostUs: t.DecodeCostUs, MaxStreams: t.MaxStreams,
		},
	}
}

var kindByName = map[string]adminv1.Kind{"engine": adminv1.Kind_KIND_ENGINE, "plain": adminv1.Kind_KIND_PLAIN}

var roleByName = map[string]adminv1.Role{
	"": adminv1.Role_ROLE_MIXED, "mixed": adminv1.Role_ROLE_MIXED,
	"prefill": adminv1.Role_ROLE_PREFILL, "decode": adminv1.Role_ROLE_DECODE,
}

var stateByName = map[string]adminv1.TargetState{
	"": adminv1.TargetState_TARGET_STATE_ACTIVE, "active": adminv1.TargetState_TARGET_STATE_ACTIVE, "draining": adminv1.TargetState_TARGET_STATE_DRAINING,
	"withdrawn": adminv1.TargetState_TARGET_STATE_WITHDRAWN,
}

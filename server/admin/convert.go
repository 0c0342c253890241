package admin

import (
	"fmt"
	"time"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/types"
)

func toService(s *adminv1.Service) (*configuration.Service, error) {
	out := &configuration.Service{
		ID: types.ServiceID(s.GetId()), RunWithoutLog: s.GetRunWithoutLog(), RoleChangeWeight: s.GetRoleChangeWeight(),
		MinPerRole: int(s.GetMinPerRole()), RolesPlanned: s.GetRolesPlanned(),
	}
	switch s.GetKind() {
	case adminv1.Kind_KIND_ENGINE:
		out.Kind = types.KindEngine
	case adminv1.Kind_KIND_PLAIN:
		out.Kind = types.KindPlain
	default:
		return nil, fmt.Errorf("service.kind: %v is not one of KIND_ENGINE, KIND_PLAIN", s.GetKind())
	}
	return out, nil
}

func fromService(s configuration.Service) *adminv1.Service {
	kind := adminv1.Kind_KIND_ENGINE
	if s.Kind == types.KindPlain {
		kind = adminv1.Kind_KIND_PLAIN
	}
	return &adminv1.Service{
		Id: string(s.ID), Kind: kind, RunWithoutLog: s.RunWithoutLog, RoleChangeWeight: s.RoleChangeWeight,
		MinPerRole: uint32(s.MinPerRole), RolesPlanned: s.RolesPlanned,
	}
}

func toTarget(t *adminv1.Target) (*configuration.Target, error) {
	out := &configuration.Target{
		ID: types.TargetID(t.GetId()), Service: types.ServiceID(t.GetService()), Address: t.GetAddress(),
		DataCentre: types.DataCentreID(t.GetDataCentre()), ChecksFencing: t.GetChecksFencing(),
		Model: types.ModelID(t.GetModel()), Version: t.GetVersion(),
	}
	switch t.GetState() {
	case adminv1.TargetState_TARGET_STATE_ACTIVE:
		out.State = configuration.TargetActive
	case adminv1.TargetState_TARGET_STATE_DRAINING:
		out.State = configuration.TargetDraining
	case adminv1.TargetState_TARGET_STATE_WITHDRAWN:
		out.State = configuration.TargetWithdrawn
	default:
		return nil, fmt.Errorf("target.state: %v is not one of ACTIVE, DRAINING, WITHDRAWN", t.GetState())
	}
	switch t.GetRole() {
	case adminv1.Role_ROLE_UNSPECIFIED, adminv1.Role_ROLE_MIXED:
		out.Role = types.RoleMixed
	case adminv1.Role_ROLE_PREFILL:
		out.Role = types.RolePrefill
	case adminv1.Role_ROLE_DECODE:
		out.Role = types.RoleDecode
	default:
		return nil, fmt.Errorf("target.role: %v is not one of MIXED, PREFILL, DECODE", t.GetRole())
	}
	for _, a := range t.GetAdapters() {
		out.Adapters = append(out.Adapters, types.AdapterID(a))
	}
	if r := t.GetRates(); r != nil {
		out.Rates = configuration.Rates{
			PrefillTokensPerSecond: r.GetPrefillTokensPerSecond(), KVTransferTokensPerSecond: r.GetKvTransferTokensPerSecond(),
			IterationBase: time.Duration(r.GetIterationBaseUs()) * time.Microsecond,
			DecodeCost:    time.Duration(r.GetDecodeCostUs()) * time.Microsecond, MaxStreams: int(r.GetMaxStreams()),
		}
	}
	return out, nil
}

func fromTarget(t configuration.Target) *adminv1.Target {
	out := &adminv1.Target{
		Id: string(t.ID), Service: string(t.Service), Address: t.Address, DataCentre: string(t.DataCentre),
		State: adminv1.TargetState(t.State) + adminv1.TargetState_TARGET_STATE_ACTIVE, ChecksFencing: t.ChecksFencing,
		Role: fromRole(t.Role), Model: string(t.Model), Version: t.Version,
		Rates: &adminv1.Rates{
			PrefillTokensPerSecond: t.Rates.PrefillTokensPerSecond, KvTransferTokensPerSecond: t.Rates.KVTransferTokensPerSecond,
			IterationBaseUs: t.Rates.IterationBase.Microseconds(), DecodeCostUs: t.Rates.DecodeCost.Microseconds(),
			MaxStreams: uint32(t.Rates.MaxStreams),
		},
	}
	for _, a := range t.Adapters {
		out.Adapters = append(out.Adapters, string(a))
	}
	return out
}

func fromRole(r types.Role) adminv1.Role { return adminv1.Role(r) + adminv1.Role_ROLE_MIXED }

func toWorkspace(w *adminv1.Workspace) *configuration.Workspace {
	out := &configuration.Workspace{ID: types.WorkspaceID(w.GetId()), Share: w.GetShare()}
	for _, s := range w.GetServices() {
		out.Services = append(out.Services, types.ServiceID(s))
	}
	return out
}

func fromWorkspace(w configuration.Workspace) *adminv1.Workspace {
	out := &adminv1.Workspace{Id: string(w.ID), Share: w.Share}
	for _, s := range w.Services {
		out.Services = append(out.Services, string(s))
	}
	return out
}

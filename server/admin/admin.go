// Package admin serves the administration API of a control daemon.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
	"github.com/lentilpick/lentilpick/api/admin/v1/adminv1connect"

	"github.com/lentilpick/lentilpick/configuration"
	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/server/control"
	"github.com/lentilpick/lentilpick/types"
)

// Backend is the part of the control daemon that the API uses.
type Backend interface {
	Config() *control.ConfigLog
	Status(now time.Time) control.Status
	Metrics() *daemon.Metrics
}

const (
	applyTimeout    = 10 * time.Second
	maxRequestBytes = 1 << 20
)

// Service implements the AdminService.
type Service struct {
	backend Backend
	audit   *audit
}

// NewHandler returns the HTTP handler of the API. If the settings contain credentials, every call must
// present one of them as a bearer token.
func NewHandler(b Backend, s *control.Settings, log *logrus.Entry) (http.Handler, error) {
	a, err := newAudit(b.Metrics(), log)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle(adminv1connect.NewAdminServiceHandler(&Service{b, a}, connect.WithReadMaxBytes(maxRequestBytes)))
	return authenticate(credentials(s), a, mux), nil
}

// Apply implements AdminService. It publishes one change of the configuration.
func (s *Service) Apply(ctx context.Context, req *connect.Request[adminv1.ApplyRequest]) (*connect.Response[adminv1.ApplyResponse], error) {
	op := operatorFromContext(ctx)
	ch, err := toChange(req.Msg)
	if err != nil {
		err = connect.NewError(connect.CodeInvalidArgument, err)
		kind, id := objectOf(req.Msg)
		s.audit.recordRefusal(op, &configuration.Change{ID: req.Msg.GetChangeId(), Kind: kind, ObjectID: id}, err)
		return nil, err
	}
	ch.Operator = op.name
	rev, err := s.apply(ctx, op, ch)
	if err != nil {
		s.audit.recordRefusal(op, ch, err)
		return nil, err
	}
	return connect.NewResponse(&adminv1.ApplyResponse{Revision: uint64(rev)}), nil
}

func (s *Service) apply(ctx context.Context, op operator, ch *configuration.Change) (types.Revision, error) {
	if err := op.mayChange(ch); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	res, err := s.backend.Config().Apply(ctx, ch)
	if err != nil {
		return 0, applyError(err)
	}
	if res.Conflict {
		return 0, connect.NewError(connect.CodeAborted,
			fmt.Errorf("%s; read the object, then send the change again with base revision %d", res.Refusal, res.Current))
	}
	if !res.Accepted() {
		return 0, connect.NewError(connect.CodeInvalidArgument, errors.New(res.Refusal))
	}
	return res.Revision, nil
}

func applyError(err error) error {
	switch {
	case errors.Is(err, configuration.ErrInvalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.Is(err, control.ErrNotPublished):
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewError(connect.CodeUnknown, err)
}

// GetConfiguration implements AdminService. The objects are sorted by ID.
func (s *Service) GetConfiguration(context.Context, *connect.Request[adminv1.GetConfigurationRequest]) (*connect.Response[adminv1.GetConfigurationResponse], error) {
	c := s.backend.Config().Config()
	out := &adminv1.GetConfigurationResponse{Revision: uint64(c.Revision)}
	for _, e := range c.Services {
		out.Services = append(out.Services, &adminv1.ServiceEntry{Revision: uint64(e.Revision), Service: fromService(e.Value)})
	}
	for _, e := range c.Targets {
		out.Targets = append(out.Targets, &adminv1.TargetEntry{Revision: uint64(e.Revision), Target: fromTarget(e.Value)})
	}
	for _, e := range c.Workspaces {
		out.Workspaces = append(out.Workspaces, &adminv1.WorkspaceEntry{Revision: uint64(e.Revision), Workspace: fromWorkspace(e.Value)})
	}
	slices.SortFunc(out.Services, func(a, b *adminv1.ServiceEntry) int {
		return strings.Compare(a.GetService().GetId(), b.GetService().GetId())
	})
	slices.SortFunc(out.Targets, func(a, b *adminv1.TargetEntry) int {
		return strings.Compare(a.GetTarget().GetId(), b.GetTarget().GetId())
	})
	slices.SortFunc(out.Workspaces, func(a, b *adminv1.WorkspaceEntry) int {
		return strings.Compare(a.GetWorkspace().GetId(), b.GetWorkspace().GetId())
	})
	return connect.NewResponse(out), nil
}

// GetStatus implements AdminService. The targets are sorted by ID.
func (s *Service) GetStatus(context.Context, *connect.Request[adminv1.GetStatusRequest]) (*connect.Response[adminv1.GetStatusResponse], error) {
	st := s.backend.Status(time.Now())
	out := &adminv1.GetStatusResponse{
		Vm: string(st.VM), DataCentre: string(st.DataCentre), Revision: uint64(st.Revision), UndecodedRecords: uint64(st.Undecoded),
		Lease: &adminv1.LeaseStatus{HolderVm: string(st.Lease.Holder.VM), FencingNumber: uint64(st.Lease.Fence), HeldByThisDaemon: st.LeaseHeld},
	}
	for _, d := range st.Daemons {
		out.Daemons = append(out.Daemons, &adminv1.DaemonStatus{
			Vm: string(d.VM), DataCentre: string(d.DataCentre), Revision: uint64(d.Revision), AgeMs: uint32(d.Age.Milliseconds()), Kind: d.Kind,
		})
	}
	slices.SortFunc(st.Targets, func(a, b control.TargetStatus) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, t := range st.Targets {
		out.Targets = append(out.Targets, targetStatus(t))
	}
	return connect.NewResponse(out), nil
}

func targetStatus(t control.TargetStatus) *adminv1.TargetStatus {
	out := &adminv1.TargetStatus{Id: string(t.ID), Order: t.Order}
	if !t.HasReport {
		return out
	}
	r := t.Report
	out.Role, out.Model, out.Version = fromRole(r.Role), string(r.Model), r.Version
	out.Leaving, out.Changing, out.Running = r.Leaving, r.Changing, uint32(r.Running)
	out.ReportAgeMs = uint32(t.Age.Milliseconds())
	return out
}

// objectOf returns the kind and ID of the object of a change that failed to convert. Both are empty
// for a missing object and for kinds whose conversion cannot fail.
func objectOf(r *adminv1.ApplyRequest) (configuration.ObjectKind, string) {
	switch o := r.GetObject().(type) {
	case *adminv1.ApplyRequest_Service:
		return configuration.ObjectService, o.Service.GetId()
	case *adminv1.ApplyRequest_Target:
		return configuration.ObjectTarget, o.Target.GetId()
	}
	return "", ""
}

func toChange(r *adminv1.ApplyRequest) (*configuration.Change, error) {
	ch := &configuration.Change{ID: r.GetChangeId(), Base: types.Revision(r.GetBaseRevision())}
	switch o := r.GetObject().(type) {
	case *adminv1.ApplyRequest_Service:
		s, err := toService(o.Service)
		if err != nil {
			return nil, err
		}
		ch.Kind, ch.ObjectID, ch.Service = configuration.ObjectService, string(s.ID), s
	case *adminv1.ApplyRequest_Target:
		t, err := toTarget(o.Target)
		if err != nil {
			return nil, err
		}
		ch.Kind, ch.ObjectID, ch.Target = configuration.ObjectTarget, string(t.ID), t
	case *adminv1.ApplyRequest_Workspace:
		w := toWorkspace(o.Workspace)
		ch.Kind, ch.ObjectID, ch.Workspace = configuration.ObjectWorkspace, string(w.ID), w
	case *adminv1.ApplyRequest_DeleteService:
		ch.Kind, ch.ObjectID, ch.Delete = configuration.ObjectService, o.DeleteService, true
	case *adminv1.ApplyRequest_DeleteTarget:
		ch.Kind, ch.ObjectID, ch.Delete = configuration.ObjectTarget, o.DeleteTarget, true
	case *adminv1.ApplyRequest_DeleteWorkspace:
		ch.Kind, ch.ObjectID, ch.Delete = configuration.ObjectWorkspace, o.DeleteWorkspace, true
	default:
		return nil, errors.New("object: is missing")
	}
	return ch, nil
}

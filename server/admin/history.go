package admin

import (
	"context"
	"fmt"

	"connectrpc.com/connect"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"

	"github.com/lentilpick/lentilpick/configuration"
)

// Validate implements AdminService. It evaluates changes against the current configuration without
// publishing them.
func (s *Service) Validate(ctx context.Context, req *connect.Request[adminv1.ValidateRequest]) (*connect.Response[adminv1.ValidateResponse], error) {
	op := operatorFromContext(ctx)
	var changes []*configuration.Change
	for i, r := range req.Msg.GetChanges() {
		ch, err := toChange(r)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("change %d: %w", i+1, err))
		}
		if err := op.mayChange(ch); err != nil {
			s.audit.recordRefusal(op, ch, err)
			return nil, err
		}
		ch.Operator = op.name
		changes = append(changes, ch)
	}
	snap := s.backend.Config().Snapshot()
	return connect.NewResponse(&adminv1.ValidateResponse{
		Revision: uint64(snap.Config.Revision), Results: fromResults(snap.Evaluate(changes)),
	}), nil
}

// GetHistory implements AdminService. It returns the most recent results, up to the limit if set.
func (s *Service) GetHistory(_ context.Context, req *connect.Request[adminv1.GetHistoryRequest]) (*connect.Response[adminv1.GetHistoryResponse], error) {
	recent := s.backend.Config().Snapshot().Recent
	if n := int(req.Msg.GetLimit()); n > 0 && n < len(recent) {
		recent = recent[len(recent)-n:]
	}
	return connect.NewResponse(&adminv1.GetHistoryResponse{Results: fromResults(recent)}), nil
}

func fromResults(list []configuration.Result) []*adminv1.ChangeResult {
	out := make([]*adminv1.ChangeResult, 0, len(list))
	for _, r := range list {
		out = append(out, &adminv1.ChangeResult{
			ChangeId: r.ChangeID, Operator: r.Operator, Kind: string(r.Kind), ObjectId: r.ObjectID, Deleted: r.Deleted,
			Revision: uint64(r.Revision), Refusal: r.Refusal, Conflict: r.Conflict, CurrentRevision: uint64(r.Current),
		})
	}
	return out
}

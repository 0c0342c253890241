package admin

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
	"github.com/lentilpick/lentilpick/api/admin/v1/adminv1connect"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/logclient"
	"github.com/lentilpick/lentilpick/server/control"
	"github.com/lentilpick/lentilpick/types"
)

// stub is a backend whose log immediately delivers each append as a record. It is also the log and
// the client's HTTP transport.
type stub struct {
	logclient.Log
	config   *control.ConfigLog
	metrics  *daemon.Metrics
	handler  http.Handler
	logLines bytes.Buffer
	appended [][]byte
}

func (s *stub) Config() *control.ConfigLog      { return s.config }
func (s *stub) Status(time.Time) control.Status { return control.Status{} }
func (s *stub) Metrics() *daemon.Metrics        { return s.metrics }

func (s *stub) Append(_ context.Context, _ string, data [][]byte) (types.Offset, error) {
	s.appended = append(s.appended, data...)
	o := s.config.Next()
	return o, s.config.HandleRecords(logclient.Batch{Records: []logclient.Record{{Offset: o, At: time.Now(), Data: data[0]}}})
}

func (s *stub) Do(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

func newStub(t *testing.T, settings *control.Settings) *stub {
	s := &stub{}
	l := logrus.New()
	l.SetOutput(&s.logLines)
	l.SetLevel(logrus.TraceLevel)
	s.config = control.NewConfigLog(s, logrus.NewEntry(l))
	var err error
	s.metrics, err = daemon.NewMetrics("test")
	assert.NilError(t, err)
	s.handler, err = NewHandler(s, settings, logrus.NewEntry(l))
	assert.NilError(t, err)
	return s
}

func (s *stub) client(token string) adminv1connect.AdminServiceClient {
	auth := connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+token)
			return next(ctx, r)
		}
	})
	return adminv1connect.NewAdminServiceClient(s, "http://admin", connect.WithInterceptors(auth))
}

func apply(c adminv1connect.AdminServiceClient, r *adminv1.ApplyRequest) error {
	_, err := c.Apply(context.Background(), connect.NewRequest(r))
	return err
}

func workspace(changeID, id string, base uint64) *adminv1.ApplyRequest {
	return &adminv1.ApplyRequest{ChangeId: changeID, BaseRevision: base, Object: &adminv1.ApplyRequest_Workspace{
		Workspace: &adminv1.Workspace{Id: id, Share: 1},
	}}
}

func service(changeID, id string) *adminv1.ApplyRequest {
	return &adminv1.ApplyRequest{ChangeId: changeID, Object: &adminv1.ApplyRequest_Service{
		Service: &adminv1.Service{Id: id, Kind: adminv1.Kind_KIND_PLAIN},
	}}
}

var twoOperators = &control.Settings{AdminToken: "secret-admin", Operators: []control.Operator{
	{Name: "asha", Token: "secret-asha"}, {Name: "kirk", Token: "secret-kirk", Workspaces: []string{"trial"}},
}}

// Guards against an operator who changes or deletes objects other than the workspaces permitted in
// the settings, or validates such changes.
func TestOperatorIsLimitedToItsWorkspaces(t *testing.T) {
	s := newStub(t, twoOperators)
	kirk := s.client("secret-kirk")
	unpermitted := workspace("c4", "other", 0)
	for _, r := range []*adminv1.ApplyRequest{
		unpermitted, service("c2", "chat"),
		{ChangeId: "c3", Object: &adminv1.ApplyRequest_DeleteTarget{DeleteTarget: "trial"}},
	} {
		assert.Equal(t, connect.CodeOf(apply(kirk, r)), connect.CodePermissionDenied)
	}
	_, err := kirk.Validate(context.Background(), connect.NewRequest(&adminv1.ValidateRequest{Changes: []*adminv1.ApplyRequest{unpermitted}}))
	assert.Equal(t, connect.CodeOf(err), connect.CodePermissionDenied)
	assert.Equal(t, strings.Count(s.logLines.String(), "reason=not_permitted"), 4, "a refused validation must be logged like a refused change")
	assert.Equal(t, len(s.appended), 0)
	assert.NilError(t, apply(kirk, workspace("c5", "trial", 0)))
	assert.NilError(t, apply(s.client("secret-asha"), service("c6", "chat")))
}

// Guards against a token in a log line or a record, and against a refused change that is not logged
// with operator, object and reason.
func TestRefusalsAreLoggedWithoutToken(t *testing.T) {
	s := newStub(t, twoOperators)
	assert.Equal(t, connect.CodeOf(apply(s.client("secret-wrong"), workspace("c0", "trial", 0))), connect.CodeUnauthenticated)
	assert.Equal(t, connect.CodeOf(apply(s.client(""), workspace("c0", "trial", 0))), connect.CodeUnauthenticated)
	assert.Equal(t, connect.CodeOf(apply(s.client("secret-kirk"), workspace("c1", "other", 0))), connect.CodePermissionDenied)
	assert.NilError(t, apply(s.client("secret-asha"), workspace("c2", "trial", 0)))
	lines := s.logLines.String()
	for _, want := range []string{"operator=kirk", "object_id=other", "reason=not_permitted"} {
		assert.Assert(t, strings.Contains(lines, want), "%s is missing from the log:\n%s", want, lines)
	}
	assert.Assert(t, !strings.Contains(lines, "secret"), lines)
	assert.Assert(t, !bytes.Contains(s.appended[0], []byte("secret")))
	w := httptest.NewRecorder()
	s.metrics.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	assert.Assert(t, strings.Contains(w.Body.String(), `lentilpick_admin_refusals_total{reason="unauthenticated"} 2`))
	assert.Assert(t, strings.Contains(w.Body.String(), `lentilpick_admin_refusals_total{reason="not_permitted"} 1`))
}

// Guards against a conflict that is reported as success, and against a history without the operator
// or the refusal.
func TestConflictIsReportedAndInHistory(t *testing.T) {
	s := newStub(t, twoOperators)
	assert.NilError(t, apply(s.client("secret-asha"), workspace("c1", "trial", 0)))
	assert.Equal(t, connect.CodeOf(apply(s.client("secret-kirk"), workspace("c2", "trial", 0))), connect.CodeAborted)
	h, err := s.client("secret-admin").GetHistory(context.Background(), connect.NewRequest(&adminv1.GetHistoryRequest{}))
	assert.NilError(t, err)
	list := h.Msg.GetResults()
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].GetOperator(), "asha")
	assert.Equal(t, list[0].GetRevision(), uint64(1))
	assert.Equal(t, list[1].GetOperator(), "kirk")
	assert.Assert(t, list[1].GetConflict() && list[1].GetRefusal() != "")
}

// Guards against a validation that publishes changes or does not detect a conflict.
func TestValidatePublishesNothing(t *testing.T) {
	s := newStub(t, &control.Settings{})
	assert.NilError(t, apply(s.client(""), workspace("c1", "trial", 0)))
	r, err := s.client("").Validate(context.Background(), connect.NewRequest(&adminv1.ValidateRequest{
		Changes: []*adminv1.ApplyRequest{service("c2", "chat"), workspace("c3", "trial", 0)},
	}))
	assert.NilError(t, err)
	assert.Equal(t, r.Msg.GetResults()[0].GetRefusal(), "")
	assert.Assert(t, r.Msg.GetResults()[1].GetConflict())
	assert.Equal(t, len(s.appended), 1)
	assert.Equal(t, s.config.Config().Revision, types.Revision(1))
}

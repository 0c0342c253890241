package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
	"github.com/lentilpick/lentilpick/api/admin/v1/adminv1connect"
)

// fakeAPI is an administration API and the transport to it. Its configuration
// has one target, "t1", at revision 7.
type fakeAPI struct {
	adminv1connect.UnimplementedAdminServiceHandler
	handler http.Handler
	// apply is the result of Apply. The transport breaks the next connectionsToBreak
	// calls of Apply after the server has handled them.
	apply              func() error
	connectionsToBreak int
	applied            []*adminv1.ApplyRequest
	// validateResult is the result of Validate, daemons that of GetStatus.
	validateResult *adminv1.ChangeResult
	daemons        []*adminv1.DaemonStatus
	token          string
}

func newFakeAPI() *fakeAPI {
	f := &fakeAPI{apply: func() error { return nil }}
	_, f.handler = adminv1connect.NewAdminServiceHandler(f)
	return f
}

func (f *fakeAPI) RoundTrip(r *http.Request) (*http.Response, error) {
	f.token = r.Header.Get("Authorization")
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, r)
	if f.connectionsToBreak > 0 && strings.HasSuffix(r.URL.Path, "/Apply") {
		f.connectionsToBreak--
		return nil, io.ErrUnexpectedEOF
	}
	return w.Result(), nil
}

func (f *fakeAPI) Apply(_ context.Context, r *connect.Request[adminv1.ApplyRequest]) (*connect.Response[adminv1.ApplyResponse], error) {
	f.applied = append(f.applied, r.Msg)
	if err := f.apply(); err != nil {
		return nil, err
	}
	return connect.NewResponse(&adminv1.ApplyResponse{Revision: 8}), nil
}

func (f *fakeAPI) Validate(context.Context, *connect.Request[adminv1.ValidateRequest]) (*connect.Response[adminv1.ValidateResponse], error) {
	return connect.NewResponse(&adminv1.ValidateResponse{Results: []*adminv1.ChangeResult{f.validateResult}}), nil
}

func (f *fakeAPI) GetConfiguration(context.Context, *connect.Request[adminv1.GetConfigurationRequest]) (*connect.Response[adminv1.GetConfigurationResponse], error) {
	return connect.NewResponse(&adminv1.GetConfigurationResponse{Revision: 7, Targets: []*adminv1.TargetEntry{{
		Revision: 7, Target: &adminv1.Target{
			Id: "t1", Service: "chat", Address: "127.160.0.1:1", State: adminv1.TargetState_TARGET_STATE_ACTIVE,
			Role: adminv1.Role_ROLE_MIXED, Rates: &adminv1.Rates{MaxStreams: 4},
		},
	}}}), nil
}

func (f *fakeAPI) GetStatus(context.Context, *connect.Request[adminv1.GetStatusRequest]) (*connect.Response[adminv1.GetStatusResponse], error) {
	return connect.NewResponse(&adminv1.GetStatusResponse{Daemons: f.daemons}), nil
}

// run executes the command in a synctest bubble: with virtual time, the load of the
// machine does not affect the result.
func (f *fakeAPI) run(t *testing.T, args ...string) (code int, out, errOut string) {
	synctest.Test(t, func(*testing.T) {
		var o, e bytes.Buffer
		code = execute(Globals{out: &o, err: &e, transport: f}, args)
		out, errOut = o.String(), e.String()
	})
	return code, out, errOut
}

func failWith(c connect.Code) func() error {
	return func() error { return connect.NewError(c, errors.New("reason")) }
}

// Guards against a failed change, above all a conflict, whose exit code is that of
// a success or of another failure.
func TestExitCodeOfChange(t *testing.T) {
	for c, want := range map[connect.Code]int{
		connect.CodeInvalidArgument: 1, connect.CodePermissionDenied: 1, connect.CodeUnauthenticated: 1,
		connect.CodeAborted: 2, connect.CodeUnavailable: 3, connect.CodeUnknown: 4,
	} {
		f := newFakeAPI()
		f.apply = failWith(c)
		code, out, errOut := f.run(t, "drain", "t1")
		assert.Equal(t, code, want, c.String())
		assert.Assert(t, !strings.Contains(out, "accepted"), c.String())
		assert.Assert(t, strings.Contains(errOut, "reason"), c.String())
	}
	code, out, _ := newFakeAPI().run(t, "drain", "t1")
	assert.Equal(t, code, 0)
	assert.Equal(t, out, "target t1: accepted at revision 8\n")
	code, _, _ = newFakeAPI().run(t, "drain", "t2")
	assert.Equal(t, code, 1)
	code, _, _ = newFakeAPI().run(t, "drain", "t1", "--wait", "--dry-run")
	assert.Equal(t, code, 6)
}

// Guards against a broken connection that is reported as "not published" because a
// later attempt did not reach the log, although the first may have, and against
// attempts with different change identifiers, which could take effect twice.
func TestBrokenConnectionIsUnknown(t *testing.T) {
	f := newFakeAPI()
	f.connectionsToBreak = 1
	f.apply = failWith(connect.CodeUnavailable)
	code, _, _ := f.run(t, "drain", "t1")
	assert.Equal(t, code, 4)
	assert.Assert(t, len(f.applied) > 1)
	for _, r := range f.applied {
		assert.Equal(t, r.GetChangeId(), f.applied[0].GetChangeId())
	}
}

// Guards against a dry run that publishes changes or hides a conflict.
func TestDryRun(t *testing.T) {
	f := newFakeAPI()
	f.validateResult = &adminv1.ChangeResult{Kind: "target", ObjectId: "t1", Revision: 8}
	code, out, _ := f.run(t, "drain", "t1", "--dry-run")
	assert.Equal(t, code, 0)
	assert.Equal(t, out, "target t1: valid\n")
	f.validateResult.Conflict, f.validateResult.Refusal = true, "not current"
	code, _, _ = f.run(t, "drain", "t1", "--dry-run")
	assert.Equal(t, code, 2)
	assert.Equal(t, len(f.applied), 0)
}

// Guards against a wait that ends before the change is in force on all daemons, and
// against a timeout message that does not name the stale daemon.
func TestWaitNamesStaleDaemon(t *testing.T) {
	f := newFakeAPI()
	f.daemons = []*adminv1.DaemonStatus{
		{Vm: "vm-1", Kind: "control", Revision: 8}, {Vm: "vm-2", Kind: "entry", Revision: 7, AgeMs: 60_000},
	}
	code, _, errOut := f.run(t, "drain", "t1", "--wait")
	assert.Equal(t, code, 5)
	assert.Assert(t, strings.Contains(errOut, "entry vm-2 at revision 7 (no recent report)"), errOut)
	assert.Assert(t, !strings.Contains(errOut, "vm-1"), errOut)
	f.daemons = append(f.daemons, &adminv1.DaemonStatus{Vm: "vm-2", Kind: "entry", Revision: 8})
	code, _, _ = f.run(t, "drain", "t1", "--wait")
	assert.Equal(t, code, 0)
}

// Guards against a replacement that drains the old target although the new one
// was refused or is not in force.
func TestReplaceAddsBeforeItDrains(t *testing.T) {
	args := []string{"replace", "t1", "t9", "--new-address", "127.160.0.9:1"}
	f := newFakeAPI()
	f.daemons = []*adminv1.DaemonStatus{{Vm: "vm-1", Kind: "control", Revision: 7}}
	code, _, _ := f.run(t, append(args, "--wait")...)
	assert.Equal(t, code, 5)
	f.apply = failWith(connect.CodeInvalidArgument)
	code, _, _ = f.run(t, args...)
	assert.Equal(t, code, 1)
	for _, r := range f.applied {
		assert.Equal(t, r.GetTarget().GetId(), "t9")
	}
	f.apply, f.applied = newFakeAPI().apply, nil
	code, _, _ = f.run(t, args...)
	assert.Equal(t, code, 0)
	added, drained := f.applied[0].GetTarget(), f.applied[1].GetTarget()
	assert.Equal(t, fmt.Sprintf("%s %s %s %d", added.GetId(), added.GetAddress(), added.GetState(), added.GetRates().GetMaxStreams()),
		"t9 127.160.0.9:1 TARGET_STATE_ACTIVE 4")
	assert.Equal(t, drained.GetId(), "t1")
	assert.Equal(t, drained.GetState(), adminv1.TargetState_TARGET_STATE_DRAINING)
}

// Guards against an apply that publishes objects which are already in force, and
// against a diff that differs from the changes of apply.
func TestDiffAndApplyAgree(t *testing.T) {
	path := filepath.Join(t.TempDir(), "objects.toml")
	const file = "[[target]]\nid = \"t1\"\nservice = \"chat\"\naddress = \"127.160.0.1:1\"\nmax_streams = %d\n"
	for streams, want := range map[int]string{4: "", 5: "~ target t1\n    max_streams: \"4\" to \"5\"\n"} {
		assert.NilError(t, os.WriteFile(path, fmt.Appendf(nil, file, streams), 0o600))
		f := newFakeAPI()
		code, out, _ := f.run(t, "diff", "-f", path)
		assert.Equal(t, code, 0)
		assert.Equal(t, out, want)
		code, _, _ = f.run(t, "apply", "-f", path)
		assert.Equal(t, code, 0)
		assert.Equal(t, len(f.applied) == 0, want == "")
	}
}

// Guards against a misspelt role that is published as mixed.
func TestMisspeltNameIsRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "objects.toml")
	for _, line := range []string{`role = "decoder"`, `state = "drained"`} {
		assert.NilError(t, os.WriteFile(path, []byte("[[target]]\nid = \"t1\"\n"+line+"\n"), 0o600))
		f := newFakeAPI()
		code, _, errOut := f.run(t, "apply", "-f", path)
		assert.Equal(t, code, 1)
		assert.Assert(t, strings.Contains(errOut, "is not one of"), errOut)
		assert.Equal(t, len(f.applied), 0)
	}
}

// Guards against a token that is printed or not sent.
func TestTokenIsSentAndNotPrinted(t *testing.T) {
	f := newFakeAPI()
	f.apply = failWith(connect.CodeUnauthenticated)
	_, out, errOut := f.run(t, "--token", "secret", "drain", "t1")
	assert.Equal(t, f.token, "Bearer secret")
	assert.Assert(t, !strings.Contains(out+errOut, "secret"))
	t.Setenv("LENTILPICK_TOKEN", "secret")
	_, out, _ = f.run(t, "--help")
	assert.Assert(t, !strings.Contains(out, "secret"))
}

// Guards against a completion script that lacks a command.
func TestCompletionHasAllCommands(t *testing.T) {
	_, out, _ := newFakeAPI().run(t, "completion", "bash")
	for _, c := range []string{"apply", "diff", "get", "list", "delete", "drain", "activate", "withdraw", "replace", "status", "history"} {
		assert.Assert(t, strings.Contains(out, "\t"+c+") words="), c)
	}
}

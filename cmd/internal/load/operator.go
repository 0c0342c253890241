package load

import (
	"bufio"
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"

	adminv1 "github.com/lentilpick/lentilpick/api/admin/v1"
	"github.com/lentilpick/lentilpick/api/admin/v1/adminv1connect"
	"github.com/lentilpick/lentilpick/daemon"
)

// operator calls the administration API of one control daemon.
type operator struct {
	api adminv1connect.AdminServiceClient
}

func newOperator(v vm) operator {
	return operator{adminv1connect.NewAdminServiceClient(&http.Client{Timeout: 10 * time.Second}, "http://"+v.AdminAddress)}
}

func (o operator) status(ctx context.Context) (*adminv1.GetStatusResponse, error) {
	r, err := o.api.GetStatus(ctx, connect.NewRequest(&adminv1.GetStatusRequest{}))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

func (o operator) revision(ctx context.Context) (uint64, error) {
	s, err := o.status(ctx)
	return s.GetRevision(), err
}

// addWorkspace creates a workspace and returns the revision of the change.
func (o operator) addWorkspace(ctx context.Context, id string) (uint64, error) {
	return o.apply(ctx, &adminv1.ApplyRequest{
		Object: &adminv1.ApplyRequest_Workspace{Workspace: &adminv1.Workspace{Id: id, Share: 1}},
	})
}

// changeTarget changes a target and returns the revision of the change.
func (o operator) changeTarget(ctx context.Context, id string, change func(*adminv1.Target)) (uint64, error) {
	c, err := o.api.GetConfiguration(ctx, connect.NewRequest(&adminv1.GetConfigurationRequest{}))
	if err != nil {
		return 0, err
	}
	for _, e := range c.Msg.GetTargets() {
		if e.GetTarget().GetId() == id {
			change(e.GetTarget())
			return o.apply(ctx, &adminv1.ApplyRequest{
				BaseRevision: e.GetRevision(), Object: &adminv1.ApplyRequest_Target{Target: e.GetTarget()},
			})
		}
	}
	return 0, merry.Appendf(ErrProcess, "no target %q in the configuration", id)
}

const applyRetryInterval = 200 * time.Millisecond

// apply sends one change. It repeats the change with the same change ID while
// the outcome is unknown.
func (o operator) apply(ctx context.Context, r *adminv1.ApplyRequest) (uint64, error) {
	r.ChangeId = rand.Text()
	for {
		resp, err := o.api.Apply(ctx, connect.NewRequest(r))
		if err == nil {
			return resp.Msg.GetRevision(), nil
		}
		code := connect.CodeOf(err)
		retry := code == connect.CodeUnknown || code == connect.CodeUnavailable
		if !retry || !daemon.Sleep(ctx, applyRetryInterval) {
			return 0, err
		}
	}
}

// daemonAddress is the name and the metrics address of a daemon.
type daemonAddress struct{ name, metrics string }

func daemonAddresses(vms []vm) []daemonAddress {
	var out []daemonAddress
	for _, v := range vms {
		out = append(out, daemonAddress{"control-" + v.Name, v.PeerAddress}, daemonAddress{"entry-" + v.Name, v.EntryMetricsAddress})
	}
	return out
}

// fetchRevision reads the configuration revision in force from a daemon's
// metrics.
func fetchRevision(address string) (uint64, error) {
	resp, err := httpClient.Get("http://" + address + "/metrics")
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		rest, ok := strings.CutPrefix(sc.Text(), "lentilpick_revision")
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(rest[strings.LastIndexByte(rest, ' ')+1:], 64)
		return uint64(v), err
	}
	return 0, merry.Appendf(ErrProcess, "metrics of %s lack lentilpick_revision", address)
}

const revisionPollInterval = 20 * time.Millisecond

// awaitInForce waits until the revision, or a later one, is in force on all
// daemons. It returns the time since start.
func awaitInForce(ctx context.Context, daemons []daemonAddress, revision uint64, start time.Time) (time.Duration, error) {
	errs := make([]error, len(daemons))
	var wg sync.WaitGroup
	for i, d := range daemons {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = awaitRevision(ctx, d, revision)
		}()
	}
	wg.Wait()
	took := time.Since(start)
	for _, err := range errs {
		if err != nil {
			return took, err
		}
	}
	return took, nil
}

func awaitRevision(ctx context.Context, d daemonAddress, revision uint64) error {
	for {
		got, err := fetchRevision(d.metrics)
		if err == nil && got >= revision {
			return nil
		}
		if !daemon.Sleep(ctx, revisionPollInterval) {
			return merry.Appendf(ErrProcess, "%s is at revision %d, want at least %d", d.name, got, revision)
		}
	}
}

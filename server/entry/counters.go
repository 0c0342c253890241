package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	peerv1 "github.com/lentilpick/lentilpick/api/peer/v1"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/types"
)

// counters are the metrics of the request path.
type counters struct {
	refusals *daemon.ReasonCounter
	retries  *daemon.ReasonCounter
	results  *daemon.ReasonCounter
	// stopRefused and stopEnded count the requests that a stop ended as not run and as unknown.
	stopRefused, stopEnded atomic.Int64
}

const (
	resultAnswered = iota
	resultNotRun
	resultUnknown
)

func newCounters(m *daemon.Metrics) (*counters, error) {
	var c counters
	var err error
	refusals := enumNames(int(types.RefusalReasonCount), func(i int) string { return types.RefusalReason(i).String() })
	if c.refusals, err = m.NewReasonCounter("lentilpick_refusals", "Requests without an answer, by reason.", refusals); err != nil {
		return nil, err
	}
	retries := enumNames(int(types.RetryReasonCount), func(i int) string { return types.RetryReason(i).String() })
	if c.retries, err = m.NewReasonCounter("lentilpick_retries", "Requests sent again, by reason.", retries); err != nil {
		return nil, err
	}
	results := []string{"answered", outcomeNotRun, outcomeUnknown}
	c.results, err = m.NewReasonCounter("lentilpick_requests", "Requests by result.", results)
	return &c, err
}

func enumNames(n int, name func(int) string) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = name(i)
	}
	return out
}

func (c *counters) recordRefusal(r types.RefusalReason) { c.refusals.Add(int(r)) }
func (c *counters) recordRetry(r types.RetryReason)     { c.retries.Add(int(r)) }

// recordOutcome counts the outcome of a request and, unless it was answered, the refusal reason.
func (c *counters) recordOutcome(o types.Outcome) {
	switch v := o.(type) {
	case types.Answered:
		c.results.Add(resultAnswered)
	case types.NotRun:
		c.results.Add(resultNotRun)
		c.recordRefusal(v.Reason())
		if v.Reason() == types.RefusedStopping {
			c.stopRefused.Add(1)
		}
	case types.Unknown:
		c.results.Add(resultUnknown)
		c.recordRefusal(v.Reason())
		if v.Reason() == types.RefusedStopping {
			c.stopEnded.Add(1)
		}
	}
}

// modelDemand counts the work that callers requested from one model.
type modelDemand struct {
	requests, prefillTokens, decodeTokens atomic.Uint64
}

// demand accumulates the requested work by model since the last load report.
type demand struct{ models sync.Map }

func (d *demand) add(m types.ModelID, prefillTokens, decodeTokens int) {
	v, ok := d.models.Load(m)
	if !ok {
		v, _ = d.models.LoadOrStore(m, &modelDemand{})
	}
	md := v.(*modelDemand)
	md.requests.Add(1)
	md.prefillTokens.Add(uint64(prefillTokens))
	md.decodeTokens.Add(uint64(decodeTokens))
}

// drain returns the accumulated work and resets the counters.
func (d *demand) drain() []*peerv1.ModelDemand {
	var out []*peerv1.ModelDemand
	d.models.Range(func(k, v any) bool {
		md := v.(*modelDemand)
		out = append(out, &peerv1.ModelDemand{
			Model: string(k.(types.ModelID)), Requests: md.requests.Swap(0),
			PrefillTokens: md.prefillTokens.Swap(0), DecodeTokens: md.decodeTokens.Swap(0),
		})
		return true
	})
	return out
}

const loadReportInterval = time.Second

// reportLoad sends the configuration revision in force and the demand since the last report to the
// control daemon at every loadReportInterval until ctx ends.
func (d *Daemon) reportLoad(ctx context.Context) {
	ticker := time.NewTicker(loadReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r := &peerv1.ReportLoadRequest{
			Vm: d.settings.VM, Revision: uint64(d.views.Load().Config.Revision), Demand: d.demand.drain(),
		}
		if err := d.control.ReportLoad(ctx, r); err != nil {
			d.log.WithError(err).Debug("failed to send load report")
		}
	}
}

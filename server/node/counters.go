package node

import (
	"context"
	"slices"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/lentilpick/lentilpick/daemon"
	"github.com/lentilpick/lentilpick/feed"
	"github.com/lentilpick/lentilpick/gateway"
	"github.com/lentilpick/lentilpick/loadshare"
	"github.com/lentilpick/lentilpick/types"
	"github.com/lentilpick/lentilpick/versions"
)

// counters are the metrics of the request path.
type counters struct {
	refused    *daemon.ReasonCounter
	unknown    *daemon.ReasonCounter
	retried    *daemon.ReasonCounter
	answered   metric.Int64Counter
	late       metric.Int64Counter
	badInput   metric.Int64Counter
	firstEvent metric.Float64Histogram
	byStage    [3]metric.AddOption
	sent       metric.Int64Counter
	storeCalls *daemon.ReasonCounter
	// feedFailures counts failed calls like storeCalls. feedBytes and feedDuration measure the
	// calls that succeeded; byFeed are their attributes.
	feedFailures *daemon.ReasonCounter
	feedBytes    metric.Int64Counter
	feedDuration metric.Float64Histogram
	byFeed       [loadshare.Feeds]metric.MeasurementOption
	// skipped counts the configurations that were not decoded because newer ones replace them.
	skipped metric.Int64Counter
	// rejected counts the configurations that could not be decoded or lack the list of workspaces.
	rejected metric.Int64Counter
	// changesCalls counts the calls to other nodes for missing changes, by result.
	changesCalls *daemon.ReasonCounter
	// leaving, pauses and invalidPauses count what targets report about themselves.
	leaving, pauses, invalidPauses metric.Int64Counter
	// limits and invalidLimits count the limits that targets declare.
	limits, invalidLimits metric.Int64Counter
	// crashes counts the suspects of crashes of targets.
	crashes metric.Int64Counter
	// broken counts the responses whose connection broke, by what that proves.
	broken *daemon.ReasonCounter
	// versionRecords counts the records of software versions that this node has written, by reason.
	versionRecords *daemon.ReasonCounter
	// stopping counts the requests that ended during a planned stop.
	stopping *daemon.ReasonCounter
	// forwarded counts the requests that were sent to other nodes. peerAnswered, peerRefused and
	// peerUnknown count the ends of requests that other nodes forwarded to this one, which count as
	// outcomes at those nodes.
	forwarded, peerAnswered  metric.Int64Counter
	peerRefused, peerUnknown *daemon.ReasonCounter
}

// firstEventBuckets are the bucket bounds of the time to the first event or the complete response,
// in seconds. They cover the deployment's objectives of 0.1 to 0.6 s and the time-outs of callers
// of a few seconds.
var firstEventBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1, 1.5, 2, 3, 5}

// feedNames are the names of the feeds in metrics, by index.
var feedNames = [loadshare.Feeds]string{feedConfig: "configuration", feedRegistrations: "registrations", feedMembers: "members", feedVersions: "versions"}

// storeCallIndex returns the index of a reason in storeCallNames.
func storeCallIndex(index int, r feed.CallReason) int {
	return index*int(feed.CallReasonCount) + int(r)
}

func storeCallNames() (names []string) {
	for _, f := range feedNames {
		for r := range feed.CallReasonCount {
			names = append(names, f+"_"+r.String())
		}
	}
	return names
}

func newCounters(m *daemon.Metrics) (*counters, error) {
	c := &counters{}
	var err error
	refusals := make([]string, types.RefusalReasonCount)
	for r := range types.RefusalReasonCount {
		refusals[r] = r.String()
	}
	retries := make([]string, types.RetryReasonCount)
	for r := range types.RetryReasonCount {
		retries[r] = r.String()
	}
	if c.refused, err = m.NewReasonCounter("lentilpick_refused", "Requests that were refused and did not run on a target.", refusals); err != nil {
		return nil, err
	}
	if c.unknown, err = m.NewReasonCounter("lentilpick_unknown", "Requests that failed and may have run on a target.", refusals); err != nil {
		return nil, err
	}
	if c.retried, err = m.NewReasonCounter("lentilpick_retries", "Requests that were retried.", retries); err != nil {
		return nil, err
	}
	if c.forwarded, err = m.Meter.Int64Counter("lentilpick_forwarded", metric.WithDescription("Requests that were sent to other nodes.")); err != nil {
		return nil, err
	}
	if c.peerAnswered, err = m.Meter.Int64Counter("lentilpick_peer_answered", metric.WithDescription("Requests of other nodes that were answered.")); err != nil {
		return nil, err
	}
	if c.peerRefused, err = m.NewReasonCounter("lentilpick_peer_refused", "Requests of other nodes that were refused and did not run on a target.", refusals); err != nil {
		return nil, err
	}
	if c.peerUnknown, err = m.NewReasonCounter("lentilpick_peer_unknown", "Requests of other nodes that failed and may have run on a target.", refusals); err != nil {
		return nil, err
	}
	if c.answered, err = m.Meter.Int64Counter("lentilpick_answered", metric.WithDescription("Requests that were answered.")); err != nil {
		return nil, err
	}
	if c.late, err = m.Meter.Int64Counter("lentilpick_late", metric.WithDescription("Responses that missed the objective of the route.")); err != nil {
		return nil, err
	}
	if c.badInput, err = m.Meter.Int64Counter("lentilpick_bad_input", metric.WithDescription("Input that is not a valid request.")); err != nil {
		return nil, err
	}
	if c.sent, err = m.Meter.Int64Counter("lentilpick_sent", metric.WithDescription("Requests that were sent to targets.")); err != nil {
		return nil, err
	}
	if c.storeCalls, err = m.NewReasonCounter("lentilpick_store_calls", "Calls to the store that follow a feed, by feed and reason.", storeCallNames()); err != nil {
		return nil, err
	}
	if c.feedFailures, err = m.NewReasonCounter("lentilpick_feed_failures", "Failed calls to the store that follow a feed, by feed and reason of the call.", storeCallNames()); err != nil {
		return nil, err
	}
	if c.feedBytes, err = m.Meter.Int64Counter("lentilpick_feed_bytes", metric.WithUnit("By"),
		metric.WithDescription("Size of the values that calls to the store have returned, by feed.")); err != nil {
		return nil, err
	}
	if c.skipped, err = m.Meter.Int64Counter("lentilpick_configurations_skipped", metric.WithDescription("Configurations that this node has not decoded, because newer ones replace them.")); err != nil {
		return nil, err
	}
	if c.rejected, err = m.Meter.Int64Counter("lentilpick_configurations_rejected", metric.WithDescription("Configurations that could not be decoded or lack the list of workspaces of an earlier one.")); err != nil {
		return nil, err
	}
	if c.feedDuration, err = m.Meter.Float64Histogram("lentilpick_feed_call", metric.WithUnit("s"),
		metric.WithDescription("Duration of the calls to the store that returned records, by feed."), metric.WithExplicitBucketBoundaries(firstEventBuckets...)); err != nil {
		return nil, err
	}
	for i, n := range feedNames {
		c.byFeed[i] = metric.WithAttributeSet(attribute.NewSet(attribute.String("feed", n)))
	}
	if c.changesCalls, err = m.NewReasonCounter("lentilpick_changes_calls", "Calls to other nodes for missing changes of the configuration, by result.", changesResultNames); err != nil {
		return nil, err
	}
	if c.leaving, err = m.Meter.Int64Counter("lentilpick_targets_leaving", metric.WithDescription("Targets that declared in a response that they are leaving.")); err != nil {
		return nil, err
	}
	if c.limits, err = m.Meter.Int64Counter("lentilpick_limits", metric.WithDescription("Limits of requests that targets have declared to this node.")); err != nil {
		return nil, err
	}
	if c.invalidLimits, err = m.Meter.Int64Counter("lentilpick_invalid_limits", metric.WithDescription("Declared limits that were ignored because they are not valid.")); err != nil {
		return nil, err
	}
	if c.crashes, err = m.Meter.Int64Counter("lentilpick_crashes", metric.WithDescription("Requests whose target crashed when it had only begun their response.")); err != nil {
		return nil, err
	}
	if c.broken, err = m.NewReasonCounter("lentilpick_broken_responses", "Responses to prompts whose connection broke, by what that proves about the target.", brokenNames); err != nil {
		return nil, err
	}
	if c.stopping, err = m.NewReasonCounter("lentilpick_stop_requests", "Requests that ended during a planned stop, by their arrival before or during it and by their end.", stopOutcomeNames[:]); err != nil {
		return nil, err
	}
	if c.versionRecords, err = m.NewReasonCounter("lentilpick_version_records", "Records of plans of software versions that this node has written, by reason.", versionReasonNames()); err != nil {
		return nil, err
	}
	if c.pauses, err = m.Meter.Int64Counter("lentilpick_pauses", metric.WithDescription("Refusals with which a target requested a pause.")); err != nil {
		return nil, err
	}
	if c.invalidPauses, err = m.Meter.Int64Counter("lentilpick_invalid_pauses", metric.WithDescription("Requested pauses that were ignored because their length is not valid.")); err != nil {
		return nil, err
	}
	for i, n := range stageNames {
		c.byStage[i] = metric.WithAttributeSet(attribute.NewSet(attribute.String("stage", n)))
	}
	c.firstEvent, err = m.Meter.Float64Histogram("lentilpick_first", metric.WithUnit("s"),
		metric.WithDescription("Time to the first event or the complete response."), metric.WithExplicitBucketBoundaries(firstEventBuckets...))
	return c, err
}

func versionReasonNames() (names []string) {
	for _, r := range versions.Reasons() {
		names = append(names, string(r))
	}
	return names
}

func (c *counters) countVersionRecord(r versions.Reason) {
	c.versionRecords.Add(slices.Index(versions.Reasons(), r))
}

// countFeedCall counts a completed call to the store that follows the feed with the given index.
func (c *counters) countFeedCall(index int, r feed.CallResult) {
	ctx := context.Background()
	if index == feedConfig && r.Skipped > 0 {
		c.skipped.Add(ctx, int64(r.Skipped))
	}
	switch {
	case r.Err != nil:
		c.feedFailures.Add(storeCallIndex(index, r.Reason))
	case r.Records > 0:
		c.feedBytes.Add(ctx, int64(r.Bytes), c.byFeed[index])
		c.feedDuration.Record(ctx, r.Duration.Seconds(), c.byFeed[index])
	}
}

func (c *counters) count(e *gateway.Event) {
	ctx := context.Background()
	switch e.Kind {
	case gateway.KindSend:
		c.sent.Add(ctx, 1, c.byStage[e.Stage])
	case gateway.KindForward:
		c.forwarded.Add(ctx, 1)
	case gateway.KindRetry:
		c.retried.Add(int(e.RetryReason))
	case gateway.KindOutcome:
		if e.Request.Forwarded != nil {
			c.countForPeer(e.Outcome)
			return
		}
		switch o := e.Outcome.(type) {
		case types.NotRun:
			c.refused.Add(int(o.Reason()))
		case types.Unknown:
			c.unknown.Add(int(o.Reason()))
		default:
			c.answered.Add(ctx, 1)
			c.firstEvent.Record(ctx, e.TimeToFirst.Seconds())
			if e.Late {
				c.late.Add(ctx, 1)
			}
		}
	}
}

// countForPeer counts the end of a request that another node forwarded.
func (c *counters) countForPeer(o types.Outcome) {
	switch o := o.(type) {
	case types.NotRun:
		c.peerRefused.Add(int(o.Reason()))
	case types.Unknown:
		c.peerUnknown.Add(int(o.Reason()))
	default:
		c.peerAnswered.Add(context.Background(), 1)
	}
}

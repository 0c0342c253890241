package daemon

import (
	"context"
	"net/http"

	"github.com/ansel1/merry/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprom "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// ErrMetrics reports that the exporter or an instrument could not be created.
var ErrMetrics = merry.New("metrics could not be set up")

// Metrics is the OpenTelemetry meter of a process and the HTTP handler that exports it.
type Metrics struct {
	Meter   metric.Meter
	Handler http.Handler
}

// NewMetrics returns a meter with an exporter in the Prometheus text format. The error
// wraps ErrMetrics.
func NewMetrics(name string) (*Metrics, error) {
	reg := prometheus.NewRegistry()
	exp, err := otelprom.New(otelprom.WithRegisterer(reg), otelprom.WithoutScopeInfo())
	if err != nil {
		return nil, merry.Wrap(ErrMetrics, merry.WithCause(err))
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exp))
	return &Metrics{
		Meter:   provider.Meter(name),
		Handler: promhttp.HandlerFor(reg, promhttp.HandlerOpts{}),
	}, nil
}

// ReasonCounter counts events by reason, a value of a small enumeration. The
// attribute sets are built once, so that Add does not allocate.
type ReasonCounter struct {
	counter metric.Int64Counter
	options []metric.AddOption
}

// NewReasonCounter returns a counter with one series for each of reasons, which are
// the values of the attribute "reason". Add takes the index of a reason. All series
// start at 0. The error wraps ErrMetrics.
func (m *Metrics) NewReasonCounter(name, description string, reasons []string) (*ReasonCounter, error) {
	c, err := m.Meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		return nil, merry.Wrap(ErrMetrics, merry.WithCause(err))
	}
	rc := &ReasonCounter{counter: c}
	for _, r := range reasons {
		set := attribute.NewSet(attribute.String("reason", r))
		rc.options = append(rc.options, metric.WithAttributeSet(set))
		c.Add(context.Background(), 0, metric.WithAttributeSet(set))
	}
	return rc, nil
}

// Add counts one event with the reason at the given index.
func (c *ReasonCounter) Add(reason int) {
	c.counter.Add(context.Background(), 1, c.options[reason])
}

// Gauge registers a gauge whose value is read when the metrics are collected. The
// error wraps ErrMetrics.
func (m *Metrics) Gauge(name, description string, read func() int64) error {
	_, err := m.Meter.Int64ObservableGauge(name, metric.WithDescription(description),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(read())
			return nil
		}))
	if err != nil {
		return merry.Wrap(ErrMetrics, merry.WithCause(err))
	}
	return nil
}

// Traffic registers counters of received and sent bytes for named groups of
// connections, with the attributes "group" and "direction". The error wraps ErrMetrics.
func (m *Metrics) Traffic(name, description string, groups map[string]*Traffic) error {
	type series struct {
		traffic        *Traffic
		received, sent metric.ObserveOption
	}
	var all []series
	for group, t := range groups {
		set := func(direction string) metric.ObserveOption {
			return metric.WithAttributes(attribute.String("group", group), attribute.String("direction", direction))
		}
		all = append(all, series{t, set("received"), set("sent")})
	}
	_, err := m.Meter.Int64ObservableCounter(name, metric.WithDescription(description), metric.WithUnit("By"),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			for _, s := range all {
				o.Observe(s.traffic.Received(), s.received)
				o.Observe(s.traffic.Sent(), s.sent)
			}
			return nil
		}))
	if err != nil {
		return merry.Wrap(ErrMetrics, merry.WithCause(err))
	}
	return nil
}

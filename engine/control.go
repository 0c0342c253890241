package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/types"
)

// Report is the load report of a target, as encoded on the wire.
type Report struct {
	Sequence            uint64            `json:"sequence"`
	AgeMs               int64             `json:"age_ms"`
	Role                types.Role        `json:"role"`
	Model               types.ModelID     `json:"model,omitempty"`
	Version             string            `json:"version,omitempty"`
	Adapters            []types.AdapterID `json:"adapters,omitempty"`
	QueuedPrefillTokens int               `json:"queued_prefill_tokens"`
	DecodeStreams       int               `json:"decode_streams"`
	Running             int               `json:"running"`
	KVFreeTokens        int               `json:"kv_free_tokens"`
	Leaving             bool              `json:"leaving,omitempty"`
	Changing            bool              `json:"changing,omitempty"`
	// DescriptionUnchanged means, on a stream, that role, model, version and
	// adapters are omitted because they equal those of the previous report.
	DescriptionUnchanged bool `json:"same,omitempty"`
}

// State is the current state of a target, without the lag of load reports.
type State struct {
	Role         types.Role          `json:"role"`
	Model        types.ModelID       `json:"model,omitempty"`
	Version      string              `json:"version,omitempty"`
	Adapters     []types.AdapterID   `json:"adapters,omitempty"`
	HighestFence types.FencingNumber `json:"highest_fence"`
	// OrderInProgress is the identifier of the order being carried out, if any.
	OrderInProgress string `json:"order_in_progress,omitempty"`
	Running         int    `json:"running"`
	Leaving         bool   `json:"leaving"`
}

// Order instructs a target which role, model, version and adapters to serve. It
// gives the complete desired state, so repeating an order has no further effect.
type Order struct {
	ID       string              `json:"id"`
	Fence    types.FencingNumber `json:"fence"`
	Revision types.Revision      `json:"revision"`
	Role     types.Role          `json:"role"`
	Model    types.ModelID       `json:"model,omitempty"`
	Version  string              `json:"version,omitempty"`
	Adapters []types.AdapterID   `json:"adapters,omitempty"`
	// Drain instructs the target to take no new work.
	Drain bool `json:"drain,omitempty"`
}

const controlTimeout = 2 * time.Second

// Report reads the load report of a target.
func (c *Client) Report(address string) (Report, error) {
	var r Report
	err := c.callJSON(address, fasthttp.MethodGet, "/v1/report", nil, &r, time.Now().Add(controlTimeout))
	return r, err
}

// WatchReports reads a stream of load reports, one per interval, and passes
// each to handle until handle returns false, the stream ends or maxAge has
// passed. A target without report streams returns a *StatusError with status 404.
func (c *Client) WatchReports(address string, interval, maxAge time.Duration, handle func(Report) bool) error {
	path := fmt.Sprintf("/v1/report/stream?interval_ms=%d", interval.Milliseconds())
	x := c.newExchange(address, fasthttp.MethodGet, path)
	if err := c.send(x, sendOptions{headerTimeout: c.settings.ProgressTimeout, deadline: time.Now().Add(maxAge)}); err != nil {
		return err
	}
	if x.resp.StatusCode() != fasthttp.StatusOK {
		return x.refusalError()
	}
	defer x.abort()
	return readReports(x.resp.BodyStream(), handle)
}

func readReports(body io.Reader, handle func(Report) bool) error {
	events := newEventReader(body)
	var last Report
	for {
		data, err := events.next()
		if err != nil {
			return err
		}
		var r Report
		if err := json.Unmarshal(data, &r); err != nil {
			return fmt.Errorf("%w: %w", ErrFailed, err)
		}
		if r.DescriptionUnchanged {
			r.Role, r.Model, r.Version, r.Adapters = last.Role, last.Model, last.Version, last.Adapters
		}
		last = r
		if !handle(r) {
			return nil
		}
	}
}

// State reads the state of a target.
func (c *Client) State(address string) (State, error) {
	var s State
	err := c.callJSON(address, fasthttp.MethodGet, "/v1/state", nil, &s, time.Now().Add(controlTimeout))
	return s, err
}

// Order sends an order. The target responds when it has accepted the order; the
// change itself takes seconds. No byte is written after deadline, the end of
// the sender's lease. A target refuses a stale fencing number with a *StatusError
// of status 409.
func (c *Client) Order(address string, o *Order, deadline time.Time) error {
	if !time.Now().Before(deadline) {
		return fmt.Errorf("lease ended before the order was sent: %w", ErrNotSent)
	}
	var out struct{}
	return c.callJSON(address, fasthttp.MethodPost, "/v1/orders", o, &out, deadline)
}

package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/types"
)

// Report is a target's load report on the wire.
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
	// Same says, on a stream, that role, model, version and adapters are those
	// of the report before and were left out.
	DescriptionUnchanged bool `json:"same,omitempty"`
}

// State is a target's own state, without lag.
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

// Order tells a target what to be. It is absolute, so that a repeated order
// has no further effect.
type Order struct {
	ID       string              `json:"id"`
	Fence    types.FencingNumber `json:"fence"`
	Revision types.Revision      `json:"revision"`
	Role     types.Role          `json:"role"`
	Model    types.ModelID       `json:"model,omitempty"`
	Version  string              `json:"version,omitempty"`
	Adapters []types.AdapterID   `json:"adapters,omitempty"`
	// Drain tells the target to take no new work.
	Drain bool `json:"drain,omitempty"`
}

const controlTimeout = 2 * time.Second

// Report reads the load report of a target.
func (c *Client) Report(address string) (Report, error) {
	var r Report
	err := c.callJSON(address, fasthttp.MethodGet, "/v1/report", nil, &r, time.Now().Add(controlTimeout))
	return r, err
}

// WatchReports reads a stream of load reports, one each interval, and passes
// them to each until that returns false, the stream ends or maxAge has passed.
// A target without report streams answers with a *StatusError of status 404.
func (c *Client) WatchReports(address string, interval, maxAge time.Duration, each func(Report) bool) error {
	path := fmt.Sprintf("/v1/report/stream?interval_ms=%d", interval.Milliseconds())
	x := c.newExchange(address, fasthttp.MethodGet, path)
	if err := c.send(x, call{progress: c.settings.ProgressTimeout, bound: time.Now().Add(maxAge)}); err != nil {
		return err
	}
	if x.resp.StatusCode() != fasthttp.StatusOK {
		return x.refusal()
	}
	defer x.close()
	return readReports(x.resp.BodyStream(), each)
}

func readReports(body io.Reader, each func(Report) bool) error {
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
		if !each(r) {
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

// Order sends an order. The target answers when it has accepted the order; the
// change itself takes seconds. No byte is written after deadline, the end of
// the sender's lease. A refusal for a stale fencing number is a *StatusError
// with status 409.
func (c *Client) Order(address string, o *Order, deadline time.Time) error {
	if !time.Now().Before(deadline) {
		return fmt.Errorf("lease has ended: %w", ErrNotSent)
	}
	var out struct{}
	return c.callJSON(address, fasthttp.MethodPost, "/v1/orders", o, &out, deadline)
}

// Package load implements the load generator, the demo, the fault scenarios and
// the latency measurement. Its counts are taken from the responses that callers
// receive and from the stand-ins, never from the daemons.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilpick/lentilpick/standin/modelengine"
	"github.com/lentilpick/lentilpick/types"
)

// Result classifies the outcome of one request as the caller sees it.
type Result uint8

// Results.
const (
	// Answered is a complete response that belongs to the request.
	Answered Result = iota
	// Refused is an error response with outcome not_run, or a refused connection.
	Refused
	// Incomplete is a truncated response or an unknown outcome. Reports print it
	// as "cut".
	Incomplete
	// MixedUp is a response with content of another request.
	MixedUp
)

// Sample holds the result and timings of one request.
type Sample struct {
	Result     Result
	Reason     string
	FirstToken time.Duration
	// TokenInterval is the mean time between tokens.
	TokenInterval time.Duration
	Tokens        int
	// MetDeadlines reports whether the response was complete and met the
	// request's deadlines.
	MetDeadlines bool
	// TokenIntervals holds each time between two tokens, if the client records them.
	TokenIntervals []time.Duration
}

// Completion describes a completion request.
type Completion struct {
	ID            types.RequestID
	Workspace     string
	Model         string
	Prompt        string
	MaxTokens     int
	Deadline      time.Duration
	TokenInterval time.Duration
}

// Call describes a call of a plain service.
type Call struct {
	ID, Workspace, Service, Method, Path, Key, Affinity, Body string
	Deadline                                                  time.Duration
}

// Client sends requests to entry daemons.
type Client struct {
	http *http.Client
	// recordIntervals enables Sample.TokenIntervals.
	recordIntervals bool
}

const (
	// completionTimeout bounds a completion. One that has not ended by then
	// counts as Incomplete.
	completionTimeout = time.Minute
	// callTimeoutMargin is added to the deadline of a call. A call that has not
	// ended by then counts as Incomplete.
	callTimeoutMargin = 5 * time.Second
)

// NewClient returns a client with pooled connections.
func NewClient() *Client {
	d := &net.Dialer{Timeout: time.Second}
	return &Client{http: &http.Client{Transport: &http.Transport{
		DialContext: d.DialContext, MaxIdleConnsPerHost: 512, IdleConnTimeout: 3 * time.Second, DisableCompression: true,
	}}}
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type streamEvent struct {
	RequestID types.RequestID `json:"request_id"`
	Index     int             `json:"index"`
	Text      string          `json:"text"`
	Done      bool            `json:"done"`
	Tokens    int             `json:"tokens"`
	Checksum  string          `json:"checksum"`
	Error     *errorDetail    `json:"error"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Complete sends a completion request to address and checks each token of the
// response.
func (c *Client) Complete(address string, r *Completion) Sample {
	body, err := json.Marshal(completionBody{r.Model, r.Prompt, r.MaxTokens, true})
	if err != nil {
		return Sample{Result: Refused, Reason: err.Error()}
	}
	return c.complete(address, r, body)
}

func (c *Client) complete(address string, r *Completion, body []byte) Sample {
	ctx, cancel := context.WithTimeout(context.Background(), completionTimeout)
	defer cancel()
	req, err := newRequest(ctx, http.MethodPost, "http://"+address+"/v1/completions", body)
	if err != nil {
		return Sample{Result: Refused, Reason: err.Error()}
	}
	setHeaders(req, string(r.ID), r.Workspace, r.Deadline)
	if r.TokenInterval > 0 {
		req.Header.Set("X-Token-Interval-Ms", strconv.FormatInt(r.TokenInterval.Milliseconds(), 10))
	}
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return transportFailure(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errorSample(resp)
	}
	s := c.readStream(resp.Body, r, start)
	// The transport reuses a connection only after the response was read to its end.
	_, _ = io.CopyN(io.Discard, resp.Body, 1<<10)
	s.MetDeadlines = s.Result == Answered && s.FirstToken <= r.Deadline && (r.TokenInterval == 0 || s.TokenInterval <= r.TokenInterval)
	return s
}

// newRequest returns a request that the HTTP transport does not retry on its
// own, so that each attempt is visible and counted.
func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if len(body) > 0 {
		req.GetBody = nil
	}
	return req, nil
}

func setHeaders(req *http.Request, id, workspace string, deadline time.Duration) {
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Workspace", workspace)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
}

// transportFailure classifies a transport error. A refused connection counts as
// Refused, since nothing was sent and a load balancer would try another VM; all
// other errors leave the outcome unknown.
func transportFailure(err error) Sample {
	var n net.Error
	switch {
	case strings.Contains(err.Error(), "connection refused"):
		return Sample{Result: Refused, Reason: "connection_refused"}
	case errors.As(err, &n) && n.Timeout():
		return Sample{Result: Incomplete, Reason: "client: timeout before the end of the response"}
	}
	return Sample{Result: Incomplete, Reason: "client: connection lost: " + lastCause(err.Error())}
}

// lastCause returns the last part of an error text, which names the cause
// without addresses.
func lastCause(s string) string { return s[strings.LastIndex(s, ": ")+1:] }

// decodeError decodes lentilpick's error from a response. ok is false if the
// body is not such an error.
func decodeError(resp *http.Response) (e errorBody, ok bool) {
	b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	ok = err == nil && json.Unmarshal(b, &e) == nil && e.Error.Outcome != ""
	return e, ok
}

func errorSample(resp *http.Response) Sample {
	e, ok := decodeError(resp)
	if !ok {
		return Sample{Result: Incomplete, Reason: fmt.Sprintf("client: status %d without an error outcome", resp.StatusCode)}
	}
	s := Sample{Result: Incomplete, Reason: e.Error.Reason}
	if e.Error.Outcome == "not_run" {
		s.Result = Refused
	}
	return s
}

func (c *Client) readStream(body io.Reader, r *Completion, start time.Time) Sample {
	sc := bufio.NewScanner(body)
	sc.Buffer(make([]byte, 0, 4096), 1<<20)
	sum := xxhash.New()
	var s Sample
	var first, last time.Time
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		var e streamEvent
		if err := json.Unmarshal(data, &e); err != nil {
			return Sample{Result: Incomplete, Reason: "client: event does not decode"}
		}
		switch {
		case e.Error != nil:
			return Sample{Result: Incomplete, Reason: e.Error.Reason}
		case e.RequestID != r.ID:
			return Sample{Result: MixedUp, Reason: "event belongs to another request"}
		case e.Done:
			return checkEnd(s, &e, r, sum, first.Sub(start), last.Sub(first))
		}
		if e.Text != modelengine.TokenText(r.ID, e.Index) || e.Index != s.Tokens {
			return Sample{Result: MixedUp, Reason: "token belongs to another request or position"}
		}
		now := time.Now()
		if s.Tokens == 0 {
			first = now
		} else if c.recordIntervals {
			s.TokenIntervals = append(s.TokenIntervals, now.Sub(last))
		}
		last = now
		s.Tokens++
		_, _ = sum.WriteString(e.Text)
	}
	return Sample{Result: Incomplete, Reason: "client: stream ended without its end marker"}
}

func checkEnd(s Sample, e *streamEvent, r *Completion, sum *xxhash.Digest, first, rest time.Duration) Sample {
	if s.Tokens != r.MaxTokens || e.Tokens != s.Tokens || e.Checksum != fmt.Sprintf("%016x", sum.Sum64()) {
		return Sample{Result: Incomplete, Reason: "client: end marker does not match the tokens"}
	}
	s.Result = Answered
	s.FirstToken = first
	if s.Tokens > 1 {
		s.TokenInterval = rest / time.Duration(s.Tokens-1)
	}
	return s
}

// CallService calls a plain service. For a complete response it also returns
// the HTTP status and the body.
func (c *Client) CallService(address string, r *Call) (Sample, int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline+callTimeoutMargin)
	defer cancel()
	req, err := newRequest(ctx, r.Method, "http://"+address+"/v1/services/"+r.Service+r.Path, []byte(r.Body))
	if err != nil {
		return Sample{Result: Refused, Reason: err.Error()}, 0, ""
	}
	setHeaders(req, r.ID, r.Workspace, r.Deadline)
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	if r.Affinity != "" {
		req.Header.Set("X-Affinity-Key", r.Affinity)
	}
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return transportFailure(err), 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	// A 404 with a request ID comes from the service itself and is a valid response.
	if resp.StatusCode >= 400 && (resp.StatusCode != http.StatusNotFound || resp.Header.Get("X-Request-Id") == "") {
		return errorSample(resp), resp.StatusCode, ""
	}
	if got := resp.Header.Get("X-Request-Id"); got != r.ID {
		return Sample{Result: MixedUp, Reason: "response belongs to request " + got}, 0, ""
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return Sample{Result: Incomplete, Reason: "client: response body truncated"}, 0, ""
	}
	took := time.Since(start)
	return Sample{Result: Answered, FirstToken: took, MetDeadlines: took <= r.Deadline}, resp.StatusCode, string(b)
}

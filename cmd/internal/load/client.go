// Package load is the load generator and the demo. Its counts come from the
// answers that callers get and from the stand-ins, never from the daemons.
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

// Result is what became of one request.
type Result uint8

// Results.
const (
	// Answered is a whole answer to the own request.
	Answered Result = iota
	// Refused says that the system answered not_run.
	Refused
	// Cut is an answer without its end, or a result that is not known.
	Cut
	// MixedUp is an answer with content of another request.
	MixedUp
)

// Sample is the measurement of one request.
type Sample struct {
	Result     Result
	Reason     string
	FirstToken time.Duration
	// Interval is the mean time between tokens.
	Interval time.Duration
	Tokens   int
	// Good says that the answer met its deadlines.
	Good bool
	// Gaps, if recorded, are the times between tokens.
	Gaps []time.Duration
}

// Completion is a completion request of the load.
type Completion struct {
	ID        types.RequestID
	Workspace string
	Model     string
	Prompt    string
	MaxTokens int
	Deadline  time.Duration
	Interval  time.Duration
}

// Call is a call of a plain service.
type Call struct {
	ID, Workspace, Service, Method, Path, Key, Affinity, Body string
	Deadline                                                  time.Duration
}

// Client sends requests to entry daemons.
type Client struct {
	http *http.Client
	// gaps says that each time between tokens is recorded.
	gaps bool
}

const (
	// completionLimit is the time after which a completion without an end
	// counts as cut.
	completionLimit = time.Minute
	// callGrace is the time beyond its deadline after which a call counts as cut.
	callGrace = 5 * time.Second
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

// Complete sends a completion request and checks each token of its answer.
func (c *Client) Complete(address string, r *Completion) Sample {
	body, err := json.Marshal(completionBody{r.Model, r.Prompt, r.MaxTokens, true})
	if err != nil {
		return Sample{Result: Refused, Reason: err.Error()}
	}
	return c.complete(address, r, body)
}

func (c *Client) complete(address string, r *Completion, body []byte) Sample {
	ctx, cancel := context.WithTimeout(context.Background(), completionLimit)
	defer cancel()
	req, err := newRequest(ctx, http.MethodPost, "http://"+address+"/v1/completions", body)
	if err != nil {
		return Sample{Result: Refused, Reason: err.Error()}
	}
	setHeader(req, string(r.ID), r.Workspace, r.Deadline)
	if r.Interval > 0 {
		req.Header.Set("X-Token-Interval-Ms", strconv.FormatInt(r.Interval.Milliseconds(), 10))
	}
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return failedCall(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusedSample(resp)
	}
	s := c.readStream(resp.Body, r, start)
	// A connection can be used again only after its answer was read to the end.
	_, _ = io.CopyN(io.Discard, resp.Body, 1<<10)
	s.Good = s.Result == Answered && s.FirstToken <= r.Deadline && (r.Interval == 0 || s.Interval <= r.Interval)
	return s
}

// newRequest returns a request that the HTTP client does not send again by
// itself, so that each send is seen and counted.
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

func setHeader(req *http.Request, id, workspace string, deadline time.Duration) {
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Workspace", workspace)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
}

// failedCall says whether a failed call was refused before it was sent, which
// the balancer in front of the VMs would send to another VM.
func failedCall(err error) Sample {
	var n net.Error
	switch {
	case strings.Contains(err.Error(), "connection refused"):
		return Sample{Result: Refused, Reason: "connection_refused"}
	case errors.As(err, &n) && n.Timeout():
		return Sample{Result: Cut, Reason: "client: no end in time"}
	}
	return Sample{Result: Cut, Reason: "client: connection lost: " + lastPart(err.Error())}
}

// lastPart returns the cause at the end of an error text, without addresses.
func lastPart(s string) string { return s[strings.LastIndex(s, ": ")+1:] }

// errorOf reads the error that the system answered; ok is false if the body is
// not one.
func errorOf(resp *http.Response) (e errorBody, ok bool) {
	b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	ok = err == nil && json.Unmarshal(b, &e) == nil && e.Error.Outcome != ""
	return e, ok
}

func refusedSample(resp *http.Response) Sample {
	e, ok := errorOf(resp)
	if !ok {
		return Sample{Result: Cut, Reason: fmt.Sprintf("client: status %d without an outcome", resp.StatusCode)}
	}
	s := Sample{Result: Cut, Reason: e.Error.Reason}
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
			return Sample{Result: Cut, Reason: "client: event does not decode"}
		}
		switch {
		case e.Error != nil:
			return Sample{Result: Cut, Reason: e.Error.Reason}
		case e.RequestID != r.ID:
			return Sample{Result: MixedUp, Reason: "event of another request"}
		case e.Done:
			return finish(s, &e, r, sum, first.Sub(start), last.Sub(first))
		}
		if e.Text != modelengine.TokenText(r.ID, e.Index) || e.Index != s.Tokens {
			return Sample{Result: MixedUp, Reason: "token of another request or position"}
		}
		now := time.Now()
		if s.Tokens == 0 {
			first = now
		} else if c.gaps {
			s.Gaps = append(s.Gaps, now.Sub(last))
		}
		last = now
		s.Tokens++
		_, _ = sum.WriteString(e.Text)
	}
	return Sample{Result: Cut, Reason: "client: stream ended without its end marker"}
}

func finish(s Sample, e *streamEvent, r *Completion, sum *xxhash.Digest, first, rest time.Duration) Sample {
	if s.Tokens != r.MaxTokens || e.Tokens != s.Tokens || e.Checksum != fmt.Sprintf("%016x", sum.Sum64()) {
		return Sample{Result: Cut, Reason: "client: end marker does not match the tokens"}
	}
	s.Result = Answered
	s.FirstToken = first
	if s.Tokens > 1 {
		s.Interval = rest / time.Duration(s.Tokens-1)
	}
	return s
}

// CallService calls a plain service and returns the status and body of a whole
// answer.
func (c *Client) CallService(address string, r *Call) (Sample, int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline+callGrace)
	defer cancel()
	req, err := newRequest(ctx, r.Method, "http://"+address+"/v1/services/"+r.Service+r.Path, []byte(r.Body))
	if err != nil {
		return Sample{Result: Refused, Reason: err.Error()}, 0, ""
	}
	setHeader(req, r.ID, r.Workspace, r.Deadline)
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	if r.Affinity != "" {
		req.Header.Set("X-Affinity-Key", r.Affinity)
	}
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return failedCall(err), 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	// A 404 of the service itself has no outcome and is an answer.
	if resp.StatusCode >= 400 && (resp.StatusCode != http.StatusNotFound || resp.Header.Get("X-Request-Id") == "") {
		return refusedSample(resp), resp.StatusCode, ""
	}
	if got := resp.Header.Get("X-Request-Id"); got != r.ID {
		return Sample{Result: MixedUp, Reason: "answer to " + got}, 0, ""
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return Sample{Result: Cut, Reason: "client: answer is not whole"}, 0, ""
	}
	took := time.Since(start)
	return Sample{Result: Answered, FirstToken: took, Good: took <= r.Deadline}, resp.StatusCode, string(b)
}

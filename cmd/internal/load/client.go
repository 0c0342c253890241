// Package load is the load generator and the demo. Its counts come from the
// answers that callers get and from the stand-ins, never from the daemons.
package load

import (
	"bufio"
	"bytes"
	"encoding/json"
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
type Client struct{ http *http.Client }

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
	body, _ := json.Marshal(completionBody{r.Model, r.Prompt, r.MaxTokens, true})
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
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
	s := readStream(resp.Body, r, start)
	s.Good = s.Result == Answered && s.FirstToken <= r.Deadline && (r.Interval == 0 || s.Interval <= r.Interval)
	return s
}

func setHeader(req *http.Request, id, workspace string, deadline time.Duration) {
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Workspace", workspace)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
}

// failedCall says whether a failed call was refused before it was sent, which
// the balancer in front of the VMs would send to another VM.
func failedCall(err error) Sample {
	if strings.Contains(err.Error(), "connection refused") {
		return Sample{Result: Refused, Reason: "connection_refused"}
	}
	return Sample{Result: Cut, Reason: err.Error()}
}

func refusedSample(resp *http.Response) Sample {
	var e errorBody
	b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	if err != nil || json.Unmarshal(b, &e) != nil {
		return Sample{Result: Cut, Reason: fmt.Sprintf("status %d without an error body", resp.StatusCode)}
	}
	s := Sample{Result: Cut, Reason: e.Error.Reason}
	if e.Error.Outcome == "not_run" {
		s.Result = Refused
	}
	return s
}

func readStream(body io.Reader, r *Completion, start time.Time) Sample {
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
			return Sample{Result: Cut, Reason: err.Error()}
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
		last = time.Now()
		if s.Tokens == 0 {
			first = last
		}
		s.Tokens++
		_, _ = sum.WriteString(e.Text)
	}
	return Sample{Result: Cut, Reason: "stream ended without its end marker"}
}

func finish(s Sample, e *streamEvent, r *Completion, sum *xxhash.Digest, first, rest time.Duration) Sample {
	if s.Tokens != r.MaxTokens || e.Tokens != s.Tokens || e.Checksum != fmt.Sprintf("%016x", sum.Sum64()) {
		return Sample{Result: Cut, Reason: "end marker does not match the tokens"}
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
	req, err := http.NewRequest(r.Method, "http://"+address+"/v1/services/"+r.Service+r.Path, strings.NewReader(r.Body))
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
	if got := resp.Header.Get("X-Request-Id"); resp.StatusCode < 300 && got != r.ID {
		return Sample{Result: MixedUp, Reason: "answer to " + got}, 0, ""
	}
	if resp.StatusCode >= 400 && resp.StatusCode != http.StatusNotFound {
		return refusedSample(resp), resp.StatusCode, ""
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return Sample{Result: Cut, Reason: err.Error()}, 0, ""
	}
	took := time.Since(start)
	return Sample{Result: Answered, FirstToken: took, Good: took <= r.Deadline}, resp.StatusCode, string(b)
}

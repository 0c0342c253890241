package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/types"
)

// Generate is the body of a completion request to an engine.
type GenerateRequest struct {
	RequestID types.RequestID `json:"request_id"`
	Model     types.ModelID   `json:"model"`
	Adapter   types.AdapterID `json:"adapter,omitempty"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	// Priority orders waiting requests; higher goes first.
	Priority int `json:"priority,omitempty"`
	// ResumeFrom is the number of tokens that the caller already has.
	ResumeFrom int `json:"resume_from,omitempty"`
	// KVSource is the address of an engine that holds the request's KV cache.
	KVSource string `json:"kv_source,omitempty"`
	// PrefillOnly ends the request after prefill and keeps its KV cache for export.
	PrefillOnly bool `json:"prefill_only,omitempty"`
}

// Event is one server-sent event of an engine's answer.
type Event struct {
	RequestID types.RequestID `json:"request_id"`
	// Index is the position of the first token of Text in the whole answer.
	Index int    `json:"index"`
	Count int    `json:"count,omitempty"`
	Text  string `json:"text,omitempty"`
	Done  bool   `json:"done,omitempty"`
	// Tokens and Checksum are set on the last event. Checksum is the XXH64 of
	// all text of this stream in hexadecimal.
	Tokens   int    `json:"tokens,omitempty"`
	Checksum string `json:"checksum,omitempty"`
	// PromptTokens is the engine's count, on the last event.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	// CachedTokens is the part of the prompt that was in the prefix cache.
	CachedTokens int `json:"cached_tokens,omitempty"`
}

const (
	// maxForeign bounds the events of other requests that a stream drops before
	// it is given up.
	maxForeign = 64
	// maxRefusal bounds the text of a refusal.
	maxRefusal = 64 << 10
	// finishTimeout is how long the end of the body may take after the last
	// event. The answer is whole by then; only the connection is at stake.
	finishTimeout = 100 * time.Millisecond
	maxRest       = 4 << 10
)

// Stream is an answer in progress. It is not safe for concurrent use.
type Stream struct {
	x       *exchange
	request types.RequestID
	events  *eventReader
	first   int // index of the first token of this stream
	next    int // index of the next token
	limit   int // tokens of the whole answer at most
	foreign int // events of other requests
	sum     *xxhash.Digest
}

// Generate sends a completion request and returns the stream of its answer.
// The stream ends at deadline at the latest. Errors: ErrNotSent,
// ErrStalled, ErrTruncated, ErrMismatch, ErrRefused, ErrFailed.
func (c *Client) Generate(address string, g *GenerateRequest, deadline time.Time) (*Stream, error) {
	body, err := json.Marshal(g)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	x := c.newExchange(address, fasthttp.MethodPost, "/v1/completions")
	x.req.Header.SetContentType("application/json")
	x.req.Header.Set("X-Request-Id", string(g.RequestID))
	x.req.SetBodyRaw(body)
	if err := c.send(x, call{progress: c.settings.ProgressTimeout, bound: deadline}); err != nil {
		return nil, err
	}
	if x.resp.StatusCode() != fasthttp.StatusOK {
		return nil, x.refusal()
	}
	if got := string(x.resp.Header.Peek("X-Request-Id")); got != "" && got != string(g.RequestID) {
		x.close()
		return nil, fmt.Errorf("answer to %q for %q: %w", got, g.RequestID, ErrMismatch)
	}
	return newStream(x, g), nil
}

func newStream(x *exchange, g *GenerateRequest) *Stream {
	return &Stream{
		x: x, request: g.RequestID, events: newEventReader(x.resp.BodyStream()),
		first: g.ResumeFrom, next: g.ResumeFrom, limit: g.MaxTokens, sum: xxhash.New(),
	}
}

// refusal reads the answer of a target that refused and ends the exchange.
func (x *exchange) refusal() error {
	status := x.resp.StatusCode()
	body, err := x.readAll(maxRefusal)
	if err != nil {
		return &StatusError{Status: status, Message: err.Error()}
	}
	x.finish()
	return &StatusError{Status: status, Message: errorText(body)}
}

// Next returns the next event of the answer. Events of other requests are
// dropped: the indexes and the checksum show whether the answer is whole all
// the same. Errors: ErrStalled, ErrTruncated, ErrMismatch, ErrFailed.
func (s *Stream) Next() (Event, error) {
	for {
		line, err := s.events.next()
		if err != nil {
			return Event{}, err
		}
		e, err := decodeEvent(line)
		if err != nil {
			return Event{}, err
		}
		if e.RequestID == s.request {
			return e, s.check(&e)
		}
		s.foreign++
		if s.foreign > maxForeign {
			return Event{}, fmt.Errorf("event for %q on the stream of %q: %w", e.RequestID, s.request, ErrMismatch)
		}
	}
}

// decodeEvent decodes the data of an event. The error wraps ErrFailed.
func decodeEvent(data []byte) (Event, error) {
	var e Event
	if err := json.Unmarshal(data, &e); err != nil {
		return Event{}, fmt.Errorf("%w: %w", ErrFailed, err)
	}
	if e.Index < 0 || e.Count < 0 || e.Tokens < 0 {
		return Event{}, fmt.Errorf("event with a negative number: %w", ErrFailed)
	}
	return e, nil
}

func (s *Stream) check(e *Event) error {
	if e.Done {
		return s.checkEnd(e)
	}
	if e.Index != s.next || e.Count < 1 || e.Count > s.limit-s.next {
		return fmt.Errorf("event with index %d and count %d, expected index %d of %d: %w", e.Index, e.Count, s.next, s.limit, ErrFailed)
	}
	s.next += e.Count
	_, _ = s.sum.WriteString(e.Text)
	return nil
}

// checkEnd compares the end marker with what arrived. A stream without tokens
// needs no checksum.
func (s *Stream) checkEnd(e *Event) error {
	if e.Checksum == "" && s.next == s.first && e.Tokens == s.next {
		return nil
	}
	if e.Tokens != s.next || e.Checksum != fmt.Sprintf("%016x", s.sum.Sum64()) {
		return fmt.Errorf("end marker for %d tokens after %d: %w", e.Tokens, s.next, ErrTruncated)
	}
	return nil
}

// Finish ends a stream after its last event and keeps the connection if the
// end of the body follows at once.
func (s *Stream) Finish() {
	s.x.conn.SetRequestDeadline(time.Now().Add(finishTimeout))
	if _, err := io.CopyN(io.Discard, s.events.body, maxRest); errors.Is(err, io.EOF) {
		s.x.finish()
		return
	}
	s.x.close()
}

// Close ends a stream before its last event. The connection is closed, which
// the engine takes as a cancellation.
func (s *Stream) Close() { s.x.close() }

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

// GenerateRequest is the body of a completion request to an engine.
type GenerateRequest struct {
	RequestID types.RequestID `json:"request_id"`
	Model     types.ModelID   `json:"model"`
	Adapter   types.AdapterID `json:"adapter,omitempty"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	// Priority orders waiting requests; a higher value goes first.
	Priority int `json:"priority,omitempty"`
	// ResumeFrom is the number of tokens that the caller has already received.
	ResumeFrom int `json:"resume_from,omitempty"`
	// KVSource is the address of an engine that has the request's KV cache.
	KVSource string `json:"kv_source,omitempty"`
	// PrefillOnly ends the request after prefill and retains its KV cache for export.
	PrefillOnly bool `json:"prefill_only,omitempty"`
}

// Event is one server-sent event of an engine's response.
type Event struct {
	RequestID types.RequestID `json:"request_id"`
	// Index is the position of the first token of Text in the complete response.
	Index int    `json:"index"`
	Count int    `json:"count,omitempty"`
	Text  string `json:"text,omitempty"`
	Done  bool   `json:"done,omitempty"`
	// Tokens and Checksum are set on the last event. Checksum is the hexadecimal
	// XXH64 of all text on this stream.
	Tokens   int    `json:"tokens,omitempty"`
	Checksum string `json:"checksum,omitempty"`
	// PromptTokens is the engine's count of prompt tokens, set on the last event.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int `json:"cached_tokens,omitempty"`
}

const (
	// maxForeignEvents bounds the events of other requests that a stream drops
	// before it fails.
	maxForeignEvents = 64
	// maxRefusalBytes bounds the body of a refusal.
	maxRefusalBytes = 64 << 10
	// bodyEndTimeout bounds the wait for the end of the body after the last event. The
	// response is complete by then; after the timeout only the connection is lost.
	bodyEndTimeout  = 100 * time.Millisecond
	maxBodyEndBytes = 4 << 10
)

// Stream is a response in progress. It is not safe for concurrent use.
type Stream struct {
	x             *exchange
	requestID     types.RequestID
	events        *eventReader
	firstIndex    int // index of the first token of this stream
	nextIndex     int // index of the next token
	maxTokens     int // upper bound of the tokens of the complete response
	foreignEvents int // events of other requests
	checksum      *xxhash.Digest
}

// Generate sends a completion request and returns the stream of its response.
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
	if err := c.send(x, sendOptions{headerTimeout: c.settings.ProgressTimeout, deadline: deadline}); err != nil {
		return nil, err
	}
	// A refusal of another request says nothing about this one, so the ID comes first.
	if got := string(x.resp.Header.Peek("X-Request-Id")); got != "" && got != string(g.RequestID) {
		x.abort()
		return nil, fmt.Errorf("response for request %q, expected %q: %w", got, g.RequestID, ErrMismatch)
	}
	if x.resp.StatusCode() != fasthttp.StatusOK {
		return nil, x.refusalError()
	}
	return newStream(x, g), nil
}

func newStream(x *exchange, g *GenerateRequest) *Stream {
	return &Stream{
		x: x, requestID: g.RequestID, events: newEventReader(x.resp.BodyStream()),
		firstIndex: g.ResumeFrom, nextIndex: g.ResumeFrom, maxTokens: g.MaxTokens, checksum: xxhash.New(),
	}
}

// refusalError reads the response of a target that refused the request and ends the
// exchange.
func (x *exchange) refusalError() error {
	status := x.resp.StatusCode()
	body, err := x.readAll(maxRefusalBytes)
	if err != nil {
		return &StatusError{Status: status, Message: err.Error()}
	}
	x.release()
	return &StatusError{Status: status, Message: errorMessage(body)}
}

// Next returns the next event of the response. It drops events of other
// requests; the indexes and the checksum still show whether the response is
// complete. Errors: ErrStalled, ErrTruncated, ErrMismatch, ErrFailed.
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
		if e.RequestID == s.requestID {
			return e, s.check(&e)
		}
		s.foreignEvents++
		if s.foreignEvents > maxForeignEvents {
			return Event{}, fmt.Errorf("event of request %q on the stream of request %q: %w", e.RequestID, s.requestID, ErrMismatch)
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
		return Event{}, fmt.Errorf("event has a negative index, count or token number: %w", ErrFailed)
	}
	return e, nil
}

func (s *Stream) check(e *Event) error {
	if e.Done {
		return s.checkEnd(e)
	}
	if e.Index != s.nextIndex || e.Count < 1 || e.Count > s.maxTokens-s.nextIndex {
		return fmt.Errorf("event has index %d and count %d, expected index %d and at most %d tokens in all: %w", e.Index, e.Count, s.nextIndex, s.maxTokens, ErrFailed)
	}
	s.nextIndex += e.Count
	_, _ = s.checksum.WriteString(e.Text)
	return nil
}

// checkEnd compares the end marker with the tokens received. A stream without
// tokens needs no checksum.
func (s *Stream) checkEnd(e *Event) error {
	if e.Checksum == "" && s.nextIndex == s.firstIndex && e.Tokens == s.nextIndex {
		return nil
	}
	if e.Tokens != s.nextIndex || e.Checksum != fmt.Sprintf("%016x", s.checksum.Sum64()) {
		return fmt.Errorf("end marker does not match in tokens (announced %d, received %d) or checksum: %w", e.Tokens, s.nextIndex, ErrTruncated)
	}
	return nil
}

// Finish ends a stream after its last event. It reuses the connection if the end
// of the body arrives within bodyEndTimeout.
func (s *Stream) Finish() {
	s.x.conn.SetRequestDeadline(time.Now().Add(bodyEndTimeout))
	if _, err := io.CopyN(io.Discard, s.events.body, maxBodyEndBytes); errors.Is(err, io.EOF) {
		s.x.release()
		return
	}
	s.x.abort()
}

// Close ends a stream before its last event by closing the connection, which
// the engine treats as a cancellation.
func (s *Stream) Close() { s.x.abort() }

package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/lentilpick/lentilpick/types"
)

// Limits on a caller's request.
const (
	maxIDBytes      = 128
	maxKeyBytes     = 256
	maxOutputTokens = 65_536
	maxDeadlineMs   = 600_000
	maxPriority     = 9
)

// inputError names the field that makes a request invalid.
type inputError struct {
	Field   string
	Message string
}

// Error implements error.
func (e *inputError) Error() string { return e.Field + ": " + e.Message }

func badInput(field, format string, args ...any) *inputError {
	return &inputError{Field: field, Message: fmt.Sprintf(format, args...)}
}

// header holds what every request carries in its header.
type header struct {
	ID        types.RequestID
	Workspace types.WorkspaceID
	Arrived   time.Time
	// Deadline is when the first token, or the answer of a plain service, is due.
	Deadline time.Time
	// TokenInterval is the longest acceptable time between tokens; 0 means no limit.
	TokenInterval time.Duration
}

// completion is a parsed completion request.
type completion struct {
	header
	Model     types.ModelID   `json:"model"`
	Adapter   types.AdapterID `json:"adapter"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Priority  int             `json:"priority"`
}

// call is a parsed call of a plain service.
type call struct {
	header
	Service     types.ServiceID
	Method      string
	Path        string
	ContentType string
	Body        []byte
	Key         string
	Affinity    string
	Class       types.RequestClass
}

func parseHeader(ctx *fasthttp.RequestCtx, now time.Time) (header, *inputError) {
	h := header{Arrived: now}
	id, err := name(ctx, "X-Request-Id", maxIDBytes)
	if err != nil {
		return h, err
	}
	ws, err := name(ctx, "X-Workspace", maxIDBytes)
	if err != nil {
		return h, err
	}
	ms, err := number(ctx, "X-Deadline-Ms", true)
	if err != nil {
		return h, err
	}
	interval, err := number(ctx, "X-Token-Interval-Ms", false)
	if err != nil {
		return h, err
	}
	h.ID, h.Workspace = types.RequestID(id), types.WorkspaceID(ws)
	h.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	h.TokenInterval = time.Duration(interval) * time.Millisecond
	return h, nil
}

func name(ctx *fasthttp.RequestCtx, field string, limit int) (string, *inputError) {
	v := string(ctx.Request.Header.Peek(field))
	if v == "" {
		return "", badInput(field, "is missing")
	}
	return v, checkText(field, v, limit)
}

func checkText(field, v string, limit int) *inputError {
	if len(v) > limit {
		return badInput(field, "is %d bytes long, at most %d are allowed", len(v), limit)
	}
	if strings.ContainsFunc(v, func(r rune) bool { return r < 0x21 || r > 0x7e }) {
		return badInput(field, "contains a character other than printable ASCII")
	}
	return nil
}

func number(ctx *fasthttp.RequestCtx, field string, required bool) (int64, *inputError) {
	v := string(ctx.Request.Header.Peek(field))
	if v == "" && !required {
		return 0, nil
	}
	if v == "" {
		return 0, badInput(field, "is missing")
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 1 || n > maxDeadlineMs {
		return 0, badInput(field, "%.40q is not a number of milliseconds from 1 to %d", v, maxDeadlineMs)
	}
	return n, nil
}

func parseCompletion(ctx *fasthttp.RequestCtx, now time.Time) (*completion, *inputError) {
	h, herr := parseHeader(ctx, now)
	if herr != nil {
		return nil, herr
	}
	c := &completion{}
	d := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	d.DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		return nil, badInput("body", "%s", err)
	}
	c.header = h
	switch {
	case c.Model == "":
		return nil, badInput("model", "is missing")
	case c.Prompt == "":
		return nil, badInput("prompt", "is missing")
	case c.MaxTokens < 1 || c.MaxTokens > maxOutputTokens:
		return nil, badInput("max_tokens", "%d is outside 1 to %d", c.MaxTokens, maxOutputTokens)
	case c.Priority < 0 || c.Priority > maxPriority:
		return nil, badInput("priority", "%d is outside 0 to %d", c.Priority, maxPriority)
	}
	return c, nil
}

const servicePrefix = "/v1/services/"

func parseCall(ctx *fasthttp.RequestCtx, now time.Time) (*call, *inputError) {
	h, err := parseHeader(ctx, now)
	if err != nil {
		return nil, err
	}
	rest := strings.TrimPrefix(string(ctx.Path()), servicePrefix)
	service, path, ok := strings.Cut(rest, "/")
	if !ok || service == "" {
		return nil, badInput("path", "expected %s{service}/{path}", servicePrefix)
	}
	c := &call{
		header: h, Service: types.ServiceID(service), Method: string(ctx.Method()), Path: "/" + path,
		ContentType: string(ctx.Request.Header.ContentType()), Body: bytes.Clone(ctx.PostBody()),
		Key:      string(ctx.Request.Header.Peek("Idempotency-Key")),
		Affinity: string(ctx.Request.Header.Peek("X-Affinity-Key")),
	}
	if q := ctx.QueryArgs().QueryString(); len(q) > 0 {
		c.Path += "?" + string(q)
	}
	if err := checkText("Idempotency-Key", c.Key, maxKeyBytes); err != nil {
		return nil, err
	}
	if err := checkText("X-Affinity-Key", c.Affinity, maxKeyBytes); err != nil {
		return nil, err
	}
	c.Class = classOf(c)
	return c, nil
}

func classOf(c *call) types.RequestClass {
	switch {
	case c.Key != "":
		return types.ClassKeyed
	case c.Method == fasthttp.MethodGet || c.Method == fasthttp.MethodHead:
		return types.ClassIdempotent
	}
	return types.ClassUnkeyed
}
